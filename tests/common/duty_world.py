"""Keepers that call a platform, which judges who calls and what.

Three keepers and three instances that count are pure reducers, joined by
queues; time is a number.  A call takes its way to the platform like any
other: the lease is asked for when the connection stands, what was sent
arrives later, also where its sender is stopped meanwhile.
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
from dandeliontrail_lab import pure_nodes

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


class JudgingPlatform:
    """Takes calls by the published rules and keeps what breaks them."""

    def __init__(self):
        self.taken = {}
        self.taken_at = {}
        self.highest = 0
        self.holder_of = {}
        self.calls = []
        self.answer = events.DutyAnswer.TAKEN

    def call(self, holder, fencing, call, now):
        """Judge one call and return how it is answered."""
        before = self.holder_of.setdefault(fencing, holder)
        assert before == holder, f"number {fencing} of {before} and {holder}"
        assert fencing >= self.highest, f"{fencing} after {self.highest}"
        self.highest = fencing
        self._check_turns(holder, now)
        self.calls.append((now, holder))
        told = self.taken.setdefault(call.window, call.counts)
        assert told == call.counts, f"window {call.window} has two truths"
        self.taken_at.setdefault(call.window, now)
        return self.answer

    def _check_turns(self, holder, now):
        lately = [name for at, name in self.calls if now - at <= TERMS.turn]
        if holder in lately:
            since = lately[lately.index(holder) :]
            assert set(since) == {holder}, f"{holder} takes turns"


class DutyNetwork(pure_nodes.Network):
    """Keepers and instances that count, and the faults that they meet.

    ``each`` is how many instances count in each failure domain.
    """

    def __init__(self, seed=0, each=1):
        super().__init__(seed, delay=0.004)
        self.platform = JudgingPlatform()
        self.disks = {}
        self.frozen = set()
        # Seconds from a connection to the platform to the call's arrival.
        self.slowness = 0.01
        self.unreachable = set()
        self.began = collections.defaultdict(collections.Counter)
        self._due = []
        self._numbers = itertools.count()
        for name, domain in zip(KEEPERS, DOMAINS, strict=True):
            self.disks[name] = quorum_world.FakeDisk(f"folder-{name}")
            self.start(name, domain, first=True)
        self.counting = [f"i{index}" for index in range(each * len(DOMAINS))]
        for index, name in enumerate(self.counting):
            self.start(name, DOMAINS[index % len(DOMAINS)], first=True)

    # -- processes --------------------------------------------------------

    def start(self, name, domain, first=False):
        """Start a node, from its disk where it has one."""
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
            log_options=quorum_log_options.LogOptions(may_found=first),
            duty_options=OPTIONS,
            **options,
        )
        # Each start has a greater incarnation than those before.
        incarnation = (1 << 41) + next(self._numbers)
        node.state.identity.incarnation = incarnation
        node.state.usage.rename_own(incarnation)
        node.state.members.note_own()
        return node

    def kill(self, name):
        """Stop a node at once."""
        self.nodes[name].up = False
        self.frozen.discard(name)

    def restart(self, name):
        """Start a node that was killed under its name."""
        self.start(name, self.nodes[name].domain)

    def holder(self):
        """Return the name of the holder, as most keepers have it."""
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
        while self._due and self._due[0][0] <= self.now:
            _, _, call = heapq.heappop(self._due)
            call()

    def later(self, seconds, call):
        """Have ``call()`` made so many seconds from now."""
        item = (self.now + seconds, next(self._numbers), call)
        heapq.heappush(self._due, item)

    def _tick(self, node):
        if node.name in self.frozen:
            return
        self.apply(node, events.ClockRead(START + self.now))
        super()._tick(node)

    def apply(self, node, event):
        """Hand an event to a node once it is not frozen."""
        if not node.up:
            return
        if node.name in self.frozen:
            self.later(0.1, lambda: self.apply(node, event))
            return
        super().apply(node, event)

    def _carry_out(self, node, out):
        super()._carry_out(node, out)
        for effect in out:
            if isinstance(effect, (effects.AppendLog, effects.ReplaceLog)):
                self._write(node, effect)
            elif isinstance(effect, effects.PerformDuty):
                self._connect(node, effect)

    def _write(self, node, effect):
        disk = self.disks[node.name]
        disk.cache.append(effect)

        def synced():
            if node.up and disk.cache and disk.cache[0] is effect:
                self.apply(node, events.LogSynced(disk.keep()))

        self.later(0.001, synced)

    # -- calls ------------------------------------------------------------

    def _connect(self, node, effect):
        """Make a connection, which takes its share of the call's time."""
        connecting = min(self.slowness / 2.0, TERMS.longest_call)
        self.later(connecting, lambda: self._send_call(node, effect))

    def _send_call(self, node, effect):
        if not node.up:
            return
        if node.name in self.frozen:
            self.later(0.01, lambda: self._send_call(node, effect))
            return
        lease = node.state.duties.lease
        if not lease.may_send(effect.fencing, False, self.now):
            self._answer(node, effect, events.DutyAnswer.NOT_SENT)
            return
        slow = self.slowness >= TERMS.longest_call
        if node.name in self.unreachable or slow:
            # Reset at the end of its time: it may have arrived by then.
            if node.name not in self.unreachable:
                self._arrive_late(node, effect)
            self._give_up(node, effect)
            return
        self.later(self.slowness / 2.0, lambda: self._arrive(node, effect))

    def _arrive_late(self, node, effect):
        half = TERMS.longest_call / 2.0 - 0.01
        self.later(half, lambda: self._judge(node, effect))

    def _give_up(self, node, effect):
        answer = events.DutyAnswer.NO_ANSWER
        rest = TERMS.longest_call / 2.0
        self.later(rest, lambda: self._answer(node, effect, answer))

    def _arrive(self, node, effect):
        self._answer(node, effect, self._judge(node, effect))

    def _judge(self, node, effect):
        return self.platform.call(
            node.name, effect.fencing, effect.call, self.now
        )

    def _answer(self, node, effect, answer):
        answered = events.DutyAnswered(effect.call, effect.fencing, answer)
        self.apply(node, answered)

    # -- traffic ----------------------------------------------------------

    def begin(self, name, organisation):
        """Let a request of an organisation begin, counted at ``name``."""
        node = self.nodes[name]
        duties = node.state.duties
        if not node.up or name in self.frozen or not duties.clock.known:
            return
        moment = duties.clock.at(self.now)
        duties.counter.count(organisation, moment)
        self.began[int(moment // WINDOW)][organisation] += 1

    def serve(self, seconds, each_second=20):
        """Let time pass with requests that begin at all instances."""
        for _ in range(round(seconds * each_second)):
            name = self.rng.choice(self.counting)
            self.begin(name, self.rng.choice(ORGANISATIONS))
            self.run(1.0 / each_second)
