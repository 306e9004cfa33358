"""Cache affinity and cost weights for the choice of a model engine.

Most of a long prompt is a prefix that other prompts share, and an engine
keeps the KV cache of a prefix that it has prefilled for a while.  Prefilling
13,000 tokens anew takes an engine 0.2 s, during which all its other streams
stall.  So a request goes to an engine that has its shared prefix cached,
unless that engine has clearly more to do than another.  A prefix that no
engine has yet goes to an idle engine; among equally loaded ones the order
follows from rendezvous hashing, which every instance computes alike, so that
two instances seldom send one prefix to two engines.

Streams with a tight target for the gap between events ("low-latency
streams") suffer from any prompt that is prefilled beside them.  Some engines
of the service are reserved for them, and long prompts get the rest.  More
engines are reserved when low-latency streams are most of the work or many
engines are lost, provided that the long prompts leave room for it.
"""

import hashlib
import math

# The fraction of a service's engines that is usually reserved for low-latency
# streams, and the largest one.  Their prompts are short, so a few engines
# serve many of them, and each reserved engine is one less for long prompts.
USUAL_RESERVED_FRACTION = 0.2
MAX_RESERVED_FRACTION = 0.5
# One engine is reserved per this fraction of its slots in low-latency
# streams.  With more, their own prompts, prefilled beside them, make the gaps
# long; the streams then last longer too, and a further engine is reserved.
RESERVED_SLOTS_FRACTION = 0.5
# A reserved engine is released once one fewer would be filled up to this
# fraction of what it is reserved for.
RELEASE_FRACTION = 0.8
# No further engine is reserved while the others have more than this many
# prompt tokens to prefill on average: long prompts would wait longer for what
# the low-latency streams gain.
BACKLOG_TOKENS = 8000.0
# How often the number of reserved engines is adjusted, and the time constant
# of the average that it follows: long prompts that move to another engine are
# prefilled again there.
RESIZE_INTERVAL_SECONDS = 0.5
RESIZE_AVERAGING_SECONDS = 3.0
# Routes whose longest allowed gap is within this factor of the shortest one
# of the service count as low-latency.
LOW_LATENCY_FACTOR = 1.25
# What one running request adds to the cost of an engine, in prompt tokens:
# its share of the time of a batch step, over about a second.
TOKENS_PER_RUNNING = 150.0
# The cost of an engine that always fails, beyond its load: more than that of
# any prompt, so that it gets next to no requests.
TOKENS_PER_FAILURE = 20_000.0
# Long prompts with a common prefix choose among this many engines, the first
# ones in rendezvous order.  If they chose among all, many instances that
# learn of each other's work late would send each prefix to whichever engine
# seemed idle last, and all engines would prefill the same prefixes
# (simulated in ``tests.common.prompt_world``).
CANDIDATES_PER_PREFIX = 2
# A missing shared prefix adds this many times its tokens to the cost of an
# engine.  Such an engine is taken where the one that has the prefix is more
# than a second of prefill behind; with a smaller factor both soon prefill and
# cache the same prefixes.
MISSING_PREFIX_FACTOR = 10.0
# The cost of each further position in rendezvous order, so that instances
# that know of no engine with the prefix yet agree on one.
RANK_STEP_TOKENS = 300.0
# The cost for a low-latency stream to go to an engine that is not reserved:
# the prompts of eight others.
UNRESERVED_TOKENS = 12_000.0
# The cost of another failure domain, in prompt tokens: 20 to 60 ms of an
# engine's prefill, so that it decides between engines of about the same load.
# Traffic of answers between domains is expensive, and a partition between
# them loses the answer.
REMOTE_DOMAIN_TOKENS = 3_000.0
# The cost of an engine whose slots are all taken: as much as that of an
# engine that is not reserved, and another step for each request that waits
# there already.  Guards against bursts of low-latency streams, which would
# fill the reserved engines while the others have half of their slots free.
FULL_ENGINE_TOKENS = 12_000.0
TOKENS_PER_WAITING = 1_000.0


def slot_wait_cost(running, slots):
    """Return the cost of waiting for a free slot, in prompt tokens."""
    waiting = running + 1 - slots
    if waiting <= 0:
        return 0.0
    return FULL_ENGINE_TOKENS + waiting * TOKENS_PER_WAITING


def rendezvous_order(key, names):
    """Return ``names`` ordered by rendezvous (highest random weight) hashing.

    Adding or removing a name moves only the keys for which it comes first
    (Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998).
    """

    def weight(name):
        text = f"{key} {name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(names, key=weight)


