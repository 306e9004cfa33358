"""A simulated network of keepers that call a platform, which checks them.

Three keepers and at least three instances that count requests are pure
reducers, connected by queues; time is simulated.  A call to the platform
takes time: the lease is checked once the connection is established, and what
was sent arrives later, even if its sender is stopped meanwhile.
"""

import collections
import heapq
import itertools

from dandeliontrail.components import duties_state
from dandeliontrail.coordination import leases
from dandeliontrail.coordination import quorum_log_options
from dandeliontrail.coordination import quorum_log_records as records
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail_lab import simulated_nodes

from tests.common import quorum_world

KEEPERS = ("k1", "k2", "k3")
DOMAINS = ("fd1", "fd2", "fd3")
WINDOW = 5.0
LATE = 10.0
TERMS = leases.LeaseTerms(1.5, 1.0, 3.0, by_keepers=True)
OPTIONS = duties_state.DutyOptions(
    reports_usage=True, window=WINDOW, late=LATE, terms=TERMS
)
# A time of day at which a window begins.
START = 1_700_000_000.0
ORGANISATIONS = ("lab", "dock", "mine")


class CheckingPlatform:
    """Accepts calls, and asserts that each one obeys the published rules."""

    def __init__(self):
        self.taken = {}
        self.taken_at = {}
        self.highest = 0
        self.holder_of = {}
        self.calls = []
        self.answer = events.DutyAnswer.TAKEN

    def call(self, holder, fencing, call, now):
        """Check one call and return the answer to it."""
        before = self.holder_of.setdefault(fencing, holder)
        assert before == holder, (
            f"fencing number {fencing} used by {before} and {holder}"
        )
        assert fencing >= self.highest, (
            f"fencing number {fencing} after {self.highest}"
        )
        self.highest = fencing
        self._check_alternation(holder, now)
        self.calls.append((now, holder))
        first_counts = self.taken.setdefault(call.window, call.counts)
        assert first_counts == call.counts, (
            f"two different reports for window {call.window}"
        )
        self.taken_at.setdefault(call.window, now)
        return self.answer

    def _check_alternation(self, holder, now):
        lately = [name for at, name in self.calls if now - at <= TERMS.turn]
        if holder in lately:
            since = lately[lately.index(holder) :]
            assert set(since) == {holder}, (
                f"{holder} alternates with another holder"
            )


