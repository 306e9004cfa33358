"""The channel from a request's worker to the relay that serves its caller."""

import gevent
from gevent import queue
import msgspec


class Head(msgspec.Struct):
    """The start of an answer; ``body`` is set if it is not streamed."""

    status: int
    headers: list
    body: bytes | None = None


class Failure(msgspec.Struct):
    """The request failed; ``problem`` is the error for the caller."""

    problem: Exception


END = object()
_WAKE_UP = object()


class Channel:
    """A queue for a single item, so that a slow caller slows its own stream.

    Once the reader has closed it, items are discarded: a request that must run
    to completion does so without a reader.

    The reader wakes up at intervals to check on the caller. A single repeating
    timer does this: a timer for each item would add a quarter to the cost of
    passing the item.
    """

    __slots__ = ("_queue", "_left", "_override", "_timer")

    def __init__(self):
        self._queue = queue.Queue(1)
        self._left = False
        self._override = None
        self._timer = None

    def put(self, item):
        """Pass on an item; waits until the previous one was taken."""
        if not self._left:
            self._queue.put(item)

    def get(self, seconds):
        """Return the next item.

        Raises ``queue.Empty`` every ``seconds`` while there is none. The
        interval of the first call is used until :meth:`close_reader`.
        """
        if self._override is not None:
            return self._override
        if self._timer is None:
            self._timer = gevent.get_hub().loop.timer(seconds, seconds)
            self._timer.start(self._wake_reader)
        item = self._queue.get()
        if self._override is not None:
            return self._override
        if item is _WAKE_UP:
            raise queue.Empty()
        return item

    def _wake_reader(self):
        if self._queue.empty():
            self._queue.put_nowait(_WAKE_UP)

    def fail(self, failure):
        """Make ``failure`` the next item, ahead of any that is waiting."""
        self._override = failure
        if self._queue.empty():
            self._queue.put_nowait(failure)

    def close_reader(self):
        """Discard the current item and all later ones."""
        self._left = True
        if self._timer is not None:
            self._timer.close()
            self._timer = None
        while not self._queue.empty():
            self._queue.get_nowait()
