"""The leader keeps as many voters as are wanted, whoever goes for good."""

import collections
import random

from dandeliontrail.coordination import quorum_log_options
import pytest

from tests.common import quorum_world

OPTIONS = quorum_log_options.LogOptions(wanted_voters=3, proves_often=True)


def settled_world(seed=1, **numbers):
    world = quorum_world.QuorumWorld(
        random.Random(seed), options=OPTIONS, **numbers
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


def test_a_keeper_that_is_gone_for_good_is_replaced_by_a_spare():
    # A machine is taken away and an empty one comes at another address.
    # Until it votes, the next loss would stop every change.
    world = settled_world(spares=1)
    assert voters_of(world) == {"k1", "k2", "k3"}
    gone = world.leader()
    world.crash(gone)
    world.run_until(
        lambda: world.leader() and gone not in voters_of(world), 12.0
    )
    assert len(voters_of(world)) == 3
    assert "k4" in voters_of(world)


def test_a_keeper_that_lost_its_disk_votes_again_as_a_new_one():
    # A keeper comes back at its address with an empty folder.  What its old
    # folder had acknowledged must not count as held by the new one.
    world = settled_world(spares=0)
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
    # One keeper is replaced, then another loses its disk.  Were the first
    # repair only half done, the two could not tell what was acknowledged.
    world = settled_world(spares=1)
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


def test_a_silent_keeper_stays_where_no_spare_is_there():
    world = settled_world(spares=0)
    silent = sorted(voters_of(world) - {world.leader()})[0]
    world.crash(silent)
    world.run(6.0)
    assert voters_of(world) == {"k1", "k2", "k3"}


@pytest.mark.parametrize("seed", range(5))
def test_chance_repairs_never_lose_what_was_applied(seed):
    world = settled_world(seed, spares=2)
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
    # After a restart of everything one keeper has an empty disk.  Were it to
    # found a log of its own, its side would serve a configuration of its own.
    options = quorum_log_options.LogOptions(may_found=False)
    world = quorum_world.QuorumWorld(random.Random(1), options=options)
    world.run(5.0)
    assert not world.leader()
    assert not any(node.log._core.log_id for node in world.nodes.values())


def test_every_instance_keeps_a_recent_proof_of_its_state():
    world = settled_world(learners=2)
    world.run(3.0)
    for node in world.nodes.values():
        assert node.log.proven_ago(world.now) < 1.2


def test_the_proof_of_a_cut_off_instance_ages():
    world = settled_world(learners=2)
    world.partition({"l1": 1})
    world.run(3.0)
    assert world.nodes["l1"].log.proven_ago(world.now) > 2.0
    assert world.nodes["l2"].log.proven_ago(world.now) < 1.2
    world.partition({})
    world.run(2.0)
    assert world.nodes["l1"].log.proven_ago(world.now) < 1.2


def asked_by(world, seconds):
    """Return whom each learner asks for proofs, in so many seconds."""
    asked = collections.defaultdict(collections.Counter)

    def watched(name, question):
        def call(leader, now):
            found = question(leader, now)
            if found:
                asked[name][found[0]] += 1
            return found

        return call

    for name, node in world.nodes.items():
        proving = node.log._proving
        proving.question = watched(name, proving.question)
    world.run(seconds)
    return asked


def test_instances_ask_a_keeper_of_their_own_domain():
    # Two hundred instances that all ask the leader twice a second are 400
    # questions and answers a second at one process, 0.11 core at 36
    # instances; keepers of the other domains idle.
    world = settled_world(learners=3)
    asked = asked_by(world, 4.0)
    for number in "123":
        assert set(asked[f"l{number}"]) == {f"k{number}"}
    leader = world.leader()
    for name in {"k1", "k2", "k3"} - {leader}:
        assert set(asked[name]) == {leader}
    for node in world.nodes.values():
        assert node.log.proven_ago(world.now) < 1.6


def test_near_keeper_that_does_not_reach_the_leader_is_left():
    # A keeper is cut off from the leader while the instances of its domain
    # reach both: by its word alone their proofs would age until they refuse
    # every caller.
    world = settled_world(learners=3)
    leader = world.leader()
    near = next(name for name in ("k1", "k2", "k3") if name != leader)
    learner = world.nodes[near.replace("k", "l")].log
    world.nodes[near].log._proving.question = lambda leader, now: None
    oldest = 0.0
    for _ in range(100):
        world.run(0.1)
        oldest = max(oldest, learner.proven_ago(world.now))
    assert oldest < 2.0
