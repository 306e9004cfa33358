"""Where and when a second server is found beside a silent one."""

import pytest

from dandeliontrail.decisions import work as work_module

from tests.common import shared_play


@pytest.fixture
def play():
    """Two engines; the first one has a review, and reads it."""
    made = shared_play.Play(count=2)
    made.silent = review(made, "a", avoid={"e1"})
    assert made.next() == {"r1": "e0"}
    return made


def review(play, thing, **more):
    return play.review(thing, own=4000, max_attempts=2, **more)


def is_silent(play, work):
    """Have another engine sought, as the reducer does."""
    work.avoid = {"e0"}
    play.policy.seek(work, play.now)


def later(play, seconds=0.2):
    play.now += seconds
    return play.next()


def running(play):
    return {load.server: load.running for load in play.policy.own_loads()}


def test_another_engine_is_found_at_once_where_there_is_room(play):
    is_silent(play, play.silent)
    assert play.next() == {"r1": "e1"}
    assert running(play) == {"e0": 1, "e1": 1}


def test_each_attempt_is_taken_off_its_own_engine(play):
    is_silent(play, play.silent)
    play.next()
    ended = work_module.Ended("r1", "e1", wasted=True)
    play.policy.ended(ended, play.now)
    assert running(play) == {"e0": 1}
    play.policy.ended(work_module.Ended("r1", "e0"), play.now)
    assert running(play) == {}


def test_the_second_attempt_goes_on_where_the_first_one_ends(play):
    is_silent(play, play.silent)
    play.next()
    play.policy.ended(work_module.Ended("r1", "e0", failed=True), play.now)
    assert running(play) == {"e1": 1}
    play.policy.first_output("r1", play.now)
    (load,) = play.policy.own_loads()
    assert load.unread == 0


def test_what_has_no_server_goes_before_one_that_is_slow(play):
    other = review(play, "b", avoid={"e0"})
    assert play.next() == {"r2": "e1"}
    is_silent(play, play.silent)
    review(play, "c", avoid={"e0"})
    assert later(play) == {}
    play.policy.first_output(other.request_id, play.now)
    assert later(play) == {"r3": "e1"}


def test_one_whose_server_is_out_of_reach_goes_first(play):
    other = review(play, "b", avoid={"e0"})
    assert play.next() == {"r2": "e1"}
    is_silent(play, play.silent)
    review(play, "c", avoid={"e0"})
    play.chat(avoid={"e1"})
    assert later(play) == {"r4": "e0"}
    unreachable = work_module.Ended("r4", "e0", failed=True, unreachable=True)
    play.policy.ended(unreachable, play.now)
    play.policy.first_output(other.request_id, play.now)
    assert later(play) == {"r1": "e1"}


def test_the_search_goes_on_until_there_is_room(play):
    other = review(play, "b", avoid={"e0"})
    play.next()
    is_silent(play, play.silent)
    for _ in range(20):
        assert later(play) == {}
    play.policy.first_output(other.request_id, play.now)
    assert later(play) == {"r1": "e1"}


def test_a_search_that_is_over_places_nothing(play):
    is_silent(play, play.silent)
    play.policy.stop_seeking("r1")
    assert play.next() == {}


def test_a_search_refuses_nothing_for_others():
    # Ten searches are no queue: whoever comes is not told to come back.
    play = shared_play.Play(count=1)
    for number in range(10):
        work = play.chat(max_attempts=2)
        assert play.next() == {work.request_id: "e0"}
        work.avoid = {"e0"}
        play.policy.seek(work, play.now)
    late = play.chat(deadline=1.0)
    assert later(play, 0.01) == {late.request_id: "e0"}
    assert later(play) == {}


def test_second_servers_draw_on_the_budget_of_repeats():
    play = shared_play.Play(count=2, slack=0.0)
    works = [play.chat(max_attempts=2, avoid={"e1"}) for _ in range(20)]
    play.next()
    for work in works:
        work.avoid = {"e0"}
        play.policy.seek(work, play.now)
    # A fifth of twenty, used to four fifths.
    assert len(play.next()) == 3
    assert later(play) == {}
