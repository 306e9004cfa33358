"""A change of voters in progress needs two majorities."""

import random

import pytest

from dandeliontrail.coordination import quorum_log_entries as entries
from dandeliontrail.coordination import quorum_log_machine as machine
from dandeliontrail.coordination import quorum_log_messages as messages
from dandeliontrail.coordination import quorum_log_records as records
from dandeliontrail.coordination import quorum_log_voter_sets as voter_sets

from tests.common import quorum_world
from tests.cover import test_quorum_rules

SETTLE_SECONDS = 3.0
ELECTION_TIMEOUT_SECONDS = 1.0
K1, K2, K3, K4 = (entries.Voter(f"k{n}", f"k{n}-0") for n in (1, 2, 3, 4))
JOINT = entries.VoterSet((K1, K3, K4), (K1, K2, K3), (K2,))


@pytest.mark.parametrize(
    ("voters", "is_quorum"),
    [
        ((K1, K3), True),
        ((K1, K2, K4), True),
        ((K2, K3, K4), True),
        ((K3, K4), False),
        ((K1, K2), False),
        ((K2, K4), False),
    ],
)
def test_quorum_of_a_change_needs_both_majorities(voters, is_quorum):
    assert JOINT.has_quorum(lambda item: item in voters) == is_quorum
    reached = JOINT.quorum_index(lambda item: 5 if item in voters else 2)
    assert reached == (5 if is_quorum else 2)


def test_every_quorum_before_during_and_after_a_change_meets_the_others():
    before = entries.VoterSet((K1, K2, K3))
    joint = before.begin_change((K1, K3, K4))
    after = joint.finish_change()
    groups = [
        {item for bit, item in enumerate((K1, K2, K3, K4)) if mask >> bit & 1}
        for mask in range(16)
    ]
    for one, other in ((before, joint), (joint, joint), (joint, after)):
        for first in groups:
            for second in groups:
                if one.has_quorum(first.__contains__) and (
                    other.has_quorum(second.__contains__)
                ):
                    assert first & second
    assert after.former == (K2,)


def test_change_in_progress_survives_a_restart_from_a_checkpoint():
    # Guards against a restarted keeper that counts one majority only.
    checkpoint = machine.Checkpoint(
        "log",
        [K1, K2, K3],
        7,
        2,
        list(JOINT.incoming),
        {},
        list(JOINT.outgoing),
        list(JOINT.former),
        seniority=list(JOINT.seniority),
    )
    keeper = records.Keeper("k1-0", records.encode(checkpoint))
    assert records.restore(keeper).log.voter_set == JOINT


def settled_world(seed):
    world = quorum_world.QuorumWorld(random.Random(seed), learners=0)
    world.run_until(world.leader)
    world.run(SETTLE_SECONDS)
    return world


def core_of(world, name):
    return world.nodes[name].log._core


@pytest.mark.parametrize("seed", range(2))
def test_keeper_writes_a_change_in_progress_into_its_checkpoint(seed):
    # Guards against an uncommitted set, and one majority, after a restart.
    world = settled_world(seed)
    leader = world.leader()
    old = next(item for item in world.bootstrap if item != leader)
    before = core_of(world, leader).log.voter_set
    world.replace_voter("k4", core_of(world, old).own_voter)
    world.run(SETTLE_SECONDS, until=world.changes_voters)
    core = core_of(world, leader)
    joint = core.log.voter_set
    assert core.make_checkpoint().voter_set() == before
    world.run(SETTLE_SECONDS, until=lambda: core.commit == 2)
    assert core.make_checkpoint().voter_set() == joint
    fresh = core_of(world, "k4")
    fresh.log.reset(0, 0, before)
    fresh.commit = 0
    fresh.machine.applied = 0
    fresh.install_checkpoint(core.make_checkpoint())
    assert fresh.log.voter_set == joint
    world.run(SETTLE_SECONDS)
    assert core.make_checkpoint().voter_set() == joint.finish_change()


@pytest.mark.parametrize("seed", range(4))
def test_halves_of_a_change_do_not_both_elect_a_leader(seed):
    # Guards against a majority of the incoming voters that elects alone.
    world = settled_world(seed)
    leader = world.leader()
    old, other = (item for item in world.bootstrap if item != leader)
    world.replace_voter("k4", core_of(world, old).own_voter)
    world.run(SETTLE_SECONDS, until=world.changes_voters)
    disk = world.disks[leader]
    entry = core_of(world, leader).log.get(2)
    assert entry.body.outgoing
    world.partition({other: 1, "k4": 1})
    world.in_flight.clear()
    for name in (other, "k4"):
        core_of(world, name).append(entry)
        core_of(world, name).reset_role()
    # The leader loses the entry, as it was not on its disk.
    disk.cache.clear()
    disk.records = disk.records[:-1]
    world.crash(leader)
    world.start(leader)
    world.run_until(lambda: world.leader() == leader)
    world.run(2 * SETTLE_SECONDS)
    assert world.leader() == leader
    assert core_of(world, other).role.value != "leader"
    world.partition({})
    world.run(2 * SETTLE_SECONDS)
    assert core_of(world, other).log.voter_set.incoming == (K1, K2, K3)


