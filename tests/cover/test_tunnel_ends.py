"""Answers that are cut by the end of a tunnel must not look whole."""

import contextlib
import enum
import socket

from dandeliontrail.decisions import peer_paths
from dandeliontrail import effects
from dandeliontrail_node.forwarding import tunnels
from dandeliontrail_node.listeners import tunnel_app
from dandeliontrail_node import tokens
from dandeliontrail_node import tunnel_frames
from dandeliontrail_node import tunnel_messages
import gevent
from gevent import server as gevent_server
from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from tests.common import platform_world
from tests.common import server_paths
from tests.common import world
from tests.soak import proxy

EVENTS = 6
PART_SECONDS = 0.1
ROUTES = (
    platform_world.route("read", "safe"),
    platform_world.route("order", "non_idempotent", max_attempts=1),
    platform_world.route("chat", "streaming", resumable=True),
    platform_world.route("report", "streaming", max_attempts=1),
)


class Framing(enum.Enum):
    """How an answer says where it ends."""

    CONNECTION = "connection"
    LENGTH = "length"
    CHUNKS = "chunks"


class End(enum.Enum):
    """How a tunnel ends: a killed process's is closed or reset."""

    CLOSED = "closed"
    RESET = "reset"
    INSIDE_A_FRAME = "inside a frame"
    AFTER_A_HEADER = "after a header"


class RecordedTunnel(tunnel_app._Tunnel):
    """Records the tunnels that stand, so that a test can end them."""

    standing = []

    def run(self):
        self.standing.append(self)
        try:
            super().run()
        finally:
            self.standing.remove(self)

    def end(self, how):
        """End the tunnel as the kernel does if its process is killed."""
        sock = self._origin_sock
        with contextlib.suppress(OSError):
            if how is End.INSIDE_A_FRAME:
                sock.sendall(tunnel_frames.encode(b"x" * 9)[:7])
            if how is End.AFTER_A_HEADER:
                sock.sendall(tunnel_frames.encode(b"x" * 9)[:4])
            if how is End.RESET:
                linger = proxy.LINGER_RESET
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                self.ended_by = "reset"
                self._server_sock.shutdown(socket.SHUT_RDWR)
            else:
                sock.shutdown(socket.SHUT_RDWR)


def parts_of(head):
    """Return the parts of an answer, those after the last event."""
    first = int(platform_world.header(head, "last-event-id") or 0) + 1
    return [platform_world.event(n) for n in range(first, EVENTS + 1)]


def slow_server(framing):
    """Return a script that sends an answer in parts."""

    def script(server, sock, head):
        is_stream = " /chat/" in head or " /report/" in head
        kind = "text/event-stream" if is_stream else "text/plain"
        parts = parts_of(head)
        lines = [
            "HTTP/1.1 200 OK",
            f"Content-Type: {kind}",
            f"X-Dandeliontrail-Request-Id: {platform_world.id_of(head)}",
            f"{platform_world.SEAL}: seal",
        ]
        if framing is Framing.LENGTH:
            lines.append(f"Content-Length: {sum(map(len, parts))}")
        if framing is Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
            parts = [platform_world.chunk(part) for part in parts]
            parts[-1] += platform_world.END
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        for part in parts:
            sock.sendall(part)
            gevent.sleep(PART_SECONDS)
        return "close"

    return script


class Site:
    """An entry that reaches its servers through others only."""

    def __init__(self, stack, framing):
        self.platform = stack.enter_context(platform_world.declared(ROUTES))
        self.entries = [self.platform.entry() for _ in range(3)]
        script = slow_server(framing)
        self.servers = [self.platform.server(script) for _ in range(2)]
        for entry in self.entries:
            for server in self.servers:
                self.platform.knows(entry, server)
        (path, *_) = stack.enter_context(
            server_paths.paths_of(self.entries[:1])
        )
        path.cut(server_paths.Cut.RESET)
        self.call("/read/x", "finds-out")

    def call(self, path, request_id):
        return self.platform.call(self.entries[0], "POST", path, request_id)

    def begin(self, path, request_id):
        """Begin a call; return its job once its tunnel has carried a part."""
        job = gevent.spawn(self.call, path, request_id)
        world.wait_until(
            lambda: [item for item in RecordedTunnel.standing if item.bytes]
        )
        gevent.sleep(1.5 * PART_SECONDS)
        return job

    def ran(self, request_id):
        return sum(
            platform_world.id_of(head) == request_id
            for server in self.servers
            for head in server.ran
        )


@pytest.fixture(params=Framing)
def site(request, monkeypatch):
    monkeypatch.setattr(tunnel_app, "_Tunnel", RecordedTunnel)
    with contextlib.ExitStack() as stack:
        yield Site(stack, request.param)


