"""How an answer ended is known, and said in the log."""

import contextlib
import enum
import logging
import socket
import time

from dandeliontrail_node import connection
from dandeliontrail_node.forwarding import tunnels
from dandeliontrail_node.listeners import tunnel_app
from dandeliontrail_platform import dialect
import gevent
from gevent import server as gevent_server
import pytest

from tests.common import platform_world
from tests.common import server_paths
from tests.soak import proxy

EVENTS = 3
# More than what the buffers of a connection hold.
LARGE_BODY = b"x" * (3 * 1024 * 1024)
BUFFER_BYTES = 16 * 1024
# More than those buffers, and less than what a receiver's kernel takes.
LARGE_ANSWER = b"y" * (160 * 1024)
ROUTES = (
    platform_world.route("read", "safe", timeout_ms=6000),
    platform_world.route(
        "order", "non_idempotent", max_attempts=1, timeout_ms=6000
    ),
    platform_world.route("chat", "streaming", resumable=True, timeout_ms=6000),
    platform_world.route(
        "report", "streaming", max_attempts=1, timeout_ms=6000
    ),
)
WHOLE = b"".join(platform_world.event(n) for n in range(1, EVENTS + 1))


class Framing(enum.Enum):
    """What of an answer says where it ends, as the log names it."""

    CONNECTION = "connection"
    LENGTH = "length"
    CHUNKS = "last_chunk"


class Lines(logging.Handler):
    """Collects the lines ``request ended`` of one instance."""

    def __init__(self, running):
        super().__init__(logging.INFO)
        self.ends = {}
        running.host.logger.setLevel(logging.INFO)
        running.host.logger.addHandler(self)

    def emit(self, record):
        if record.getMessage() == "request ended":
            self.ends[record.request_id] = record


class EarlyServer:
    """Answers before it has read the request's body, then resets.

    Its answers have neither length nor chunks, unless it has a ``body``; with
    ``lingers`` that ends with the connection, and the request is read on.
    """

    def __init__(self, body=b"", lingers=False):
        self._body = body
        self._lingers = lingers
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.ran = []
        self._server = gevent_server.StreamServer(listener, self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"
        self.id = f"i-early-{self._server.server_port}"

    def _serve(self, sock, address):
        data = b""
        while b"\r\n\r\n" not in data:
            more = sock.recv(1024)
            if not more:
                return
            data += more
        head = data.partition(b"\r\n\r\n")[0].decode()
        if "content-length" not in head.lower():
            sock.sendall(
                platform_world.whole(200, b"", platform_world.id_of(head))
            )
            return
        self.ran.append(platform_world.id_of(head))
        # By now the sender waits until more of the body is read.
        gevent.sleep(0.2)
        if self._lingers:
            sock.sendall(answer_head(head) + self._body)
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(BUFFER_BYTES):
                gevent.sleep(0.001)
            return
        if self._body:
            length = f"Content-Length: {len(self._body)}"
            sock.sendall(answer_head(head, length) + self._body)
        else:
            sock.sendall(answer_head(head) + WHOLE)
        gevent.sleep(0.2)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, proxy.LINGER_RESET
        )
        sock.close()

    def close(self):
        self._server.stop(0)


def answer_head(head, *lines):
    is_stream = " /chat/" in head or " /report/" in head
    kind = "text/event-stream" if is_stream else "text/plain"
    return "\r\n".join(
        (
            "HTTP/1.1 200 OK",
            f"Content-Type: {kind}",
            f"{dialect.REQUEST_ID}: {platform_world.id_of(head)}",
            f"{platform_world.SEAL}: seal",
            *lines,
            "\r\n",
        )
    ).encode()


def connect_with_small_buffer(address, seconds):
    """Return a connection that soon waits until its server reads."""
    sock = connection.connect(address, seconds)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    return sock


def framed_server(framing):
    """Return a script that sends a whole answer."""

    def script(server, sock, head):
        if framing is Framing.CONNECTION:
            sock.sendall(answer_head(head) + WHOLE)
            return "close"
        if framing is Framing.LENGTH:
            length = f"Content-Length: {len(WHOLE)}"
            sock.sendall(answer_head(head, length) + WHOLE)
            return None
        chunked = "Transfer-Encoding: chunked"
        sock.sendall(
            answer_head(head, chunked)
            + platform_world.chunk(WHOLE)
            + platform_world.END
        )
        return None

    return script


