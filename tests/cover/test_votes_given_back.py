"""A vote that was lent to another keeper while its owner was lost comes back.

Guards against a configuration that ends for good: a successor froze, its
predecessor stood in for it and then went for good with its vote, and a disk
was lost.
"""

import enum
import random

import pytest

from tests.common import replacement_network

CATCH_UP_SECONDS = replacement_network.CATCH_UP_SECONDS
LOST_SECONDS = 4.0
WRITE_AFTER_SECONDS = 0.2
DOWN_SECONDS = 1.0
OLD = "k1"
NEW = "k4"


class Loss(enum.Enum):
    """What the successor goes through beside its predecessor."""

    FREEZE = "freeze"
    CUT = "cut"
    RESTART = "restart"


def network(seed=1):
    return replacement_network.ReplacementNetwork(seed, entries=1)


def lose_for_a_while(net, name, loss):
    """Have a keeper be lost for a while, then run until it counts again."""
    if loss is Loss.FREEZE:
        net.frozen.add(name)
    elif loss is Loss.CUT:
        net.partition({name}, set(net.nodes) - {name})
    else:
        net.kill(name)
    net.run(LOST_SECONDS)
    if loss is Loss.FREEZE:
        net.frozen.discard(name)
    elif loss is Loss.CUT:
        net.heal()
    else:
        net.restart(name)
    net.run(CATCH_UP_SECONDS)


def keeps_a_write_without(net, removed, wiped):
    """Remove a keeper, accept a change, lose a disk; return if it is kept."""
    net.kill(removed)
    net.run(WRITE_AFTER_SECONDS)
    net.write_until_accepted(CATCH_UP_SECONDS)
    net.kill(wiped)
    net.lose_disk(wiped)
    net.run(DOWN_SECONDS)
    net.restart(wiped)
    return net.recovers()


@pytest.mark.parametrize("wiped", ["k2", "k3", NEW])
@pytest.mark.parametrize("loss", Loss)
def test_a_successor_that_was_lost_votes_again_before_its_predecessor_goes(
    loss, wiped
):
    net = network()
    net.add_keeper(NEW, "fd1")
    net.run(CATCH_UP_SECONDS)
    lose_for_a_while(net, NEW, loss)
    assert net.voters() == ["k2", "k3", NEW]
    assert keeps_a_write_without(net, OLD, wiped)


@pytest.mark.parametrize("loss", Loss)
def test_a_successor_gets_its_vote_back_as_often_as_it_is_lost(loss):
    net = network()
    net.add_keeper(NEW, "fd1")
    net.run(CATCH_UP_SECONDS)
    for _ in range(3):
        lose_for_a_while(net, NEW, loss)
        assert net.voters() == ["k2", "k3", NEW]


def test_a_keeper_that_was_lost_is_no_newer_than_its_successor():
    # The successor started while it was lost, and took the lent vote.
    net = network()
    net.add_keeper(NEW, "fd1")
    net.run(CATCH_UP_SECONDS)
    net.frozen.add(NEW)
    net.run(LOST_SECONDS)
    net.kill(OLD)
    net.add_keeper("k5", "fd1")
    net.run(CATCH_UP_SECONDS)
    net.frozen.discard(NEW)
    net.run(CATCH_UP_SECONDS)
    assert net.voters() == ["k2", "k3", "k5"]
    assert keeps_a_write_without(net, NEW, "k2")


def test_a_predecessor_that_was_lost_does_not_take_its_successors_vote():
    net = network()
    net.frozen.add(OLD)
    net.run(LOST_SECONDS)
    net.add_keeper(NEW, "fd1")
    net.run(CATCH_UP_SECONDS)
    net.frozen.discard(OLD)
    net.run(CATCH_UP_SECONDS)
    assert net.voters() == ["k2", "k3", NEW]
    assert keeps_a_write_without(net, OLD, "k2")


def test_the_order_of_first_votes_outlives_a_loss_of_all_power():
    net = network()
    net.add_keeper(NEW, "fd1")
    net.run(CATCH_UP_SECONDS)
    net.frozen.add(NEW)
    net.run(LOST_SECONDS)
    net.frozen.discard(NEW)
    keepers = ["k1", "k2", "k3", NEW]
    net.power_cut(keepers)
    net.run(DOWN_SECONDS)
    for name in keepers:
        net.restart(name)
    net.run(2 * CATCH_UP_SECONDS)
    assert net.voters() == ["k2", "k3", NEW]
    assert keeps_a_write_without(net, OLD, "k2")


@pytest.mark.parametrize("seed", range(6))
def test_no_keeper_goes_with_a_vote_whoever_was_lost_before(seed):
    rng = random.Random(seed)
    net = network(seed)
    keepers = ["k1", "k2", "k3"]
    for number in range(4, 10):
        old = keepers.pop(rng.randrange(len(keepers)))
        new = f"k{number}"
        net.seeds = list(keepers)
        net.add_keeper(new, net.nodes[old].domain)
        net.run(CATCH_UP_SECONDS)
        lost = rng.choice([*keepers, new, old])
        lose_for_a_while(net, lost, rng.choice(list(Loss)))
        keepers.append(new)
        assert sorted(net.voters()) == sorted(keepers), (old, lost)
        assert keeps_a_write_without(net, old, rng.choice(keepers))
        net.run(CATCH_UP_SECONDS)
