"""Placement of hedges beside a silent server by ``SharedServersPolicy``."""

import pytest

from dandeliontrail.decisions import work as work_module

from tests.common import shared_policy_harness


@pytest.fixture
def play():
    """Two engines; the first one has a review and prefills it."""
    harness = shared_policy_harness.PolicyHarness(count=2)
    harness.silent = review(harness, "a", excluded_servers={"e1"})
    assert harness.next() == {"r1": "e0"}
    return harness


def review(play, prefix_id, **more):
    """Offer a review that may have a hedge."""
    return play.review(prefix_id, own=4000, max_attempts=2, **more)


def report_silent(play, work):
    """Ask for a hedge at another engine than e0, as the reducer does."""
    work.excluded_servers = {"e0"}
    play.policy.seek(work, play.now)


def next_after(play, seconds=0.2):
    """Advance the clock and run a round."""
    play.now += seconds
    return play.next()


def running(play):
    """Return the outstanding requests by server."""
    return {load.server: load.running for load in play.policy.own_loads()}


def test_hedge_is_placed_at_once_where_there_is_room(play):
    report_silent(play, play.silent)
    assert play.next() == {"r1": "e1"}
    assert running(play) == {"e0": 1, "e1": 1}


def test_each_attempt_is_subtracted_at_its_own_engine(play):
    report_silent(play, play.silent)
    play.next()
    ended = work_module.AttemptEnd("r1", "e1", wasted=True)
    play.policy.ended(ended, play.now)
    assert running(play) == {"e0": 1}
    play.policy.ended(work_module.AttemptEnd("r1", "e0"), play.now)
    assert running(play) == {}


def test_hedge_takes_over_when_the_first_attempt_ends(play):
    report_silent(play, play.silent)
    play.next()
    play.policy.ended(
        work_module.AttemptEnd("r1", "e0", failed=True), play.now
    )
    assert running(play) == {"e1": 1}
    play.policy.first_output("r1", play.now)
    (load,) = play.policy.own_loads()
    assert load.unread == 0


def test_queued_work_goes_before_the_hedge_of_a_slow_server(play):
    other = review(play, "b", excluded_servers={"e0"})
    assert play.next() == {"r2": "e1"}
    report_silent(play, play.silent)
    review(play, "c", excluded_servers={"e0"})
    assert next_after(play) == {}
    play.policy.first_output(other.request_id, play.now)
    assert next_after(play) == {"r3": "e1"}


def test_hedge_of_an_unreachable_server_goes_before_queued_work(play):
    other = review(play, "b", excluded_servers={"e0"})
    assert play.next() == {"r2": "e1"}
    report_silent(play, play.silent)
    review(play, "c", excluded_servers={"e0"})
    play.chat(excluded_servers={"e1"})
    assert next_after(play) == {"r4": "e0"}
    unreachable = work_module.AttemptEnd(
        "r4", "e0", failed=True, unreachable=True
    )
    play.policy.ended(unreachable, play.now)
    play.policy.first_output(other.request_id, play.now)
    assert next_after(play) == {"r1": "e1"}


def test_search_continues_until_there_is_room(play):
    other = review(play, "b", excluded_servers={"e0"})
    play.next()
    report_silent(play, play.silent)
    for _ in range(20):
        assert next_after(play) == {}
    play.policy.first_output(other.request_id, play.now)
    assert next_after(play) == {"r1": "e1"}


def test_cancelled_search_places_nothing(play):
    report_silent(play, play.silent)
    play.policy.stop_seeking("r1")
    assert play.next() == {}


def test_searches_do_not_cause_refusals():
    # Ten searches for a hedge do not count as a queue because of which a new
    # request would be refused.
    play = shared_policy_harness.PolicyHarness(count=1)
    for number in range(10):
        work = play.chat(max_attempts=2)
        assert play.next() == {work.request_id: "e0"}
        work.excluded_servers = {"e0"}
        play.policy.seek(work, play.now)
    late = play.chat(deadline=1.0)
    assert next_after(play, 0.01) == {late.request_id: "e0"}
    assert next_after(play) == {}


def test_hedges_count_against_the_retry_budget():
    play = shared_policy_harness.PolicyHarness(count=2, slack=0.0)
    works = [
        play.chat(max_attempts=2, excluded_servers={"e1"}) for _ in range(20)
    ]
    play.next()
    for work in works:
        work.excluded_servers = {"e0"}
        play.policy.seek(work, play.now)
    # A fifth of twenty requests, of which four fifths are used.
    assert len(play.next()) == 3
    assert next_after(play) == {}
