"""A hedge that the reducer withdraws, at a program that serves callers."""

import types

from dandeliontrail.components import server_ends
from dandeliontrail import events
import gevent
from gevent import event as gevent_event

from tests.common import platform_world
from tests.common import world

ROUTE = platform_world.route(
    "chat", "streaming", resumable=True, gap_aim_ms=300, timeout_ms=8000
)


class SilentServers:
    """The first attempt is silent until ``speak`` is set, the hedge always."""

    def __init__(self):
        self.speak = gevent_event.Event()
        self.hedge_ran = gevent_event.Event()
        self.hedge_closed = gevent_event.Event()

    def script(self, server, sock, head):
        request_id = platform_world.id_of(head)
        if platform_world.header(head, "Last-Event-Id"):
            self.hedge_ran.set()
            platform_world.ends(sock)
            self.hedge_closed.set()
            return "close"
        sock.sendall(platform_world.stream_head(request_id))
        sock.sendall(platform_world.chunk(platform_world.event(1)))
        self.speak.wait()
        sock.sendall(platform_world.chunk(platform_world.event(2)))
        sock.sendall(platform_world.END)
        return None


def block_request(host, request_id):
    """Have three other servers end under a request."""
    (ends,) = [
        item
        for item in host.reducer.components
        if isinstance(item, server_ends.ServerEnds)
    ]
    for name in ("x1", "x2", "x3"):
        attempt = types.SimpleNamespace(
            work=host.reducer.lives[request_id].work,
            incarnation=(name, 0),
            output_at=0.0,
            software_version="",
        )
        failed = events.AttemptFailed(request_id, 1, 0, "", closed=True)
        ends.record_failed_attempt(attempt, failed, host.clock.now())


def test_the_hedge_of_a_blocked_stream_is_closed_and_the_stream_goes_on():
    # Guards against an effect that the host does not know, which is an error
    # of whichever request was handled then, and drops the effects after it.
    servers = SilentServers()
    with platform_world.declared([ROUTE]) as platform:
        entry = platform.entry()
        for _ in range(2):
            platform.knows(entry, platform.server(servers.script))
        caller = gevent.spawn(
            platform.call, entry, "POST", "/chat/x", left="7000", body=b"b"
        )
        assert servers.hedge_ran.wait(5.0)
        block_request(entry.host, "r1")
        world.wait_until(servers.hedge_closed.is_set)
        servers.speak.set()
        reply = caller.get()
        assert (reply.status, reply.whole) == (200, True)
        assert reply.body.count(b"id: ") == 2
        assert entry.host.metrics.counters["faults_total"] == 0
