"""A keeper that goes while the voters are being changed.

Guards against a configuration that ends for good: a leader that was told to
stop ended between the two entries of the change that takes it out, and a
keeper that had lost its disk was tried again and again after it had gone.
"""

from dandeliontrail import events
import pytest

from tests.common import replacement_network

CATCH_UP_SECONDS = replacement_network.CATCH_UP_SECONDS
GRACE_SECONDS = 8.0
STEP_SECONDS = 0.01


def stop(net, name):
    """Tell a keeper to stop; kill it as soon as it would end."""
    node = net.nodes[name]
    net.apply(node, events.ShutdownBegan())
    end = net.now + GRACE_SECONDS
    while node.state.log.is_handing_over(net.now):
        assert net.now < end
        net.run(STEP_SECONDS)
    net.kill(name)


@pytest.mark.parametrize("is_leader", [True, False], ids=["leader", "voter"])
@pytest.mark.parametrize("seed", range(8))
def test_a_keeper_that_is_told_to_stop_stays_until_it_counts_no_more(
    seed, is_leader
):
    net = replacement_network.ReplacementNetwork(seed, entries=1)
    # Of another failure domain, so that it does not vote yet.
    net.add_keeper("k4", "fd4")
    net.run(CATCH_UP_SECONDS)
    leader = net.leader()
    others = sorted(set(net.voters()) - {leader})
    name = leader if is_leader else others[0]
    wiped = next(item for item in others if item != name)
    stop(net, name)
    net.kill(wiped)
    net.lose_disk(wiped)
    net.run(1.0)
    net.restart(wiped)
    assert net.recovers()


def test_a_keeper_that_lost_its_disk_and_went_leaves_its_place_in_time():
    net = replacement_network.ReplacementNetwork(1, entries=1)
    net.kill("k1")
    net.lose_disk("k1")
    net.run(0.2)
    net.restart("k1")
    net.run(0.8)
    net.add_keeper("k4", "fd1")
    net.run(0.2)
    net.kill("k1")
    net.run(CATCH_UP_SECONDS - 0.2)
    assert net.voters() == ["k2", "k3", "k4"]
