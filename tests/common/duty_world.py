"""A simulated network of keepers that call a platform, which checks them.

Three keepers and at least three instances that count requests are pure
reducers, connected by queues; time is simulated.  A call to the platform
takes time: the lease is checked once the connection is established, and what
was sent arrives later, even if its sender is stopped meanwhile.
"""

import collections

from dandeliontrail.components import duties_state
from dandeliontrail.coordination import leases
from dandeliontrail import effects
from dandeliontrail import events

from tests.common import keeper_network

KEEPERS = keeper_network.KEEPERS
DOMAINS = keeper_network.DOMAINS
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


class DutyNetwork(keeper_network.KeeperNetwork):
    """Keepers and counting instances, with fault injection.

    ``counters_per_domain`` is how many instances count in each failure domain.
    """

    def __init__(self, seed=0, counters_per_domain=1):
        self.platform = CheckingPlatform()
        # Seconds that a call takes, half of them to connect.
        self.call_seconds = 0.01
        self.unreachable = set()
        self.began = collections.defaultdict(collections.Counter)
        super().__init__(seed)
        self.counting = [
            f"i{index}" for index in range(counters_per_domain * len(DOMAINS))
        ]
        for index, name in enumerate(self.counting):
            self.start(name, DOMAINS[index % len(DOMAINS)], first=True)

    def node_options(self):
        """Return the options for calls to the platform."""
        return {"duty_options": OPTIONS}

    def holder(self):
        """Return the name of the holder according to most keepers."""
        found = collections.Counter(
            self.nodes[name]
            .state.orders.leases.holding(duties_state.SUBJECT)
            .holder
            for name in KEEPERS
        )
        return found.most_common(1)[0][0]

    def _tick(self, node):
        if node.name not in self.frozen:
            self.apply(node, events.ClockRead(START + self.now))
        super()._tick(node)

    def _apply_effects(self, node, out):
        super()._apply_effects(node, out)
        for effect in out:
            if isinstance(effect, effects.PerformDuty):
                self._connect(node, effect)

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
