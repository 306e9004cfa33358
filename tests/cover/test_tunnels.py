"""Requests that reach their server through another instance."""

import contextlib
import socket
import time

import gevent
import msgspec

from dandeliontrail_node.listeners import resource_views
from dandeliontrail_node import tunnel_messages

from tests.common import platform_world
from tests.common import server_paths
from tests.common import world

Cut = server_paths.Cut
ROUTES = (
    platform_world.route("read", "safe"),
    platform_world.route("order", "non_idempotent", max_attempts=1),
    platform_world.route(
        "chat", "streaming", resumable=True, gap_aim_ms=300, timeout_ms=5000
    ),
    platform_world.route("report", "streaming", gap_aim_ms=1000),
)
EVENTS = 8
EVENT_SECONDS = 0.1
# A caller that leaves ends the work at the server within this time.
CANCEL_SECONDS = 0.5
# Direct paths are used again within this time of the heal.
RETURN_SECONDS = 3.0
REFUSAL_SECONDS = 1.5
REGISTRATION_SECONDS = 0.3


def stream(server, sock, head):
    """Answer with a stream, from the event after which it is resumed."""
    request_id = platform_world.id_of(head)
    if " /chat/" not in head and " /report/" not in head:
        body = f"{request_id} {platform_world.header(head, 'x-note')}"
        sock.sendall(platform_world.whole(200, body.encode(), request_id))
        return
    sock.sendall(platform_world.stream_head(request_id))
    first = int(platform_world.header(head, "last-event-id") or 0) + 1
    for number in range(first, EVENTS + 1):
        sock.sendall(platform_world.chunk(platform_world.event(number)))
        gevent.sleep(EVENT_SECONDS)
    sock.sendall(platform_world.END)


class Deployment:
    """Entries, servers and the paths between them; ``cut`` is ``entries[0]``.

    ``helpers`` are the other entries.
    """

    def __init__(self, stack, entries=2, servers=2, script=stream):
        self.platform = stack.enter_context(platform_world.declared(ROUTES))
        self.entries = [self.platform.entry() for _ in range(entries)]
        self.servers = [self.platform.server(script) for _ in range(servers)]
        for entry in self.entries:
            for server in self.servers:
                self.platform.knows(entry, server)
        self.paths = stack.enter_context(server_paths.paths_of(self.entries))
        self.cut = self.entries[0]
        self.helpers = self.entries[1:]

    def call(self, path="/read/x", request_id="r1", **more):
        method = more.pop("method", "GET")
        return self.platform.call(self.cut, method, path, request_id, **more)

    def cut_off(self, cut=Cut.RESET):
        """Cut the path of ``cut``, and let it find out."""
        self.paths[0].cut(cut)
        self.call(request_id="finds-out")

    def ran(self, request_id):
        """Return the heads of the runs of a request."""
        return [
            head
            for server in self.servers
            for head in server.ran
            if platform_world.id_of(head) == request_id
        ]

    def tunnels_opened(self):
        return sum(
            item.host.metrics.counters["tunnels_opened_total"]
            for item in self.entries
        )


@contextlib.contextmanager
def deployment(**options):
    with contextlib.ExitStack() as stack:
        yield Deployment(stack, **options)


def ids_of(reply):
    return [
        int(line[4:])
        for line in reply.body.decode().split("\n")
        if line.startswith("id: ")
    ]


def metrics_of(entry):
    return resource_views.log_metrics(entry.host)


def test_a_request_through_a_peer_arrives_as_sent_and_runs_once():
    with deployment() as site:
        site.cut_off()
        world.wait_until(
            lambda: "servers_unreachable 2" in metrics_of(site.cut)
        )
        reply = site.call(
            "/order/a?b=c",
            "o1",
            method="POST",
            body=b"x" * 100_000,
            headers=[("X-Note", "as sent")],
        )
        assert (reply.status, reply.body) == (200, b"o1 as sent")
        (head,) = site.ran("o1")
        assert head.startswith("POST /order/a?b=c ")
        assert platform_world.header(head, "x-dandeliontrail-tenant-id")
        assert not platform_world.header(head, "x-api-key")
        left = platform_world.header(head, "x-dandeliontrail-deadline-ms")
        assert 0 < int(left) <= 2000
        assert site.helpers[0].host.open_exchange_count() == 0


def test_a_stream_goes_on_through_a_peer_when_its_path_hangs():
    with deployment() as site:
        site.call()
        job = gevent.spawn(site.call, "/chat/x", "c1")
        gevent.sleep(2.5 * EVENT_SECONDS)
        site.paths[0].cut(Cut.HANG)
        reply = job.get(timeout=5)
    assert reply.whole and reply.status == 200
    assert ids_of(reply) == list(range(1, EVENTS + 1))
    assert len(site.ran("c1")) == 2


