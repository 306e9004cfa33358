"""Which servers a request may go to, and how long it waits for a permit.

Answers the load of limited servers: work that could go to several servers
takes those without a limit, or with a permit, first; work that only limited
servers can take waits for a permit of any of them.
"""

import collections

import msgspec

from .. import sentinels
from . import permit_turns
from . import permits as permits_module

# Bounds of the Retry-After of a refusal.  The upper one is the time between
# two requests at the lowest rate.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0 / permits_module.MIN_RATE

# Work is refused if the wait for a permit takes more than this fraction of
# its remaining time: its answer takes time too, and the wait is an estimate.
# Work that has been kept for some time is refused only by the second figure:
# what it has waited for would be lost.
MAX_WAIT_FRACTION = 0.7
MAX_KEPT_FRACTION = 0.9
KEPT_SECONDS = 0.1
# The first figure for an organisation that used more permits than the others,
# which would else fill all queues, and for one that used fewer.
MAX_WAIT_FRACTION_ABOVE = 0.35
MAX_WAIT_FRACTION_BELOW = 0.9
REMOVAL_INTERVAL_SECONDS = 5.0

_MAX_FRACTIONS = {
    permit_turns.Standing.ALONE: MAX_WAIT_FRACTION,
    permit_turns.Standing.ABOVE: MAX_WAIT_FRACTION_ABOVE,
    permit_turns.Standing.BELOW: MAX_WAIT_FRACTION_BELOW,
}


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

    __slots__ = (
        "_permits",
        "_rng",
        "_limited",
        "_positions",
        "_split",
        "_turns",
        "_next_removal",
    )

    def __init__(self, permits, rng):
        self._permits = permits
        self._rng = rng
        self._limited = []
        self._positions = collections.Counter()
        self._split = {}
        self._turns = permit_turns.PermitTurns()
        self._next_removal = float("-inf")

    def begin_round(self, now):
        """Begin a round of placement."""
        self._permits.begin_round()
        self._limited = self._permits.limited_servers()
        self._positions.clear()
        self._split.clear()
        if now >= self._next_removal:
            self._next_removal = now + REMOVAL_INTERVAL_SECONDS
            self._turns.remove_old(now)

    def priority(self, work, now):
        """Return the priority by which ``work`` waits for permits.

        Each priority has two steps: an organisation that has used more than
        the others goes after them, also after those at other instances.
        """
        standing = self._turns.standing(work.service, work.organisation, now)
        return 2 * work.priority + (standing is permit_turns.Standing.ABOVE)

    def recent_use(self, work, now):
        """Return how many permits the organisation of ``work`` used."""
        return self._turns.recent(work.service, work.organisation, now)

    def accepted_seconds(self, work, min_service_seconds, now):
        """Return for how long ``work`` may wait for a permit.

        At least ``min_service_seconds`` of its time must be left then.
        """
        self._turns.wait(work.service, work.organisation, now)
        left = work.deadline - now
        if now - work.received > KEPT_SECONDS:
            fraction = MAX_KEPT_FRACTION
        else:
            standing = self._turns.standing(
                work.service, work.organisation, now
            )
            fraction = _MAX_FRACTIONS[standing]
        return min(left * fraction, left - min_service_seconds)

    def split(self, work, usable, now):
        """Return the :class:`Choice` among the servers ``usable``, by name.

        While no permit comes or goes the result is the same object, for which
        the costs of engines are cached.
        """
        priority = self.priority(work, now)
        throttled = [
            name
            for name in self._limited
            if name in usable and not self._permits.has(name, priority, now)
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

    def wait_seconds(self, work, priority, throttled, now):
        """Return how long ``work`` waits for a permit, in seconds.

        Returns ``None`` if that is not known yet.
        """
        position = self._positions[_line(work)]
        rate = 0.0
        for server in throttled:
            wait = self._permits.wait_seconds(server, priority, position, now)
            if wait is None:
                return None
            rate += 1.0 / max(wait, 0.001)
        return 1.0 / rate

    def wait(self, work, throttled, now):
        """Have ``work`` wait behind the work that waits in this round."""
        self._positions[_line(work)] += 1
        self.want(self.priority(work, now), throttled)

    def want(self, priority, servers, count=1):
        """Ask for permits of some of ``servers`` for ``count`` requests."""
        if len(servers) > permits_module.MAX_ASKED_SERVERS:
            servers = self._rng.sample(
                servers, permits_module.MAX_ASKED_SERVERS
            )
        for server in servers:
            self._permits.want(server, priority, count)

    def take(self, work, server, grounds, now):
        """Use a permit for ``work`` and enter it into its inputs."""
        if not self._permits.is_limited(server):
            return
        grounds.limit = self._permits.limit_of(server)
        grounds.permits = self._permits.available(server)
        priority = self.priority(work, now)
        self._permits.take(server, work.request_id, priority, now)
        self._turns.record(
            work.service, work.organisation, 1.0 / work.weight, now
        )


def _line(work):
    """Return the key of the work that waits in one line with ``work``."""
    return (work.service, work.model, work.priority)
