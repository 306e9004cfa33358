"""What passes between the engine side and the caller side of a request."""

import dataclasses

from gevent import queue


@dataclasses.dataclass(slots=True)
class Head:
    """The start of an answer; ``body`` is set where it is whole."""

    status: int
    headers: list
    body: bytes | None = None


@dataclasses.dataclass(slots=True)
class Failure:
    """The end without an answer; ``problem`` is what the caller is told."""

    problem: Exception


END = object()


class Channel:
    """Holds one item at most, so that a slow caller slows its own stream.

    Once the caller side has left, what is put vanishes: a request that
    must run to its end does so without a reader.
    """

    __slots__ = ("_queue", "_left", "_override")

    def __init__(self):
        self._queue = queue.Queue(1)
        self._left = False
        self._override = None

    def put(self, item):
        """Hand over an item, as soon as the one before was taken."""
        if not self._left:
            self._queue.put(item)

    def get(self, seconds):
        """Return the next item; raises ``queue.Empty`` after ``seconds``."""
        if self._override is not None:
            return self._override
        item = self._queue.get(timeout=seconds)
        return self._override or item

    def end_with(self, failure):
        """Have the reader see ``failure`` next, whatever is waiting."""
        self._override = failure
        if self._queue.empty():
            self._queue.put_nowait(failure)

    def leave(self):
        """Say that nobody reads any more."""
        self._left = True
        while not self._queue.empty():
            self._queue.get_nowait()
