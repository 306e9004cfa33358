"""A request whose event failed in the reducer leaves nothing behind."""

import contextlib

from dandeliontrail.components import dispatching
from dandeliontrail.components import requests
from dandeliontrail import events
from dandeliontrail import failures
from dandeliontrail_lab import client
import pytest

from tests.common import platform_world
from tests.common import stream_network
from tests.common import world


@contextlib.contextmanager
def failing(entry, kind):
    """Have a component fail at one kind of event, after all others."""
    handlers = entry.host.reducer._handlers[kind]

    def fail(event, now):
        raise KeyError("seven")

    handlers.append(("Failing", fail))
    yield
    handlers.pop()


def answer(server, sock, head):
    sock.sendall(
        platform_world.whole(200, b"done", platform_world.id_of(head))
    )


@pytest.mark.parametrize("route", ["read", "order", "chat"])
def test_a_request_refused_after_a_fault_ends(route):
    with platform_world.declared() as platform:
        entry = platform.entry()
        server = platform.server(answer)
        platform.knows(entry, server)
        with failing(entry, events.RoutedRequestReceived):
            reply = platform.call(entry, "POST", f"/{route}/x")
        assert reply.status == 500
        world.wait_until(lambda: not entry.host.reducer.lives)
        assert not server.ran


@pytest.mark.parametrize("class_name", ["lookup", "summary"])
@pytest.mark.parametrize("stream", [True, False])
def test_a_request_of_the_own_interface_refused_after_a_fault_ends(
    class_name, stream
):
    with world.World() as made:
        instance = made.instance("i1")
        engine = made.engine("e1")
        made.apply({"lookup": {}, "summary": {"repeatable": False}})
        handlers = instance.host.reducer._handlers[events.RequestReceived]

        def fail(event, now):
            raise KeyError("seven")

        handlers.append(("Failing", fail))
        address = instance.addresses["callers"]
        ask = client.Ask(
            address, world.KEY, class_name, "hello", stream=stream
        )
        assert client.send(ask).status == 500
        handlers.pop()
        world.wait_until(lambda: not instance.host.reducer.lives, 5.0)
        assert not engine.ran


class IgnoreFailures(failures.FailureHandler):
    """Goes on after failures, as a host does."""

    def component_failed(self, failure):
        """Pass over a failure."""


def test_a_fault_at_one_dispatch_of_a_round_ends_no_other(monkeypatch):
    network = stream_network.StreamNetwork(1, max_tries=1)
    (entry,) = network.entries
    network.nodes[entry].reducer.failure_handler = IgnoreFailures()
    network.add_server("v1")
    network.run(1.0)
    with monkeypatch.context() as patch:
        patch.setattr(requests.Requests, "_run_policy", lambda *args: [])
        streams = [network.begin(entry) for _ in range(3)]
    dispatch = dispatching.dispatch
    tried = []

    def fail_once(state, request, *args):
        tried.append(request.work.request_id)
        if len(tried) == 2:
            raise KeyError("seven")
        return dispatch(state, request, *args)

    monkeypatch.setattr(dispatching, "dispatch", fail_once)
    network.run(5.0)
    assert sum(stream.is_complete for stream in streams) == 2
