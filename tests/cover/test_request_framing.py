"""Requests whose head or body can be read in two ways (smuggling).

No part of such a request reaches a backend server: it is answered 400 and its
connection is closed.
"""

import itertools
import socket

import pytest

from tests.common import platform_world
from tests.common import world

# What an attacker puts where a lenient parser expects the next request.
SMUGGLED = (
    "POST /order/inner HTTP/1.1\r\n"
    f"Host: {platform_world.HOST}\r\n"
    "X-Dandeliontrail-Request-Id: inner\r\n"
    f"X-Api-Key: {platform_world.KEY}\r\n"
    "Content-Length: 0\r\n\r\n"
)
SIZE = len(SMUGGLED)
CHUNKED = "Transfer-Encoding: chunked\r\n"
MALFORMED_HEADS = {
    "a space before the colon": f"Content-Length : {SIZE}\r\n",
    "a tab before the colon": f"Content-Length\t: {SIZE}\r\n",
    "no colon": f"X-Note\r\nContent-Length: {SIZE}\r\n",
    "no name": f": note\r\nContent-Length: {SIZE}\r\n",
    "a space in a name": f"X Note: a\r\nContent-Length: {SIZE}\r\n",
    "a space before a name": f" X-Note: a\r\nContent-Length: {SIZE}\r\n",
    "a byte above 127 in a name": f"X\xf6: a\r\nContent-Length: {SIZE}\r\n",
    "a control character in a name": f"X\x0b: a\r\nContent-Length: {SIZE}\r\n",
    "a folded line": f"X-Note: a\r\n b\r\nContent-Length: {SIZE}\r\n",
    "a folded length": f"Content-Length:\r\n {SIZE}\r\n",
    "a line of spaces": f"X-Note: a\r\n \r\nContent-Length: {SIZE}\r\n",
    "a bare LF": f"X-Note: a\nContent-Length: {SIZE}\r\n",
    "an early end by bare LFs": f"X-Note: a\r\n\nContent-Length: {SIZE}\r\n",
    "a bare CR": f"X-Note: a\rContent-Length: {SIZE}\r\n",
    "a CR before the line's end": f"X-Note: a\r\r\nContent-Length: {SIZE}\r\n",
    "a NUL": f"X-Note: a\0b\r\nContent-Length: {SIZE}\r\n",
    "another control character": f"X: a\x0cb\r\nContent-Length: {SIZE}\r\n",
    "two lengths": f"Content-Length: {SIZE}\r\nContent-Length: 0\r\n",
    "one length twice": f"Content-Length: {SIZE}\r\n" * 2,
    "a list of lengths": f"Content-Length: {SIZE}, {SIZE}\r\n",
    "a length with a sign": f"Content-Length: +{SIZE}\r\n",
    "a length with an underscore": "Content-Length: 1_0\r\n",
    "a hexadecimal length": f"Content-Length: {SIZE:#x}\r\n",
    "a length in other digits": "Content-Length: \xb2\r\n",
    "an empty length": "Content-Length:\r\n",
    "a coding beside a length": f"Content-Length: {SIZE}\r\n{CHUNKED}",
    "a coding after a space": f"Transfer-Encoding : chunked\r\nX: {SIZE}\r\n",
    "two codings": CHUNKED + CHUNKED,
    "a list of codings": "Transfer-Encoding: gzip, chunked\r\n",
    "another coding": "Transfer-Encoding: identity\r\n",
    "a coding after a wide space": "Transfer-Encoding: \xa0chunked\r\n",
    "a coding before a wide space": "Transfer-Encoding: chunked\x85\r\n",
    "a coding after a vertical tab": "Transfer-Encoding: \x0bchunked\r\n",
    "a quoted coding": 'Transfer-Encoding: "chunked"\r\n',
    "two hosts": "Host: other.example\r\n",
}
START = "POST /order/outer HTTP/1.1\r\n"
MALFORMED_STARTS = {
    "a bare LF": "POST /order/outer HTTP/1.1\n",
    "two spaces": "POST  /order/outer HTTP/1.1\r\n",
    "a tab": "POST\t/order/outer HTTP/1.1\r\n",
    "a wide space": "POST\xa0/order/outer HTTP/1.1\r\n",
    "a space at its end": "POST /order/outer HTTP/1.1 \r\n",
    "a space at its start": " POST /order/outer HTTP/1.1\r\n",
    "a byte above 127 in the target": "POST /order/\xfcber HTTP/1.1\r\n",
    "a control character in the target": "POST /order/\x0b HTTP/1.1\r\n",
    "no version": "GET /order/outer\r\n",
    "another version": "POST /order/outer HTTP/1.9\r\n",
    "a version with a sign": "POST /order/outer HTTP/1.+1\r\n",
    "an old version": "POST /order/outer HTTP/0.9\r\n",
    "no method": "\r\n",
}
# Chunked bodies; a lenient parser takes what follows for a next request.
MALFORMED_CHUNKS = {
    "no size": "\r\n",
    "a size with a sign": "+5\r\nhello\r\n0\r\n\r\n",
    "a size with an underscore": "0_5\r\nhello\r\n0\r\n\r\n",
    "a size with a prefix": "0x5\r\nhello\r\n0\r\n\r\n",
    "a space before a size": " 5\r\nhello\r\n0\r\n\r\n",
    "a space after a size": "5 \r\nhello\r\n0\r\n\r\n",
    "a size too long": f"{'0' * 17}5\r\nhello\r\n0\r\n\r\n",
    "a bare LF after a size": "5\nhello\r\n0\r\n\r\n",
    "a bare CR after a size": "5\rhello\r\n0\r\n\r\n",
    "a bare LF in an extension": "5;a\nhello\r\n0\r\n\r\n",
    "a bare CR in an extension": "5;a\rb\r\nhello\r\n0\r\n\r\n",
    "a chunk without its end": "5\r\nhello0\r\n\r\n",
    "a bare LF after a chunk": "5\r\nhello\n0\r\n\r\n",
    "a chunk longer than its size": "4\r\nhello\r\n0\r\n\r\n",
    "a trailer without a colon": "0\r\nnote\r\n\r\n",
    "a trailer with a space": "0\r\nX-Note : a\r\n\r\n",
    "a folded trailer": "0\r\nX-Note: a\r\n b\r\n\r\n",
    "a bare LF in a trailer": "0\r\nX-Note: a\n\r\n",
    "a bare CR in a trailer": "0\r\nX-Note: a\rb\r\n\r\n",
    "a bare LF as the end": "0\r\n\n",
    "trailers without end": "0\r\n" + "X-Note: a\r\n" * 2000 + "\r\n",
}


