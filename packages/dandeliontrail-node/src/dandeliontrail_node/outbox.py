"""What is still to be sent to one instance, the most important first."""

import collections

from dandeliontrail.coordination import importance

# The least important make room beyond this many.
LONGEST = 512
Importance = importance.Importance


class Waiting:
    """A message and when it was queued."""

    __slots__ = ("message", "queued")

    def __init__(self, message, queued):
        self.message = message
        self.queued = queued


class Outbox:
    """Messages by importance, in the order in which they were queued.

    >>> box = Outbox()
    >>> box.put("a message", 1.0)
    >>> [item.message for item in box.take(rich=True)]
    ['a message']
    """

    __slots__ = ("_queues", "shed")

    def __init__(self):
        self._queues = {key: collections.deque() for key in Importance}
        self.shed = 0

    def __len__(self):
        return sum(len(queue) for queue in self._queues.values())

    def put(self, message, now):
        """Queue a message; the oldest of the least important make room."""
        key = importance.of(message)
        self._queues[key].append(Waiting(message, now))
        while len(self) > LONGEST:
            self._drop_one()

    def _drop_one(self):
        for key in reversed(Importance):
            if self._queues[key]:
                self._queues[key].popleft()
                self.shed += 1
                return

    def take(self, rich):
        """Return the next batch and take it out.

        Without ``rich``, which tells that the byte budget is not used up,
        only what is always sent comes along, without load reports; what can
        be repaired later is dropped.
        """
        batch = []
        for key, queue in self._queues.items():
            if rich or key is Importance.ALWAYS:
                batch.extend(queue)
            else:
                self.shed += len(queue)
            queue.clear()
        if not rich:
            for item in batch:
                item.message = importance.without_load(item.message)
        return batch
