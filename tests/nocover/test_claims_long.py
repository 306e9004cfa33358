"""The claims' state machine for as long as one cares to run it."""

import hypothesis

from tests.common import claim_machine

LONG = hypothesis.settings(
    max_examples=3000, stateful_step_count=60, deadline=None
)


class TestThreeVoters(claim_machine.ClaimMachine.TestCase):
    """The size of today."""

    settings = LONG


class FiveVoters(claim_machine.ClaimMachine):
    """Room for two losses."""

    VOTERS = 5


class TestFiveVoters(FiveVoters.TestCase):
    """Room for two losses."""

    settings = LONG
