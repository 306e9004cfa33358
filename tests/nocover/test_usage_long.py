"""The usage ledger over many restarts."""

from tests.common import usage_nodes


def test_two_hundred_restarts_leave_the_rows_of_one():
    usage_nodes.check_restarts(200)
