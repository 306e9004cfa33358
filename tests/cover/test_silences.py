"""A server that is silent for a while does not lose its answer."""

import time

import gevent
import gevent.event
import pytest

from tests.common import platform_world
from tests.common import world
from tests.cover import test_forwarding

# Longer than the shortest silence timeout, and shorter than every deadline.
PAUSE_SECONDS = 0.9
DELAY_SECONDS = 2.0
ROUTES = (
    platform_world.route(
        "chat", "streaming", resumable=True, gap_aim_ms=300, timeout_ms=6000
    ),
    platform_world.route(
        "thrice",
        "streaming",
        resumable=True,
        gap_aim_ms=300,
        timeout_ms=6000,
        max_attempts=3,
    ),
    platform_world.route("read", "safe", timeout_ms=6000),
)
EVENTS = 5
EXPECTED = [f"id: {number}" for number in range(1, EVENTS + 1)]


@pytest.fixture
def made():
    with platform_world.declared(ROUTES) as found:
        yield found


def call(made, entry, path, request_id="r1", left="6000"):
    return made.call(entry, "POST", path, request_id, body=b"{}", left=left)


def first_requested_event(head):
    """Return the number of the first event that a request asks for."""
    return int(platform_world.header(head, "last-event-id") or 0) + 1


def pausing(seconds=PAUSE_SECONDS, before=(2, 3, 4)):
    """Return a script that pauses before the events in ``before``."""

    def script(server, sock, head):
        sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
        for number in range(first_requested_event(head), EVENTS + 1):
            if number in before:
                gevent.sleep(seconds)
            sock.sendall(platform_world.chunk(platform_world.event(number)))
        sock.sendall(platform_world.END)

    return script


def delayed(script, seconds=DELAY_SECONDS):
    """Return a script that runs ``script`` after a delay in seconds."""

    def delayed_script(server, sock, head):
        gevent.sleep(seconds)
        return script(server, sock, head)

    return delayed_script


def stops_after(last):
    """Return a script that sends events up to ``last``, then nothing."""

    def script(server, sock, head):
        sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
        for number in range(first_requested_event(head), last + 1):
            sock.sendall(platform_world.chunk(platform_world.event(number)))
        platform_world.ends(sock)
        server.closed.append(time.monotonic())
        return "close"

    return script


def never_answers(server, sock, head):
    platform_world.ends(sock)
    server.closed.append(time.monotonic())
    return "close"


def declines(server, sock, head):
    """Answer that the request was not run."""
    sock.sendall(
        platform_world.whole(
            503,
            b"",
            platform_world.id_of(head),
            "X-Dandeliontrail-Not-Executed: 1\r\n",
        )
    )


def start_call(made, script, path, left="6000"):
    """Return an instance, a server, and a call that the server received."""
    entry = made.entry()
    server = made.server(script)
    made.knows(entry, server)
    asked = gevent.spawn(call, made, entry, path, left=left)
    world.wait_until(lambda: server.ran)
    return entry, server, asked


def add_server(made, entry, script):
    server = made.server(script)
    made.knows(entry, server)
    return server


def check_nothing_is_left(entry):
    reducer = entry.host.reducer
    world.wait_until(lambda: not entry.host.open_exchange_count())
    assert not reducer.lives
    assert reducer.policy.own_loads() == []
    assert not reducer.policy.waiting()


def test_an_answer_that_is_late_is_waited_for_where_there_is_one_server(made):
    entry, server, asked = start_call(
        made, delayed(test_forwarding.answer_script()), "/read/"
    )
    reply = asked.get()
    assert (reply.status, reply.body) == (200, b"done")
    assert len(server.ran) == 1
    check_nothing_is_left(entry)


def test_a_first_event_that_is_late_is_waited_for(made):
    entry, server, asked = start_call(
        made, delayed(pausing(before=())), "/chat/"
    )
    reply = asked.get()
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert reply.whole and len(server.ran) == 1
    check_nothing_is_left(entry)


def test_a_body_that_comes_slowly_is_waited_for(made):
    def in_pieces(server, sock, head):
        data = platform_world.whole(200, b"done", platform_world.id_of(head))
        sock.sendall(data[:-2])
        gevent.sleep(DELAY_SECONDS)
        sock.sendall(data[-2:])

    _, server, asked = start_call(made, in_pieces, "/read/")
    reply = asked.get()
    assert (reply.status, reply.body, reply.whole) == (200, b"done", True)


def test_many_pauses_of_one_server_end_no_stream(made):
    entry, server, asked = start_call(made, pausing(), "/chat/")
    reply = asked.get()
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert reply.whole and len(server.ran) == 1
    check_nothing_is_left(entry)


@pytest.mark.parametrize("events", [0, 2])
def test_a_server_that_comes_in_the_pause_goes_on(made, events):
    entry, silent, asked = start_call(made, stops_after(events), "/chat/")
    gevent.sleep(PAUSE_SECONDS)
    other = add_server(made, entry, pausing(before=()))
    reply = asked.get()
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert reply.whole and len(other.ran) == 1
    world.wait_until(lambda: silent.closed)
    check_nothing_is_left(entry)


def test_a_silent_server_is_let_go_only_once_another_speaks(made):
    entry, silent, asked = start_call(made, stops_after(2), "/chat/")
    spoke = []

    def slowly(server, sock, head):
        gevent.sleep(PAUSE_SECONDS)
        spoke.append(time.monotonic())
        pausing(before=())(server, sock, head)

    add_server(made, entry, slowly)
    reply = asked.get()
    assert test_forwarding.event_ids(reply) == EXPECTED
    world.wait_until(lambda: silent.closed)
    assert silent.closed[0] >= spoke[0]
    assert silent.closed[0] < spoke[0] + 0.3


