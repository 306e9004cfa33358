"""What callers get in each situation of the brief, on a small scale.

The real decision code of four instances runs against the engine model of
the policy bench.  The whole scenarios are in tests/nocover.
"""

import pytest

from tests.common import policy_runs


def test_lookups_are_answered_in_time_at_twice_the_capacity():
    # Crews stand idle beside the tank: lookups wait behind drafts and
    # reviews, because twice as much is asked as the engines can do.
    held = policy_runs.measured("overload-2.0")
    assert held.protected >= 0.94
    assert (
        held.protected
        > policy_runs.measured("overload-2.0", "priority").protected
    )


def test_no_class_starves_at_twice_the_capacity():
    # Overnight reviews never come to their turn while higher classes alone
    # fill the engines.
    assert policy_runs.measured("overload-2.0").least_share >= 0.8


def test_engines_do_useful_work_at_saturation():
    # The closing backlog is late in the morning: engines idle for a reserve
    # that is too large, or work on answers that nobody waits for any more.
    held = policy_runs.measured("overload-2.0")
    assert held.goodput >= 0.88
    assert held.waste <= 0.01


def test_a_burst_of_lookups_is_answered_in_time():
    # A shift begins: six times the usual lookups while drafts and reviews
    # fill the engines.
    ours = policy_runs.measured("hard-burst").protected
    assert ours > policy_runs.measured("hard-burst", "priority").protected


def test_a_large_organisation_does_not_take_the_class_for_itself():
    # Three organisations send most of the drafts; the small ones are
    # refused although they ask for little.
    ours = policy_runs.measured("large-organisations").jain
    assert ours >= 0.9
    assert ours > policy_runs.measured("large-organisations", "fifo").jain


def test_a_slow_engine_does_not_hold_up_callers():
    # One engine of four runs at a quarter of its pace and reports that all
    # is well: every fourth caller waits.
    ours = policy_runs.measured("slow-engine").protected
    assert ours >= 0.96
    assert ours > policy_runs.measured("slow-engine", "fifo").protected


def test_long_prompts_do_not_hold_up_short_ones():
    # Prompts of thousands of tokens fill the engines' memory, which then
    # preempt and compute again while lookups wait.
    held = policy_runs.measured("long-and-short")
    assert held.waste <= 0.01
    assert (
        held.protected
        > policy_runs.measured("long-and-short", "priority").protected
    )


@pytest.mark.parametrize("scenario", ["steady", "burst", "crash-in-burst"])
def test_protected_work_is_not_refused(scenario):
    # A lookup is told to come back later for the sake of a draft.
    held = policy_runs.simulated(scenario)
    refused = [
        item
        for item in held.results
        if item.outcome == "refused" and not item.request.shape.sheddable
    ]
    assert refused == []


def test_the_same_seed_gives_the_same_outcomes():
    one = policy_runs.simulated("steady")
    two = policy_runs.simulated("steady")
    ends = [(item.outcome, item.ended) for item in one.results]
    assert ends == [(item.outcome, item.ended) for item in two.results]
