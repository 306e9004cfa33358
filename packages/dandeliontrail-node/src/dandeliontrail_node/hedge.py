"""A second attempt beside one whose server is silent.

Guards against the end of an answer that its server would still give: the
silent one is read on, and is let go only once the other one has something new
for the caller.  The reader of the silent one looks in from time to time.
"""

import gevent
from gevent import event as gevent_event

from dandeliontrail import effects

from . import engine_client
from . import transcript

FAILURES = (
    engine_client.NotBegun,
    engine_client.Broken,
    transcript.Diverged,
)


class Overtaken(Exception):
    """The other server has something new; ``reading`` goes on from there."""

    def __init__(self, reading):
        super().__init__("overtaken")
        self.reading = reading


class Hedge:
    """Follows the reducer's dispatch of one more attempt.

    ``is_current`` tells whether a dispatch still stands, ``read`` makes the
    :class:`.reading.Reading` of one, ``failed`` is called with a reading and
    what ended it.
    """

    def __init__(self, exchange, is_current, read, failed):
        self._exchange = exchange
        self._is_current = is_current
        self._read = read
        self._failed = failed
        self._reading = None
        self._greenlet = None
        self._ended = gevent_event.Event()
        self._error = None

    def look(self):
        """Raise :class:`Overtaken` once the other server has something.

        Returns an effect that is not about the hedge, for its own reader.
        """
        if self._ended.is_set():
            self.result()
        effect = self._exchange.poll()
        if isinstance(effect, effects.Dispatch):
            if self._is_current(effect):
                self._begin(effect)
            return None
        if isinstance(effect, effects.Withdraw):
            self.close()
            return None
        return effect

    @property
    def reading(self):
        """The attempt that is under way, or ``None``."""
        return self._reading

    def result(self):
        """Wait until the other server has something, or has failed."""
        self._ended.wait()
        reading, self._reading = self._reading, None
        self._ended.clear()
        if self._error is None:
            raise Overtaken(reading)
        reading.close()
        if not isinstance(self._error, FAILURES):
            raise self._error
        self._failed(reading, self._error)

    def close(self):
        """Let go of the other server."""
        if self._reading is None:
            return
        self._greenlet.kill(block=False)
        self._reading.close()
        self._reading = None
        self._ended.clear()

    def _begin(self, dispatch):
        self._reading = self._read(dispatch)
        self._error = None
        self._greenlet = gevent.spawn(self._run, self._reading)

    def _run(self, reading):
        try:
            reading.keep(reading.next())
        except Exception as exc:
            self._error = exc
        self._ended.set()
