"""What goes out to a caller goes out whole, with as few calls as may be."""

from dandeliontrail_node import http_server
import pytest


class FakeSocket:
    """Takes ``room`` bytes at the first call and counts the calls."""

    def __init__(self, room):
        self.room = room
        self.taken = b""
        self.calls = []

    def send(self, data):
        self.calls.append("send")
        if self.room is None:
            raise ConnectionResetError(104, "reset")
        self.taken += data[: self.room]
        return len(data[: self.room])

    def sendall(self, data):
        self.calls.append("sendall")
        if self.room is None:
            raise ConnectionResetError(104, "reset")
        self.taken += data


def handler(sock):
    made = http_server.Handler.__new__(http_server.Handler)
    made.socket = sock
    made.response_length = 0
    made.status = "200 OK"
    made.code = 200
    return made


def test_one_call_writes_an_event():
    # Each event of each stream went out with two calls of the system, the
    # first of which asked for the size of a buffer.
    sock = FakeSocket(1000)
    made = handler(sock)
    made._sendall(b"x" * 90)
    assert (sock.calls, sock.taken) == (["send"], b"x" * 90)
    assert made.response_length == 90


def test_caller_that_takes_half_gets_the_rest():
    sock = FakeSocket(50)
    made = handler(sock)
    made._sendall(b"x" * 50 + b"y" * 40)
    assert sock.taken == b"x" * 50 + b"y" * 40
    assert made.response_length == 90


def test_caller_that_is_gone_is_an_error():
    made = handler(FakeSocket(None))
    with pytest.raises(ConnectionResetError):
        made._sendall(b"x")
    assert made.status.startswith("socket error")
