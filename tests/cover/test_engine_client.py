"""Tests when the client of backend servers may repeat a request."""

import errno

import pytest

from dandeliontrail_node import connection
from dandeliontrail_node import engine_client

from tests.common import sockets


class Attempt:
    def __init__(self, url):
        self.url = url
        self.monitor = connection.SilenceMonitor()
        self.begun = 0

    def began(self):
        self.begun += 1

    def head_received(self, answer, refused):
        pass


def make_client():
    return engine_client.PooledEngineClient(1.0, 5.0)


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
def test_does_not_resend_over_a_connection_that_was_closed(method):
    # An order is placed twice. The service closes the kept-alive connection
    # just as the second call is sent, and the HTTP library resent a PUT over
    # new connections by itself, up to 513 times.
    seen = []

    def handle(sock, address):
        seen.append(sockets.read_request(sock))
        if len(seen) == 1:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            seen.append(sockets.read_request(sock))
        sock.close()

    with sockets.raw_server(handle) as url:
        client = make_client()
        outgoing = engine_client.OutgoingRequest(method, "/order", {}, b"x")
        attempt = Attempt(url)
        assert client.open(attempt, outgoing).read_all() == b"ok"
        with pytest.raises(engine_client.Broken):
            client.open(attempt, outgoing)
        assert len(seen) == 2
        assert attempt.begun == 2


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ],
)
def test_cut_answer_is_not_taken_for_whole(reply):
    # The server dies while it sends the answer. A truncated certificate must
    # not be taken for the answer to its lookup.
    def handle(sock, address):
        sockets.read_request(sock)
        sock.sendall(reply)
        sock.close()

    with sockets.raw_server(handle) as url:
        client = make_client()
        outgoing = engine_client.OutgoingRequest("GET", "/", {})
        with pytest.raises(engine_client.Broken):
            client.open(Attempt(url), outgoing).read_all()


def test_refused_connection_is_told_from_one_that_broke():
    with sockets.raw_server(lambda sock, address: sock.close()) as url:
        closed = url
    attempt = Attempt(closed)
    outgoing = engine_client.OutgoingRequest("POST", "/", {}, b"x")
    with pytest.raises(engine_client.NotBegun):
        make_client().open(attempt, outgoing)
    assert attempt.begun == 0


def test_an_answer_without_a_length_is_not_delimited_by_its_end():
    def handle(sock, address):
        sockets.read_request(sock)
        sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n{"half')
        sock.close()

    with sockets.raw_server(handle) as url:
        outgoing = engine_client.OutgoingRequest("GET", "/", {})
        answer = make_client().open(Attempt(url), outgoing)
        assert answer.read_all() == b'{"half'
        assert not answer.self_delimited


@pytest.mark.parametrize("head", ["204 No Content", "304 Not Modified"])
def test_an_answer_without_a_body_is_delimited(head):
    def handle(sock, address):
        sockets.read_request(sock)
        sock.sendall(f"HTTP/1.1 {head}\r\n\r\n".encode())
        sock.close()

    with sockets.raw_server(handle) as url:
        outgoing = engine_client.OutgoingRequest("GET", "/", {})
        answer = make_client().open(Attempt(url), outgoing)
        assert answer.read_all() == b""
        assert answer.self_delimited


class TimedOutSocket:
    """A connection whose peer acknowledged nothing any more."""

    def __init__(self):
        self._errors = [OSError(errno.ETIMEDOUT, "timed out")]

    def settimeout(self, seconds):
        """Ignore it."""

    def recv(self, size):
        if self._errors:
            raise self._errors.pop()
        return b""


class PatientMonitor(connection.SilenceMonitor):
    def handle_timeout(self):
        """Wait on."""


def test_a_timeout_of_the_kernel_is_not_followed_by_an_orderly_end():
    sock = connection.WatchedSocket(TimedOutSocket(), PatientMonitor())
    with pytest.raises(OSError):
        sock.recv(1)
