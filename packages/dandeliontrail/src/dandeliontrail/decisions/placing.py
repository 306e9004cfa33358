"""Which backend server takes a piece of work.

An engine gets only enough to keep its batch full; all else waits in the
instance, where it can still be reordered, refused or moved at no cost.
"""

import collections
import hashlib

import msgspec

from .. import sentinels

RETRY_AFTER = 1.0
# Of a few servers a decision looks at all, of more at a sample: two are
# enough against herding (Mitzenmacher, "The Power of Two Choices", 2001);
# more find the last free slots of a busy fleet, at some microseconds each.
FEW = 16
SAMPLE = 8
# Servers on which work ended lately are looked at first: they have room.
REMEMBERED = 4
# An instance works with this many servers for each model, or with so many
# that each server is some few instances' choice, whichever is more.
LEAST_SUBSET = 32
INSTANCES_PER_SERVER = 6
# A protected request goes to a full engine that is short of this many
# slots: the engine's own queue honours priority and gives it the next slot
# sooner than this instance would hear of one.
OVERCOMMIT = 2
# A slow server gets work whose target is this many times away, beyond its
# own slowness.
PLENTY = 5.0
# In parts of a full batch: the price of the trip to another failure domain.
OTHER_DOMAIN = 0.03


class Need(msgspec.Struct):
    """What one placement has to respect."""

    work: object
    protected: bool
    claims_share: bool
    footprint: float
    slack_ratio: float
    open: bool


class Subset:
    """The servers of one target that this instance works with.

    Chosen by rendezvous hashing, so that a server more or less changes one
    member only, with the instance's own failure domain first.
    """

    __slots__ = ("_source", "members", "wanted", "pairs", "_by_name")

    def __init__(self):
        self._source = None
        self.members = []
        self.wanted = 0
        self.pairs = []
        self._by_name = {}

    def follow(self, servers, instances, identity):
        """Choose anew where the list changed; return whether it did."""
        wanted = max(
            LEAST_SUBSET,
            len(servers) * INSTANCES_PER_SERVER // max(1, instances),
        )
        if servers is self._source and wanted == self.wanted:
            return False
        self._source = servers
        self.wanted = wanted
        self.members = _choose(servers, wanted, identity)
        return True

    def look_up(self, fleet, now):
        """Take the views of the members from ``fleet``."""
        self.pairs = [(item, fleet.engine(item, now)) for item in self.members]
        self._by_name = {pair[1].name: pair for pair in self.pairs}

    def named(self, names):
        """Return the pairs of those names that are members."""
        found = [self._by_name.get(name) for name in names]
        return [pair for pair in found if pair is not None]


def _choose(servers, wanted, identity):
    if len(servers) <= wanted:
        return servers
    own, domain = identity

    def rank(server):
        name = server.announcement.backend_server
        digest = hashlib.blake2b(f"{own} {name}".encode(), digest_size=8)
        return digest.digest()

    ranked = sorted(servers, key=rank)
    near = [s for s in ranked if s.announcement.failure_domain == domain]
    far = [s for s in ranked if s.announcement.failure_domain != domain]
    # Half are kept in other domains, so that losing its own leaves an
    # instance with servers that it already knows the pace of.
    chosen = near[: max(wanted // 2, wanted - len(far))]
    return chosen + far[: wanted - len(chosen)]


class Placing:
    """Picks servers from the views in ``engines``."""

    def __init__(self, rng, identity, options):
        self._rng = rng
        self._domain = identity[1]
        self._identity = identity
        self._options = options
        self._subsets = {}
        self._freed = collections.deque(maxlen=REMEMBERED)

    def freed(self, server):
        """Remember that a server has room again."""
        if server not in self._freed:
            self._freed.append(server)

    def subset(self, servers, work, fleet, instances, now):
        """Return the servers to choose from for the target of ``work``."""
        key = (work.class_name, work.model, work.service)
        held = self._subsets.get(key)
        if held is None:
            held = self._subsets[key] = Subset()
        changed = held.follow(servers, instances, self._identity)
        part = len(held.members) / max(1, len(servers))
        fleet.sharing.instances = max(1.0, instances * part)
        if changed:
            held.look_up(fleet, now)
        return held

    def pick(self, need, subset, fleet, now):
        """Return the name of the best server, or a ``Nothing``."""
        sample = self._sample(subset)
        best = None
        least = None
        for server, engine in sample:
            if not self._may_take(need, server, engine, fleet, now):
                continue
            score = self._score(server, engine, fleet)
            if least is None or score < least:
                best, least = engine.name, score
        best = best or self._only_slow(need, sample, now)
        if best is None:
            return sentinels.Nothing(sentinels.Reason.ALL_BUSY, RETRY_AFTER)
        return best

    def _only_slow(self, need, sample, now):
        """Return a server to probe where all are drained, or ``None``.

        Made for a fault that hit all servers at once, in a class whose work
        may not be repeated: with nothing to probe them with, they would
        stay drained for ever.
        """
        if not all(engine.slow for _, engine in sample):
            return None
        for server, engine in sample:
            wanted = engine.name not in need.work.avoid
            if wanted and server.serves(now) and engine.may_probe(now):
                return engine.name
        return None

    def _sample(self, subset):
        if len(subset.pairs) <= FEW:
            return subset.pairs
        chosen = self._rng.sample(subset.pairs, SAMPLE)
        return chosen + subset.named(self._freed)

    def _may_take(self, need, server, engine, fleet, now):
        if not server.serves(now) or engine.name in need.work.avoid:
            return False
        if engine.slow and self._options.slow_servers:
            if not self._bears_slow(need, engine, now):
                return False
        kv_tokens = server.announcement.kv_tokens
        instances = fleet.sharing.instances
        if not engine.fits(need.footprint, kv_tokens, instances):
            # A prompt larger than any share would else never run; the
            # engine's own queue keeps room for it.
            large = need.footprint * instances > kv_tokens
            if not (need.claims_share and large):
                return False
        if need.protected:
            return engine.own < engine.allowed + OVERCOMMIT
        if need.claims_share:
            return engine.own <= engine.allowed
        return need.open and engine.own < engine.allowed

    def _bears_slow(self, need, engine, now):
        """Tell whether work may go to a slow server.

        Backlog work does, as long as its target leaves plenty of time: a
        slow server still serves some.  Else there is one probe at a time,
        of work that may be repeated elsewhere.
        """
        if need.slack_ratio > PLENTY * engine.gap.value:
            return True
        return need.work.repeatable and engine.may_probe(now)

    def _score(self, server, engine, fleet):
        """Return the cost of a server; the least is taken.

        An instance that spreads its own work evenly needs no report to do
        its part for an even fleet.  The load is weighed by the pace, so
        that a slower server gets less without being drained.  The draw at
        the end breaks ties: instances that saw the same report would else
        all pick the same server.
        """
        own = (engine.own + 1) / max(1.0, engine.quota)
        score = own * fleet.medians.relative(engine)
        if server.announcement.failure_domain != self._domain:
            score += OTHER_DOMAIN
        return score + self._rng.random() * 0.02


def all_avoided(work, servers):
    """Tell whether every server has failed this work already.

    Such work gets its answer at once instead of near its deadline.
    """
    if not work.avoid:
        return False
    return all(
        server.announcement.backend_server in work.avoid for server in servers
    )
