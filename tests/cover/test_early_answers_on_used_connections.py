"""A server that answers early without a length and resets gives no answer.

Guards against a part of an answer that is taken for the whole on a connection
that was used before, in a repeat and in the answer to a hedge.
"""

import contextlib
import socket

import gevent
import pytest

from tests.common import platform_world
from tests.cover import test_answer_ends
from tests.soak import proxy

ROUTES = (
    platform_world.route("read", "safe", timeout_ms=4000),
    platform_world.route(
        "order", "non_idempotent", max_attempts=1, timeout_ms=4000
    ),
    platform_world.route("chat", "streaming", resumable=True, timeout_ms=4000),
    platform_world.route(
        "report", "streaming", max_attempts=1, timeout_ms=4000
    ),
)
EVENTS = 3
WHOLE = b"".join(platform_world.event(n) for n in range(1, EVENTS + 1))
LARGE = test_answer_ends.LARGE_BODY
# Longer than the silence after which a safe request gets a hedge.
SILENT_SECONDS = 1.0


def answer_whole(sock, head):
    length = f"Content-Length: {len(WHOLE)}"
    sock.sendall(test_answer_ends.answer_head(head, length) + WHOLE)


def answer_early_and_reset(sock, head):
    """Send a part of an answer that has no length, then reset."""
    sock.sendall(test_answer_ends.answer_head(head) + WHOLE[:-5])
    gevent.sleep(0.1)
    linger = proxy.LINGER_RESET
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


class Troubled:
    """Answers requests with a body early, and others whole."""

    def __init__(self):
        self.early = []

    def script(self, server, sock, head):
        if platform_world.header(head, "Content-Length") in ("", "0"):
            answer_whole(sock, head)
            return None
        self.early.append(platform_world.id_of(head))
        gevent.sleep(0.1)
        answer_early_and_reset(sock, head)
        return "close"


def reads_late(head):
    return platform_world.header(head, "Content-Length") not in ("", "0")


@contextlib.contextmanager
def site(*scripts):
    """Yield a platform, its entry and a server for each script."""
    with platform_world.declared(ROUTES) as platform:
        entry = platform.entry()
        (pool,) = entry.host.connection_pools
        pool.connect = test_answer_ends.connect_with_small_buffer
        for script in scripts:
            server = platform.server(script)
            server.reads_late = reads_late
            platform.knows(entry, server)
        yield platform, entry


@pytest.mark.parametrize("path", ["/order/x", "/report/x"])
def test_a_part_on_a_connection_that_was_used_before_is_no_answer(path):
    troubled = Troubled()
    with site(troubled.script) as (platform, entry):
        before = platform.call(entry, "GET", "/read/x", "before")
        assert (before.status, before.body) == (200, WHOLE)
        reply = platform.call(entry, "POST", path, "early", body=LARGE)
        assert not (reply.status == 200 and reply.whole)
        assert troubled.early == ["early"]


def answer_to_end(server, sock, head):
    """Read the whole request and answer it whole."""
    sock.settimeout(0.3)
    with contextlib.suppress(TimeoutError):
        while sock.recv(65536):
            pass
    answer_whole(sock, head)
    return "close"


def test_a_part_is_repeated_at_another_server_and_never_passed_on():
    troubled = Troubled()
    with site(troubled.script, answer_to_end) as (platform, entry):
        for number in range(4):
            name = f"repeat-{number}"
            reply = platform.call(entry, "POST", "/read/x", name, body=LARGE)
            assert reply.status != 200 or reply.body == WHOLE
        assert troubled.early


def test_a_part_in_the_answer_to_a_hedge_is_not_passed_on():
    def fall_silent(server, sock, head):
        gevent.sleep(SILENT_SECONDS)
        return "close"

    troubled = Troubled()
    with site(fall_silent, troubled.script) as (platform, entry):
        for number in range(4):
            name = f"hedge-{number}"
            reply = platform.call(entry, "POST", "/read/x", name, body=LARGE)
            assert reply.status != 200 or reply.body == WHOLE
        assert troubled.early
