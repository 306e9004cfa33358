"""This instance's estimate of each backend server's load and latency.

A server's load report is outdated by its age, and other instances place work
in the meantime.  So the estimate has two sources: this instance's outstanding
work is known exactly, and the work of the other instances is what the report
shows beyond what this instance had there when the report was measured.
"""

import collections

import msgspec

from . import latency_baseline
from . import quota

# How long past counts of own work are kept, to be compared with late reports.
HISTORY_SECONDS = 10.0
# The fraction of a server's KV cache that is planned with; the rest covers
# answers that become longer than predicted.
KV_PLANNED_FRACTION = 0.9
# Beyond its even share an instance uses KV cache only up to this fraction:
# reports count a prompt only as it is prefilled, so they do not include what
# has just been placed.
KV_BORROWED_FRACTION = 0.4
# After this many failures in a row a server gets no work but probes.
FAILURES_TO_DRAIN_IDLE = 2
# The same for a server that still runs work of this instance: it may just be
# full and refuse more, which is no reason to mark it slow unless it happens
# again and again.
FAILURES_TO_DRAIN_BUSY = 6
# A slow server gets one probe per this many seconds.
PROBE_INTERVAL_SECONDS = 3.0


class Attempt(msgspec.Struct):
    """One outstanding attempt of this instance.

    ``placed`` is when it was placed, ``footprint`` the KV cache that it is
    expected to take, in tokens, ``first_output`` when its first output came,
    0 before that.  ``probe`` is true if it probes a slow server.
    """

    work: object
    server: str
    placed: float
    footprint: float
    first_output: float = 0.0
    probe: bool = False


class EngineEstimate:
    """The estimate of one backend server's load and latency.

    ``own`` counts the outstanding requests of this instance, ``others`` those
    of the other instances as estimated from the last report.  ``limit`` is
    how many requests the server may run (:mod:`.concurrency`), ``quota`` this
    instance's share of it, ``allowed`` that share in whole requests,
    ``reserve`` the slots that lower classes leave free.  ``gap`` and
    ``first`` compare the gap between tokens and the time to first token with
    the usual ones.  ``slow`` is true if the server gets only probes.
    """

    __slots__ = (
        "name",
        "own",
        "free",
        "others",
        "slots",
        "limit",
        "quota",
        "allowed",
        "reserve",
        "gap",
        "first",
        "failures",
        "slow",
        "next_probe",
        "probing",
        "kv_reported",
        "kv_placed",
        "kv_own",
        "service_seconds",
        "_history",
    )

    def __init__(self, name, slots):
        self.name = name
        self.own = 0
        self.free = 0
        self.others = 0
        self.slots = slots
        self.limit = float(slots)
        self.quota = None
        self.allowed = 0
        self.reserve = 0
        self.gap = latency_baseline.SmoothedRatio()
        self.first = latency_baseline.SmoothedRatio()
        self.failures = 0
        self.slow = False
        self.next_probe = 0.0
        self.probing = False
        self.kv_reported = 0.0
        self.kv_placed = collections.deque()
        self.kv_own = 0.0
        self.service_seconds = 4.0
        self._history = collections.deque()

    def announce(self, slots):
        """Set the announced slots; reset the limit if they have changed."""
        if slots != self.slots:
            self.slots = slots
            self.limit = float(slots)

    def change_own_count(self, by, now):
        """Change the own count and keep the former one in the history."""
        self._history.append((now, self.own))
        while self._history[0][0] < now - HISTORY_SECONDS:
            self._history.popleft()
        self.own += by

    def own_at(self, when):
        """Return the own count at a past time."""
        for changed_at, count_before in self._history:
            if changed_at > when:
                return count_before
        return self.own

    def report(self, load, measured):
        """Apply a load report that the server measured at ``measured``.

        Placements up to then are included in its KV cache use.
        """
        total = load.running + load.waiting
        self.others = max(0, total - self.own_at(measured))
        self.kv_reported = float(load.kv_used)
        while self.kv_placed and self.kv_placed[0][0] <= measured:
            self.kv_placed.popleft()

    def total(self):
        """Return the estimated outstanding requests of all instances."""
        return self.own + self.others

    def fits(self, footprint, kv_tokens, instances):
        """Return whether ``footprint`` tokens fit into the KV cache.

        An engine whose KV cache is full preempts a stream and recomputes all
        of it.  This instance may use an even share of the cache without any
        report.  It uses more where the last report leaves room for it, even
        if each other instance has placed as much since as this one.
        """
        if not kv_tokens or not self.total():
            return True
        if (
            self.kv_own + footprint
            <= KV_PLANNED_FRACTION * kv_tokens / instances
        ):
            return self.kv_reported <= KV_PLANNED_FRACTION * kv_tokens
        placed_since = sum(size for _, size in self.kv_placed)
        expected = self.kv_reported + placed_since * instances + footprint
        return expected <= KV_BORROWED_FRACTION * kv_tokens

    def update_quota(self, instances, draw):
        """Update this instance's quota of the server (:mod:`.quota`).

        ``draw``, random between 0 and 1, decides the rounding of ``allowed``.
        """
        even = self.limit / instances
        if self.quota is None:
            self.quota = even
        share = quota.capacity_share(self.own, self.total(), instances)
        room = (self.limit - self.reserve - self.total()) * share
        using = self.own >= self.allowed
        self.quota = quota.adjusted_quota(self.quota, even, room, using)
        self.quota = min(self.limit, self.quota)
        self.allowed = int(self.quota + draw)
        # With fewer slots than there are instances, an even share is below
        # one request; while the server has room, each may send one.
        if self.total() < self.limit - self.reserve:
            self.allowed = max(1, self.allowed)

    def record_failure(self, now):
        """Record an attempt that broke off or could not connect."""
        self.failures += 1
        threshold = (
            FAILURES_TO_DRAIN_IDLE if not self.own else FAILURES_TO_DRAIN_BUSY
        )
        if self.failures >= threshold:
            self.mark_slow(now)

    def mark_slow(self, now):
        """Stop giving the server work, except for probes."""
        self.slow = True
        self.next_probe = now + PROBE_INTERVAL_SECONDS

    def may_probe(self, now):
        """Return whether a slow server is due for a probe."""
        return not self.probing and now >= self.next_probe
