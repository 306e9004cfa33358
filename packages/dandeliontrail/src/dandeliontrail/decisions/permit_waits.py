"""Which servers a request may go to, and how long it waits for a permit.

Answers the load of limited servers: work that could go to several servers
takes those without a limit, or with a permit, first; work that only limited
servers can take asks one or two of them, and waits for a permit.
"""

import collections
import math

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
# Each request asks one server for a permit, drawn at random so that instances
# do not choose alike, and a second one if none came in this time.  Of permits
# from several servers all but one would be lost.
SECOND_SERVER_SECONDS = 0.5
# What waits in one queue asks no more servers than this at a time, and tries
# no more before it is refused.
MAX_ASKED_SERVERS = 8
MAX_TRIED_SERVERS = 4

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


class Waiting(msgspec.Struct):
    """Work that waits for permits: one piece, or all of a queue.

    ``key`` stands for it from round to round.  ``line`` is that of the work
    that waits behind one another, ``since`` when the first of the ``count``
    requests came, and ``accepted`` how many seconds it may still wait.
    """

    key: object
    line: object
    priority: int
    since: float
    accepted: float
    count: int = 1


class PermitSearch(msgspec.Struct):
    """The servers that waiting work asks for permits.

    Those that would have it wait too long are in ``tried``.  ``wait`` is the
    time in seconds that a permit of ``servers`` is expected to take, ``None``
    if that is not known yet; without servers, the shortest of those tried.
    """

    servers: list = msgspec.field(default_factory=list)
    tried: set = msgspec.field(default_factory=set)
    shortest: float = float("inf")
    wait: float | None = None


class PermitWaits:
    """Splits servers by permits and keeps the order of the work that waits.

    ``permits`` is the :class:`.permits.Permits` of the instance.
    """

    __slots__ = (
        "_permits",
        "_rng",
        "_limited",
        "_searches",
        "_searches_before",
        "_positions",
        "_split",
        "_turns",
        "_next_removal",
    )

    def __init__(self, permits, rng):
        self._permits = permits
        self._rng = rng
        self._limited = []
        # By the key of the work, of this round and of the last.
        self._searches = {}
        self._searches_before = {}
        # How many wait for a permit, by line and server.
        self._positions = collections.Counter()
        self._split = {}
        self._turns = permit_turns.PermitTurns()
        self._next_removal = float("-inf")

    def begin_round(self, now):
        """Begin a round of placement."""
        self._permits.begin_round()
        self._limited = self._permits.limited_servers()
        self._searches_before = self._searches
        self._searches = {}
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

    def waiting(self, work, min_service_seconds, now):
        """Return the :class:`Waiting` of one piece of work."""
        return Waiting(
            work.request_id,
            (work.service, work.model, work.priority),
            self.priority(work, now),
            work.received,
            self._accepted_seconds(work, min_service_seconds, now),
        )

    def _accepted_seconds(self, work, min_service_seconds, now):
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

    def find(self, waiting, throttled, now):
        """Choose the servers that ``waiting`` asks, some of ``throttled``.

        They stay the same from round to round unless the wait becomes longer
        than what is accepted.  Returns a :class:`PermitSearch`, without
        servers if no permit is expected in time.
        """
        search = self._searches_before.pop(waiting.key, None) or PermitSearch()
        search.servers = [item for item in search.servers if item in throttled]
        while True:
            self._draw_servers(search, waiting, throttled, now)
            if not search.servers:
                search.wait = search.shortest
                return search
            search.wait = self._wait_seconds(waiting, search.servers, now)
            if search.wait is None or search.wait <= waiting.accepted:
                self._searches[waiting.key] = search
                return search
            search.shortest = min(search.shortest, search.wait)
            search.tried.update(search.servers)
            search.servers = []

    def _draw_servers(self, search, waiting, throttled, now):
        """Add servers that were not tried, as many as are to be asked."""
        if len(search.tried) >= MAX_TRIED_SERVERS:
            return
        count = min(waiting.count, MAX_ASKED_SERVERS)
        if now - waiting.since >= SECOND_SERVER_SECONDS:
            count = max(count, 2)
        missing = count - len(search.servers)
        if missing <= 0:
            return
        others = [
            server
            for server in throttled
            if server not in search.tried and server not in search.servers
        ]
        search.servers.extend(
            self._rng.sample(others, min(missing, len(others)))
        )

    def _wait_seconds(self, waiting, servers, now):
        """Return the expected wait for a permit of ``servers``, or ``None``.

        In seconds; ``None`` if it is not known yet.
        """
        rate = 0.0
        for server in servers:
            position = self._positions[waiting.line, server]
            wait = self._permits.wait_seconds(
                server, waiting.priority, position, now
            )
            if wait is None:
                return None
            rate += 1.0 / max(wait, 0.001)
        return 1.0 / rate

    def wait(self, waiting, servers):
        """Ask ``servers`` for permits of what waits behind others here."""
        each = math.ceil(waiting.count / max(1, len(servers)))
        for server in servers:
            self._positions[waiting.line, server] += each
            self._permits.want(server, waiting.priority, each)

    def want(self, priority, server):
        """Ask a server for a permit that no request waits for."""
        self._permits.want(server, priority)

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
