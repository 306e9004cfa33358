"""What this instance believes of each backend server's load and pace.

A server's own report is late by its age, and other instances decide in the
meantime.  So the view is put together: this instance's outstanding work is
known exactly, and the work of the others is what the report says beyond
what this instance had there when the report was measured.
"""

import collections

import msgspec

from . import pace
from . import quota

# Own counts are kept this long, to be compared with reports that are late.
HISTORY_SECONDS = 10.0
# Of the memory that a server reports, this part is planned with; the rest
# covers answers that run longer than thought.
KV_PART = 0.9
# Beyond its even share an instance goes only up to this part: reports count
# a prompt as it is read, so that what was just placed is missing there.
KV_BORROWED_PART = 0.4
# Failures in a row after which a server is drained and probed back.
FEW_FAILURES = 2
# While it still runs own work it may just be full and refuse more, which is
# no reason to drain it; only when nothing else comes of it is it.
MANY_FAILURES = 6
# A slow server gets one probe in this many seconds.
PROBE_INTERVAL = 3.0


class Attempt(msgspec.Struct):
    """One outstanding attempt of this instance."""

    work: object
    server: str
    placed: float
    footprint: float
    first_output: float = 0.0
    probe: bool = False


class Engine:
    """The view of one backend server.

    ``quota`` is how much of it this instance takes by itself, ``reserve``
    how many slots lower classes leave free on it.
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
        self.gap = pace.Ratio()
        self.first = pace.Ratio()
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
        """Take in the announced slots; new ones are learned from anew."""
        if slots != self.slots:
            self.slots = slots
            self.limit = float(slots)

    def change_own(self, by, now):
        """Count own work and remember since when."""
        self._history.append((now, self.own))
        while self._history[0][0] < now - HISTORY_SECONDS:
            self._history.popleft()
        self.own += by

    def own_at(self, when):
        """Return the own count at a past moment."""
        for changed, before in self._history:
            if changed > when:
                return before
        return self.own

    def report(self, load, measured):
        """Take in the load that the server measured at ``measured``."""
        total = load.running + load.waiting
        self.others = max(0, total - self.own_at(measured))
        self.kv_reported = float(load.kv_used)
        while self.kv_placed and self.kv_placed[0][0] <= measured:
            self.kv_placed.popleft()

    def total(self):
        """Return the outstanding work of all instances, as believed."""
        return self.own + self.others

    def fits(self, footprint, kv_tokens, instances):
        """Tell whether a footprint goes into the planned memory.

        An engine that runs out of memory preempts a stream and computes all
        of it again.  An even share of the memory can be held to without any
        report; more is used where the last report leaves room for it, even
        if the other instances placed as much since as this one did.
        """
        if not kv_tokens or not self.total():
            return True
        if self.kv_own + footprint <= KV_PART * kv_tokens / instances:
            return self.kv_reported <= KV_PART * kv_tokens
        since = sum(size for _, size in self.kv_placed)
        expected = self.kv_reported + since * instances + footprint
        return expected <= KV_BORROWED_PART * kv_tokens

    def share(self, instances, draw):
        """Set how much of the server this instance takes by itself.

        ``draw``, between 0 and 1, rounds the fraction.
        """
        even = self.limit / instances
        if self.quota is None:
            self.quota = even
        part = quota.part(self.own, self.total(), instances)
        room = (self.limit - self.reserve - self.total()) * part
        using = self.own >= self.allowed
        self.quota = quota.moved(self.quota, even, room, using)
        self.quota = min(self.limit, self.quota)
        self.allowed = int(self.quota + draw)
        # A server with fewer slots than there are instances is no instance's
        # by an even share; while it has room, each may send one.
        if self.total() < self.limit - self.reserve:
            self.allowed = max(1, self.allowed)

    def fail(self, now):
        """Take in an attempt that broke off or could not connect."""
        self.failures += 1
        enough = FEW_FAILURES if not self.own else MANY_FAILURES
        if self.failures >= enough:
            self.drain(now)

    def drain(self, now):
        """Give it no more work but probes."""
        self.slow = True
        self.next_probe = now + PROBE_INTERVAL

    def may_probe(self, now):
        """Tell whether a slow server is due for one request."""
        return not self.probing and now >= self.next_probe
