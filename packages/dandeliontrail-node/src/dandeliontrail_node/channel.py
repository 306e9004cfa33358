"""What passes between the engine side and the caller side of a request."""

import gevent
from gevent import queue
import msgspec


class Head(msgspec.Struct):
    """The start of an answer; ``body`` is set where it is whole."""

    status: int
    headers: list
    body: bytes | None = None


class Failure(msgspec.Struct):
    """The end without an answer; ``problem`` is what the caller is told."""

    problem: Exception


END = object()
_LOOK = object()


class Channel:
    """Holds one item at most, so that a slow caller slows its own stream.

    Once the caller side has left, what is put vanishes: a request that
    must run to its end does so without a reader.

    The reader looks up from time to time.  One repeating timer tells it to:
    a timer for each item would add a quarter to what passing it costs.
    """

    __slots__ = ("_queue", "_left", "_override", "_timer")

    def __init__(self):
        self._queue = queue.Queue(1)
        self._left = False
        self._override = None
        self._timer = None

    def put(self, item):
        """Hand over an item, as soon as the one before was taken."""
        if not self._left:
            self._queue.put(item)

    def get(self, seconds):
        """Return the next item.

        Raises ``queue.Empty`` every ``seconds`` while there is none; those
        of the first call hold until :meth:`leave`.
        """
        if self._override is not None:
            return self._override
        if self._timer is None:
            self._timer = gevent.get_hub().loop.timer(seconds, seconds)
            self._timer.start(self._tell_to_look)
        item = self._queue.get()
        if self._override is not None:
            return self._override
        if item is _LOOK:
            raise queue.Empty()
        return item

    def _tell_to_look(self):
        if self._queue.empty():
            self._queue.put_nowait(_LOOK)

    def end_with(self, failure):
        """Have the reader see ``failure`` next, whatever is waiting."""
        self._override = failure
        if self._queue.empty():
            self._queue.put_nowait(failure)

    def leave(self):
        """Say that nobody reads any more."""
        self._left = True
        if self._timer is not None:
            self._timer.close()
            self._timer = None
        while not self._queue.empty():
            self._queue.get_nowait()
