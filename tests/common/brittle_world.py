"""Servers that say that they are brittle, before instances as reducers."""

from tests.common import limit_world

PLACES = 4
SERVICE_SECONDS = 0.1


class BrittleServer(limit_world.Server):
    """Has room for ``PLACES`` requests at a time.

    ``overfull`` has when a request arrived for which there was no room, and
    ``busy`` when one arrived for which there was.
    """

    slots = PLACES
    service_seconds = SERVICE_SECONDS

    def __init__(self, name):
        super().__init__(name)
        self.brittle_texts = ("0",)
        self.overfull = []
        self.busy = []
        self._running = 0

    def arrived(self, now):
        """Record a request, and whether there was room for it."""
        super().arrived(now)
        found = self.overfull if self._running >= PLACES else self.busy
        found.append(now)
        self._running += 1

    def answered(self):
        """Free the place of a request."""
        self._running -= 1

    def share(self, since, until):
        """Return the share of its places that was used in a span of time."""
        count = sum(since <= at < until for at in self.busy)
        return count * SERVICE_SECONDS / (PLACES * (until - since))


def overfull(world, since):
    """Return how many requests found no room after ``since``."""
    return sum(
        at > since
        for server in world.servers.values()
        for at in server.overfull
    )
