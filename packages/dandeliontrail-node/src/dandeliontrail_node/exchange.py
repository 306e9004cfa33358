"""The link between one caller's request and the reducer."""

import dataclasses

from gevent import queue


@dataclasses.dataclass(slots=True)
class Fault:
    """Put in the mailbox when the reducer failed on this request."""

    request_id: str


class Exchange:
    """A mailbox of effects for the greenlet that serves one request."""

    __slots__ = ("request_id", "_mailbox")

    def __init__(self, request_id):
        self.request_id = request_id
        self._mailbox = queue.SimpleQueue()

    def put(self, effect):
        """Hand an effect to the greenlet."""
        self._mailbox.put(effect)

    def fault(self):
        """Tell the greenlet that no answer will come."""
        self._mailbox.put(Fault(self.request_id))

    def get(self):
        """Wait for the next effect."""
        return self._mailbox.get()
