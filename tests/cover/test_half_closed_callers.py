"""A caller that shuts down its sending side is told the truth.

"Not run" for an order that runs makes the caller order again.
"""

import socket

import gevent
import pytest

from tests.common import platform_world
from tests.common import world

PROMISES = (408, 421, 429, 503)
WORK_SECONDS = 0.4


@pytest.fixture
def made():
    with platform_world.declared() as found:
        found.entry = found.entry()
        yield found


def slow(server, sock, head):
    gevent.sleep(WORK_SECONDS)
    request_id = platform_world.id_of(head)
    sock.sendall(platform_world.whole(200, b"ran", request_id))


def half_close(made, path, request_id, after):
    """Send a request, shut down the sending side; return the reply."""
    sock = made.connect(made.entry)
    headers = platform_world.caller_headers(request_id)
    platform_world.send(sock, "POST", path, headers, b"{}")
    gevent.sleep(after)
    sock.shutdown(socket.SHUT_WR)
    return platform_world.Reply(platform_world.read_to_end(sock))


@pytest.mark.parametrize("after", [0.0, 0.01, 0.15, 0.35])
@pytest.mark.parametrize("path", ["/order/x", "/read/x"])
def test_what_may_have_run_is_not_answered_as_not_run(made, path, after):
    server = made.server(slow)
    made.knows(made.entry, server)
    reply = half_close(made, path, "h1", after)
    gevent.sleep(WORK_SECONDS)
    if server.ran:
        assert reply.status and reply.status not in PROMISES


def test_an_order_that_has_begun_is_answered(made):
    server = made.server(slow)
    made.knows(made.entry, server)
    reply = half_close(made, "/order/x", "h1", 0.15)
    assert (reply.status, reply.body) == (200, b"ran")


def test_orders_whose_callers_left_do_not_count_as_running_for_good(made):
    # After a rest a server gets one order at first, and those that never end
    # would keep it from getting any.
    turned_away = []

    def rests_once(server, sock, head):
        if platform_world.id_of(head) == "full":
            turned_away.append(head)
            extra = "X-Dandeliontrail-Not-Executed: 1\r\nRetry-After: 0.2\r\n"
            sock.sendall(platform_world.whole(503, b"", "full", extra))
            return
        slow(server, sock, head)

    made.knows(made.entry, made.server(rests_once))
    for number in range(3):
        sock = made.connect(made.entry)
        headers = platform_world.caller_headers(f"leaves-{number}")
        platform_world.send(sock, "POST", "/order/x", headers, b"{}")
        gevent.sleep(0.1)
        sock.close()
    assert made.call(made.entry, "POST", "/order/x", "full").status == 503
    assert turned_away
    gevent.sleep(1.0)
    reply = made.call(made.entry, "POST", "/order/x", "served")
    assert (reply.status, reply.body) == (200, b"ran")
    world.wait_until(lambda: not made.entry.host.reducer.lives)


def test_an_order_that_a_server_turns_away_is_not_sent_again(made):
    heads = []

    def turns_away(server, sock, head):
        heads.append(head)
        gevent.sleep(0.3)
        extra = "X-Dandeliontrail-Not-Executed: 1\r\n"
        request_id = platform_world.id_of(head)
        sock.sendall(platform_world.whole(503, b"", request_id, extra))

    for _ in range(2):
        made.knows(made.entry, made.server(turns_away))
    reply = half_close(made, "/order/x", "h1", 0.15)
    assert reply.status == 503
    gevent.sleep(0.5)
    assert len(heads) == 1


def test_what_waits_for_a_server_is_answered_as_not_run_and_does_not(made):
    reply = half_close(made, "/order/x", "h1", 0.1)
    assert reply.status == 503
    server = made.server(slow)
    made.knows(made.entry, server)
    gevent.sleep(WORK_SECONDS)
    assert not server.ran
    world.wait_until(lambda: not made.entry.host.open_exchange_count())