def test_a_stream_on_a_connection_that_lives_on_is_left_alone():
    with deployment() as site:
        site.call()
        job = gevent.spawn(site.call, "/chat/x", "c1")
        gevent.sleep(2.5 * EVENT_SECONDS)
        site.paths[0].cut(Cut.REFUSE_NEW)
        for number in range(4):
            site.call(request_id=f"r{number}")
        reply = job.get(timeout=5)
        assert ids_of(reply) == list(range(1, EVENTS + 1))
        assert len(site.ran("c1")) == 1


def test_events_are_passed_on_as_they_come():
    with deployment() as site:
        site.cut_off()
        sock = site.platform.connect(site.cut)
        began = time.monotonic()
        platform_world.send(
            sock, "GET", "/chat/x", platform_world.caller_headers("c1")
        )
        data = b""
        while b"id: 3\n" not in data:
            data += sock.recv(65536)
        assert time.monotonic() - began < 4 * EVENT_SECONDS
        assert b"id: 5\n" not in data


def test_a_caller_that_leaves_ends_the_work_at_the_server():
    ended = []

    def until_closed(server, sock, head):
        if " /chat/" not in head:
            return stream(server, sock, head)
        sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
        sock.sendall(platform_world.chunk(platform_world.event(1)))
        assert platform_world.ends(sock)
        ended.append(time.monotonic())
        return "close"

    with deployment(script=until_closed) as site:
        site.cut_off()
        sock = site.platform.connect(site.cut)
        platform_world.send(
            sock, "GET", "/chat/x", platform_world.caller_headers("c1")
        )
        while b"id: 1\n" not in sock.recv(65536):
            pass
        left = time.monotonic()
        sock.close()
        world.wait_until(lambda: ended, CANCEL_SECONDS)
        assert ended[0] - left < CANCEL_SECONDS


def test_a_helper_that_breaks_after_the_request_began_gives_no_promise():
    broken = []

    def slow(server, sock, head):
        if " /order/" in head:
            broken.append(True)
            gevent.sleep(1.0)
        stream(server, sock, head)

    with deployment(script=slow) as site:
        site.cut_off()
        job = gevent.spawn(site.call, "/order/x", "o1", method="POST")
        world.wait_until(lambda: broken)
        site.paths[1].cut(Cut.RESET)
        reply = job.get(timeout=5)
        assert reply.status == 502
        assert len(site.ran("o1")) == 1


def test_a_reset_of_the_server_does_not_look_like_the_end_of_its_answer():
    def without_length(server, sock, head):
        request_id = platform_world.id_of(head)
        if " /report/" not in head:
            return stream(server, sock, head)
        sock.sendall(
            (
                "HTTP/1.1 200 OK\r\nX-Dandeliontrail-Request-Id: "
                f"{request_id}\r\n{platform_world.SEAL}: seal\r\n\r\npart"
            ).encode()
        )
        gevent.sleep(EVENT_SECONDS)
        linger = server_paths.proxy.LINGER_RESET
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return "close"

    with deployment(script=without_length) as site:
        site.cut_off()
        # The proxy of the path does not pass resets on.
        site.paths[1].bypass()
        reply = site.call("/report/x", "r2")
    assert reply.status == 502


def test_where_all_are_cut_a_request_is_refused_soon_and_asks_few_peers():
    with deployment(entries=4) as site:
        for path in site.paths:
            path.cut(Cut.RESET)
        for number in range(5):
            began = time.monotonic()
            reply = site.call(request_id=f"r{number}")
            assert time.monotonic() - began < REFUSAL_SECONDS
            assert reply.status == 503
            assert 0.0 < float(reply.headers["retry-after"]) <= 2.0
        refused = sum(
            count
            for entry in site.entries
            for name, count in entry.host.metrics.counters.items()
            if name.startswith("tunnels_refused_total")
        )
        # Each asks each other one at most twice for each server.
        assert refused <= 4 * 3 * 2 * 2
        assert not any(server.ran for server in site.servers)


def test_direct_paths_are_used_again_soon_after_the_heal():
    with deployment() as site:
        site.cut_off(Cut.HANG)
        assert site.call(request_id="through").status == 200
        site.paths[0].heal()
        opened = site.tunnels_opened()

        def is_direct():
            before = site.tunnels_opened()
            assert site.call(request_id="again").status == 200
            return site.tunnels_opened() == before

        world.wait_until(is_direct, RETURN_SECONDS)
        assert site.tunnels_opened() >= opened


def test_a_server_that_is_silent_for_a_second_is_no_partition():
    silent = []

    def falls_silent(server, sock, head):
        if not silent:
            silent.append(True)
            gevent.sleep(1.0)
        stream(server, sock, head)

    with deployment(script=falls_silent, servers=1) as site:
        assert site.call().status == 200
        assert not site.tunnels_opened()
        assert len(site.ran("r1")) == 1


