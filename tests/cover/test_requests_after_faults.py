"""A request whose event failed in the reducer leaves nothing behind."""

import contextlib

from dandeliontrail import events
import pytest

from tests.common import platform_world
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
