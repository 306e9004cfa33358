"""The long run of the quorum log's state machine.

With ``--hypothesis-seed=N`` it is another run each time.
"""

import hypothesis

from tests.common import quorum_machine

TestQuorumLogLong = quorum_machine.QuorumMachine.TestCase
TestQuorumLogLong.settings = hypothesis.settings(
    max_examples=1000,
    stateful_step_count=40,
    # Shrinking takes longer than finding; the seed that is printed repeats
    # the run.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
