"""Bytes that look like an answer and belong to no request.

Guards against somebody else's confirmation that a caller gets for its own
order: a server sends bytes after a complete answer, which name no request.
"""

import enum

import pytest

from tests.common import platform_world

ROUTES = (
    platform_world.route("read", "safe"),
    platform_world.route("order", "non_idempotent", max_attempts=1),
    platform_world.route("report", "streaming", max_attempts=1),
    platform_world.route("chat", "streaming", resumable=True),
)


class Stray(enum.Enum):
    """What comes before the answer to the second request of a connection."""

    SUCCESS = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
    SEALED = (
        b"HTTP/1.1 200 OK\r\nX-Dandeliontrail-Response-Seal: s\r\n"
        b"Content-Length: 5\r\n\r\nstray"
    )
    CREATED = b"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n"
    ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nstray"
    NOT_FOUND = b"HTTP/1.1 404 X\r\nContent-Length: 5\r\n\r\nstray"


def serve(server, sock, head):
    request_id = platform_world.id_of(head)
    body = f"own {request_id}".encode()
    sock.sendall(platform_world.whole(200, body, request_id))


def strays_before_the_second(stray):
    def script(server, sock, head):
        if len(server.ran) > 1:
            sock.sendall(stray.value)
        serve(server, sock, head)

    return script


@pytest.mark.parametrize("stray", [Stray.SUCCESS, Stray.SEALED, Stray.CREATED])
def test_a_success_that_names_no_request_is_passed_over(stray):
    with platform_world.served(ROUTES, strays_before_the_second(stray)) as (
        platform,
        entry,
        servers,
    ):
        for name in ("r1", "r2"):
            reply = platform.call(entry, "POST", "/order/x", name)
            assert (reply.status, reply.body) == (200, f"own {name}".encode())
        assert servers[0].connections == 1


@pytest.mark.parametrize("stray", [Stray.ERROR, Stray.NOT_FOUND])
def test_an_error_that_names_no_request_is_nobodys(stray):
    with platform_world.served(ROUTES, strays_before_the_second(stray)) as (
        platform,
        entry,
        servers,
    ):
        platform.call(entry, "POST", "/order/x", "r1")
        reply = platform.call(entry, "POST", "/order/x", "r2")
        assert reply.status == 502
        assert b"stray" not in reply.body
        assert servers[0].connections == 1


def unsealed(server, sock, head):
    whole = platform_world.whole(200, b"bare", platform_world.id_of(head))
    sock.sendall(whole.replace(platform_world.SEAL.encode(), b"X-Other"))


def unsealed_stream(server, sock, head):
    head = platform_world.stream_head(platform_world.id_of(head))
    sock.sendall(head.replace(platform_world.SEAL.encode(), b"X-Other"))
    sock.sendall(platform_world.chunk(platform_world.event(1)))
    sock.sendall(platform_world.END)


@pytest.mark.parametrize(
    "path, script",
    [
        ("/order/x", unsealed),
        ("/report/x", unsealed_stream),
        ("/report/x", unsealed),
    ],
)
def test_a_success_without_its_seal_is_none(path, script):
    with platform_world.served(ROUTES, script) as (platform, entry, _):
        reply = platform.call(entry, "POST", path)
        assert reply.status == 502
        assert b"bare" not in reply.body


@pytest.mark.parametrize(
    "method, path, script",
    [("GET", "/read/x", unsealed), ("POST", "/chat/x", unsealed_stream)],
)
def test_what_may_be_repeated_is_after_a_success_without_its_seal(
    method, path, script
):
    with platform_world.served(ROUTES, script, serve) as (platform, entry, _):
        for number in range(4):
            reply = platform.call(entry, method, path, f"r{number}")
            assert reply.body == f"own r{number}".encode()


def test_an_error_of_the_server_needs_no_seal():
    def fail(server, sock, head):
        whole = platform_world.whole(404, b"none", platform_world.id_of(head))
        sock.sendall(whole.replace(platform_world.SEAL.encode(), b"X-Other"))

    with platform_world.served(ROUTES, fail) as (platform, entry, _):
        reply = platform.call(entry, "POST", "/order/x")
        assert (reply.status, reply.body) == (404, b"none")
