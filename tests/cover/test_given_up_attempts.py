"""What a server has not got of a request that is given up is dropped."""

import contextlib
import socket

from gevent import event
from gevent import server as gevent_server
import pytest

from tests.common import platform_world
from tests.common import world

# It fits into the send buffer, and not into the receive buffer.
BODY_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 4 * 1024


class LateReader:
    """A server that accepts connections and reads them once it is told to."""

    def __init__(self):
        self.id = "late-reader"
        self._may_read = event.Event()
        self.received = []
        listener = socket.socket()
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.address = "%s:%d" % listener.getsockname()
        self._server = gevent_server.StreamServer(listener, self._serve)
        self._server.start()

    def _serve(self, sock, address):
        self._may_read.wait()
        count = 0
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(65536):
                count += len(data)
        self.received.append(count)

    def read(self):
        self._may_read.set()

    def close(self):
        self._server.stop(0)


@pytest.fixture
def made():
    with platform_world.declared() as found:
        yield found


def test_what_was_not_sent_of_a_request_does_not_arrive_later(made):
    entry = made.entry()
    late = LateReader()
    made.at_end(late.close)
    made.heartbeat(late)
    made.knows(entry, late)
    reply = made.call(
        entry, "POST", "/read/x", left="500", body=b"x" * BODY_BYTES
    )
    assert reply.status == 504
    late.read()
    world.wait_until(lambda: late.received, 5.0)
    assert max(late.received) < BODY_BYTES
