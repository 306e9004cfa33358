"""Stateful test of the log under message loss, partitions and crashes."""

import hypothesis

from tests.common import quorum_machine

TestQuorumLog = quorum_machine.QuorumMachine.TestCase
TestQuorumLog.settings = hypothesis.settings(
    max_examples=12, stateful_step_count=15
)
