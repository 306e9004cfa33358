"""Streams that are resumed after all instances were killed at once.

Nobody remembers which version began them.  They are refused while a second
version may have, also where its servers have just left, and never joined.
"""

import random

import pytest

from dandeliontrail import sentinels

from tests.common import stream_network
from tests.cover import test_stream_network

REFUSALS = (sentinels.Reason.UNKNOWN_STREAM, sentinels.Reason.NO_VERSION)


def restart_all(network, down_seconds):
    """Kill all entries at once; they come back with nothing in memory."""
    for name in network.entries:
        network.kill(name)
    network.run(down_seconds)
    for name in network.entries:
        network.restart(name)


def replace_servers(network, version):
    """Start servers of a version beside the others, which then leave."""
    old = [item for item in network.servers.values() if item.is_up]
    for _ in range(2):
        network.add_server(version)
    network.run(1.0)
    for server in old:
        network.leave(server)


def refusals(streams):
    return {
        item.reason
        for stream in streams
        for item in stream.refused_resumptions
    }


@pytest.mark.parametrize("down_seconds", [0.0, 2.0])
@pytest.mark.parametrize("left_for", [0.0, 0.9, 4.0])
@pytest.mark.parametrize("count", [3, 27])
def test_streams_of_servers_that_have_left_are_refused(
    count, left_for, down_seconds
):
    network = test_stream_network.network_of(
        count, versions=("v1",), max_tries=6
    )
    streams = test_stream_network.begin_streams(network, 30)
    replace_servers(network, "v2")
    network.run(left_for)
    late = [network.begin() for _ in range(10)]
    network.run(0.3)
    restart_all(network, down_seconds)
    network.run(8.0)
    assert network.mixed() == []
    broken = [item for item in streams + late if not item.is_complete]
    assert refusals(broken) <= set(REFUSALS)


@pytest.mark.parametrize("count", [3, 9])
def test_streams_whose_servers_are_there_go_on_as_keepers_know_them(count):
    network = test_stream_network.network_of(count)
    streams = test_stream_network.begin_streams(network)
    restart_all(network, 0.0)
    network.run(8.0)
    assert network.mixed() == []
    assert test_stream_network.complete(streams) >= len(streams) - 2


def test_after_the_versions_before_are_retired_unknown_streams_go_on():
    network = test_stream_network.network_of(3, versions=("v1",))
    replace_servers(network, "v2")
    network.run(75.0)
    streams = test_stream_network.begin_streams(network, 12)
    restart_all(network, 0.0)
    network.run(8.0)
    assert network.mixed() == []
    assert test_stream_network.complete(streams) > len(streams) / 2


@pytest.mark.parametrize("seed", range(6))
def test_no_stream_is_joined_under_rollouts_and_restarts_of_all(seed):
    rng = random.Random(seed)
    network = test_stream_network.network_of(
        rng.choice([3, 9, 27]),
        seed,
        loss=rng.choice([0.0, 0.02]),
        max_tries=6,
    )
    versions = ["v1", "v2", "v3", "v4", ""]
    for _ in range(6):
        replace_servers(network, rng.choice(versions))
        network.press(rng.uniform(0.0, 2.5))
        restart_all(network, rng.choice([0.0, 0.05, 0.5, 2.0]))
        network.press(rng.choice([0.1, 1.0, 4.0]))
        for stream in list(network._open.values()):
            if rng.random() < 0.3:
                network.leave_stream(stream)
        assert network.mixed() == []
    network.run(10.0)
    assert network.mixed() == []
    assert any(
        item.events == stream_network.EVENTS for item in network.streams
    )
