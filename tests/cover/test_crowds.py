"""Crowds of clients that misbehave neither end nor hang a program.

A program stays within the memory and the descriptors of its settings, and
answers an ordinary request while the crowd is still connected.
"""

import re
import socket

import gevent
import pytest

from tests.common import crowd_world
from tests.common import platform_world

CROWD = 40
# Of those whose chunks are tiny: each body takes seven times its size.
TINY_CROWD = 4
# More than the descriptors that a program has.
SILENT_CROWD = 400
HEAD_CROWD = 250
ANSWER_BYTES = 4 * 1024 * 1024
SLOW_SECONDS = 2.0
CONTROL_LIMIT = 8 * 1024 * 1024
SHORT = crowd_world.BODY_LIMIT - 1
FAR_OVER = 64 * 1024 * 1024
ENDLESS_BYTES = 3 * crowd_world.BODY_LIMIT
LARGE_CHUNK = 64 * 1024
CONTROL_HEAD = (
    f"PUT /api/config HTTP/1.1\r\nHost: {platform_world.HOST}\r\n"
    "Content-Type: application/json\r\n"
)


def answer(server, sock, head):
    """Serve a request; what its path names decides how."""
    request_id = platform_world.id_of(head)
    if " /read/slow" in head:
        gevent.sleep(SLOW_SECONDS)
    size = ANSWER_BYTES if " /read/large" in head else 3
    sock.sendall(platform_world.whole(200, b"y" * size, request_id))


@pytest.fixture
def made():
    with crowd_world.CrowdWorld() as found:
        found.running = found.entry()
        found.callers = (found.running.ip, found.ports["callers"])
        found.control_address = (found.keeper.ip, found.ports["control"])
        found.answering = found.server(answer)
        found.keep_registered(found.answering)
        assert found.is_served(found.running, "before")
        yield found


def check_within_bounds(process):
    assert process.runs()
    peak_mb = process.peak_mb()
    assert peak_mb <= crowd_world.MEMORY_MB, peak_mb
    assert process.most_fds <= crowd_world.MAX_OPEN_FDS


def check_entry(made):
    assert made.is_served(made.running, "after")
    assert made.is_ready(made.running)
    check_within_bounds(made.running)
    check_within_bounds(made.keeper)


def check_keeper(made):
    assert made.control_answers()
    check_within_bounds(made.keeper)


def sender(*parts):
    """Return a client that sends these bytes and stays."""

    def client(sock):
        for part in parts:
            if crowd_world.send_while_read(sock, part):
                return

    return client


# -- entries: the three of the issue ----------------------------------------


def test_bodies_announced_far_over_the_limit(made):
    client = sender(crowd_world.announced(FAR_OVER), b"x" * ENDLESS_BYTES)
    made.crowd(CROWD, made.callers, client)
    check_entry(made)


@pytest.mark.parametrize("chunk_bytes", [LARGE_CHUNK, 2])
def test_bodies_far_over_the_limit_that_are_just_sent(made, chunk_bytes):
    size = ENDLESS_BYTES if chunk_bytes > 2 else crowd_world.BODY_LIMIT
    crowd = CROWD if chunk_bytes > 2 else TINY_CROWD
    body = crowd_world.chunks(size, chunk_bytes)
    made.crowd(crowd, made.callers, sender(crowd_world.in_chunks(), body))
    check_entry(made)


def test_announced_bodies_that_stop_short_of_their_end(made):
    head = crowd_world.announced(crowd_world.BODY_LIMIT)
    made.crowd(CROWD, made.callers, sender(head, b"x" * SHORT))
    check_entry(made)


@pytest.mark.parametrize(
    "chunk_bytes, crowd", [(LARGE_CHUNK, CROWD), (2, TINY_CROWD)]
)
def test_chunked_bodies_that_stop_short_of_their_end(made, chunk_bytes, crowd):
    body = crowd_world.chunks(SHORT, chunk_bytes)
    made.crowd(crowd, made.callers, sender(crowd_world.in_chunks(), body))
    check_entry(made)


# -- entries: requests inside the limits ------------------------------------


@pytest.mark.parametrize("chunk_bytes", [1, 2, 16, 7])
def test_one_request_in_tiny_chunks_is_served(made, chunk_bytes):
    size = crowd_world.BODY_LIMIT
    text = crowd_world.in_chunks(request_id="calm")
    text += crowd_world.chunks(size, chunk_bytes)
    text += platform_world.chunk(b"x" * (size % chunk_bytes)) * bool(
        size % chunk_bytes
    )
    sock = made.connect(made.running)
    received = crowd_world.send_while_read(sock, text + platform_world.END)
    sock.settimeout(crowd_world.PATIENCE_SECONDS)
    received += received or sock.recv(65536)
    assert received.startswith(b"HTTP/1.1 200 ")
    (ran,) = [head for head in made.answering.ran if ": calm\r" in head]
    assert platform_world.header(ran, "content-length") == str(size)
    check_entry(made)


