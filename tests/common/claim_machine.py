"""The Hypothesis state machine of the short and the long claim tests."""

from hypothesis import stateful
from hypothesis import strategies as st

from tests.common import claim_world

KEYS = st.sampled_from(["k1", "k2"])
NUMBERS = st.integers(0, 10_000)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Requests, deliveries, losses, crashes and partitions in any order.

    After each step, no key may have run twice within the life of its claim.
    """

    VOTERS = 3

    def __init__(self):
        super().__init__()
        self.world = claim_world.ClaimWorld(self.VOTERS, 1)
        self.world.settle(1.0)

    def _name(self, number):
        return self.world.names[number % len(self.world.names)]

    @stateful.rule(number=NUMBERS, key=KEYS)
    def request(self, number, key):
        self.world.request(self._name(number), key)

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(number=NUMBERS, keep=st.booleans())
    def deliver(self, number, keep):
        self.world.deliver(number % len(self.world.messages), keep)

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(number=NUMBERS)
    def lose(self, number):
        self.world.messages.pop(number % len(self.world.messages))

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.5, 6.0]))
    def pass_time(self, seconds):
        self.world.pass_time(seconds)

    @stateful.rule()
    def settle(self):
        self.world.settle()

    @stateful.rule(number=NUMBERS)
    def crash(self, number):
        self.world.crash(self._name(number))

    @stateful.rule(number=NUMBERS)
    def cut_off(self, number):
        name = self._name(number)
        for other in self.world.names:
            self.world.blocked_paths.update({(name, other), (other, name)})

    @stateful.rule()
    def heal(self):
        self.world.blocked_paths.clear()

    @stateful.precondition(lambda self: self.world.running)
    @stateful.rule(
        number=NUMBERS,
        stand=st.sampled_from(
            [
                claim_world.ClaimState.HELD,
                claim_world.ClaimState.NOT_RUN,
                claim_world.ClaimState.UNKNOWN,
            ]
        ),
    )
    def end(self, number, stand):
        running = sorted(self.world.running)
        self.world.end(running[number % len(running)], stand)

    @stateful.invariant()
    def no_key_runs_twice(self):
        self.world.check()
