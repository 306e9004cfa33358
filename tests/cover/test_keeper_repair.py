"""Automatic replacement of voters, and proofs that the state is recent."""

import collections
import random

from dandeliontrail.coordination import quorum_log_options
import pytest

from tests.common import quorum_world

OPTIONS = quorum_log_options.LogOptions(target_voters=3, polls_freshness=True)


def started_world(seed=1, **counts):
    world = quorum_world.QuorumWorld(
        random.Random(seed), options=OPTIONS, **counts
    )
    world.run_until(world.leader)
    world.run(3.0)
    return world


def voters_of(world):
    log = world.nodes[world.leader()].log
    return {item.name for item in log._core.log.voters}


def folders_of(world):
    log = world.nodes[world.leader()].log
    return {item.folder for item in log._core.log.voters}


def test_a_permanently_lost_keeper_is_replaced_by_a_spare():
    # A keeper is lost permanently and an empty one starts at another address.
    # Until the new one votes, a second failure would stop all writes.
    world = started_world(spares=1)
    assert voters_of(world) == {"k1", "k2", "k3"}
    lost = world.leader()
    world.crash(lost)
    world.run_until(
        lambda: world.leader() and lost not in voters_of(world), 12.0
    )
    assert len(voters_of(world)) == 3
    assert "k4" in voters_of(world)


def test_a_keeper_that_lost_its_disk_votes_again_as_a_new_one():
    # A keeper comes back at its address with an empty data folder.
    # Acknowledgements of the old folder must not count for the new one.
    world = started_world(spares=0)
    lost = sorted(voters_of(world) - {world.leader()})[0]
    before = folders_of(world)
    world.crash(lost)
    world.lose_disk(lost)
    world.start(lost)
    world.run_until(
        lambda: (
            world.leader()
            and len(folders_of(world) - before) == 1
            and len(folders_of(world)) == 3
        ),
        12.0,
    )
    assert voters_of(world) == {"k1", "k2", "k3"}


def test_a_second_loss_right_after_the_repair_loses_nothing():
    # One keeper is replaced, then another loses its disk.  If the first
    # repair were incomplete, the remaining two might lack entries that were
    # acknowledged.
    world = started_world(spares=1)
    first = world.leader()
    world.crash(first)
    world.run_until(
        lambda: world.leader() and first not in voters_of(world), 12.0
    )
    world.run(1.0)
    applied = world.nodes[world.leader()].log.applied
    second = sorted(voters_of(world) - {world.leader(), "k4"})[0]
    world.crash(second)
    world.lose_disk(second)
    world.start(second)
    world.run_until(
        lambda: (
            world.leader()
            and len(voters_of(world)) == 3
            and second in voters_of(world)
        ),
        15.0,
    )
    assert world.nodes[world.leader()].log.applied >= applied
    world.check()


def test_a_silent_keeper_stays_a_voter_if_there_is_no_spare():
    world = started_world(spares=0)
    silent = sorted(voters_of(world) - {world.leader()})[0]
    world.crash(silent)
    world.run(6.0)
    assert voters_of(world) == {"k1", "k2", "k3"}


@pytest.mark.parametrize("seed", range(5))
def test_random_repairs_never_lose_applied_entries(seed):
    world = started_world(seed, spares=2)
    rng = random.Random(seed)
    for _ in range(4):
        world.run_until(world.leader, 20.0)
        name = rng.choice(sorted(voters_of(world)))
        before = max(node.log.applied for node in world.nodes.values())
        world.crash(name)
        if rng.random() < 0.5:
            world.lose_disk(name)
        world.run(rng.choice((0.5, 3.0)))
        world.start(name)
        world.run(8.0)
        world.run_until(
            lambda: (
                world.leader()
                and world.nodes[world.leader()].log.applied >= before
            ),
            20.0,
        )
        world.run_until(lambda: len(voters_of(world)) == 3, 20.0)
        world.check()


def test_an_instance_that_lost_its_disk_founds_no_second_log():
    # After a restart of all instances, a keeper has an empty disk.  If it
    # founded a second log, the instances that join it would serve a different
    # configuration.
    options = quorum_log_options.LogOptions(may_bootstrap=False)
    world = quorum_world.QuorumWorld(random.Random(1), options=options)
    world.run(5.0)
    assert not world.leader()
    assert not any(node.log._core.log_id for node in world.nodes.values())


def test_every_instance_keeps_a_recent_proof_of_its_state():
    world = started_world(learners=2)
    world.run(3.0)
    for node in world.nodes.values():
        assert node.log.proven_ago(world.now) < 1.2


def test_the_proof_of_a_partitioned_instance_ages():
    world = started_world(learners=2)
    world.partition({"l1": 1})
    world.run(3.0)
    assert world.nodes["l1"].log.proven_ago(world.now) > 2.0
    assert world.nodes["l2"].log.proven_ago(world.now) < 1.2
    world.partition({})
    world.run(2.0)
    assert world.nodes["l1"].log.proven_ago(world.now) < 1.2


def polls_by_instance(world, seconds):
    """Count the polls of each instance by target during ``seconds``."""
    polls = collections.defaultdict(collections.Counter)

    def counting(name, next_query_of):
        def next_query(leader, now):
            target = next_query_of(leader, now)
            if target:
                polls[name][target[0]] += 1
            return target

        return next_query

    for name, node in world.nodes.items():
        proving = node.log._polling
        proving.next_query = counting(name, proving.next_query)
    world.run(seconds)
    return polls


def test_instances_poll_a_keeper_of_their_own_domain():
    # If two hundred instances all polled the leader twice a second, one
    # process would handle 400 requests a second while the keepers of the other
    # domains are idle.  At 36 instances this took 0.11 core.
    world = started_world(learners=3)
    polls = polls_by_instance(world, 4.0)
    for number in "123":
        assert set(polls[f"l{number}"]) == {f"k{number}"}
    leader = world.leader()
    for name in {"k1", "k2", "k3"} - {leader}:
        assert set(polls[name]) == {leader}
    for node in world.nodes.values():
        assert node.log.proven_ago(world.now) < 1.6


def test_local_keeper_that_does_not_reach_the_leader_is_abandoned():
    # A keeper is partitioned from the leader, but the instances of its domain
    # reach both.  If they polled only that keeper, their proofs would age
    # until they refuse every caller.
    world = started_world(learners=3)
    leader = world.leader()
    local = next(name for name in ("k1", "k2", "k3") if name != leader)
    learner = world.nodes[local.replace("k", "l")].log
    world.nodes[local].log._polling.next_query = lambda leader, now: None
    oldest = 0.0
    for _ in range(100):
        world.run(0.1)
        oldest = max(oldest, learner.proven_ago(world.now))
    assert oldest < 2.0