@pytest.mark.parametrize("seed", range(4))
def test_next_leader_finishes_a_change_that_was_committed(seed):
    # Guards against a set of voters that stays joint, and is never repaired.
    world = settled_world(seed)
    leader = world.leader()
    old, other = (item for item in world.bootstrap if item != leader)
    world.replace_voter("k4", core_of(world, old).own_voter)
    world.run(SETTLE_SECONDS, until=world.changes_voters)
    world.deliver_and_sync()
    assert core_of(world, other).log.voter_set.is_joint
    world.crash(leader)
    world.in_flight.clear()
    world.run_until(lambda: world.leader() not in ("", leader))
    world.run(SETTLE_SECONDS)
    core = core_of(world, world.leader())
    assert set(core.log.voter_set.incoming) == {
        core_of(world, other).own_voter,
        core_of(world, "k4").own_voter,
        entries.Voter(leader, f"{leader}-0"),
    }
    assert not core.log.voter_set.is_joint
    assert core.log.voters_index <= core.commit


def test_former_voters_are_remembered_up_to_a_limit():
    voters = entries.VoterSet((K1, K2, K3))
    count = voter_sets.MAX_FORMER_VOTERS + 3
    for number in range(count):
        new = entries.Voter("n", f"n-{number}")
        voters = voters.begin_change((K1, K2, new)).finish_change()
    assert len(voters.former) == voter_sets.MAX_FORMER_VOTERS
    assert voters.former[-1] == entries.Voter("n", f"n-{count - 2}")
    back = voters.begin_change((K1, K2, voters.former[-1])).finish_change()
    assert back.incoming[-1] in back.former
    uneven = back.begin_change((K1, K2, K3)).finish_change()
    assert uneven.seniority == back.seniority


def test_voters_are_ordered_by_their_first_votes_whoever_votes_again():
    # Guards against a successor that counts as older than its predecessor.
    voters = entries.VoterSet((K1, K2, K3)).begin_change((K2, K3, K4))
    voters = voters.finish_change().with_voters((K2, K3, K1))
    ranks = [voters.seniority_of(f"k{number}") for number in range(1, 5)]
    assert ranks == sorted(set(ranks))
    assert voters.seniority_of("k5") == voter_sets.NEVER_VOTED
    assert voters.seniority_of("k4") < voter_sets.NEVER_VOTED


def test_a_lost_folder_makes_a_voter_no_newer():
    voters = entries.VoterSet((K1, K2, K3))
    renewed = entries.Voter("k1", "k1-1")
    after = voters.begin_change((K2, K3, renewed)).finish_change()
    assert after.seniority_of("k1") == voters.seniority_of("k1")


def test_seniority_follows_from_the_former_voters_of_an_older_release():
    voters = entries.VoterSet((K2, K3, K1), former=(K1, K4))
    ranks = [voters.seniority_of(name) for name in ("k1", "k4", "k2", "k3")]
    assert ranks == [0, 1, 2, 3]


def test_seniority_forgets_the_oldest_but_no_voter():
    voters = entries.VoterSet((K1, K2, K3))
    count = voter_sets.MAX_FORMER_VOTERS + 3
    for number in range(count):
        new = entries.Voter(f"n{number}", f"n-{number}")
        voters = voters.begin_change((K1, K2, new)).finish_change()
    assert len(voters.seniority) <= voter_sets.MAX_FORMER_VOTERS + 4
    assert voters.seniority_of("k1") < voters.seniority_of("k2")
    assert voters.seniority_of("k2") < voters.seniority_of(f"n{count - 1}")
    assert voters.seniority_of("n0") == voter_sets.NEVER_VOTED


def test_keeper_does_not_vote_for_its_lost_folder():
    # Guards against a vote in the name of a disk that made other promises.
    world = settled_world(1)
    world.crash("k2")
    world.lose_disk("k2")
    world.start("k2")
    world.run(SETTLE_SECONDS)
    log = world.nodes["k2"].log
    request = test_quorum_rules.vote_request(log, "k1", 50)
    request.transfer = True
    for folder, is_asked in (("k2-0", False), ("k2-1", True)):
        request.voter = folder
        sent = test_quorum_rules.deliver(world, "k1", "k2", request)
        assert test_quorum_rules.vote_granted(sent) == is_asked