def affinity_key(parts):
    """Return the name of the longest shared prefix of a prompt, or ''.

    The last part is the request's own, the one before it the last shared one.
    """
    if len(parts) < 2:
        return ""
    return parts[-2][0]


class EngineGroups:
    """Divides the engines of a service into reserved and general ones.

    >>> groups = EngineGroups()
    >>> groups.set_engines("s", [f"e{number}" for number in range(20)])
    >>> len(groups.members(low_latency=False))
    16
    >>> for second in range(60):
    ...     groups.resize(lambda name: 40, lambda name: 0, 64, float(second))
    >>> len(groups.members(low_latency=False))
    10
    """

    __slots__ = (
        "_names",
        "_has_low_latency",
        "_order",
        "_kept",
        "_count",
        "_under_way",
        "_next_resize",
        "_ranks",
    )

    def __init__(self):
        self._names = None
        self._has_low_latency = True
        self._order = []
        # The names of the reserved engines, and how many there should be.
        self._kept = frozenset()
        self._count = None
        # Running requests at the reserved engines, as a moving average.
        self._under_way = None
        self._next_resize = 0.0
        self._ranks = {}

    def set_engines(self, service, names, has_low_latency=True):
        """Set the engines of the service; ``names`` must be sorted.

        Without low-latency streams no engine is reserved for them.
        """
        if names == self._names and has_low_latency == self._has_low_latency:
            return
        self._names = names
        self._has_low_latency = has_low_latency
        self._order = rendezvous_order(service, names)
        if self._count is None and len(names) > 1:
            self._count = self._usual_count()
        self._assign()

    def _assign(self):
        reserved = 0
        if len(self._order) > 1 and self._has_low_latency:
            reserved = min(self._count, self._max_count())
        self._kept = frozenset(self._order[:reserved])
        self._ranks = {}

    def resize(self, running, unread, slots, now):
        """Reserve as many engines as the running low-latency streams need.

        ``running(name)`` and ``unread(name)`` return how many requests an
        engine has and how many prompt tokens it has yet to prefill; ``slots``
        is how many requests an engine may run.  The number grows at once and
        shrinks by one engine at a time, down to the usual fraction.
        """
        if now < self._next_resize or not self._kept:
            return
        self._next_resize = now + RESIZE_INTERVAL_SECONDS
        count = len(self._kept)
        capacity = slots * RESERVED_SLOTS_FRACTION
        if self._under_way is None:
            self._under_way = count * capacity
        total_running = sum(running(name) for name in self._kept)
        weight = RESIZE_INTERVAL_SECONDS / RESIZE_AVERAGING_SECONDS
        self._under_way += weight * (total_running - self._under_way)
        if self._under_way > count * capacity:
            if not self._has_backlog(unread):
                self._count = math.ceil(self._under_way / capacity)
        elif self._under_way < (count - 1) * capacity * RELEASE_FRACTION:
            self._count = count - 1
        self._count = min(
            max(self._count, self._usual_count()), self._max_count()
        )
        if self._count != count:
            self._assign()

    def _usual_count(self):
        return max(1, round(len(self._order) * USUAL_RESERVED_FRACTION))

    def _max_count(self):
        return max(1, int(len(self._order) * MAX_RESERVED_FRACTION))

    def _has_backlog(self, unread):
        """Return whether the general engines have many tokens to prefill."""
        general = self.members(low_latency=False)
        unread_total = sum(unread(name) for name in general)
        return unread_total > BACKLOG_TOKENS * len(general)

    def members(self, low_latency):
        """Return the engines that a kind of stream may use.

        Low-latency streams may use all engines: the cost of the general ones
        keeps them on the reserved engines while those have room.
        """
        if low_latency:
            return self._order
        return [name for name in self._order if name not in self._kept]

    def is_reserved(self, name):
        """Return whether an engine is reserved for low-latency streams."""
        return name in self._kept

    def ranked(self, key, low_latency):
        """Return the engines for a kind of stream, in the order of ``key``."""
        ranked = self._ranks.get((key, low_latency))
        if ranked is None:
            ranked = rendezvous_order(key, self.members(low_latency))
            if len(self._ranks) > 4096:
                self._ranks.clear()
            self._ranks[(key, low_latency)] = ranked
        return ranked


def is_low_latency(gap, shortest_gap):
    """Return whether a target for the gap between events is a tight one.

    It is compared with the shortest target of the service; 0 means that the
    stream has none.
    """
    return 0 < gap <= shortest_gap * LOW_LATENCY_FACTOR
