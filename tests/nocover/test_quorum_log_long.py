"""The long run of the stateful test of the replicated log.

Pass a different ``--hypothesis-seed=N`` for a different run.
"""

import hypothesis

from tests.common import quorum_machine

TestQuorumLogLong = quorum_machine.QuorumMachine.TestCase
TestQuorumLogLong.settings = hypothesis.settings(
    max_examples=1000,
    stateful_step_count=40,
    # There is no shrinking, since it takes longer than the search; the
    # printed seed reproduces the run.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
