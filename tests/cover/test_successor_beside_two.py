"""A keeper that is replaced no longer counts, whichever of its domain it is.

Guards against a configuration that ends for good: the successor took the vote
of the other keeper of its failure domain, the one that it replaced went with
its own, and two disks were lost.
"""

import itertools
import random

from dandeliontrail import events
import pytest

from tests.common import replacement_network

DOMAINS = ("fd1", "fd2", "fd3") * 2
KEEPERS = tuple(f"k{number}" for number in range(1, 7))
TOLERATED = 2
TARGET_VOTERS = 5
SUCCESSOR = "k7"
# What the programs do after SIGTERM takes no longer than that.
GRACE_SECONDS = 2.0


def network(seed, domains=DOMAINS):
    net = replacement_network.ReplacementNetwork(
        seed,
        entries=1,
        target_voters=TARGET_VOTERS,
        keeper_domains=domains,
    )
    net.run(replacement_network.SETTLE_SECONDS)
    assert len(net.voters()) == TARGET_VOTERS
    return net


def replace(net, old, successor, is_told, beside):
    """Have a successor run ``beside`` the old keeper, which then goes.

    Returns the other keepers that voted then.
    """
    net.seeds = net.voters()[:3]
    net.add_keeper(successor, net.nodes[old].domain)
    net.run(beside)
    if is_told:
        net.apply(net.nodes[old], events.ShutdownBegan())
        net.run(GRACE_SECONDS)
    voters = set(net.voters()) - {old}
    net.kill(old)
    return voters


def lose_disks_after_a_write(net, names, after):
    """Lose disks right after a change is accepted; return if it is kept."""
    net.run(after)
    net.write_until_accepted(replacement_network.CATCH_UP_SECONDS)
    for name in names:
        net.kill(name)
    for name in names:
        net.lose_disk(name)
    net.run(1.0)
    for name in names:
        net.restart(name)
    return net.recovers()


def losable(rng, names):
    """Return two keepers that lose their disks, drawn from ``names``."""
    pairs = list(itertools.combinations(sorted(names), TOLERATED))
    return rng.choice(pairs)


@pytest.mark.parametrize("is_told", [False, True], ids=["unsaid", "told"])
@pytest.mark.parametrize("old", KEEPERS)
def test_a_keeper_with_a_successor_may_go_with_two_disks(old, is_told):
    rng = random.Random(f"{old} {is_told}")
    for seed in range(3):
        net = network(seed)
        beside = replacement_network.CATCH_UP_SECONDS
        voters = replace(net, old, SUCCESSOR, is_told, beside)
        lost = losable(rng, voters)
        after = rng.choice((0.0, 0.05, 0.2, 0.5, 1.0))
        assert lose_disks_after_a_write(net, lost, after), (seed, lost, after)


def test_keepers_that_are_replaced_in_turn_never_count_afterwards():
    net = network(7)
    rng = random.Random(7)
    for number, old in enumerate(KEEPERS, start=7):
        beside = replacement_network.CATCH_UP_SECONDS
        voters = replace(net, old, f"k{number}", False, beside)
        assert len(voters) == TARGET_VOTERS
        lost = losable(rng, voters)
        assert lose_disks_after_a_write(net, lost, 0.0), (old, lost)
        net.run(replacement_network.CATCH_UP_SECONDS)


def test_a_keeper_that_gave_way_does_not_vote_again_after_its_disk_was_lost():
    # It looks like a new one, and would take the vote of its successor.
    net = network(5)
    old = net.voters()[0]
    net.add_keeper(SUCCESSOR, net.nodes[old].domain)
    net.run(replacement_network.CATCH_UP_SECONDS)
    assert old not in net.voters()
    net.wipe(old)
    for _ in range(10):
        net.run(1.0)
        assert old not in net.voters()


def test_voters_come_to_rest_beside_a_successor():
    net = network(3)
    old = net.voters()[0]
    net.add_keeper(SUCCESSOR, net.nodes[old].domain)
    net.run(replacement_network.CATCH_UP_SECONDS)
    settled = net.voters()
    assert SUCCESSOR in settled
    for _ in range(10):
        net.run(1.0)
        assert net.voters() == settled