WHOLE = b"".join(platform_world.event(n) for n in range(1, EVENTS + 1))


def cut_during(site, path, how):
    """Make a call whose tunnel ends half-way; return the reply."""
    request_id = f"{path[1:-2]}-{how.name}"
    job = site.begin(path, request_id)
    for tunnel in list(RecordedTunnel.standing):
        tunnel.end(how)
    return request_id, job.get(timeout=10)


def test_an_answer_whose_tunnel_ends_is_never_taken_for_whole(site):
    for how in End:
        request_id, reply = cut_during(site, "/order/x", how)
        assert reply.status == 502, how
        assert site.ran(request_id) == 1


def test_a_stream_whose_tunnel_ends_never_looks_whole(site):
    for how in End:
        request_id, reply = cut_during(site, "/report/x", how)
        assert not reply.whole, how
        assert WHOLE.startswith(reply.body)
        assert site.ran(request_id) == 1


def test_an_answer_is_not_whole_whose_peer_stops_before_its_end(site):
    # A stop beyond the grace period ends the tunnels that still stand.
    for path, status in (("/order/x", 502), ("/report/x", 200)):
        job = site.begin(path, f"stopped-{path[1:-2]}")
        (helper,) = [e for e in site.entries[1:] if e.host.open_tunnels]
        helper._servers["peers"].stop(0.1)
        reply = job.get(timeout=10)
        assert reply.status == status
        assert status != 200 or not reply.whole


def test_what_may_be_repeated_is_whole_although_its_tunnel_ends(site):
    for how in End:
        for path in ("/read/x", "/chat/x"):
            _, reply = cut_during(site, path, how)
            assert (reply.status, reply.body) == (200, WHOLE), how
            assert reply.whole


def test_answers_through_a_tunnel_are_whole(site):
    for path in ("/read/x", "/order/x", "/chat/x", "/report/x"):
        reply = site.call(path, f"whole-{path}")
        assert (reply.status, reply.body, reply.whole) == (200, WHOLE, True)


def answering_peer(answer):
    """Return a peer that answers a request for a tunnel, and its address."""

    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(answer)
        sock.close()

    peer = gevent_server.StreamServer(("127.0.0.1", 0), serve)
    peer.start()
    return peer, f"127.0.0.1:{peer.server_port}"


@pytest.mark.parametrize(
    "protocol, opens",
    [(tunnel_messages.PROTOCOL, True), ("dandeliontrail-tunnel", False)],
)
def test_only_a_tunnel_that_says_its_end_is_used(protocol, opens):
    # Peers of earlier releases pass on bytes alone.
    switching = tunnel_app.SWITCHING.replace(
        tunnel_messages.PROTOCOL.encode(), protocol.encode()
    )
    peer, address = answering_peer(switching + tunnel_frames.encode(b"part"))
    opener = tunnels.TunnelOpener("i1", tokens.PeerKey(""), 1.0, lambda: None)
    check = effects.CheckPath(
        "s1", 1, "http://127.0.0.1:1", peer="i2", peer_address=address
    )
    try:
        sock = opener.open(check)
    except tunnels.NotOpened as exc:
        assert not opens
        assert exc.failure is peer_paths.PathFailure.PEER
        return
    finally:
        peer.stop()
    assert opens
    assert sock.recv(100) == b"part"
    with pytest.raises(tunnels.BrokenTunnel):
        sock.recv(100)
    sock.close()


def test_an_instance_that_knows_no_frames_gets_no_tunnel(site):
    server = site.servers[0]
    helper = site.entries[1]
    known = helper.host.state.registry.servers[server.id].announcement
    request = tunnel_messages.TunnelRequest(
        "old", server.id, known.epoch, known.url
    )
    reply = site.platform.ask(
        helper,
        "POST",
        tunnel_messages.PATH,
        [("Upgrade", "dandeliontrail-tunnel")],
        msgspec.json.encode(request),
        site.platform.ports["inner"],
    )
    assert reply.status == tunnel_messages.REFUSED_STATUS
    assert b"not_serving" in reply.body


@given(st.lists(st.binary(min_size=1, max_size=40)), st.data())
def test_frames_are_decoded_however_they_arrive(parts, data):
    sent = b"".join(map(tunnel_frames.encode, [*parts, b""]))
    decoder = tunnel_frames.FrameDecoder()
    received = b""
    while sent:
        assert not decoder.ended
        size = data.draw(st.integers(1, len(sent)))
        received += decoder.feed(sent[:size])
        sent = sent[size:]
    assert decoder.ended
    assert received == b"".join(parts)
    with pytest.raises(tunnel_frames.FrameError):
        decoder.feed(b"x")