def answer(server, sock, head):
    request_id = platform_world.id_of(head)
    sock.sendall(platform_world.whole(200, b"ran", request_id))


@pytest.fixture(scope="module")
def made():
    with platform_world.declared() as found:
        found.running = found.entry()
        found.answering = found.server(answer)
        found.knows(found.running, found.answering)
        yield found


_numbers = itertools.count(1)


@pytest.fixture(autouse=True)
def registered(made):
    made.heartbeat(made.answering)


def head_of(framing, start=START):
    """Return the head of a caller's request with the given framing."""
    return (
        f"{start}Host: {platform_world.HOST}\r\n"
        f"X-Dandeliontrail-Request-Id: outer-{next(_numbers)}\r\n"
        f"X-Api-Key: {platform_world.KEY}\r\n"
        f"X-Dandeliontrail-Deadline-Ms: 3000\r\n{framing}\r\n"
    )


def exchange(made, text):
    """Send bytes on a new connection; return all that is answered."""
    sock = made.connect(made.running)
    sock.sendall(text.encode("latin-1"))
    return platform_world.read_to_end(sock)


def check_refused(made, text):
    ran = len(made.answering.ran)
    received = exchange(made, text)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1 ") == 1
    assert len(made.answering.ran) == ran


@pytest.mark.parametrize(
    "framing", MALFORMED_HEADS.values(), ids=MALFORMED_HEADS
)
def test_nothing_of_a_request_with_a_malformed_head_is_run(made, framing):
    check_refused(made, head_of(framing) + SMUGGLED)


@pytest.mark.parametrize(
    "start", MALFORMED_STARTS.values(), ids=MALFORMED_STARTS
)
def test_nothing_of_a_request_with_a_malformed_start_is_run(made, start):
    framing = f"Content-Length: {SIZE}\r\n"
    check_refused(made, head_of(framing, start) + SMUGGLED)


