"""Repeats stay within the budget when cuts hold attempts back."""

import random

import pytest

from tests.common import held_network

REQUESTS_PER_SECOND = 40.0
SERVERS = [f"s{number}" for number in range(6)]


def network_under_load(seed=0):
    network = held_network.HeldNetwork(seed=seed)
    network.press(REQUESTS_PER_SECOND)
    network.run(12.0)
    return network


def assert_within(network):
    repeats, allowed = network.judge.worst()
    assert repeats <= allowed, (repeats, allowed)


@pytest.mark.parametrize("seconds", [4.0, 6.0, 8.0])
@pytest.mark.parametrize("held", [3, 5, 6])
def test_attempts_that_were_held_back_arrive_within_the_budget(held, seconds):
    network = network_under_load()
    network.hold(SERVERS[:held])
    network.run(seconds)
    network.fail("reject")
    network.release()
    network.run(12.0)
    assert_within(network)


@pytest.mark.parametrize("seed", range(3))
def test_cuts_kills_joins_and_moving_load_at_once_stay_within(seed):
    rng = random.Random(seed)
    network = network_under_load(seed)
    for _ in range(3):
        network.hold(rng.sample(SERVERS, 3))
        network.run(rng.uniform(1.0, 8.0))
        for name in rng.sample(network.entries, 2):
            network.kill(name)
            network.restart(name)
        network.fail(rng.choice(("reject", "close")))
        network.join()
        network.cut_off(network.in_domain(rng.choice(("fd1", "fd2"))))
        network.press(
            REQUESTS_PER_SECOND * rng.choice((1, 3)),
            rng.sample(network.entries, rng.randint(1, 7)),
        )
        network.release()
        network.run(rng.uniform(1.0, 6.0))
        network.heal()
        network.fail("serve")
    network.run(10.0)
    assert_within(network)


def test_hedges_are_still_sent_while_paths_are_held():
    network = network_under_load()
    network.hold(SERVERS[:3])
    served = network.served
    network.run(2.0)
    assert network.served - served >= 1.5 * REQUESTS_PER_SECOND * 0.5