def test_one_request_of_the_largest_size_is_served(made):
    body = b"x" * crowd_world.BODY_LIMIT
    reply = made.call(made.running, "POST", "/read/", "calm", body=body)
    assert reply.status == 200
    check_entry(made)


def test_one_request_with_many_headers_is_served(made):
    headers = [(f"X-{number}", "v") for number in range(1000)]
    reply = made.call(made.running, "POST", "/read/", headers=headers)
    assert reply.status == 200


def test_one_request_with_a_long_path_is_served(made):
    path = "/read/" + "p" * 12_000
    assert made.call(made.running, "POST", path).status == 200


def test_whole_requests_whose_server_is_slow(made):
    # Those that find no room promise that they have not run.
    replies = {}

    def client(sock):
        request_id = f"slow-{len(replies)}"
        replies[request_id] = None
        head = crowd_world.announced(
            crowd_world.BODY_LIMIT, path="/read/slow", request_id=request_id
        )
        body = b"x" * crowd_world.BODY_LIMIT
        data = crowd_world.send_while_read(sock, head + body)
        sock.settimeout(crowd_world.PATIENCE_SECONDS)
        replies[request_id] = platform_world.Reply(data or sock.recv(65536))

    made.crowd(CROWD, made.callers, client)
    ran = {platform_world.id_of(head) for head in made.answering.ran}
    for request_id, reply in replies.items():
        assert reply is not None, request_id
        assert reply.status in (200, 503)
        if reply.status == 503:
            assert request_id not in ran
            assert float(reply.headers["retry-after"]) > 0
    assert any(reply.status == 200 for reply in replies.values())
    check_entry(made)


def test_answers_that_nobody_reads(made):
    def client(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.sendall(crowd_world.announced(1, path="/read/large") + b"x")
        sock.recv(1)

    made.crowd(CROWD, made.callers, client)
    check_entry(made)


@pytest.mark.parametrize("framed", ["announced", "chunked"])
def test_a_refused_client_that_is_still_sending_reads_why(made, framed):
    if framed == "announced":
        head = crowd_world.announced(FAR_OVER)
    else:
        head = crowd_world.in_chunks() + b"4000000\r\n"
    sock = made.connect(made.running)
    received = crowd_world.send_while_read(sock, head + b"x" * FAR_OVER)
    sock.settimeout(crowd_world.REPLY_SECONDS)
    received += platform_world.read_to_end(sock)
    assert received.startswith(b"HTTP/1.1 413 ")
    assert b'"remedy"' in received


# -- entries: heads and connections -----------------------------------------


def test_more_silent_connections_than_descriptors(made):
    made.crowd(SILENT_CROWD, made.callers, lambda sock: None)
    check_entry(made)


def test_heads_that_do_not_end(made):
    head = b"POST /read/ HTTP/1.1\r\nX-Note: " + b"x" * 15_000
    made.crowd(HEAD_CROWD, made.callers, sender(head))
    check_entry(made)


def test_more_silent_connections_at_each_listener_than_descriptors(made):
    for port in (made.ports["ready"], made.ports["inner"], 9464):
        address = (made.running.ip, port)
        made.crowd(SILENT_CROWD, address, lambda sock: None)
    check_entry(made)


# -- keepers ----------------------------------------------------------------


@pytest.mark.parametrize(
    "framing, body, crowd",
    [
        (
            f"Content-Length: {CONTROL_LIMIT}\r\n",
            b"x" * (CONTROL_LIMIT - 1),
            CROWD // 2,
        ),
        (
            "Transfer-Encoding: chunked\r\n",
            crowd_world.chunks(CONTROL_LIMIT - 1, LARGE_CHUNK),
            CROWD // 2,
        ),
        (
            "Transfer-Encoding: chunked\r\n",
            crowd_world.chunks(crowd_world.BODY_LIMIT, 2),
            TINY_CROWD,
        ),
    ],
    ids=["announced", "large-chunks", "tiny-chunks"],
)
def test_manifests_that_stop_short_of_their_end(made, framing, body, crowd):
    client = sender((CONTROL_HEAD + framing + "\r\n").encode(), body)
    made.crowd(crowd, made.control_address, client)
    check_keeper(made)


def test_more_silent_connections_at_a_keeper_than_descriptors(made):
    made.crowd(SILENT_CROWD, made.control_address, lambda sock: None)
    check_keeper(made)


def test_batches_of_peers_that_stop_short_of_their_end(made):
    head = re.sub(r"PUT \S+", "POST /peer/v1/messages", CONTROL_HEAD)
    head += f"Content-Length: {CONTROL_LIMIT}\r\n\r\n"
    client = sender(head.encode(), b"x" * (CONTROL_LIMIT - 1))
    address = (made.keeper.ip, made.ports["inner"])
    made.crowd(CROWD // 2, address, client)
    check_keeper(made)
