"""A component or effect that fails takes nothing else with it."""

import logging

from dandeliontrail.coordination import messages
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail import interfaces
from dandeliontrail import reducer as reducer_module
from dandeliontrail_node import host as host_module
from dandeliontrail_node import metrics
import pytest

from tests.common import reducers

SENDER = messages.Sender("i2", "127.0.0.1:2", "fd1", "r1", 1)
LEFT_EARLY = events.CallerGone("r1")
MESSAGE = events.PeerMessageReceived(SENDER, messages.Heartbeat())


class Component(interfaces.Component):
    """Sends a peer a message about everything that it handles."""

    def __init__(self, address):
        self.address = address

    def handlers(self):
        return {
            events.CallerGone: self.handle_event,
            messages.Heartbeat: self.handle_message,
        }

    def handle_event(self, event, now):
        return self.tick(now)

    def handle_message(self, source, message, now):
        return self.tick(now)

    def tick(self, now):
        return [effects.SendPeer(self.address, messages.Heartbeat())]


class Failing(Component):
    """Fails at everything."""

    def tick(self, now):
        raise KeyError("seven")


class Clock(interfaces.Clock):
    def __init__(self):
        self.seconds = 0.0

    def now(self):
        return self.seconds


class PeerLink(interfaces.PeerLink):
    """Collects the addresses sent to; sending to ``bad`` fails."""

    def __init__(self):
        self.addresses = []

    def send(self, address, message):
        if address == "bad":
            raise OSError("no buffer")
        self.addresses.append(address)


class Exchange:
    request_id = "r1"

    def __init__(self):
        self.failures = 0

    def report_reducer_failure(self):
        self.failures += 1


class World:
    """A host whose reducer has the given components."""

    def __init__(self, *components):
        assembled = reducers.new_reducer()
        self.reducer = reducer_module.Reducer(
            assembled.state, assembled.policy, components, assembled.lives
        )
        self.clock = Clock()
        self.link = PeerLink()
        self.metrics = metrics.Metrics()
        self.host = host_module.Host(
            self.reducer,
            self.clock,
            self.link,
            None,
            self.metrics,
            logging.getLogger("test"),
        )
        self.exchange = Exchange()
        self.host.attach(self.exchange)

    def count(self, name):
        return self.metrics.counters[name]

    def run(self, kind):
        if kind == "tick":
            self.host.tick()
        else:
            self.host.submit(MESSAGE if kind == "message" else LEFT_EARLY)


def fault_lines(caplog):
    return [item for item in caplog.records if item.msg == "event failed"]


@pytest.mark.parametrize("kind", ["event", "message", "tick"])
def test_a_failing_component_takes_no_effects_of_others(kind, caplog):
    world = World(Component("a"), Failing("b"), Component("c"))
    world.run(kind)
    assert world.link.addresses == ["a", "c"]
    assert world.count("faults_total") == 1
    assert world.count('component_faults_total{component="Failing"}') == 1
    (line,) = fault_lines(caplog)
    assert line.component == "Failing"


def test_the_line_of_a_failed_message_names_it_and_its_sender(caplog):
    World(Failing("a")).run("message")
    (line,) = fault_lines(caplog)
    assert line.event == "Heartbeat"
    assert line.source == "i2"


def test_a_request_hears_once_that_its_event_failed():
    world = World(Component("a"), Failing("b"))
    world.run("event")
    assert world.exchange.failures == 1
    world.run("message")
    assert world.exchange.failures == 1


def test_a_failure_in_each_tick_does_not_flood_the_log(caplog):
    world = World(Failing("a"))
    for _ in range(1200):
        world.clock.seconds += host_module.TICK_SECONDS
        world.run("tick")
    assert world.count("faults_total") == 1200
    lines = fault_lines(caplog)
    assert len(lines) == 2
    assert sum(line.left_out for line in lines) == 599


def test_other_failures_are_logged_beside_one_in_each_tick(caplog):
    world = World(Failing("a"))
    for kind in ("tick", "tick", "event", "message"):
        world.run(kind)
    events_logged = [line.event for line in fault_lines(caplog)]
    assert events_logged == ["Tick", "CallerGone", "Heartbeat"]


@pytest.mark.parametrize("kind", ["event", "message", "tick"])
def test_a_failing_effect_takes_no_later_ones_with_it(kind, caplog):
    world = World(Component("a"), Component("bad"), Component("c"))
    world.run(kind)
    assert world.link.addresses == ["a", "c"]
    assert world.count("faults_total") == 1
    (line,) = fault_lines(caplog)
    assert line.event == "SendPeer"


def test_events_behind_a_failing_one_are_applied():
    world = World(Failing("bad"), Component("c"))
    world.host.submit(LEFT_EARLY)
    world.host.submit(LEFT_EARLY)
    assert world.link.addresses == ["c", "c"]


def test_a_reducer_without_a_host_raises():
    assembled = reducers.new_reducer()
    alone = reducer_module.Reducer(
        assembled.state, assembled.policy, [Failing("a")], {}
    )
    with pytest.raises(KeyError):
        alone.apply(LEFT_EARLY, 0.0)
    with pytest.raises(KeyError):
        alone.tick(0.0)
