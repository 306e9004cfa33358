"""What runs a second time after its answer was lost.

Guards against an order that runs twice since its route also says
``resumable``, which speaks of streams alone.
"""

import gevent
import pytest

from tests.common import platform_world

ROUTES = (
    platform_world.route("read", "safe", resumable=True),
    platform_world.route("order", "non_idempotent", resumable=True),
    platform_world.route("chat", "streaming", resumable=True),
    platform_world.route("report", "streaming"),
)
# Longer than a silence after which a second server is asked.
SILENT_SECONDS = 1.2
HALF = 5


def lose(server, sock, head):
    """Run a request and close the connection without an answer."""
    return "close"


def be_silent(server, sock, head):
    gevent.sleep(SILENT_SECONDS)
    return "close"


def answer_half(server, sock, head):
    """Begin an answer that is no stream, and break it off."""
    whole = platform_world.whole(
        200, b'{"sacks": 1}', platform_world.id_of(head)
    )
    sock.sendall(whole[:-HALF])
    return "close"


def stop_in_the_middle(server, sock, head):
    """Begin an answer that is no stream, and fall silent."""
    whole = platform_world.whole(
        200, b'{"sacks": 1}', platform_world.id_of(head)
    )
    sock.sendall(whole[:-HALF])
    gevent.sleep(SILENT_SECONDS)
    sock.sendall(whole[-HALF:])


def fail(server, sock, head):
    """Answer with an error, in JSON and not as a stream."""
    request_id = platform_world.id_of(head)
    sock.sendall(platform_world.whole(500, b'{"error": 1}', request_id))


def site(script):
    """Return a platform with an entry and two servers that do the same."""
    return platform_world.served(ROUTES, script, script)


def runs_of(servers):
    return sum(len(server.ran) for server in servers)


@pytest.mark.parametrize("script", [lose, be_silent, answer_half, fail])
@pytest.mark.parametrize("path", ["/order/x", "/report/x"])
def test_what_is_not_idempotent_runs_once_whatever_is_lost(path, script):
    with site(script) as (platform, entry, servers):
        reply = platform.call(entry, "POST", path)
        assert reply.status >= 500
        assert runs_of(servers) == 1


@pytest.mark.parametrize("script", [lose, be_silent, answer_half, fail])
def test_a_read_of_a_resumable_route_is_repeated(script):
    with site(script) as (platform, entry, servers):
        platform.call(entry, "GET", "/read/x")
        assert runs_of(servers) == 2


@pytest.mark.parametrize("script", [lose, be_silent, fail])
def test_a_resumable_stream_without_an_answer_is_repeated(script):
    with site(script) as (platform, entry, servers):
        platform.call(entry, "POST", "/chat/x")
        assert runs_of(servers) == 2


def test_an_answer_that_is_no_stream_is_not_repeated_as_one():
    with site(answer_half) as (platform, entry, servers):
        reply = platform.call(entry, "POST", "/chat/x")
        assert reply.status == 502
        assert runs_of(servers) == 1


def test_an_answer_that_is_no_stream_and_falls_silent_is_waited_for():
    with site(stop_in_the_middle) as (platform, entry, servers):
        reply = platform.call(entry, "POST", "/chat/x")
        assert (reply.status, reply.whole) == (200, True)
        assert runs_of(servers) == 1
