"""The state machine of the claim tests with many examples."""

import hypothesis

from tests.common import claim_machine

LONG = hypothesis.settings(
    max_examples=3000, stateful_step_count=60, deadline=None
)


class TestThreeVoters(claim_machine.ClaimMachine.TestCase):
    """Three voters, which tolerate one failure."""

    settings = LONG


class FiveVoters(claim_machine.ClaimMachine):
    """Five voters, which tolerate two failures."""

    VOTERS = 5


class TestFiveVoters(FiveVoters.TestCase):
    """Five voters, which tolerate two failures."""

    settings = LONG
