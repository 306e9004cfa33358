"""Choice of the backend server for a piece of work.

An engine is given only enough work to keep its batch full. Everything else
waits at the instance, where it can still be reordered, refused or moved at no
cost.
"""

import collections
import hashlib

import msgspec

from .. import sentinels

RETRY_AFTER_SECONDS = 1.0
# Up to ``MAX_SCANNED`` servers are all considered, of more only a sample. Two
# would be enough against herding (Mitzenmacher, "The Power of Two Choices",
# 2001); more find the last free slots of a busy fleet, at a few microseconds
# each.
MAX_SCANNED = 16
SAMPLE_SIZE = 8
# This many servers on which work ended most recently join the sample, since
# they have room.
MAX_REMEMBERED_FREED = 4
# Size of an instance's subset for each target: at least ``MIN_SUBSET_SIZE``,
# or as many as put each server into the subsets of ``INSTANCES_PER_SERVER``
# instances, whichever is more.
MIN_SUBSET_SIZE = 32
INSTANCES_PER_SERVER = 6
# Protected requests may exceed an engine's slots by this many: the engine's
# own queue honours priority and gives the request the next slot sooner than
# this instance would learn of a free one.
MAX_OVERCOMMIT_SLOTS = 2
# A slow server gets work that can wait this many service times, multiplied by
# how much slower the server is.
MIN_SLOW_SLACK_RATIO = 5.0
# Cost of the network trip to another failure domain, as a fraction of a full
# batch.
OTHER_DOMAIN_COST = 0.03


class Requirements(msgspec.Struct):
    """The requirements of one placement.

    ``protected`` work may use reserved slots. ``claims_share`` is set if its
    class claims its minimum share. ``footprint`` is the expected KV cache
    usage in tokens. ``slack_ratio`` is the time left until the work has to
    start, as a multiple of its service time. ``open`` tells whether
    unprotected work may start now.
    """

    work: object
    protected: bool
    claims_share: bool
    footprint: float
    slack_ratio: float
    open: bool


class Subset:
    """The servers of one target that this instance works with.

    They are chosen by rendezvous hashing, so that adding or removing a server
    changes one member only. Servers of the instance's own failure domain come
    first. ``pairs`` holds each member with the instance's view of its load.
    """

    __slots__ = ("_source", "members", "size", "pairs", "_by_name")

    def __init__(self):
        self._source = None
        self.members = []
        self.size = 0
        self.pairs = []
        self._by_name = {}

    def update(self, servers, instances, identity):
        """Choose again if the list changed; return whether it did."""
        size = max(
            MIN_SUBSET_SIZE,
            len(servers) * INSTANCES_PER_SERVER // max(1, instances),
        )
        if servers is self._source and size == self.size:
            return False
        self._source = servers
        self.size = size
        self.members = _choose(servers, size, identity)
        return True

    def resolve(self, fleet, now):
        """Look up the members' views in ``fleet``."""
        self.pairs = [(item, fleet.engine(item, now)) for item in self.members]
        self._by_name = {pair[1].name: pair for pair in self.pairs}

    def with_names(self, names):
        """Return the pairs of the members with these names."""
        pairs = [self._by_name.get(name) for name in names]
        return [pair for pair in pairs if pair is not None]