class Site:
    """An entry that reaches its servers directly or through a peer."""

    def __init__(self, stack, tunnelled):
        self.platform = stack.enter_context(platform_world.declared(ROUTES))
        self.entries = [self.platform.entry() for _ in range(2)]
        self.lines = Lines(self.entries[0])
        self._tunnelled = tunnelled
        for entry in self.entries:
            (pool,) = entry.host.connection_pools
            pool.connect = connect_with_small_buffer
        if tunnelled:
            (self._path,) = stack.enter_context(
                server_paths.paths_of(self.entries[:1])
            )

    def add(self, server):
        for entry in self.entries:
            self.platform.knows(entry, server)
        if self._tunnelled:
            self._path.cut(server_paths.Cut.RESET)
            self.platform.call(self.entries[0], "GET", "/read/x", "finds-out")
        return server

    def early_server(self, body=b"", lingers=False):
        server = EarlyServer(body, lingers)
        self.platform.at_end(server.close)
        self.platform.heartbeat(server)
        return self.add(server)

    def call(self, path, request_id, body=b""):
        return self.platform.call(
            self.entries[0], "POST", path, request_id, body=body, left="5000"
        )

    def through(self):
        return self.entries[1].ip if self._tunnelled else ""


@pytest.fixture(params=["direct", "in a tunnel"])
def site(request):
    with contextlib.ExitStack() as stack:
        yield Site(stack, request.param == "in a tunnel")


@pytest.mark.parametrize("framing", Framing)
def test_the_log_says_how_an_answer_ended(site, framing):
    site.add(site.platform.server(framed_server(framing)))
    for path in ("/read/x", "/order/x", "/chat/x", "/report/x"):
        reply = site.call(path, path)
        assert (reply.status, reply.body, reply.whole) == (200, WHOLE, True)
        line = site.lines.ends[path]
        assert line.answer_end == framing.value
        assert line.through == site.through()
        assert line.body_bytes == len(WHOLE)
        is_stream = path in ("/chat/x", "/report/x")
        assert line.whole_events == (EVENTS if is_stream else 0)
        assert line.last_id == (str(EVENTS) if is_stream else "")


def test_an_answer_that_is_reset_while_its_request_is_sent_is_not_whole(site):
    # The kernel reports a reset once, and the send takes the report.
    server = site.early_server()
    reply = site.call("/order/x", "early-order", LARGE_BODY)
    assert reply.status == 502
    assert server.ran == ["early-order"]


def test_a_stream_that_is_reset_while_its_request_is_sent_is_cut(site):
    server = site.early_server()
    reply = site.call("/report/x", "early-report", LARGE_BODY)
    assert not (reply.status == 200 and reply.whole)
    assert server.ran == ["early-report"]


class SmallTunnel(tunnel_app._Tunnel):
    """A tunnel that soon waits until the instance that asked reads."""

    def run(self):
        self._origin_sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES
        )
        super().run()


@pytest.mark.parametrize("lingers", [False, True])
def test_an_early_answer_larger_than_the_buffers_comes_through_a_tunnel(
    monkeypatch, lingers
):
    # The peer must not close while the instance still sends its request.
    monkeypatch.setattr(tunnel_app, "_Tunnel", SmallTunnel)
    connect = tunnels.connection.connect

    def connect_to_peer(address, seconds, source=None):
        sock = connect(address, seconds, source)
        if address.startswith(site.through()):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        return sock

    with contextlib.ExitStack() as stack:
        site = Site(stack, tunnelled=True)
        server = site.early_server(LARGE_ANSWER, lingers)
        monkeypatch.setattr(tunnels.connection, "connect", connect_to_peer)
        began = time.monotonic()
        reply = site.call("/order/x", "early-large", LARGE_BODY)
    assert (reply.status, reply.whole) == (200, True)
    assert reply.body == LARGE_ANSWER
    assert server.ran == ["early-large"]
    assert time.monotonic() - began < 2.5
