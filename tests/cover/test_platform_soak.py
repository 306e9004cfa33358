"""A short soak of the real programs, and every seed that ever failed."""

import pytest

from tests.soak import run

# Seeds that once showed a broken promise, with a line on the cause.
FAILED = ()


@pytest.mark.parametrize("seed", [101, *FAILED])
def test_no_promise_is_broken_under_faults(seed):
    report = run.soak(seed, 6.0)
    assert report.findings == {}
    assert report.ended["200"] > 20
