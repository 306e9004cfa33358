"""Streams taken up at an entry that is out of step, while servers join.

The entry does not know of the version that began them.
"""

import itertools

import pytest

from tests.common import out_of_step

# Clocks of hosts do not step; where one does, only joining is excluded.
LASTING = set(out_of_step.Trouble) - {out_of_step.Trouble.CLOCK_STEP}
_seeds = itertools.count(1)
PLAYS = [
    (trouble, loss, count, next(_seeds))
    for trouble in out_of_step.Trouble
    for loss, count in (
        (out_of_step.Loss.BEGINNER, 3),
        (out_of_step.Loss.ALL, 9),
    )
]


@pytest.mark.parametrize("trouble, loss, count, seed", PLAYS)
def test_streams_taken_up_at_an_entry_out_of_step_are_not_joined(
    trouble, loss, count, seed
):
    play = out_of_step.Play(seed, count, trouble, loss)
    assert play.run() == []
    assert play.taken_up
    if trouble in LASTING:
        share = out_of_step.complete(play.settled)
        assert share >= out_of_step.complete(play.compared) - 1


@pytest.mark.parametrize("count, seed", [(3, 1), (9, 2), (27, 3)])
def test_troubles_in_series_join_nothing(count, seed):
    play = out_of_step.Play(seed, count, rounds=2)
    assert play.run() == []


def streams_beyond_a_paused_keeper(seed, wait, asked_for, with_clock):
    """Have streams taken up where only a paused keeper is in reach.

    Callers come to that entry after ``wait`` seconds; the keeper runs again
    ``asked_for`` seconds later.  Returns the network and the streams.
    """
    network = out_of_step.OutOfStepNetwork(3, seed, max_tries=6)
    for _ in range(2):
        network.add_server("v1")
    network.run(1.0)
    network.partition(["i0"], ["i1", "i2", "k2", "k3"])
    network.freeze("k1", with_clock)
    for _ in range(2):
        network.add_server("v2")
    network.run(1.2)
    streams = [network.begin("i1") for _ in range(12)]
    network.run(wait)
    for stream in streams:
        if stream.events:
            network.leave_stream(stream, "i0")
    network.run(asked_for)
    network.thaw("k1")
    network.run(4.0)
    return network, streams


@pytest.mark.parametrize("seed", [2, 3, 5])
def test_a_keeper_that_was_paused_proves_nothing(seed):
    network, streams = streams_beyond_a_paused_keeper(
        seed, 0.5, 0.8, with_clock=False
    )
    assert any("v2" in stream.versions for stream in streams)
    assert network.mixed() == []


def test_a_keeper_whose_clock_stood_still_proves_nothing():
    network, streams = streams_beyond_a_paused_keeper(
        5, 0.5, 0.8, with_clock=True
    )
    assert any("v2" in stream.versions for stream in streams)
    assert network.mixed() == []


@pytest.mark.parametrize("trouble", out_of_step.Trouble)
def test_a_server_back_with_other_software_continues_nothing(trouble):
    # Its new start is another one for the requests, but unknown to the entry.
    network = out_of_step.OutOfStepNetwork(3, 1, max_tries=6)
    server = network.add_server("v1", "s", epoch=1)
    network.run(1.0)
    streams = [network.begin("i1") for _ in range(12)]
    network.run(0.5)
    network.begin_trouble("i0", trouble)
    network.crash(server)
    network.add_server("v2", "s", epoch=2)
    for stream in streams:
        network.leave_stream(stream, "i0")
    network.run(1.5)
    network.end_trouble("i0")
    network.run(6.0)
    assert all(stream.events for stream in streams)
    assert network.mixed() == []