def test_a_server_that_has_no_room_in_the_pause_ends_no_stream(made):
    entry, silent, asked = start_call(
        made, pausing(2.0, before=(3,)), "/chat/"
    )
    busy = add_server(made, entry, declines)
    reply = asked.get()
    assert busy.ran
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert reply.whole
    check_nothing_is_left(entry)


def test_a_server_that_has_no_room_leaves_the_stream_to_the_next(made):
    entry, silent, asked = start_call(made, stops_after(2), "/chat/")
    busy = add_server(made, entry, declines)
    world.wait_until(lambda: busy.ran)
    free = add_server(made, entry, pausing(before=()))
    reply = asked.get()
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert reply.whole and len(free.ran) == 1
    check_nothing_is_left(entry)


def test_a_server_that_had_no_room_is_asked_again_in_the_pause(made):
    def declines_once(server, sock, head):
        if len(server.ran) == 1:
            return declines(server, sock, head)
        return pausing(before=())(server, sock, head)

    entry, silent, asked = start_call(made, stops_after(2), "/chat/")
    other = add_server(made, entry, declines_once)
    reply = asked.get()
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert reply.whole and len(other.ran) == 2
    check_nothing_is_left(entry)


def test_two_servers_that_are_silent_end_no_stream(made):
    entry, first, asked = start_call(
        made, pausing(3.0, before=(3,)), "/thrice/"
    )
    second = add_server(made, entry, never_answers)
    reply = asked.get()
    assert len(second.ran) == 1
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert reply.whole
    check_nothing_is_left(entry)


@pytest.mark.parametrize("path", ["/chat/", "/read/"])
def test_the_first_server_speaks_while_the_other_one_has_begun(made, path):
    script = pausing(1.5, before=(3,))
    if path == "/read/":
        script = delayed(test_forwarding.answer_script(), 1.5)
    entry, first, asked = start_call(made, script, path)
    second = add_server(made, entry, never_answers)
    reply = asked.get()
    assert len(first.ran) == len(second.ran) == 1
    assert reply.whole and reply.status == 200
    if path == "/chat/":
        assert test_forwarding.event_ids(reply) == EXPECTED
    world.wait_until(lambda: second.closed)
    check_nothing_is_left(entry)


def test_a_stream_goes_on_at_the_first_where_the_other_one_breaks(made):
    def breaks(server, sock, head):
        gevent.sleep(0.1)
        return "close"

    entry, first, asked = start_call(made, pausing(2.0, before=(3,)), "/chat/")
    second = add_server(made, entry, breaks)
    reply = asked.get()
    assert len(second.ran) == 1
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert reply.whole
    check_nothing_is_left(entry)


def test_a_stream_goes_on_at_the_other_where_the_first_one_breaks(made):
    def breaks(server, sock, head):
        pausing(before=())(server, _LimitedSocket(sock, 3), head)
        gevent.sleep(1.5)
        return "close"

    entry, first, asked = start_call(made, breaks, "/chat/")
    second = add_server(made, entry, delayed(pausing(before=()), 2.0))
    reply = asked.get()
    assert len(second.ran) == 1
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert reply.whole
    check_nothing_is_left(entry)


class _LimitedSocket:
    """Passes on the first ``count`` writes and drops the others."""

    def __init__(self, sock, count):
        self._sock = sock
        self._count = count

    def sendall(self, data):
        if self._count:
            self._count -= 1
            self._sock.sendall(data)


def test_no_more_servers_are_asked_than_the_route_allows(made):
    entry, silent, asked = start_call(
        made, never_answers, "/chat/", left="3000"
    )
    others = [add_server(made, entry, never_answers) for _ in range(3)]
    reply = asked.get()
    assert reply.status == 504
    assert sum(len(server.ran) for server in others) == 1
    check_nothing_is_left(entry)


def test_a_third_server_is_asked_where_the_second_broke(made):
    def breaks(server, sock, head):
        return "close"

    entry, silent, asked = start_call(made, never_answers, "/thrice/")
    add_server(made, entry, breaks)
    gevent.sleep(1.5)
    last = add_server(made, entry, pausing(before=()))
    reply = asked.get()
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert len(last.ran) == 1
    check_nothing_is_left(entry)


@pytest.mark.parametrize("events", [0, 2])
def test_a_server_that_is_silent_for_good_ends_by_the_deadline(made, events):
    asked_at = time.monotonic()
    entry, silent, asked = start_call(
        made, stops_after(events), "/chat/", left="2000"
    )
    reply = asked.get()
    assert 1.9 < time.monotonic() - asked_at < 2.6
    assert reply.status == (200 if events else 504)
    assert not events or not reply.whole
    world.wait_until(lambda: silent.closed)
    check_nothing_is_left(entry)


def test_a_caller_that_leaves_in_the_pause_stops_both_servers(made):
    entry = made.entry()
    first = add_server(made, entry, stops_after(2))
    sock = made.connect(entry)
    headers = platform_world.caller_headers("r1", left="6000")
    platform_world.send(sock, "POST", "/chat/", headers, b"{}")
    world.wait_until(lambda: first.ran)
    second = add_server(made, entry, never_answers)
    world.wait_until(lambda: second.ran)
    sock.close()
    world.wait_until(lambda: first.closed and second.closed)
    check_nothing_is_left(entry)


def test_a_shutdown_in_the_pause_cuts_no_stream(made):
    entry, server, asked = start_call(
        made, pausing(2.0, before=(3,)), "/chat/"
    )
    gevent.sleep(PAUSE_SECONDS)
    draining = gevent.spawn(entry.drain)
    reply = asked.get()
    assert test_forwarding.event_ids(reply) == EXPECTED
    assert reply.whole
    draining.get()
