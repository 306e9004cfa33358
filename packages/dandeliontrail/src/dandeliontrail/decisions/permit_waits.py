"""Which servers a request may go to, and how long it waits for a permit.

Answers the load of limited servers: work that could go to several servers
takes those without a limit, or with a permit, first; work that only limited
servers can take waits for a permit of any of them.
"""

import collections

import msgspec

from .. import sentinels
from . import permits as permits_module

# Bounds of the Retry-After of a refusal.  The upper one is the time between
# two requests at the lowest rate.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0 / permits_module.MIN_RATE


def refusal(wait):
    """Return the refusal of work that would wait ``wait`` seconds."""
    bounded = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
    return sentinels.Nothing(sentinels.Reason.SERVER_LIMIT, round(bounded, 2))


class Choice(msgspec.Struct):
    """The usable servers by name, with and without a permit."""

    permitted: dict
    throttled: list


class PermitWaits:
    """Splits servers by permits and keeps the order of the work that waits.

    ``permits`` is the :class:`.permits.Permits` of the instance.
    """

    __slots__ = ("_permits", "_rng", "_positions", "_split")

    def __init__(self, permits, rng):
        self._permits = permits
        self._rng = rng
        self._positions = collections.Counter()
        self._split = {}

    def begin_round(self):
        """Begin a round of placement."""
        self._permits.begin_round()
        self._positions.clear()
        self._split.clear()

    def split(self, work, usable, now):
        """Return the :class:`Choice` among the servers ``usable``, by name.

        While no permit comes or goes the result is the same object, for which
        the costs of engines are cached.
        """
        throttled = [
            name
            for name in usable
            if not self._permits.has(name, work.priority, now)
        ]
        if not throttled:
            return Choice(usable, throttled)
        key = (id(usable), *throttled)
        if key not in self._split:
            left_out = set(throttled)
            permitted = {
                name: server
                for name, server in usable.items()
                if name not in left_out
            }
            # ``usable`` is kept so that its id belongs to no other object.
            self._split[key] = (usable, Choice(permitted, throttled))
        return self._split[key][1]

    def wait_seconds(self, work, throttled, now):
        """Return how long ``work`` waits for a permit, in seconds.

        Returns ``None`` if that is not known yet.
        """
        position = self._positions[_line(work)]
        rate = 0.0
        for server in throttled:
            wait = self._permits.wait_seconds(
                server, work.priority, position, now
            )
            if wait is None:
                return None
            rate += 1.0 / max(wait, 0.001)
        return 1.0 / rate

    def wait(self, work, throttled):
        """Have ``work`` wait behind the work that waits in this round."""
        self._positions[_line(work)] += 1
        self.want(work, throttled)

    def want(self, work, servers, count=1):
        """Ask for permits of some of ``servers`` for work like ``work``."""
        if len(servers) > permits_module.MAX_ASKED_SERVERS:
            servers = self._rng.sample(
                servers, permits_module.MAX_ASKED_SERVERS
            )
        for server in servers:
            self._permits.want(server, work.priority, count)

    def take(self, work, server, grounds, now):
        """Use a permit for ``work`` and enter it into its inputs."""
        if not self._permits.is_limited(server):
            return
        grounds.limit = self._permits.limit_of(server)
        grounds.permits = self._permits.available(server)
        self._permits.take(server, work, now)


def _line(work):
    """Return the key of the work that waits in one line with ``work``."""
    return (work.service, work.model, work.priority)