class DutyNetwork(simulated_nodes.Network):
    """Keepers and counting instances, with fault injection.

    ``counters_per_domain`` is how many instances count in each failure domain.
    """

    def __init__(self, seed=0, counters_per_domain=1):
        super().__init__(seed, delay=0.004)
        self.platform = CheckingPlatform()
        self.disks = {}
        self.frozen = set()
        # Seconds that a call takes, half of them to connect.
        self.call_seconds = 0.01
        self.unreachable = set()
        self.began = collections.defaultdict(collections.Counter)
        self._scheduled = []
        self._serials = itertools.count()
        for name, domain in zip(KEEPERS, DOMAINS, strict=True):
            self.disks[name] = quorum_world.FakeDisk(f"folder-{name}")
            self.start(name, domain, first=True)
        self.counting = [
            f"i{index}" for index in range(counters_per_domain * len(DOMAINS))
        ]
        for index, name in enumerate(self.counting):
            self.start(name, DOMAINS[index % len(DOMAINS)], first=True)

    # -- processes --------------------------------------------------------

    def start(self, name, domain, first=False):
        """Start a node; a keeper starts from its disk."""
        self.frozen.discard(name)
        disk = self.disks.get(name)
        options = {}
        if disk is not None:
            disk.cache.clear()
            folder = (disk.folder, disk.checkpoint, list(disk.records))
            options["keeper"] = records.Keeper(*folder)
        node = self.add(
            name,
            domain,
            seeds=list(KEEPERS),
            bootstrap=KEEPERS,
            log_options=quorum_log_options.LogOptions(may_bootstrap=first),
            duty_options=OPTIONS,
            **options,
        )
        # Each start has a greater incarnation than all earlier ones.
        incarnation = (1 << 41) + next(self._serials)
        node.state.identity.incarnation = incarnation
        node.state.usage.rename_own(incarnation)
        node.state.members.note_own()
        return node

    def kill(self, name):
        """Stop a node at once."""
        self.nodes[name].up = False
        self.frozen.discard(name)

    def restart(self, name):
        """Start a killed node again under the same name."""
        self.start(name, self.nodes[name].domain)

    def holder(self):
        """Return the name of the holder according to most keepers."""
        found = collections.Counter(
            self.nodes[name]
            .state.orders.leases.holding(duties_state.SUBJECT)
            .holder
            for name in KEEPERS
        )
        return found.most_common(1)[0][0]

    # -- time -------------------------------------------------------------

    def _step(self):
        super()._step()
        while self._scheduled and self._scheduled[0][0] <= self.now:
            _, _, call = heapq.heappop(self._scheduled)
            call()

    def call_later(self, seconds, call):
        """Schedule ``call()`` to run after ``seconds``."""
        item = (self.now + seconds, next(self._serials), call)
        heapq.heappush(self._scheduled, item)

    def _tick(self, node):
        if node.name in self.frozen:
            return
        self.apply(node, events.ClockRead(START + self.now))
        super()._tick(node)

    def apply(self, node, event):
        """Apply an event to a node, as soon as it is not frozen."""
        if not node.up:
            return
        if node.name in self.frozen:
            self.call_later(0.1, lambda: self.apply(node, event))
            return
        super().apply(node, event)

    def _apply_effects(self, node, out):
        super()._apply_effects(node, out)
        for effect in out:
            if isinstance(effect, (effects.AppendLog, effects.ReplaceLog)):
                self._append_to_disk(node, effect)
            elif isinstance(effect, effects.PerformDuty):
                self._connect(node, effect)

    def _append_to_disk(self, node, effect):
        disk = self.disks[node.name]
        disk.cache.append(effect)

        def synced():
            if node.up and disk.cache and disk.cache[0] is effect:
                self.apply(node, events.LogSynced(disk.sync_oldest()))

        self.call_later(0.001, synced)

    # -- calls ------------------------------------------------------------

    def _connect(self, node, effect):
        """Connect to the platform, which takes half of the call's time."""
        connecting = min(self.call_seconds / 2.0, TERMS.longest_call)
        self.call_later(connecting, lambda: self._send_call(node, effect))

    def _send_call(self, node, effect):
        if not node.up:
            return
        if node.name in self.frozen:
            self.call_later(0.01, lambda: self._send_call(node, effect))
            return
        lease = node.state.duties.lease
        if not lease.may_send(effect.fencing, False, self.now):
            self._answer(node, effect, events.DutyAnswer.NOT_SENT)
            return
        times_out = self.call_seconds >= TERMS.longest_call
        if node.name in self.unreachable or times_out:
            # The connection is reset at the timeout.  By then, the call may
            # have reached the platform.
            if node.name not in self.unreachable:
                self._reach_platform_late(node, effect)
            self._time_out(node, effect)
            return
        self.call_later(
            self.call_seconds / 2.0, lambda: self._complete_call(node, effect)
        )

    def _reach_platform_late(self, node, effect):
        half = TERMS.longest_call / 2.0 - 0.01
        self.call_later(half, lambda: self._call_platform(node, effect))

    def _time_out(self, node, effect):
        answer = events.DutyAnswer.NO_ANSWER
        rest = TERMS.longest_call / 2.0
        self.call_later(rest, lambda: self._answer(node, effect, answer))

    def _complete_call(self, node, effect):
        self._answer(node, effect, self._call_platform(node, effect))

    def _call_platform(self, node, effect):
        return self.platform.call(
            node.name, effect.fencing, effect.call, self.now
        )

    def _answer(self, node, effect, answer):
        answered = events.DutyAnswered(effect.call, effect.fencing, answer)
        self.apply(node, answered)

    # -- traffic ----------------------------------------------------------

    def begin(self, name, organisation):
        """Begin a request of an organisation, counted at instance ``name``."""
        node = self.nodes[name]
        duties = node.state.duties
        if not node.up or name in self.frozen or not duties.clock.known:
            return
        moment = duties.clock.at(self.now)
        duties.counter.count(organisation, moment)
        self.began[int(moment // WINDOW)][organisation] += 1

    def serve(self, seconds, requests_per_second=20):
        """Let time pass while requests begin at random instances."""
        for _ in range(round(seconds * requests_per_second)):
            name = self.rng.choice(self.counting)
            self.begin(name, self.rng.choice(ORGANISATIONS))
            self.run(1.0 / requests_per_second)