def test_calm_traffic_opens_no_tunnels_and_checks_no_paths():
    with deployment() as site:
        # A server that registers has its idle connections dropped.
        gevent.sleep(REGISTRATION_SECONDS)
        for number in range(10):
            assert site.call(request_id=f"r{number}").status == 200
            gevent.sleep(0.05)
        assert not site.tunnels_opened()
        assert sum(path.opened for path in site.paths) <= 2


def test_what_a_server_in_reach_has_no_room_for_goes_through_a_peer():
    def slow(server, sock, head):
        gevent.sleep(0.5)
        stream(server, sock, head)

    with deployment(script=slow) as site:
        site.paths[0].cut(Cut.RESET, site.servers[1:])
        jobs = []
        for number in range(16):
            jobs.append(gevent.spawn(site.call, request_id=f"r{number}"))
            gevent.sleep(0.02)
        gevent.joinall(jobs, raise_error=True)
        assert {job.value.status for job in jobs} == {200}
        # The first has four places.
        assert len(site.servers[1].ran) >= 4


def test_a_draining_peer_finishes_its_tunnels_and_takes_no_more():
    with deployment(entries=3) as site:
        site.cut_off()
        job = gevent.spawn(site.call, "/chat/x", "c1")
        world.wait_until(
            lambda: any(item.host.open_tunnels for item in site.helpers)
        )
        (helper,) = [item for item in site.helpers if item.host.open_tunnels]
        drained = gevent.spawn(helper.drain)
        gevent.sleep(EVENT_SECONDS)
        opened = helper.host.metrics.counters["tunnels_opened_total"]
        for number in range(5):
            assert site.call(request_id=f"r{number}").status == 200
        counters = helper.host.metrics.counters
        assert counters["tunnels_opened_total"] == opened
        reply = job.get(timeout=5)
        assert reply.whole and ids_of(reply) == list(range(1, EVENTS + 1))
        drained.join()


def test_an_instance_that_has_left_before_its_tunnel_stands_is_no_fault(
    capsys,
):
    with deployment() as site:
        path = site.paths[1]
        connect = path.connect

        def connect_late(address, seconds):
            gevent.sleep(0.1)
            return connect(address, seconds)

        site.helpers[0].host.connection_pools[0].connect = connect_late
        sock = site.platform.connect(
            site.helpers[0], site.platform.ports["inner"]
        )
        body = tunnel_request(site)
        upgrade = [("Upgrade", tunnel_messages.PROTOCOL)]
        platform_world.send(
            sock, "POST", tunnel_messages.PATH, upgrade, body=body
        )
        linger = server_paths.proxy.LINGER_RESET
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        gevent.sleep(0.05)
        sock.close()
        gevent.sleep(0.3)
        assert not site.helpers[0].host.open_tunnels
        assert "listener failed" not in capsys.readouterr().err


def tunnel_request(site, **changes):
    """Return the body of a request for a tunnel to the first server."""
    helper = site.helpers[0]
    server = site.servers[0]
    known = helper.host.state.registry.servers[server.id].announcement
    fields = {
        "origin": "someone",
        "backend_server": server.id,
        "epoch": known.epoch,
        "url": known.url,
        **changes,
    }
    return msgspec.json.encode(tunnel_messages.TunnelRequest(**fields))


def ask_for_tunnel(site, **changes):
    """Ask a helper for a tunnel; return the reply."""
    return site.platform.ask(
        site.helpers[0],
        "POST",
        tunnel_messages.PATH,
        body=tunnel_request(site, **changes),
        port=site.platform.ports["inner"],
    )


def test_a_peer_connects_only_to_servers_that_it_knows():
    with deployment() as site:
        keeper = site.platform.keeper.ip
        port = site.platform.ports["control"]
        for changes in (
            {"url": f"http://{keeper}:{port}"},
            {"epoch": 12345},
            {"backend_server": "unknown"},
        ):
            reply = ask_for_tunnel(site, **changes)
            assert reply.status == tunnel_messages.REFUSED_STATUS
            assert b"unknown_server" in reply.body


def test_callers_cannot_ask_for_a_tunnel():
    with deployment() as site:
        reply = site.call(tunnel_messages.PATH, method="POST")
        assert reply.status == 404
        assert not site.tunnels_opened()


def test_an_instance_with_few_paths_spreads_its_work_over_all_servers():
    def slow(server, sock, head):
        gevent.sleep(0.2)
        stream(server, sock, head)

    with deployment(script=slow, servers=4) as site:
        site.paths[0].cut(Cut.RESET, site.servers[1:])
        for server in site.servers * 3:
            site.call(request_id=f"finds-out-{server.id}")
        for server in site.servers:
            server.ran.clear()
        jobs = []
        for number in range(20):
            jobs.append(gevent.spawn(site.call, request_id=f"r{number}"))
            gevent.sleep(0.05)
        gevent.joinall(jobs, raise_error=True)
        assert {job.value.status for job in jobs} == {200}
        assert min(len(server.ran) for server in site.servers) >= 2
