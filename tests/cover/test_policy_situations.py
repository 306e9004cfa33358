"""The outcomes of short scenarios, one for each situation in the brief.

Four instances run the real decision code against the engine model of the
policy bench. The whole scenarios run in tests/nocover.
"""

import pytest

from tests.common import policy_runs


def test_lookups_are_answered_in_time_at_twice_the_capacity():
    # Demand is twice what the engines can serve. Lookups wait behind drafts
    # and reviews, and the crews that need them stand idle.
    measures = policy_runs.measured("overload-2.0")
    assert measures.protected >= 0.94
    assert (
        measures.protected
        > policy_runs.measured("overload-2.0", "priority").protected
    )


def test_no_class_starves_at_twice_the_capacity():
    # Higher classes alone fill the engines, and overnight reviews are never
    # served.
    assert policy_runs.measured("overload-2.0").least_share >= 0.8


def test_engines_do_useful_work_at_saturation():
    # Engines idle because the reserve is too large, or generate answers that
    # nobody waits for any more, and the closing backlog is late.
    measures = policy_runs.measured("overload-2.0")
    assert measures.goodput >= 0.88
    assert measures.waste <= 0.01


def test_a_burst_of_lookups_is_answered_in_time():
    # At the start of a shift six times the usual lookups arrive while drafts
    # and reviews fill the engines.
    adaptive = policy_runs.measured("hard-burst").protected
    assert adaptive > policy_runs.measured("hard-burst", "priority").protected


def test_a_large_organisation_does_not_take_the_class_for_itself():
    # Three organisations send most of the drafts, and small organisations are
    # refused although they ask for little.
    adaptive = policy_runs.measured("large-organisations").jain
    assert adaptive >= 0.9
    assert adaptive > policy_runs.measured("large-organisations", "fifo").jain


def test_a_slow_engine_does_not_hold_up_callers():
    # One engine of four runs at a quarter of its speed and reports that all is
    # well, so that every fourth caller waits.
    adaptive = policy_runs.measured("slow-engine").protected
    assert adaptive >= 0.96
    assert adaptive > policy_runs.measured("slow-engine", "fifo").protected


def test_long_prompts_do_not_hold_up_short_ones():
    # Prompts of thousands of tokens fill the engines' memory. The engines then
    # preempt requests and compute them again while lookups wait.
    measures = policy_runs.measured("long-and-short")
    assert measures.waste <= 0.01
    assert (
        measures.protected
        > policy_runs.measured("long-and-short", "priority").protected
    )


@pytest.mark.parametrize("scenario", ["steady", "burst", "crash-in-burst"])
def test_protected_work_is_not_refused(scenario):
    # A lookup is refused in favour of a draft.
    simulation = policy_runs.simulated(scenario)
    refused = [
        item
        for item in simulation.results
        if item.outcome == "refused"
        and not item.request.request_class.sheddable
    ]
    assert refused == []


def test_the_same_seed_gives_the_same_outcomes():
    first = policy_runs.simulated("steady")
    second = policy_runs.simulated("steady")
    outcomes = [(item.outcome, item.ended_at) for item in first.results]
    assert outcomes == [
        (item.outcome, item.ended_at) for item in second.results
    ]
