"""The whole scenarios of the policy bench, on one fixed seed.

Nine instances run the real decision code against the engine model of the
policy bench. The bounds leave room for changes of the policy that do not make
it worse.
"""

import functools

from dandeliontrail_lab.policy import runs

SEED = 101


@functools.cache
def measured(scenario, policy=runs.ADAPTIVE):
    return runs.measure(runs.Run(scenario, policy, SEED))[1]


def test_lookups_are_answered_in_time_at_twice_the_capacity():
    # Demand is twice what the engines can serve. Lookups wait behind reviews
    # and drafts, and the crews that need them stand idle.
    assert measured("overload-2.0").protected >= 0.985


def test_no_class_starves_at_twice_the_capacity():
    # Higher classes alone fill the engines, and overnight reviews are never
    # served.
    measures = measured("overload-2.0")
    assert measures.least_share >= 0.8
    assert measures.attainment["review"] == 1.0


def test_engines_are_kept_busy_with_useful_work_at_saturation():
    # Engines idle because the reserve is too large, or generate answers that
    # nobody waits for any more, and the closing backlog is late.
    measures = measured("overload-1.3")
    assert measures.goodput >= 0.92
    assert measures.waste <= 0.01


def test_a_burst_of_lookups_is_answered_in_time():
    # Every shift begins with three times the usual lookups for a few seconds,
    # while reviews fill the engines.
    measures = measured("burst")
    assert measures.protected >= 0.97
    assert measures.protected > measured("burst", "priority").protected


def test_a_backlog_and_lookups_are_served_side_by_side():
    # At closing time a backlog that is worth most of the engines' time arrives
    # within seconds, while lookups go on.
    measures = measured("closing-backlog")
    assert measures.attainment["summary"] == 1.0
    assert measures.protected >= 0.975


def test_a_large_organisation_does_not_take_the_class_for_itself():
    # Three organisations send nine tenths of the drafts, and small
    # organisations are refused although they ask for little.
    assert measured("large-organisations").jain >= 0.95
    fifo = measured("large-organisations", "fifo")
    assert fifo.jain < measured("large-organisations").jain


def test_a_slow_engine_does_not_hold_up_callers():
    # One engine runs at a quarter of its speed and reports that all is well.
    measures = measured("slow-engine")
    assert measures.protected >= 0.99
    assert measures.protected > measured("slow-engine", "fifo").protected


def test_long_prompts_do_not_hold_up_short_ones():
    # Prompts of thousands of tokens fill the engines' memory. The engines then
    # preempt requests and compute them again while lookups wait.
    measures = measured("long-and-short")
    assert measures.protected >= 0.96
    assert measures.waste < measured("long-and-short", "priority").waste / 2
