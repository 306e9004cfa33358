"""The queue of messages to one instance, in order of importance."""

import collections

from dandeliontrail.coordination import importance

# Beyond this many messages the least important are dropped.
MAX_MESSAGES = 512
Importance = importance.Importance


class QueuedMessage:
    """A message and the time at which it was queued."""

    __slots__ = ("message", "queued")

    def __init__(self, message, queued):
        self.message = message
        self.queued = queued


class Outbox:
    """Messages grouped by importance, each group in FIFO order.

    ``shed`` counts the messages that were dropped.

    >>> box = Outbox()
    >>> box.put("a message", 1.0)
    >>> [item.message for item in box.take(within_budget=True)]
    ['a message']
    """

    __slots__ = ("_queues", "shed")

    def __init__(self):
        self._queues = {key: collections.deque() for key in Importance}
        self.shed = 0

    def __len__(self):
        return sum(len(queue) for queue in self._queues.values())

    def put(self, message, now):
        """Queue a message.

        If the outbox is full, the oldest of the least important messages is
        dropped.
        """
        key = importance.of(message)
        self._queues[key].append(QueuedMessage(message, now))
        while len(self) > MAX_MESSAGES:
            self._drop_least_important()

    def _drop_least_important(self):
        for key in reversed(Importance):
            if self._queues[key]:
                self._queues[key].popleft()
                self.shed += 1
                return

    def take(self, within_budget):
        """Remove and return the next batch.

        ``within_budget`` is true if bytes are left in the budget.  If not,
        the batch contains only messages that are always sent, without their
        load reports; messages that can be repaired later are dropped.
        """
        batch = []
        for key, queue in self._queues.items():
            if within_budget or key is Importance.ALWAYS:
                batch.extend(queue)
            else:
                self.shed += len(queue)
            queue.clear()
        if not within_budget:
            for item in batch:
                item.message = importance.without_load(item.message)
        return batch
