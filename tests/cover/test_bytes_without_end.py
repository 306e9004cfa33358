"""Answers of servers that never end cost little and end at once."""

import contextlib
import socket
import time

import gevent
import pytest

from tests.common import platform_world
from tests.cover import test_servers_that_rest

REQUESTS = 20
SPREAD_SECONDS = 0.5
SEND_BUFFER_BYTES = 64 * 1024
# Of one answer, read and in the buffers of the two sockets.
MAX_HEAD_SENT_BYTES = 1024 * 1024
# Of all answers at once; an instance has 64 MB.
MAX_SENT_BYTES = 40 * 1024 * 1024
MAX_SECONDS = 1.0

LINE = "HTTP/1.1 200 OK\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
STREAM = LINE + CHUNKED + "Content-Type: text/event-stream\r\n"
FILL = b"x" * 8192

HEADS = {
    "headers": (LINE, b"A: b\r\n" * 1024),
    "a header's value": (LINE + "A: ", FILL),
    "a header's name": (LINE, FILL),
    "a status line": ("HTTP/1.1 200 ", FILL),
    "blank lines": ("", b"\r\n" * 4096),
    "interim answers": ("", b"HTTP/1.1 100 Continue\r\n\r\n" * 256),
    "interim headers": ("", b"HTTP/1.1 103 X\r\nA: b\r\n\r\n" * 256),
    "trailers": (LINE + CHUNKED + "\r\n0\r\n", b"A: b\r\n" * 1024),
    "a trailer": (LINE + CHUNKED + "\r\n0\r\nA: ", FILL),
    "an extension of a chunk": (LINE + CHUNKED + "\r\n1;", FILL),
    "extensions of chunks": (
        LINE + CHUNKED + "\r\n",
        (b"1;" + b"x" * 1000 + b"\r\ny\r\n") * 8,
    ),
    "answers to others": (
        "",
        b"HTTP/1.1 200 OK\r\nX-Dandeliontrail-Request-Id: z\r\n"
        b"Content-Length: 2\r\n\r\nhi" * 64,
    ),
}
BODIES = {
    "a body": (LINE + "\r\n", FILL),
    "a long body": (LINE + "Content-Length: 9999999999\r\n\r\n", FILL),
    "a body in chunks": (
        LINE + CHUNKED + "\r\n",
        b"2000\r\n" + FILL + b"\r\n",
    ),
    "the body of an error": (
        "HTTP/1.1 500 X\r\n" + CHUNKED + "\r\n",
        b"2000\r\n" + FILL + b"\r\n",
    ),
    "a refusal": (
        "HTTP/1.1 503 X\r\nX-Dandeliontrail-Not-Executed: 1\r\n"
        + CHUNKED
        + "\r\n",
        b"2000\r\n" + FILL + b"\r\n",
    ),
    "an answer to another": (
        LINE + "X-Dandeliontrail-Request-Id: z\r\n" + CHUNKED + "\r\n",
        b"2000\r\n" + FILL + b"\r\n",
    ),
    "an event": (STREAM + "\r\n", b"2000\r\n" + FILL + b"\r\n"),
}


class EndlessServer:
    """Sends ``prefix``, then ``repeated`` as fast as it is read."""

    def __init__(self, platform, entry, prefix, repeated):
        self._prefix = prefix.encode()
        self._repeated = repeated
        self.sent = []
        self.server = platform.server(self._script)
        platform.knows(entry, self.server)

    def _script(self, server, sock, head):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        number = len(self.sent)
        self.sent.append(0)
        with contextlib.suppress(OSError):
            sock.sendall(self._prefix)
            while True:
                sock.sendall(self._repeated)
                self.sent[number] += len(self._repeated)
        return "close"


def serves(server, sock, head):
    request_id = platform_world.id_of(head)
    if " /chat/" in head:
        sock.sendall(platform_world.stream_head(request_id))
        sock.sendall(platform_world.chunk(platform_world.event(1)))
        sock.sendall(platform_world.END)
        return
    sock.sendall(platform_world.whole(200, b"whole", request_id))


def call_beside(prefix, repeated, path):
    """Call twenty times beside a server without end.

    Returns the replies, the seconds that each took and what was sent.
    """
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entry = platform.entry()
        endless = EndlessServer(platform, entry, prefix, repeated)
        platform.knows(entry, platform.server(serves))
        jobs = []
        for number in range(REQUESTS):
            jobs.append(gevent.spawn(timed, platform, entry, path, number))
            gevent.sleep(SPREAD_SECONDS / REQUESTS)
        gevent.joinall(jobs, raise_error=True)
        assert not entry.host.metrics.counters["faults_total"]
    replies, seconds = zip(*(job.value for job in jobs))
    return replies, seconds, endless.sent


def timed(platform, entry, path, number):
    began = time.monotonic()
    reply = platform.call(entry, "GET", path, f"r{number}", left="3000")
    return reply, time.monotonic() - began


def assert_served(replies, seconds):
    assert [reply.status for reply in replies] == [200] * REQUESTS
    assert all(reply.whole for reply in replies)
    assert max(seconds) <= MAX_SECONDS


@pytest.mark.parametrize("path", ["/read/x", "/chat/x"])
@pytest.mark.parametrize("kind", HEADS)
def test_a_head_or_frame_without_end_is_cut_off(kind, path):
    replies, seconds, sent = call_beside(*HEADS[kind], path)
    assert_served(replies, seconds)
    assert sent and max(sent) <= MAX_HEAD_SENT_BYTES


@pytest.mark.parametrize("path", ["/read/x", "/chat/x"])
@pytest.mark.parametrize("kind", BODIES)
def test_a_body_without_end_is_cut_off(kind, path):
    replies, seconds, sent = call_beside(*BODIES[kind], path)
    assert_served(replies, seconds)
    assert sent and max(sent) <= MAX_SENT_BYTES


def test_twenty_bodies_without_end_at_once_are_held_in_little_memory():
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entry = platform.entry()
        endless = EndlessServer(platform, entry, *BODIES["a body"])
        jobs = [
            gevent.spawn(timed, platform, entry, "/read/x", number)
            for number in range(REQUESTS)
        ]
        gevent.joinall(jobs, raise_error=True)
    assert {job.value[0].status for job in jobs} <= {502, 503}
    assert sum(endless.sent) <= REQUESTS * MAX_HEAD_SENT_BYTES + MAX_SENT_BYTES


def test_a_large_answer_still_arrives():
    body = b"y" * (4 * 1024 * 1024)

    def large(server, sock, head):
        sock.sendall(
            platform_world.whole(200, body, platform_world.id_of(head))
        )

    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entry = platform.entry()
        platform.knows(entry, platform.server(large))
        reply = platform.call(entry, "GET", "/read/x", "r1")
    assert reply.status == 200 and reply.body == body
