"""Limits of servers under random faults, changes and demand, many seeds."""

import pytest

from tests.common import limit_faults

SEEDS = range(1, 51)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_limit_is_broken_and_nobody_waits_in_vain_under_faults(seed):
    world = limit_faults.run(seed)
    assert world.broken == []
    assert not world.overdue
