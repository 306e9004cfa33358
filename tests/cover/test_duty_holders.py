"""One keeper at a time calls the platform, whatever fails meanwhile."""

from dandeliontrail.coordination import quorum_log_voters
from dandeliontrail import events
import hypothesis
import hypothesis.strategies as st
import pytest

from tests.common import duty_world

# A window is due so long after its end.
LATE = duty_world.LATE


@pytest.fixture
def made():
    found = duty_world.DutyNetwork()
    found.run(2.0)
    return found


def ended_windows(made, before=0.0):
    """Return the windows that ended at least ``before`` seconds ago."""
    moment = duty_world.START + made.now - before
    last = int(moment // duty_world.WINDOW)
    return [item for item in sorted(made.began) if item < last]


def check_exact(made, but=()):
    """Check that each window was told in time, and exactly."""
    for window in ended_windows(made, LATE):
        if window in but:
            continue
        assert made.platform.taken[window] == dict(made.began[window])
        due = (window + 1) * duty_world.WINDOW + LATE - duty_world.START
        assert made.platform.taken_at[window] <= due


def test_windows_are_exact_on_a_calm_day(made):
    made.serve(40.0)
    assert len(made.platform.taken) > 3
    check_exact(made)


def test_killed_holder_is_followed_in_time_and_nothing_is_missed(made):
    # The keeper that reports is killed and stays away.  Instances tell the
    # next holder all that is not decided, so no window is late or wrong.
    made.serve(12.0)
    made.kill(made.holder())
    made.serve(40.0)
    check_exact(made)


def test_holder_that_is_cut_off_stops_before_the_next_one_begins(made):
    # The holder is cut off from the other keepers, not from the platform: it
    # believes to hold the duty for as long as its lease lasts.  Windows that
    # only it has decided must not differ from those of its successor.
    made.serve(12.0)
    holder = made.holder()
    others = [name for name in made.nodes if name != holder]
    made.separate([holder], others)
    made.serve(20.0)
    assert made.holder() != holder
    made.heal()
    made.serve(30.0)
    check_exact(made)


def test_frozen_holder_wakes_up_to_another_one(made):
    # The holder stands still for eight seconds with a call on its way.  As
    # it wakes up it must not go on with what it was about to send.
    made.serve(12.0)
    holder = made.holder()
    made.slowness = 0.6
    made.frozen.add(holder)
    made.serve(8.0)
    made.frozen.discard(holder)
    made.slowness = 0.01
    made.serve(30.0)
    assert len({name for _, name in made.platform.calls}) == 2
    check_exact(made)


def test_keeper_that_cannot_reach_the_platform_hands_the_duty_over(made):
    # The platform lies in a failure domain that the holder cannot reach,
    # while it reaches all other keepers: nobody would take it for lost.
    made.serve(12.0)
    holder = made.holder()
    made.unreachable.add(holder)
    made.serve(30.0)
    assert made.holder() != holder
    check_exact(made)


def test_holder_that_is_a_keeper_no_more_is_followed(made):
    # The holder's disk failed and another keeper took its place.  It still
    # runs and is heard of, but acts no more: without a successor no window
    # would be reported for good.
    made.serve(12.0)
    holder = made.holder()
    other = next(name for name in duty_world.KEEPERS if name != holder)
    removed = events.VoterChangeAsked(
        "r1", quorum_log_voters.VoterAction.REMOVE, holder
    )
    made.apply(made.nodes[other], removed)
    made.serve(40.0)
    assert made.holder() != holder
    check_exact(made)


def test_instance_that_is_gone_for_good_is_not_waited_for(made):
    # An instance was taken away without a word.  Each window waited for it
    # until little of its time was left, for a day.
    made.serve(12.0)
    made.kill("i1")
    made.serve(50.0)
    last = max(made.platform.taken)
    ended = (last + 1) * duty_world.WINDOW - duty_world.START
    assert made.platform.taken_at[last] - ended < 2.0


def test_windows_are_sent_after_a_time_without_the_platform(made):
    # The platform answers nobody for twenty seconds, and takes what it gets
    # late.  Every window is told in the end, as it was decided.
    made.serve(12.0)
    made.slowness = 5.0
    made.serve(20.0)
    made.slowness = 0.01
    made.serve(20.0)
    for window in ended_windows(made, LATE):
        assert made.platform.taken[window] == dict(made.began[window])


def test_nothing_contradicts_after_all_keepers_were_killed(made):
    # All keepers are killed at the same moment and start from their disks:
    # what was decided and perhaps sent is sent again unchanged.
    made.serve(13.0)
    for name in duty_world.KEEPERS:
        made.kill(name)
    made.serve(1.0)
    for name in duty_world.KEEPERS:
        made.restart(name)
    made.serve(40.0)
    check_exact(made)


def test_relays_pass_on_what_their_domains_began():
    # Above a full mesh instances tell a relay.  One relay is stopped for
    # good: those whose words it had not passed on tell the next one again.
    made = duty_world.DutyNetwork(each=6)
    made.run(4.0)
    made.serve(12.0)
    check_exact(made)
    heard = made.nodes["i0"].state.members
    assert not heard.full_mesh()
    relay = heard.relays_of("fd2")[0].instance
    assert relay in made.counting
    # What the relay itself counts and has not told goes with it.
    made.counting.remove(relay)
    made.serve(4.0)
    made.kill(relay)
    made.serve(35.0)
    assert len(made.platform.taken) > 6
    check_exact(made)


FAULTS = st.sampled_from(
    ("kill", "freeze", "cut", "slow", "unreachable", "count", "calm")
)
STEPS = st.lists(
    st.tuples(
        FAULTS, st.integers(0, 5), st.sampled_from((0.3, 1.1, 2.6, 4.0))
    ),
    min_size=2,
    max_size=10,
)


@hypothesis.settings(max_examples=10, deadline=None)
@hypothesis.given(STEPS, st.integers(0, 1 << 16))
def test_the_platform_never_sees_a_rule_broken(steps, seed):
    """Faults of all kinds overlap, and heal in any order.

    What a user would see of a fault: two callers that fight, or two reports
    for one window.  The platform of this world judges each call.
    """
    made = duty_world.DutyNetwork(seed)
    made.serve(8.0, each_second=4)
    for fault, place, seconds in steps:
        play(made, fault, place)
        made.serve(seconds, each_second=4)
    heal(made)
    made.serve(20.0, each_second=4)
    assert len(made.platform.taken) > 0


def play(made, fault, place):
    name = (*duty_world.KEEPERS, *[made.holder()] * 3)[place]
    up = made.nodes.get(name) is not None and made.nodes[name].up
    if fault == "kill" and up:
        made.kill(name)
        made.later(1.0, lambda: made.restart(name))
    elif fault == "freeze":
        made.frozen.symmetric_difference_update({name} - {""})
    elif fault == "cut" and not made.cut:
        made.separate([name], [item for item in made.nodes if item != name])
    elif fault == "cut":
        made.heal()
    elif fault == "slow":
        made.slowness = 0.9 if made.slowness < 0.9 else 0.01
    elif fault == "unreachable":
        made.unreachable.symmetric_difference_update({name})
    elif fault == "calm":
        heal(made)


def heal(made):
    made.heal()
    made.frozen.clear()
    made.unreachable.clear()
    made.slowness = 0.01
