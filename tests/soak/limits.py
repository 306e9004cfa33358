"""Servers that name limits, change them and take them back."""

import gevent

from tests.soak import processes

LIMITS = (0.3, 1.0, 3.0, 10.0)
# Mostly longer than what is not judged yet and one window together.
NAMED_SECONDS = (6.0, 14.0)
PAUSE_SECONDS = (0.5, 4.0)
ALL_SERVERS_SHARE = 0.25
CHANGE_SHARE = 0.5


class Limits:
    """Names limits; what it does depends on the seed alone.

    It has a generator of its own, so that the faults of a seed stay the same.
    ``named`` counts the limits.
    """

    def __init__(self, world, seed):
        self._world = world
        self._rng = processes.seeded_random(seed, "limits")
        self.named = 0

    def run_forever(self):
        """Have one server after the other, or all at once, name limits."""
        rng = self._rng
        while True:
            gevent.sleep(rng.uniform(*PAUSE_SECONDS))
            chosen = self._world.servers
            if rng.random() >= ALL_SERVERS_SHARE:
                chosen = [rng.choice(chosen)]
            self._name(chosen)
            if rng.random() < CHANGE_SHARE:
                self._name(chosen)
            for server in chosen:
                server.name_limit(None)

    def _name(self, servers):
        limit = self._rng.choice(LIMITS)
        seconds = self._rng.uniform(*NAMED_SECONDS)
        self.named += 1
        for server in servers:
            server.name_limit(limit)
        gevent.sleep(seconds)
