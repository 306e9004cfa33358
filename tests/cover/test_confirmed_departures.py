"""A departure that was acknowledged outlives the instance that took it."""

import random

import dandeliontrail
import pytest

from dandeliontrail.coordination import codec
from dandeliontrail.coordination import servers
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail import failures
from dandeliontrail.resources import changes

from tests.common import keeper_network
from tests.common import platform_world
from tests.common import stream_network

ACCEPTED = changes.ResultKind.ACCEPTED


class Network(stream_network.StreamNetwork):
    """Records the results of departures."""

    def __init__(self, *args, **options):
        self.results = {}
        super().__init__(*args, **options)

    def _apply_effects(self, node, out):
        super()._apply_effects(node, out)
        for effect in out:
            if isinstance(effect, effects.WriteAnswered):
                self.results[effect.write_id] = effect.result.kind

    def depart(self, server, keeper, write_id="w"):
        """Send the departure of a server; ``results`` gets its outcome."""
        server.is_leaving = True
        self.servers.pop(server.name)
        event = events.Announced(server.announcement(), write_id)
        self.apply(self.nodes[keeper], event)

    def takes_work(self, entry, server):
        registry = self.nodes[entry].state.registry
        record = registry.servers.get(server.name)
        return record is not None and record.takes_work(self.now)


@pytest.fixture
def network():
    made = Network(3)
    made.server = made.add_server("v1")
    made.add_server("v1")
    made.run(1.0)
    return made


@pytest.mark.parametrize("keeper", keeper_network.KEEPERS)
def test_no_request_goes_to_a_server_whose_keeper_was_killed(network, keeper):
    network.depart(network.server, keeper)
    while "w" not in network.results:
        network.run(0.01)
    network.kill(keeper)
    assert network.results["w"] is ACCEPTED
    network.run(1.0)
    for entry in network.entries:
        assert not network.takes_work(entry, network.server)


def test_a_departure_that_nobody_else_has_is_not_acknowledged(network):
    keeper = keeper_network.KEEPERS[0]
    for name in list(network.nodes):
        if name != keeper:
            network.frozen.add(name)
    network.depart(network.server, keeper)
    network.run(1.0)
    assert network.results["w"] is changes.ResultKind.UNKNOWN


def test_a_departure_that_another_instance_has_is_acknowledged_at_once(
    network,
):
    first, second, _ = keeper_network.KEEPERS
    network.depart(network.server, first)
    network.run(0.5)
    for name in list(network.nodes):
        if name != second:
            network.frozen.add(name)
    network.servers[network.server.name] = network.server
    network.depart(network.server, second, "again")
    assert network.results == {"w": ACCEPTED, "again": ACCEPTED}


def test_the_only_instance_acknowledges_departures():
    with platform_world.PlatformWorld() as platform:
        server = platform.server(lambda *args: "close")
        path = f"/api/instances/{server.id}"
        assert platform.control("DELETE", path).status == 200
        assert platform.control("DELETE", path).status == 200


def test_receipts_are_read_by_instances_that_know_them_and_others():
    message = servers.ServerRecords([], 7)
    sender = codec.messages.Sender("i0", "", "", "", 1)
    body = codec.encode(codec.Envelope(sender, [message]))
    assert codec.decode(body)[0].messages == [message]
    plain = codec.encode(codec.Envelope(sender, [servers.ServerRecords([])]))
    assert b"receipt" not in plain


class IgnoreFailures(failures.FailureHandler):
    """Goes on after failures, as a host does."""

    def component_failed(self, failure):
        """Pass over a failure."""


def messages_of(out, kind):
    return [
        effect.message
        for effect in out
        if isinstance(effect, effects.SendPeer)
        and isinstance(effect.message, kind)
    ]


@pytest.mark.parametrize("fails", [False, True])
def test_an_instance_sends_a_receipt_for_a_departure_that_it_has(
    network, fails, monkeypatch
):
    entry = network.nodes[network.entries[0]]
    if fails:
        entry.reducer.failure_handler = IgnoreFailures()
        registry = type(entry.state.registry)
        monkeypatch.setattr(registry, "learn", lambda *args: 1 / 0)
    network.server.is_leaving = True
    record = servers.ServerRecord(network.server.announcement())
    sender = codec.messages.Sender("k1", "k1", "fd1", "r1", 1 << 42)
    message = servers.ServerRecords([record], 7)
    event = events.PeerMessageReceived(sender, message)
    out = entry.reducer.apply(event, network.now)
    assert network.takes_work(entry.name, network.server) is fails
    receipts = messages_of(out, servers.RecordsReceived)
    assert receipts == ([] if fails else [servers.RecordsReceived(7)])


def test_a_receipt_for_an_earlier_start_confirms_nothing():
    asked = []
    # Incarnations are times in nanoseconds.
    for incarnation in (10**18, 10**18 + 10**9):
        identity = dandeliontrail.Identity("k1", "fd1", "r1", incarnation)
        made = dandeliontrail.new_reducer(
            identity, random.Random(0), seeds=["k2"]
        )
        sender = codec.messages.Sender("k2", "k2", "fd1", "r1", 1)
        made.state.members.hear(sender, 0.0)
        server = stream_network.Server("s", "v1")
        server.is_leaving = True
        event = events.Announced(server.announcement(), "w")
        (message,) = messages_of(made.apply(event, 0.0), servers.ServerRecords)
        body = codec.encode(codec.Envelope(sender, [message]))
        assert codec.decode(body)[0].messages == [message]
        asked.append(message.receipt)
    first, second = asked
    assert first and second and first != second


def test_an_instance_that_has_heard_nobody_yet_is_not_the_only_one(network):
    network.kill("k1")
    for name in list(network.nodes):
        if name != "k1":
            network.frozen.add(name)
    network.restart("k1")
    network.depart(network.server, "k1")
    network.run(1.0)
    assert network.results["w"] is changes.ResultKind.UNKNOWN
