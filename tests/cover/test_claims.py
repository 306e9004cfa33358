"""Claims on idempotency keys, over a network of the test's own."""

import hypothesis

from dandeliontrail.coordination import claims
from dandeliontrail import sentinels

from tests.common import claim_machine
from tests.common import claim_world

Stand = claim_world.Stand


class TestNoKeyRunsTwice(claim_machine.ClaimMachine.TestCase):
    """Duplicates, loss, reorder, crashes and partitions in any order."""

    settings = hypothesis.settings(
        max_examples=60, stateful_step_count=40, deadline=None
    )


def make_world(voters=3, others=1):
    made = claim_world.ClaimWorld(voters, others)
    made.settle(1.0)
    return made


def test_resend_to_another_instance_gets_the_first_answer():
    # A caller lost its connection and sends the same order to another
    # instance while the first still runs: one truck, one answer.
    made = make_world()
    first = made.request("v0", "order")
    made.settle()
    second = made.request("i0", "order")
    made.settle()
    assert made.running == {first: "v0"}
    made.end(first, Stand.HELD)
    made.settle()
    third = made.request("v2", "order")
    made.settle()
    assert made.peers["i0"].recorder.answered[second].body == b"order"
    assert made.peers["v2"].recorder.answered[third].body == b"order"


def test_voter_that_restarts_does_not_vote_until_it_has_recovered():
    # Two summaries on one report: the key was granted by v0 and v1 while v2
    # was cut off.  v1 restarted, forgot, and granted it again with v2.
    made = make_world()
    for name in ("v0", "v1", "i0"):
        made.separate(name, "v2")
    first = made.request("v0", "report")
    made.settle()
    assert first in made.running
    made.crash("v1")
    made.cut.clear()
    for name in ("v1", "v2", "i0"):
        made.separate("v0", name)
    second = made.request("i0", "report")
    made.settle(12.0)
    assert second not in made.running
    reason, ran = made.peers["i0"].recorder.refused[second]
    assert reason is sentinels.Reason.NO_QUORUM
    assert not ran


def test_voter_recovers_from_the_others_and_votes_again():
    made = make_world()
    first = made.request("v0", "report")
    made.settle()
    made.end(first, Stand.HELD)
    made.crash("v1")
    made.settle(8.0)
    assert made.peers["v1"].voting.ready(made.now)
    for name in ("v0", "v1", "i0"):
        made.separate(name, "v2")
    second = made.request("i0", "other")
    made.settle()
    assert second in made.running


def test_holder_that_restarted_leaves_the_outcome_unknown():
    # The instance that took an order in crashed.  Nobody can know whether
    # it ran, so the resend must neither run nor be told "not run".
    made = make_world()
    made.request("i0", "order")
    made.settle()
    made.crash("i0")
    second = made.request("v1", "order")
    made.settle()
    reason, ran = made.peers["v1"].recorder.refused[second]
    assert reason is sentinels.Reason.HOLDER_LOST
    assert ran


def test_key_with_another_body_is_refused():
    made = make_world()
    made.request("v0", "order", "body-1")
    made.settle()
    second = made.request("i0", "order", "body-2")
    made.settle()
    reason, ran = made.peers["i0"].recorder.refused[second]
    assert reason is sentinels.Reason.KEY_REUSED


def test_key_of_a_request_that_did_not_run_can_be_used_again():
    made = make_world()
    first = made.request("v0", "order")
    made.settle()
    made.end(first, Stand.NOT_RUN)
    made.settle()
    second = made.request("i0", "order")
    made.settle()
    assert second in made.running


def test_two_claims_at_once_end_with_one_run():
    made = make_world(voters=2, others=2)
    made.request("i0", "order")
    made.request("i1", "order")
    made.settle(20.0)
    assert len(made.running) == 1


def test_vote_from_before_a_restart_does_not_make_a_second_majority():
    # An order runs twice.  v1 granted it to i0 and restarted at once; it
    # learnt from v0 and v2 that they hold nothing, and was ready again.
    # Then v2 granted it to i0 as well, whose old vote of v1 made that a
    # majority, while v1 granted it to v0.
    made = make_world()
    made.separate("i0", "v0")
    made.separate("i0", "v2")
    made.request("i0", "order")
    while made.messages:
        made.deliver(0)
    made.crash("v1")
    made.separate("i0", "v1")
    made.settle(1.2)
    made.join("i0", "v2")
    made.settle(0.4)
    made.separate("v0", "v2")
    made.request("v0", "order")
    made.settle(8.0)
    assert len(made.running) == 1


def test_vote_that_comes_late_is_not_counted():
    # As above, but it is v2's vote that is late: the holder itself stalled
    # until v1 had recovered without knowing of its claim.
    made = make_world()
    made.separate("i0", "v0")
    made.separate("i0", "v2")
    first = made.request("i0", "order")
    while made.messages:
        made.deliver(0)
    made.crash("v1")
    for _ in range(30):
        made.pass_time(0.3, stalled=["i0"])
        while made.messages:
            made.deliver(0)
    second = made.request("v0", "order")
    while made.messages:
        made.deliver(0)
    assert second in made.running
    made.crash("v2")
    made.crash("v0")
    late = claims.ClaimVote(
        claims.key_of("", ""), f"{first}.1", f"{first}.1", "d", "i0", "i0:1"
    )
    made.join("i0", "v2")
    made.messages.append(("v2", "i0", late))
    made.deliver(0)
    assert first not in made.running


def test_voter_told_of_two_claims_votes_for_neither():
    # A report runs twice.  v1 had granted it to v0, with v0's own vote a
    # majority, and restarted.  It learnt v2's undecided claim of i0 first,
    # took it for its own vote and made that a majority too.
    made = make_world()
    for name in ("v0", "v1", "i0"):
        made.separate(name, "v2")
    first = made.request("v0", "report")
    made.settle(1.0)
    assert first in made.running
    made.crash("v1")
    made.cut.clear()
    made.settle(4.2)
    for name in ("v1", "i0"):
        made.separate("v0", name)
    second = made.request("i0", "report")
    made.settle(1.2)
    made.join("v0", "v1")
    made.settle(5.0)
    assert made.peers["v1"].voting.ready(made.now)
    assert second not in made.running
