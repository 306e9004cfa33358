"""Servers that fall silent while they work on a request."""

import gevent
import gevent.event
import pytest

from tests.common import platform_world
from tests.common import world
from tests.cover import test_forwarding

ROUTES = (
    platform_world.route(
        "chat", "streaming", resumable=True, gap_aim_ms=300, timeout_ms=4000
    ),
    platform_world.route(
        "report", "streaming", gap_aim_ms=300, max_attempts=1
    ),
    platform_world.route("read", "safe", timeout_ms=4000),
)


@pytest.fixture
def made():
    with platform_world.declared(ROUTES) as found:
        yield found


def silent_after(last):
    """Return a script that sends events up to ``last``, then nothing."""
    begin = test_forwarding.streams(1, last, "open")

    def script(server, sock, head):
        if last:
            begin(server, sock, head)
        gevent.sleep(10.0)

    return script


def never_answers(server, sock, head):
    gevent.sleep(10.0)


def answers(server, sock, head):
    sock.sendall(
        platform_world.whole(200, b"whole", platform_world.id_of(head))
    )


def served_by_both(made, script, whole, path):
    """Return two servers and the replies to four requests.

    The first request goes to the server that runs ``script``: the other
    server is added only once it has been received.  Between two idle servers
    the choice is random, and all four requests might miss one of them.
    """
    entry = made.entry()
    first = made.server(script)
    made.knows(entry, first)
    call = gevent.spawn(made.call, entry, "POST", path, "r0", body=b"{}")
    with gevent.Timeout(2.0):
        while not first.ran:
            gevent.sleep(0.01)
    second = made.server(whole)
    made.knows(entry, second)
    replies = [call.get()]
    for number in range(1, 4):
        replies.append(
            made.call(entry, "POST", path, f"r{number}", body=b"{}")
        )
    return [first, second], replies


@pytest.mark.parametrize("last", [0, 3])
def test_a_stream_goes_on_when_its_server_falls_silent(made, last):
    # A failure domain is partitioned while it serves streams: the connections
    # stay open and nothing arrives.  Callers must not wait until their
    # deadline, since another server can resume after the last event.
    servers, replies = served_by_both(
        made, silent_after(last), test_forwarding.streams(1, 9), "/chat/"
    )
    assert servers[0].ran
    for reply in replies:
        expected = [f"id: {place}" for place in range(1, 10)]
        assert test_forwarding.event_ids(reply) == expected
        assert reply.whole


def test_a_request_whose_answer_is_lost_is_hedged_elsewhere(made):
    # A server runs a lookup and its answer is lost on the network.
    servers, replies = served_by_both(made, never_answers, answers, "/read/")
    assert servers[0].ran
    assert [reply.status for reply in replies] == [200] * 4


def test_a_request_that_may_run_only_once_is_waited_for(made):
    # A report that may not be repeated pauses for longer than its route
    # allows.  It is late, but no other attempt at it can be made.
    def pauses(server, sock, head):
        sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
        for number in (1, 2):
            sock.sendall(platform_world.chunk(platform_world.event(number)))
            gevent.sleep(0.7)
        sock.sendall(platform_world.END)

    servers, replies = served_by_both(made, pauses, pauses, "/report/")
    assert sum(len(server.ran) for server in servers) == len(replies)
    assert all(reply.whole for reply in replies)


def test_an_engine_that_goes_on_with_a_stream_is_not_counted_as_reading(made):
    entry = made.entry()
    may_end = gevent.event.Event()

    def breaks_off(server, sock, head):
        test_forwarding.streams(1, 3, "close")(server, sock, head)
        may_end.wait()
        return "close"

    first = made.server(breaks_off)
    made.knows(entry, first)
    headers = [
        ("X-Dandeliontrail-Prompt-Prefix", "aa:5000,bb:9000"),
        ("X-Dandeliontrail-Token-Usage", "14000,50"),
    ]
    gevent.spawn(
        made.call, entry, "POST", "/chat/", headers=headers, body=b"{}"
    )
    world.wait_until(lambda: first.ran)
    second = made.server(silent_after(6))
    made.knows(entry, second)
    may_end.set()
    world.wait_until(lambda: second.ran)
    gevent.sleep(0.1)
    (load,) = entry.host.reducer.policy.own_loads()
    assert (load.server, load.running, load.unread) == (second.id, 1, 0)


def test_a_stream_that_pauses_is_not_cut_where_no_other_server_is_free(made):
    def pauses(server, sock, head):
        sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
        for number in (1, 2, 3):
            sock.sendall(platform_world.chunk(platform_world.event(number)))
            gevent.sleep(0.9)
        sock.sendall(platform_world.END)

    entry = made.entry()
    made.knows(entry, made.server(pauses))
    reply = made.call(entry, "POST", "/chat/", body=b"{}")
    assert reply.whole
