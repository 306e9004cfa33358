"""Runs a second attempt (a hedge) while the server of the first is silent.

The silent server may still finish its answer, so the first attempt is kept
until the hedge has new output for the caller. The greenlet that reads the
first attempt calls :meth:`Hedge.poll` from time to time.
"""

import gevent
from gevent import event as gevent_event

from dandeliontrail import effects

from . import engine_client
from . import transcript

ATTEMPT_ERRORS = (
    engine_client.NotBegun,
    engine_client.Broken,
    transcript.Diverged,
)


class Overtaken(Exception):
    """The hedge has new output; ``reader`` is the attempt to continue with."""

    def __init__(self, reader):
        super().__init__("overtaken")
        self.reader = reader


class Hedge:
    """Runs one more attempt as the reducer dispatches it.

    ``is_current`` tells whether a dispatch is still valid, ``new_reader``
    returns the :class:`.response_reader.ResponseReader` for a dispatch, and
    ``on_failure`` is called with a reader and the exception that ended it.
    """

    def __init__(self, exchange, is_current, new_reader, on_failure):
        self._exchange = exchange
        self._is_current = is_current
        self._new_reader = new_reader
        self._on_failure = on_failure
        self._reader = None
        self._greenlet = None
        self._done = gevent_event.Event()
        self._error = None

    def poll(self):
        """Raise :class:`Overtaken` once the hedge has output.

        Returns an effect that does not concern the hedge, for the caller to
        handle.
        """
        if self._done.is_set():
            self.wait()
        effect = self._exchange.poll()
        if isinstance(effect, effects.Dispatch):
            if self._is_current(effect):
                self._start(effect)
            return None
        if isinstance(effect, effects.Withdraw):
            self.close()
            return None
        return effect

    @property
    def reader(self):
        """The reader of the hedge that is running, or ``None``."""
        return self._reader

    def wait(self):
        """Wait until the hedge has output (``Overtaken``) or has failed."""
        self._done.wait()
        reader, self._reader = self._reader, None
        self._done.clear()
        if self._error is None:
            raise Overtaken(reader)
        reader.close()
        if not isinstance(self._error, ATTEMPT_ERRORS):
            raise self._error
        self._on_failure(reader, self._error)

    def close(self):
        """Cancel the hedge."""
        if self._reader is None:
            return
        self._greenlet.kill(block=False)
        self._reader.close()
        self._reader = None
        self._done.clear()

    def _start(self, dispatch):
        self._reader = self._new_reader(dispatch)
        self._error = None
        self._greenlet = gevent.spawn(self._run, self._reader)

    def _run(self, reader):
        try:
            reader.push_back(reader.next_output())
        except Exception as exc:
            self._error = exc
        self._done.set()
