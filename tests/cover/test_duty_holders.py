"""At most one keeper at a time calls the platform, under all faults."""

from dandeliontrail.coordination import quorum_log_voters
from dandeliontrail import events
import hypothesis
import hypothesis.strategies as st
import pytest

from tests.common import duty_world

# A window is due this many seconds after its end.
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
    """Check that each window was reported on time and with exact counts."""
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
    # The holder is killed and does not return.  Instances report all
    # undecided windows to the next holder, so no window is late or wrong.
    made.serve(12.0)
    made.kill(made.holder())
    made.serve(40.0)
    check_exact(made)


def test_holder_that_is_cut_off_stops_before_the_next_one_begins(made):
    # The holder is partitioned from the other keepers, but not from the
    # platform, and considers itself the holder until its lease expires.
    # Windows that only it has decided must not differ from its successor's.
    made.serve(12.0)
    holder = made.holder()
    others = [name for name in made.nodes if name != holder]
    made.partition([holder], others)
    made.serve(20.0)
    assert made.holder() != holder
    made.heal()
    made.serve(30.0)
    check_exact(made)


def test_frozen_holder_wakes_up_to_another_one(made):
    # The holder is paused for eight seconds during a call.  When it resumes,
    # its lease has expired, so it must not send the call.
    made.serve(12.0)
    holder = made.holder()
    made.call_seconds = 0.6
    made.frozen.add(holder)
    made.serve(8.0)
    made.frozen.discard(holder)
    made.call_seconds = 0.01
    made.serve(30.0)
    assert len({name for _, name in made.platform.calls}) == 2
    check_exact(made)


def test_keeper_that_cannot_reach_the_platform_hands_the_duty_over(made):
    # The holder cannot reach the platform, but all other keepers.  They
    # would never consider it failed, so it must hand over the lease itself.
    made.serve(12.0)
    holder = made.holder()
    made.unreachable.add(holder)
    made.serve(30.0)
    assert made.holder() != holder
    check_exact(made)


def test_holder_that_is_a_keeper_no_more_is_followed(made):
    # The holder's disk failed and another instance replaced it as a keeper.
    # It still runs and sends heartbeats, but does not act.  Without a
    # successor, no window would ever be reported again.
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
    # An instance is lost without a message that it leaves.  Without the rule
    # under test, each window waited for it until shortly before it was due,
    # for as long as the failed instance was remembered, a day.
    made.serve(12.0)
    made.kill("i1")
    made.serve(50.0)
    last = max(made.platform.taken)
    ended = (last + 1) * duty_world.WINDOW - duty_world.START
    assert made.platform.taken_at[last] - ended < 2.0


def test_windows_are_sent_after_a_time_without_the_platform(made):
    # All calls time out for twenty seconds, but the platform accepts those
    # that reach it.  In the end, every window is reported as it was decided.
    made.serve(12.0)
    made.call_seconds = 5.0
    made.serve(20.0)
    made.call_seconds = 0.01
    made.serve(20.0)
    for window in ended_windows(made, LATE):
        assert made.platform.taken[window] == dict(made.began[window])


def test_nothing_contradicts_after_all_keepers_were_killed(made):
    # All keepers are killed at the same time and restarted from their disks.
    # Windows that were decided, and maybe sent, are sent again unchanged.
    made.serve(13.0)
    for name in duty_world.KEEPERS:
        made.kill(name)
    made.serve(1.0)
    for name in duty_world.KEEPERS:
        made.restart(name)
    made.serve(40.0)
    check_exact(made)


def test_relays_pass_on_what_their_domains_began():
    # In systems larger than a full mesh, instances report to a relay.  One
    # relay is stopped for good; the instances whose reports it had not
    # forwarded report to the next relay again.
    made = duty_world.DutyNetwork(counters_per_domain=6)
    made.run(4.0)
    made.serve(12.0)
    check_exact(made)
    members = made.nodes["i0"].state.members
    assert not members.full_mesh()
    relay = members.relays_of("fd2")[0].instance
    assert relay in made.counting
    # Counts that the relay itself has not reported are lost with it, so it
    # stops counting before it is killed.
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
    """Overlapping faults, healed in any order, break no rule.

    A defect would show as two holders that contradict each other, or as two
    different reports for one window.  The simulated platform checks each call.
    """
    made = duty_world.DutyNetwork(seed)
    made.serve(8.0, requests_per_second=4)
    for fault, place, seconds in steps:
        inject_fault(made, fault, place)
        made.serve(seconds, requests_per_second=4)
    heal(made)
    made.serve(20.0, requests_per_second=4)
    assert len(made.platform.taken) > 0


def inject_fault(made, fault, place):
    name = (*duty_world.KEEPERS, *[made.holder()] * 3)[place]
    up = made.nodes.get(name) is not None and made.nodes[name].up
    if fault == "kill" and up:
        made.kill(name)
        made.call_later(1.0, lambda: made.restart(name))
    elif fault == "freeze":
        made.frozen.symmetric_difference_update({name} - {""})
    elif fault == "cut" and not made.cut:
        made.partition([name], [item for item in made.nodes if item != name])
    elif fault == "cut":
        made.heal()
    elif fault == "slow":
        made.call_seconds = 0.9 if made.call_seconds < 0.9 else 0.01
    elif fault == "unreachable":
        made.unreachable.symmetric_difference_update({name})
    elif fault == "calm":
        heal(made)


def heal(made):
    made.heal()
    made.frozen.clear()
    made.unreachable.clear()
    made.call_seconds = 0.01
