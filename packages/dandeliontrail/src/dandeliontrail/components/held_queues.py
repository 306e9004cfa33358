"""The prefill queues of the engines that this instance is the holder of."""

import statistics

from ..decisions import prefill_queue

# Tokens per second of an engine while no pace of its service is known.
DEFAULT_PACE = 50_000.0


class HeldQueues:
    """The prefill queues by engine.

    ``contents`` may be read; only the methods change it.
    """

    __slots__ = ("contents",)

    def __init__(self):
        self.contents = {}

    def get(self, server):
        """Return the queue of an engine, or ``None``."""
        return self.contents.get(server)

    def open(self, server, epoch, least_urgent_step, now):
        """Add and return an empty queue for a start of an engine."""
        queue = prefill_queue.PrefillQueue(
            epoch, now, DEFAULT_PACE, least_urgent_step
        )
        self.contents[server] = queue
        return queue

    def drop(self, server):
        """Drop the queue of an engine, if there is one."""
        self.contents.pop(server, None)

    def known_paces(self, now):
        """Return the measured paces by engine, in tokens per second."""
        paces = {
            server: queue.known_pace(now)
            for server, queue in self.contents.items()
        }
        return {
            server: max(1, int(pace))
            for server, pace in paces.items()
            if pace is not None
        }

    def longest(self, now):
        """Return ``(server, tokens, seconds)`` of the longest queue.

        It is the one that its engine needs the longest for; ``("", 0, 0.0)``
        if all are empty.
        """
        lengths = [
            (queue.backlog() / queue.pace(now), server, queue.backlog())
            for server, queue in self.contents.items()
            if len(queue)
        ]
        seconds, server, tokens = max(lengths, default=(0.0, "", 0))
        return server, tokens, seconds


def typical_pace(paces):
    """Return the median of the known ``paces`` of a service's engines."""
    return statistics.median(paces) if paces else DEFAULT_PACE
