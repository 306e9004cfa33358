"""Tests that data is written to callers completely, with few system calls."""

from dandeliontrail_node import http_server
import pytest


class FakeSocket:
    """Accepts ``room`` bytes in the first call and records the calls."""

    def __init__(self, room):
        self.room = room
        self.received = b""
        self.calls = []

    def send(self, data):
        self.calls.append("send")
        if self.room is None:
            raise ConnectionResetError(104, "reset")
        self.received += data[: self.room]
        return len(data[: self.room])

    def sendall(self, data):
        self.calls.append("sendall")
        if self.room is None:
            raise ConnectionResetError(104, "reset")
        self.received += data


def make_handler(sock):
    handler = http_server.Handler.__new__(http_server.Handler)
    handler.socket = sock
    handler.response_length = 0
    handler.status = "200 OK"
    handler.code = 200
    return handler


def test_one_call_writes_an_event():
    # Each event of each stream took two system calls, the first of which
    # queried the size of the send buffer.
    sock = FakeSocket(1000)
    handler = make_handler(sock)
    handler._sendall(b"x" * 90)
    assert (sock.calls, sock.received) == (["send"], b"x" * 90)
    assert handler.response_length == 90


def test_caller_that_takes_half_gets_the_rest():
    sock = FakeSocket(50)
    handler = make_handler(sock)
    handler._sendall(b"x" * 50 + b"y" * 40)
    assert sock.received == b"x" * 50 + b"y" * 40
    assert handler.response_length == 90


def test_caller_that_is_gone_is_an_error():
    handler = make_handler(FakeSocket(None))
    with pytest.raises(ConnectionResetError):
        handler._sendall(b"x")
    assert handler.status.startswith("socket error")
