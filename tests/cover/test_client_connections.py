"""Which connection makes room when all of a listener's are taken."""

import hypothesis
from hypothesis import strategies as st
import pytest

from dandeliontrail.decisions import client_limits
from dandeliontrail_node import client_connections
from dandeliontrail_node import client_report

State = client_connections.State
SLOW = client_connections.SLOW_SECONDS


class Ended(list):
    """Names of the connections that were ended, in order."""

    def connection(self, name, state, since=0.0):
        conn = client_connections.ClientConnection(
            0.0, lambda: self.append(name)
        )
        conn.abort_writing = lambda: self.append(f"{name} aborted")
        conn.enter(state, since)
        return conn


def ended_in_order(states, now):
    """Return which of some connections are closed, one after the other."""
    ended = Ended()
    table = client_connections.ClientConnections(len(states))
    for name, (state, since) in states.items():
        table.add(ended.connection(name, state, since))
    while table.make_room(now):
        pass
    return ended


def test_those_that_have_said_nothing_go_first_and_served_ones_stay():
    states = {
        "served": (State.SERVED, 0.0),
        "idle": (State.IDLE, 50.0),
        "idle longer": (State.IDLE, 40.0),
        "writing": (State.WRITING, 10.0),
        "slow head": (State.HEAD, 90.0),
        "slow body": (State.BODY, 80.0),
        "head": (State.HEAD, 99.0),
        "body": (State.BODY, 99.0),
        "answer is taken": (State.WRITING, 99.0),
        "silent": (State.SILENT, 99.0),
        "silent longer": (State.SILENT, 98.0),
    }
    assert ended_in_order(states, 100.0) == [
        "silent longer",
        "silent",
        "slow body",
        "slow head",
        "idle longer",
        "idle",
        "writing aborted",
    ]


def test_none_is_closed_twice():
    ended = Ended()
    table = client_connections.ClientConnections(1)
    conn = ended.connection("only", State.SILENT)
    table.add(conn)
    assert table.needs_room
    assert table.make_room(1.0) is State.SILENT
    assert table.make_room(2.0) is None
    # Others are not closed for the room that it is about to give.
    assert not table.needs_room
    table.remove(conn)
    assert not table.needs_room
    assert ended == ["only"]


@hypothesis.given(
    st.integers(0, 2**34), st.integers(client_limits.MIN_DESCRIPTORS, 2**20)
)
def test_limits_add_up_to_less_than_the_instance_has(memory, descriptors):
    limits = client_limits.derive(memory, descriptors)
    connections = (
        limits.clients + 2 * limits.further + limits.peers + 2 * limits.status
    )
    assert connections < descriptors
    assert limits.held_bytes <= max(0, memory - client_limits.PROGRAM_BYTES)
    assert 2 * limits.tunnels <= limits.peers
    spare = max(0, memory - client_limits.PROGRAM_BYTES)
    least = 6 * client_limits.MIN_CONNECTIONS
    assert (
        connections * client_limits.CONNECTION_BYTES + limits.held_bytes
        <= (spare + (least + 2) * client_limits.CONNECTION_BYTES)
    )


class Lines:
    """A logger that keeps the fields of each line."""

    def __init__(self):
        self.fields = []

    def info(self, message, extra):
        self.fields.append(extra)


@pytest.mark.parametrize("crowd", [1, 1000])
def test_a_crowd_is_one_line_and_a_count(crowd):
    lines = Lines()
    counters = {}
    report = client_report.ClientReport(lines, counters, lambda: 7.0)
    for _ in range(crowd):
        report.note("no_room", "full")
    assert len(lines.fields) == 1
    assert counters == {'clients_refused_total{reason="no_room"}': crowd}
