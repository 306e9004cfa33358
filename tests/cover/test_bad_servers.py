"""Tests backend servers whose responses are invalid.

The caller gets a clear error, and no part of it looks like an answer; the
instance buffers a limited amount and keeps serving.
"""

import contextlib
import socket

from dandeliontrail_lab import client
from dandeliontrail_node import connection
import gevent
import pytest

from tests.common import world

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
# For each of up to four connections, what is read plus what the socket buffers
# hold.
MAX_SENT_BYTES = 4 * 16 * connection.MAX_EVENT_BYTES


class BadServer:
    """Sends ``prefix``, then ``repeated`` forever, to each connection."""

    def __init__(self, prefix, repeated=b""):
        self._prefix = prefix
        self._repeated = repeated
        self.sent = 0
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]

    def run(self):
        """Accept connections forever."""
        while True:
            conn, _ = self._listener.accept()
            self.connections += 1
            gevent.spawn(self._serve, conn)

    def _serve(self, conn):
        with contextlib.suppress(OSError), conn:
            conn.recv(65536)
            conn.sendall(self._prefix)
            while self._repeated:
                conn.sendall(self._repeated)
                self.sent += len(self._repeated)


BAD_ANSWERS = {
    "no HTTP": (b"\x00\x01 this is no HTTP\r\n\r\n",),
    "nothing": (b"",),
    "endless header": (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 65536),
    "endless event": (
        RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        CHUNK,
    ),
    "bad chunk": (
        RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
    ),
    "cut stream": (RESPONSE_HEAD + b"Content-Length: 99\r\n\r\ndata: {}\n\n",),
    "bad length": (RESPONSE_HEAD + b"Content-Length: -5\r\n\r\n",),
    "status 600": (b"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok",),
    "status 099": (b"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok",),
}


@pytest.mark.parametrize("answer", BAD_ANSWERS.values(), ids=BAD_ANSWERS)
def test_bad_answer_becomes_a_clear_error(answer):
    bad = BadServer(*answer)
    runner = gevent.spawn(bad.run)
    with world.World() as cluster:
        instance = cluster.instance("i1", backend_silent_seconds=2.0)
        good = cluster.engine("e1", announce=False)
        cluster.apply({"summary": {"repeatable": False}})
        announce(instance, good, bad.port)
        address = instance.addresses["callers"]
        ask = client.Ask(address, world.KEY, "", "hello", timeout=10.0)
        received = client.send(ask)
        assert not received.complete
        assert received.outcome == "unknown"
        assert received.error in ("backend_server_failed", "deadline")
        assert bad.sent < MAX_SENT_BYTES
        world.wait_until(lambda: not instance.host.open_exchange_count())
    runner.kill()


def announce(instance, good, port):
    """Announce the bad server under the name of an engine."""
    announcement = good.announcement(1)
    announcement["url"] = f"http://127.0.0.1:{port}"
    announcement["lease"] = 60
    address = instance.addresses["backend_servers"]
    host, listen = address.split(":")
    sender = client.geventhttpclient.HTTPClient(host, int(listen))
    body = client.msgspec.json.encode(announcement)
    assert sender.post("/v1/announcements", body).status_code == 200
    sender.close()


def test_half_a_body_without_a_length_becomes_a_clear_error():
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
    bad = BadServer(head + b'{"choices": [{"text": "ha')
    runner = gevent.spawn(bad.run)
    with world.World() as cluster:
        instance = cluster.instance("i1", backend_silent_seconds=2.0)
        good = cluster.engine("e1", announce=False)
        cluster.apply({"summary": {"repeatable": False}})
        announce(instance, good, bad.port)
        address = instance.addresses["callers"]
        ask = client.Ask(
            address, world.KEY, "", "hello", stream=False, timeout=10.0
        )
        received = client.send(ask)
        assert not received.complete
        assert received.outcome == "unknown"
    runner.kill()
