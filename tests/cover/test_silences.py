"""A server that is silent for a while ends no answer that it would give."""

import time

import gevent
import gevent.event
import pytest

from tests.common import platform_world
from tests.common import world
from tests.cover import test_forwarding

# Beyond the least patience with any server, and within all deadlines.
PAUSE = 0.9
LATE = 2.0
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


def first_of(head):
    """Return the number of the first event that a request asks for."""
    return int(platform_world.header(head, "last-event-id") or 0) + 1


def pausing(seconds=PAUSE, before=(2, 3, 4)):
    """Return a script of a stream that pauses before some of its events."""

    def script(server, sock, head):
        sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
        for number in range(first_of(head), EVENTS + 1):
            if number in before:
                gevent.sleep(seconds)
            sock.sendall(platform_world.chunk(platform_world.event(number)))
        sock.sendall(platform_world.END)

    return script


def late(script, seconds=LATE):
    """Return a script that does what ``script`` does, later."""

    def slept(server, sock, head):
        gevent.sleep(seconds)
        return script(server, sock, head)

    return slept


def stops_after(last):
    """Return a script that says nothing more after an event."""

    def script(server, sock, head):
        sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
        for number in range(first_of(head), last + 1):
            sock.sendall(platform_world.chunk(platform_world.event(number)))
        sock.recv(1)
        server.closed.append(time.monotonic())
        return "close"

    return script


def mute(server, sock, head):
    sock.recv(1)
    server.closed.append(time.monotonic())
    return "close"


def full(server, sock, head):
    """Answer that the request was not run."""
    sock.sendall(
        platform_world.whole(
            503,
            b"",
            platform_world.id_of(head),
            "X-Dandeliontrail-Not-Executed: 1\r\n",
        )
    )


def began(made, script, path, left="6000"):
    """Return an entry, a server, and a call that the server has begun."""
    entry = made.entry()
    server = made.server(script)
    made.knows(entry, server)
    asked = gevent.spawn(call, made, entry, path, left=left)
    world.wait_until(lambda: server.ran)
    return entry, server, asked


def join(made, entry, script):
    server = made.server(script)
    made.knows(entry, server)
    return server


def nothing_is_left(entry):
    reducer = entry.host.reducer
    world.wait_until(lambda: not entry.host.open_exchanges())
    assert not reducer.lives
    assert reducer.policy.own_loads() == []
    assert not reducer.policy.waiting()


def test_an_answer_that_is_late_is_waited_for_where_there_is_one_server(made):
    entry, server, asked = began(
        made, late(test_forwarding.answers()), "/read/"
    )
    reply = asked.get()
    assert (reply.status, reply.body) == (200, b"done")
    assert len(server.ran) == 1
    nothing_is_left(entry)


def test_a_first_event_that_is_late_is_waited_for(made):
    entry, server, asked = began(made, late(pausing(before=())), "/chat/")
    reply = asked.get()
    assert test_forwarding.pieces(reply) == EXPECTED
    assert reply.whole and len(server.ran) == 1
    nothing_is_left(entry)


def test_a_body_that_comes_slowly_is_waited_for(made):
    def in_pieces(server, sock, head):
        data = platform_world.whole(200, b"done", platform_world.id_of(head))
        sock.sendall(data[:-2])
        gevent.sleep(LATE)
        sock.sendall(data[-2:])

    _, server, asked = began(made, in_pieces, "/read/")
    reply = asked.get()
    assert (reply.status, reply.body, reply.whole) == (200, b"done", True)


def test_many_pauses_of_one_server_end_no_stream(made):
    entry, server, asked = began(made, pausing(), "/chat/")
    reply = asked.get()
    assert test_forwarding.pieces(reply) == EXPECTED
    assert reply.whole and len(server.ran) == 1
    nothing_is_left(entry)


@pytest.mark.parametrize("events", [0, 2])
def test_a_server_that_comes_in_the_pause_goes_on(made, events):
    entry, silent, asked = began(made, stops_after(events), "/chat/")
    gevent.sleep(PAUSE)
    other = join(made, entry, pausing(before=()))
    reply = asked.get()
    assert test_forwarding.pieces(reply) == EXPECTED
    assert reply.whole and len(other.ran) == 1
    world.wait_until(lambda: silent.closed)
    nothing_is_left(entry)


def test_a_silent_server_is_let_go_only_once_another_speaks(made):
    entry, silent, asked = began(made, stops_after(2), "/chat/")
    spoke = []

    def slowly(server, sock, head):
        gevent.sleep(PAUSE)
        spoke.append(time.monotonic())
        pausing(before=())(server, sock, head)

    join(made, entry, slowly)
    reply = asked.get()
    assert test_forwarding.pieces(reply) == EXPECTED
    world.wait_until(lambda: silent.closed)
    assert silent.closed[0] >= spoke[0]
    assert silent.closed[0] < spoke[0] + 0.3


def test_a_server_that_has_no_room_in_the_pause_ends_no_stream(made):
    entry, silent, asked = began(made, pausing(2.0, before=(3,)), "/chat/")
    busy = join(made, entry, full)
    reply = asked.get()
    assert busy.ran
    assert test_forwarding.pieces(reply) == EXPECTED
    assert reply.whole
    nothing_is_left(entry)