def test_transfer_is_no_reason_to_vote_for_an_older_log():
    # Guards against a handed-over leadership that loses committed entries.
    world = settled_world(1)
    follower = next(n for n in world.bootstrap if n != world.leader())
    log = world.nodes[follower].log
    request = test_quorum_rules.vote_request(log, world.leader(), 50)
    request.transfer = True
    request.last_index = request.last_term = 0
    sent = test_quorum_rules.deliver(world, world.leader(), follower, request)
    assert not test_quorum_rules.vote_granted(sent)


def test_spare_does_not_campaign_when_it_is_told_to():
    # Guards against a leader that no voter set names.
    world = settled_world(1)
    core = core_of(world, "k4")
    term = core.term
    request = messages.CampaignNow(core.log_id, term)
    test_quorum_rules.deliver(world, world.leader(), "k4", request)
    assert core.term == term
    assert core.role.value == "learner"


@pytest.mark.parametrize("seed", range(2))
def test_leader_that_is_replaced_hands_over_and_goes(seed):
    # Guards against a leader without a vote, and an election timeout.
    world = settled_world(seed)
    leader = world.leader()
    core = core_of(world, leader)
    world.replace_voter("k4", core.own_voter)
    reconfiguration = world.nodes[leader].log._leadership.reconfiguration
    world.run(
        SETTLE_SECONDS, until=lambda: reconfiguration.joining.has_caught_up
    )
    before = world.now
    world.run_until(lambda: world.leader() not in ("", leader))
    assert world.now - before < ELECTION_TIMEOUT_SECONDS / 2
    world.run(SETTLE_SECONDS)
    world.replace_voter("k4", core.own_voter)
    world.run_until(lambda: core.role.value == "learner")
    assert core.own_voter in former(core)


def former(core):
    return core.log.voter_set.former


@pytest.mark.parametrize("seed", range(2))
def test_leader_in_a_change_needs_both_majorities_to_go_on(seed):
    # Guards against a leader that accepts writes which it can't commit.
    world = settled_world(seed)
    leader = world.leader()
    old = next(item for item in world.bootstrap if item != leader)
    world.replace_voter("k4", core_of(world, old).own_voter)
    world.run(SETTLE_SECONDS, until=world.changes_voters)
    world.partition({leader: 1, "k4": 1})
    world.run(2 * SETTLE_SECONDS)
    assert core_of(world, leader).role.value != "leader"


def test_new_leader_changes_no_voters_before_an_entry_of_its_term():
    # Guards against two changes whose majorities have no voter in common.
    world = quorum_world.QuorumWorld(random.Random(1), learners=0)
    world.run(SETTLE_SECONDS, until=world.leader)
    core = core_of(world, world.leader())
    assert core.log.term_at(core.commit) != core.term
    assert not world.can_change_voters()


def test_transfer_is_no_reason_to_vote_twice_in_a_term():
    # Guards against two leaders of one term.
    world = settled_world(1)
    leader = world.leader()
    voter, other = (item for item in world.bootstrap if item != leader)
    log = world.nodes[voter].log
    for candidate, is_granted in ((leader, True), (other, False)):
        request = test_quorum_rules.vote_request(log, candidate, 50)
        request.transfer = True
        sent = test_quorum_rules.deliver(world, candidate, voter, request)
        assert test_quorum_rules.vote_granted(sent) == is_granted


def test_old_word_to_campaign_is_ignored():
    # Guards against a late message that deposes the next leader.
    world = settled_world(1)
    follower = next(n for n in world.bootstrap if n != world.leader())
    core = core_of(world, follower)
    request = messages.CampaignNow(core.log_id, core.term - 1)
    test_quorum_rules.deliver(world, world.leader(), follower, request)
    assert core.role.value == "follower"


@pytest.mark.parametrize("seed", range(2))
def test_state_is_not_proven_recent_by_one_majority_of_a_change(seed):
    # Guards against old reads while the other half elects a leader.
    world = settled_world(seed)
    leader = world.leader()
    old = next(item for item in world.bootstrap if item != leader)
    world.replace_voter("k4", core_of(world, old).own_voter)
    world.run(SETTLE_SECONDS, until=world.changes_voters)
    world.partition({leader: 1, "k4": 1})
    cut_at = world.now
    world.run(SETTLE_SECONDS)
    proven_ago = world.nodes[leader].log.proven_ago(world.now)
    assert proven_ago >= world.now - cut_at
