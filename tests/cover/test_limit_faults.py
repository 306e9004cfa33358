"""Limits of servers under random faults: seeds that failed, and a few more."""

import pytest

from tests.common import limit_faults

# In 14 an instance that started in a cut issued all permits of a server.
SEEDS = (2, 14, 24)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_limit_is_broken_and_nobody_waits_in_vain_under_faults(seed):
    world = limit_faults.run(seed)
    assert world.broken == []
    assert not world.overdue
