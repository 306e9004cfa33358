"""Claims on idempotency keys, over a simulated network."""

import hypothesis

from dandeliontrail.coordination import claims
from dandeliontrail import sentinels

from tests.common import claim_machine
from tests.common import claim_world

ClaimState = claim_world.ClaimState


class TestNoKeyRunsTwice(claim_machine.ClaimMachine.TestCase):
    """Duplicates, losses, reordering, crashes and partitions."""

    settings = hypothesis.settings(
        max_examples=60, stateful_step_count=40, deadline=None
    )


def make_world(voters=3, others=1):
    world = claim_world.ClaimWorld(voters, others)
    world.settle(1.0)
    return world


def test_resend_to_another_instance_gets_the_first_answer():
    # A caller loses its connection and retries at another instance while its
    # first request still runs.  The request must not run a second time, and
    # the retry gets the answer of the first.
    world = make_world()
    first = world.request("v0", "order")
    world.settle()
    second = world.request("i0", "order")
    world.settle()
    assert world.running == {first: "v0"}
    world.end(first, ClaimState.HELD)
    world.settle()
    third = world.request("v2", "order")
    world.settle()
    assert world.peers["i0"].recorder.answered[second].body == b"order"
    assert world.peers["v2"].recorder.answered[third].body == b"order"


def test_voter_that_restarts_does_not_vote_until_it_has_recovered():
    # Fault: a key ran twice.  v0 and v1 granted it while v2 was partitioned.
    # v1 restarted without its memory and granted the key again, with v2.
    world = make_world()
    for name in ("v0", "v1", "i0"):
        world.separate(name, "v2")
    first = world.request("v0", "report")
    world.settle()
    assert first in world.running
    world.crash("v1")
    world.blocked_paths.clear()
    for name in ("v1", "v2", "i0"):
        world.separate("v0", name)
    second = world.request("i0", "report")
    world.settle(12.0)
    assert second not in world.running
    reason, may_have_run = world.peers["i0"].recorder.refused[second]
    assert reason is sentinels.Reason.NO_QUORUM
    assert not may_have_run


def test_voter_recovers_from_the_others_and_votes_again():
    world = make_world()
    first = world.request("v0", "report")
    world.settle()
    world.end(first, ClaimState.HELD)
    world.crash("v1")
    world.settle(8.0)
    assert world.peers["v1"].voting.ready(world.now)
    for name in ("v0", "v1", "i0"):
        world.separate(name, "v2")
    second = world.request("i0", "other")
    world.settle()
    assert second in world.running


def test_holder_that_restarted_leaves_the_outcome_unknown():
    # The instance that accepted the request crashes.  Nobody can know whether
    # it ran, so a retry must neither run nor receive "not run".
    world = make_world()
    world.request("i0", "order")
    world.settle()
    world.crash("i0")
    second = world.request("v1", "order")
    world.settle()
    reason, may_have_run = world.peers["v1"].recorder.refused[second]
    assert reason is sentinels.Reason.HOLDER_LOST
    assert may_have_run


def test_key_with_another_body_is_refused():
    world = make_world()
    world.request("v0", "order", "body-1")
    world.settle()
    second = world.request("i0", "order", "body-2")
    world.settle()
    reason, may_have_run = world.peers["i0"].recorder.refused[second]
    assert reason is sentinels.Reason.KEY_REUSED


def test_key_of_a_request_that_did_not_run_can_be_used_again():
    world = make_world()
    first = world.request("v0", "order")
    world.settle()
    world.end(first, ClaimState.NOT_RUN)
    world.settle()
    second = world.request("i0", "order")
    world.settle()
    assert second in world.running


def test_two_claims_at_once_end_with_one_run():
    world = make_world(voters=2, others=2)
    world.request("i0", "order")
    world.request("i1", "order")
    world.settle(20.0)
    assert len(world.running) == 1


def test_vote_from_before_a_restart_does_not_make_a_second_majority():
    # Fault: a key ran twice.  v1 granted it to i0 and restarted at once.  It
    # recovered from v0 and v2, which had no claims.  Then v2 granted the key
    # to i0 as well, which still counted v1's earlier vote and so had a
    # majority, while v1 granted the key to v0.
    world = make_world()
    world.separate("i0", "v0")
    world.separate("i0", "v2")
    world.request("i0", "order")
    while world.messages:
        world.deliver(0)
    world.crash("v1")
    world.separate("i0", "v1")
    world.settle(1.2)
    world.reconnect("i0", "v2")
    world.settle(0.4)
    world.separate("v0", "v2")
    world.request("v0", "order")
    world.settle(8.0)
    assert len(world.running) == 1


def test_late_vote_is_not_counted():
    # As above, but here v2's vote is late: i0 stalls until v1 has recovered
    # without the claim of i0.
    world = make_world()
    world.separate("i0", "v0")
    world.separate("i0", "v2")
    first = world.request("i0", "order")
    while world.messages:
        world.deliver(0)
    world.crash("v1")
    for _ in range(30):
        world.pass_time(0.3, stalled=["i0"])
        while world.messages:
            world.deliver(0)
    second = world.request("v0", "order")
    while world.messages:
        world.deliver(0)
    assert second in world.running
    world.crash("v2")
    world.crash("v0")
    late = claims.ClaimVote(
        claims.key_digest("", ""),
        f"{first}.1",
        f"{first}.1",
        "d",
        "i0",
        "i0:1",
    )
    world.reconnect("i0", "v2")
    world.messages.append(("v2", "i0", late))
    world.deliver(0)
    assert first not in world.running


def test_voter_that_recovers_two_claims_votes_for_neither():
    # Fault: a key ran twice.  v1 granted it to v0, which had a majority with
    # its own vote, and restarted.  v1 then recovered the undecided claim of i0
    # from v2 first, treated it as its own vote and so gave i0 a majority too.
    world = make_world()
    for name in ("v0", "v1", "i0"):
        world.separate(name, "v2")
    first = world.request("v0", "report")
    world.settle(1.0)
    assert first in world.running
    world.crash("v1")
    world.blocked_paths.clear()
    world.settle(4.2)
    for name in ("v1", "i0"):
        world.separate("v0", name)
    second = world.request("i0", "report")
    world.settle(1.2)
    world.reconnect("v0", "v1")
    world.settle(5.0)
    assert world.peers["v1"].voting.ready(world.now)
    assert second not in world.running
