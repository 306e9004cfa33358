"""The prefill queues of the engines that this instance is the holder of."""


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

    def add(self, server, queue):
        """Keep the :class:`.prefill_queue.PrefillQueue` of an engine."""
        self.contents[server] = queue

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