@pytest.mark.parametrize(
    "body", MALFORMED_CHUNKS.values(), ids=MALFORMED_CHUNKS
)
def test_nothing_of_a_request_with_malformed_chunks_is_run(made, body):
    check_refused(made, head_of(CHUNKED) + body + SMUGGLED)


def test_chunks_of_an_old_version_are_refused(made):
    start = "POST /order/outer HTTP/1.0\r\n"
    check_refused(made, head_of(CHUNKED, start) + "0\r\n\r\n")


@pytest.mark.parametrize(
    "text",
    [
        "POST /order/outer HTTP/1.1",
        "POST /order/outer HTTP/1.1\r\n",
        head_of("Content-Le"),
        head_of("Content-Length: 5")[:-4],
        head_of("Content-Length: 5\r\n")[:-2],
    ],
    ids=["start", "start line", "name", "length", "end of the head"],
)
def test_nothing_of_a_truncated_head_is_run(made, text):
    ran = len(made.answering.ran)
    sock = made.connect(made.running)
    sock.sendall(text.encode())
    sock.shutdown(socket.SHUT_WR)
    received = platform_world.read_to_end(sock)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert len(made.answering.ran) == ran


@pytest.mark.parametrize("listener", ["callers", "ready", "control", "inner"])
@pytest.mark.parametrize(
    "rest",
    [
        f"Content-Length : {SIZE}\r\n\r\n{SMUGGLED}",
        f"{CHUNKED}\r\n0\r\nnote\r\n\r\n{SMUGGLED}",
    ],
    ids=["head", "body"],
)
def test_every_listener_closes_after_malformed_framing(made, listener, rest):
    # Also where the body of the first request is of no interest.
    running = made.keeper if listener == "control" else made.running
    sock = made.connect(running, made.ports[listener])
    head = f"POST /none HTTP/1.1\r\nHost: {platform_world.HOST}\r\n"
    sock.sendall((head + rest).encode())
    received = platform_world.read_to_end(sock)
    assert received.count(b"HTTP/1.1 ") == 1


PROPER = {
    "a length": ("Content-Length: 5\r\n", "hello"),
    "spaces around a length": ("Content-Length: \t 5 \t\r\n", "hello"),
    "no space after a colon": ("Content-Length:5\r\n", "hello"),
    "chunks": (CHUNKED, "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"),
    "spaces around a coding": (
        "Transfer-Encoding:  chunked \r\n",
        "5\r\nhello\r\n0\r\n\r\n",
    ),
    "a coding in capitals": (
        "TRANSFER-ENCODING: CHUNKED\r\n",
        "5\r\nhello\r\n0\r\n\r\n",
    ),
    "extensions": (CHUNKED, '05;a="b;c"\r\nhello\r\n00;d\r\n\r\n'),
    "trailers": (CHUNKED, "5\r\nhello\r\n0\r\nX-Note: \xe4\r\nY:\r\n\r\n"),
    "a value beyond ASCII": (
        "X-Note: \xc3\xa4\r\nContent-Length: 5\r\n",
        "hello",
    ),
    "an empty value": ("X-Note:\r\nContent-Length: 5\r\n", "hello"),
    "all signs of a name": ("!#$%&'*+-.^_`|~9: a\r\nX: 1\r\n", ""),
}


@pytest.mark.parametrize("framing, body", PROPER.values(), ids=PROPER)
def test_a_proper_request_is_served_and_the_next_one_too(made, framing, body):
    ran = len(made.answering.ran)
    sock = made.connect(made.running)
    text = head_of(framing) + body
    sock.sendall(text.encode("latin-1"))
    sock.sendall(head_of("Connection: close\r\n").encode())
    received = platform_world.read_to_end(sock)
    assert received.count(b"HTTP/1.1 200 ") == 2
    heads = made.answering.ran[ran:]
    assert len(heads) == 2
    if body:
        assert platform_world.header(heads[0], "content-length") == "5"


def test_the_instance_serves_after_all_of_these(made):
    world.wait_until(lambda: not made.running.host.open_exchange_count())
    assert made.call(made.running, "POST", "/order/", "last").status == 200