def test_a_server_that_has_no_room_leaves_the_stream_to_the_next(made):
    entry, silent, asked = began(made, stops_after(2), "/chat/")
    busy = join(made, entry, full)
    world.wait_until(lambda: busy.ran)
    free = join(made, entry, pausing(before=()))
    reply = asked.get()
    assert test_forwarding.pieces(reply) == EXPECTED
    assert reply.whole and len(free.ran) == 1
    nothing_is_left(entry)


def test_a_server_that_had_no_room_is_asked_again_in_the_pause(made):
    def full_once(server, sock, head):
        if len(server.ran) == 1:
            return full(server, sock, head)
        return pausing(before=())(server, sock, head)

    entry, silent, asked = began(made, stops_after(2), "/chat/")
    other = join(made, entry, full_once)
    reply = asked.get()
    assert test_forwarding.pieces(reply) == EXPECTED
    assert reply.whole and len(other.ran) == 2
    nothing_is_left(entry)


def test_two_servers_that_are_silent_end_no_stream(made):
    entry, first, asked = began(made, pausing(3.0, before=(3,)), "/thrice/")
    second = join(made, entry, mute)
    reply = asked.get()
    assert len(second.ran) == 1
    assert test_forwarding.pieces(reply) == EXPECTED
    assert reply.whole
    nothing_is_left(entry)


@pytest.mark.parametrize("path", ["/chat/", "/read/"])
def test_the_first_server_speaks_while_the_other_one_has_begun(made, path):
    script = pausing(1.5, before=(3,))
    if path == "/read/":
        script = late(test_forwarding.answers(), 1.5)
    entry, first, asked = began(made, script, path)
    second = join(made, entry, mute)
    reply = asked.get()
    assert len(first.ran) == len(second.ran) == 1
    assert reply.whole and reply.status == 200
    if path == "/chat/":
        assert test_forwarding.pieces(reply) == EXPECTED
    world.wait_until(lambda: second.closed)
    nothing_is_left(entry)


def test_a_stream_goes_on_at_the_first_where_the_other_one_breaks(made):
    def breaks(server, sock, head):
        gevent.sleep(0.1)
        return "close"

    entry, first, asked = began(made, pausing(2.0, before=(3,)), "/chat/")
    second = join(made, entry, breaks)
    reply = asked.get()
    assert len(second.ran) == 1
    assert test_forwarding.pieces(reply) == EXPECTED
    assert reply.whole
    nothing_is_left(entry)


def test_a_stream_goes_on_at_the_other_where_the_first_one_breaks(made):
    def breaks(server, sock, head):
        pausing(before=())(server, _First(sock, 3), head)
        gevent.sleep(1.5)
        return "close"

    entry, first, asked = began(made, breaks, "/chat/")
    second = join(made, entry, late(pausing(before=()), 2.0))
    reply = asked.get()
    assert len(second.ran) == 1
    assert test_forwarding.pieces(reply) == EXPECTED
    assert reply.whole
    nothing_is_left(entry)


class _First:
    """Lets the first so many writes through."""

    def __init__(self, sock, count):
        self._sock = sock
        self._count = count

    def sendall(self, data):
        if self._count:
            self._count -= 1
            self._sock.sendall(data)


def test_no_more_servers_are_asked_than_the_route_allows(made):
    entry, silent, asked = began(made, mute, "/chat/", left="3000")
    others = [join(made, entry, mute) for _ in range(3)]
    reply = asked.get()
    assert reply.status == 504
    assert sum(len(server.ran) for server in others) == 1
    nothing_is_left(entry)


def test_a_third_server_is_asked_where_the_second_broke(made):
    def breaks(server, sock, head):
        return "close"

    entry, silent, asked = began(made, mute, "/thrice/")
    join(made, entry, breaks)
    gevent.sleep(1.5)
    last = join(made, entry, pausing(before=()))
    reply = asked.get()
    assert test_forwarding.pieces(reply) == EXPECTED
    assert len(last.ran) == 1
    nothing_is_left(entry)


@pytest.mark.parametrize("events", [0, 2])
def test_a_server_that_is_silent_for_good_ends_by_the_deadline(made, events):
    asked_at = time.monotonic()
    entry, silent, asked = began(
        made, stops_after(events), "/chat/", left="2000"
    )
    reply = asked.get()
    assert 1.9 < time.monotonic() - asked_at < 2.6
    assert reply.status == (200 if events else 504)
    assert not events or not reply.whole
    world.wait_until(lambda: silent.closed)
    nothing_is_left(entry)


def test_a_caller_that_leaves_in_the_pause_stops_both_servers(made):
    entry = made.entry()
    first = join(made, entry, stops_after(2))
    sock = made.connect(entry)
    headers = platform_world.caller_headers("r1", left="6000")
    platform_world.send(sock, "POST", "/chat/", headers, b"{}")
    world.wait_until(lambda: first.ran)
    second = join(made, entry, mute)
    world.wait_until(lambda: second.ran)
    sock.close()
    world.wait_until(lambda: first.closed and second.closed)
    nothing_is_left(entry)


def test_a_shutdown_in_the_pause_cuts_no_stream(made):
    entry, server, asked = began(made, pausing(2.0, before=(3,)), "/chat/")
    gevent.sleep(PAUSE)
    stopped = gevent.spawn(entry.drain)
    reply = asked.get()
    assert test_forwarding.pieces(reply) == EXPECTED
    assert reply.whole
    stopped.get()
