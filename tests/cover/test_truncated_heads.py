"""A server that stops inside the head of its answer gives no answer.

Wherever the head is cut, and however the connection ends, the caller must not
get a 200 with what there is of a body.
"""

import enum
import itertools
import socket

from dandeliontrail.decisions import held_bytes
from dandeliontrail import effects
from dandeliontrail_node import client_holds
from dandeliontrail_node import connection
from dandeliontrail_node import engine_client
from dandeliontrail_node.forwarding import backend_request
from dandeliontrail_node.forwarding import connections
from dandeliontrail_platform import dialect
import pytest

from tests.common import platform_world
from tests.common import sockets
from tests.soak import proxy

MEMORY_BYTES = 1024 * 1024
FIRST = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEADS = {
    "length": b"Content-Type: text/plain\r\nContent-Length: 11\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n",
    "connection": b"Content-Type: text/plain\r\nConnection: close\r\n\r\n",
    "stream": b"Content-Type: text/event-stream\r\n\r\n",
    "interim": b"Content-Length: 11\r\n\r\n",
    "error": b"X-Dandeliontrail-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
}
STARTS = {
    "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
    "error": b"HTTP/1.1 503 Service Unavailable\r\n",
}
SEAL = b"X-Dandeliontrail-Response-Seal: s\r\n"


class End(enum.Enum):
    """How the server's connection ends."""

    CLOSED = "closed"
    RESET = "reset"


def head_of(kind):
    return STARTS.get(kind, b"HTTP/1.1 200 OK\r\n") + SEAL + HEADS[kind]


class StoppingServer:
    """Answers with one byte more each time, then ends the connection.

    With ``kept``, each connection serves a whole answer before.
    """

    def __init__(self, head, end, kept):
        self._head = head
        self._end = end
        self._kept = kept
        self._sizes = itertools.count()

    def handle(self, sock, address):
        if self._kept:
            sockets.read_request(sock)
            sock.sendall(FIRST)
        if not sockets.read_request(sock):
            return
        sock.sendall(self._head[: next(self._sizes)])
        if self._end is End.RESET:
            linger = proxy.LINGER_RESET
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()


class OwnAttempt:
    """An attempt of the product's own interface."""

    def __init__(self, url):
        self.url = url
        self.monitor = connection.SilenceMonitor()

    def began(self):
        pass

    def head_received(self, answer, refused):
        assert False, "no head is whole"


def read_forwarded(pool, url):
    """Return the body of an answer that is forwarded."""
    dispatch = effects.Dispatch("r1", 1, "s1", url, 5)
    request = backend_request.BackendRequest(
        pool, dispatch, dialect.PlatformDialect(), "r1", []
    )
    request.connect()
    request.prepare("POST", "/", [], b"{}")
    try:
        request.send()
        request.read_head()
        account = held_bytes.HeldBytes(MEMORY_BYTES)
        return request.read_whole_body(client_holds.AnswerHold(account))
    finally:
        request.release()


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("kind", HEADS)
def test_a_truncated_head_is_forwarded_as_a_failure(kind, end, kept):
    head = head_of(kind)
    server = StoppingServer(head, end, kept)
    pool = connections.ConnectionPool(1.0)
    with sockets.raw_server(server.handle) as url:
        for _ in range(len(head)):
            if kept:
                assert read_forwarded(pool, url) == b"ok"
            with pytest.raises(backend_request.Broken):
                read_forwarded(pool, url)


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("kind", HEADS)
def test_a_truncated_head_is_a_failure_on_the_own_interface(kind, end, kept):
    head = head_of(kind)
    server = StoppingServer(head, end, kept)
    outgoing = engine_client.OutgoingRequest("POST", "/", {}, b"{}")
    with sockets.raw_server(server.handle) as url:
        for _ in range(len(head)):
            client = engine_client.PooledEngineClient(1.0, 5.0)
            if kept:
                attempt = OwnAttempt(url)
                attempt.head_received = lambda answer, refused: None
                assert client.open(attempt, outgoing).read_all() == b"ok"
            with pytest.raises(engine_client.Broken):
                client.open(OwnAttempt(url), outgoing)
            client.close()


@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("path", ["/order/", "/report/"])
def test_a_caller_gets_no_success_for_a_truncated_head(path, end):
    head = platform_world.whole(200, b"", "r1", "X-More: 1\r\n")
    # In the status line, in a name, in the length, before the empty line.
    for size in (12, 30, len(head) - 14, len(head) - 2):

        def script(server, sock, request):
            sock.sendall(head[:size])
            if end is End.RESET:
                linger = proxy.LINGER_RESET
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return "close"

        with platform_world.declared() as made:
            entry = made.entry()
            made.knows(entry, made.server(script))
            reply = made.call(entry, "POST", path, body=b"{}")
        assert reply.status == 502