def _choose(servers, size, identity):
    if len(servers) <= size:
        return servers
    instance, domain = identity

    def rank(server):
        name = server.announcement.backend_server
        digest = hashlib.blake2b(f"{instance} {name}".encode(), digest_size=8)
        return digest.digest()

    ranked = sorted(servers, key=rank)
    near = [s for s in ranked if s.announcement.failure_domain == domain]
    far = [s for s in ranked if s.announcement.failure_domain != domain]
    # Half of the subset is in other domains, so that an instance whose own
    # domain fails still has servers whose pace it knows.
    chosen = near[: max(size // 2, size - len(far))]
    return chosen + far[: size - len(chosen)]


class Placing:
    """Picks servers by this instance's views of their load."""

    def __init__(self, rng, identity, options, permits):
        self._rng = rng
        self._permits = permits
        self._domain = identity[1]
        self._identity = identity
        self._options = options
        self._subsets = {}
        self._freed = collections.deque(maxlen=MAX_REMEMBERED_FREED)

    def remember_freed(self, server):
        """Remember a server on which work has ended."""
        if server not in self._freed:
            self._freed.append(server)

    def subset(self, servers, work, fleet, instances, now):
        """Return the servers to choose from for the target of ``work``."""
        key = (
            work.class_name,
            work.model,
            work.service,
            work.software_version,
        )
        subset = self._subsets.get(key)
        if subset is None:
            subset = self._subsets[key] = Subset()
        changed = subset.update(servers, instances, self._identity)
        share = len(subset.members) / max(1, len(servers))
        fleet.sharing.instances = max(1.0, instances * share)
        if changed:
            subset.resolve(fleet, now)
        return subset

    def pick(self, requirements, subset, fleet, now):
        """Return the name of the best server, or a ``Nothing``."""
        sample = self._sample(subset)
        best = None
        lowest = None
        for server, engine in sample:
            if not self._may_place(requirements, server, engine, fleet, now):
                continue
            cost = self._cost(server, engine, fleet)
            if lowest is None or cost < lowest:
                best, lowest = engine.name, cost
        best = best or self._probe_if_all_slow(requirements, sample, now)
        if best is None:
            return sentinels.Nothing(
                sentinels.Reason.ALL_BUSY, RETRY_AFTER_SECONDS
            )
        return best

    def _probe_if_all_slow(self, requirements, sample, now):
        """Return a server to probe if all are drained, or ``None``.

        After a fault that hit all servers at once, a class whose work may not
        be repeated has no requests to probe them with. Without this exception
        they would stay drained forever.
        """
        if not all(engine.slow for _, engine in sample):
            return None
        priority = requirements.work.priority
        for server, engine in sample:
            untried = engine.name not in requirements.work.excluded_servers
            if not self._permits.has(engine.name, priority, now):
                continue
            if untried and server.takes_work(now) and engine.may_probe(now):
                return engine.name
        return None

    def _sample(self, subset):
        if len(subset.pairs) <= MAX_SCANNED:
            return subset.pairs
        chosen = self._rng.sample(subset.pairs, SAMPLE_SIZE)
        return chosen + subset.with_names(self._freed)

    def _may_place(self, requirements, server, engine, fleet, now):
        if (
            not server.takes_work(now)
            or engine.name in requirements.work.excluded_servers
        ):
            return False
        if not self._permits.has(engine.name, requirements.work.priority, now):
            return False
        if engine.slow and self._options.slow_servers:
            if not self._may_use_slow(requirements, engine, now):
                return False
        kv_tokens = server.announcement.kv_tokens
        instances = fleet.sharing.instances
        if not engine.fits(requirements.footprint, kv_tokens, instances):
            # A prompt that is larger than any instance's share of the memory
            # would otherwise never run; the engine's own queue keeps room for
            # it.
            large = requirements.footprint * instances > kv_tokens
            if not (requirements.claims_share and large):
                return False
        if requirements.protected:
            return engine.own < engine.allowed + MAX_OVERCOMMIT_SLOTS
        if requirements.claims_share:
            return engine.own <= engine.allowed
        return requirements.open and engine.own < engine.allowed

    def _may_use_slow(self, requirements, engine, now):
        """Return whether work may go to a slow server.

        Backlog work may if its target leaves plenty of time, since a slow
        server still has some throughput. All other work is limited to one
        probe at a time, and only if it can be repeated elsewhere.
        """
        if requirements.slack_ratio > MIN_SLOW_SLACK_RATIO * engine.gap.value:
            return True
        return requirements.work.repeatable and engine.may_probe(now)

    def _cost(self, server, engine, fleet):
        """Return the cost of a server; the lowest is chosen.

        If every instance spreads its own work evenly, the fleet is loaded
        evenly without any reports. The load is multiplied by the server's
        relative pace, so that a slower server gets less work without being
        drained. The random term breaks ties: otherwise all instances that saw
        the same report would pick the same server.
        """
        load = (engine.own + 1) / max(1.0, engine.quota)
        cost = load * fleet.medians.relative(engine)
        if server.announcement.failure_domain != self._domain:
            cost += OTHER_DOMAIN_COST
        return cost + self._rng.random() * 0.02


def failed_everywhere(work, servers):
    """Return whether every server has failed this work already.

    Such work is refused at once instead of near its deadline, as is a stream
    whose version no server runs any more.
    """
    if not servers and work.software_version is not None:
        return True
    if not work.excluded_servers:
        return False
    return all(
        server.announcement.backend_server in work.excluded_servers
        for server in servers
    )
