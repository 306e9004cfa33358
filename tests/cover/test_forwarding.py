"""Forwarding on declared routes, as callers and backend servers see it."""

import time

from dandeliontrail_platform import dialect
import gevent
import pytest

from tests.common import platform_world
from tests.common import world

ID = dialect.REQUEST_ID


def answer_script(status=200, body=b"done"):
    """Return a server script that gives every request the same answer."""

    def script(server, sock, head):
        sock.sendall(
            platform_world.whole(status, body, platform_world.id_of(head))
        )

    return script


@pytest.fixture
def made():
    with platform_world.declared() as found:
        yield found


def start_with_servers(made, *scripts):
    """Return an instance and the servers that it knows, one per script."""
    entry = made.entry()
    servers = [made.server(script) for script in scripts]
    for server in servers:
        made.knows(entry, server)
    return entry, servers


def test_passes_a_request_and_its_answer_on_unchanged(made):
    entry, (server,) = start_with_servers(made, answer_script(200, b"a b"))
    reply = made.call(
        entry, "POST", "/order/x%20y?q=1", body=b"{}", headers=[("X-Own", "v")]
    )
    assert (reply.status, reply.body) == (200, b"a b")
    assert reply.headers[platform_world.SEAL.lower()] == "seal-r1"
    (head,) = server.ran
    assert head.startswith("POST /order/x%20y?q=1 HTTP/1.1")
    assert platform_world.header(head, "x-own") == "v"
    assert platform_world.header(head, "host") == platform_world.HOST


def test_a_server_learns_the_organisation_and_never_the_key(made):
    entry, (server,) = start_with_servers(made, answer_script())
    forged = [(dialect.ORGANISATION, "other"), (dialect.PRIORITY, "0")]
    made.call(entry, "GET", "/read/", headers=forged)
    (head,) = server.ran
    assert platform_world.header(head, dialect.ORGANISATION) == "acme"
    assert platform_world.KEY not in head
    assert platform_world.header(head, dialect.EXPECTED_SERVER) == server.id
    left = int(platform_world.header(head, dialect.TIME_LEFT))
    assert 1500 < left <= 2000


def test_a_failure_of_a_repeatable_request_is_tried_elsewhere(made):
    entry, servers = start_with_servers(
        made, answer_script(500, b"no"), answer_script(200, b"yes")
    )
    for number in range(6):
        reply = made.call(entry, "GET", "/read/", f"r{number}")
        assert (reply.status, reply.body) == (200, b"yes")


def test_a_request_that_may_not_be_repeated_runs_once(made):
    # Both servers close the connection after they have received the request.
    # The first may have run it, so it must not be sent to the second.
    def breaks(server, sock, head):
        return "close"

    entry, servers = start_with_servers(made, breaks, breaks)
    reply = made.call(entry, "POST", "/order/", body=b"{}")
    assert reply.status == 502
    assert sum(len(server.ran) for server in servers) == 1


def test_a_server_that_says_not_executed_is_no_attempt(made):
    def full(server, sock, head):
        extra = f"{dialect.NOT_EXECUTED}: 1\r\n"
        sock.sendall(
            platform_world.whole(503, b"", platform_world.id_of(head), extra)
        )

    entry, servers = start_with_servers(made, full, answer_script(200, b"ok"))
    number = 0
    while not servers[0].ran:
        # Which of the two is tried first is random.
        number += 1
        assert number < 100
        reply = made.call(entry, "POST", "/order/", f"r{number}", body=b"{}")
        assert reply.status == 200


def test_nobody_gets_the_answer_to_another_request(made):
    # A server answers one request twice.  The second answer arrives on the
    # keep-alive connection and would be taken for that to the next request.
    def twice(server, sock, head):
        first = platform_world.whole(
            200, b"for " + platform_world.id_of(head).encode(), "x"
        )
        sock.sendall(
            first.replace(
                b": x\r\n", f": {platform_world.id_of(head)}\r\n".encode()
            )
        )
        gevent.sleep(0.02)
        late = platform_world.whole(200, b"late", platform_world.id_of(head))
        sock.sendall(late)

    entry, (server,) = start_with_servers(made, twice)
    for number in range(5):
        reply = made.call(entry, "GET", "/read/", f"r{number}")
        assert reply.body == f"for r{number}".encode()
        gevent.sleep(0.05 * (number % 2))


def test_an_answer_that_is_not_http_is_a_bad_gateway(made):
    def garbage(server, sock, head):
        sock.sendall(b"\x00\x01 this is not HTTP\r\n\r\n")
        return "close"

    entry, _ = start_with_servers(made, garbage)
    reply = made.call(entry, "POST", "/order/", body=b"{}")
    assert reply.status == 502
    assert platform_world.SEAL.lower() not in reply.headers


def test_a_truncated_answer_does_not_look_complete(made):
    def cut(server, sock, head):
        sock.sendall(
            platform_world.whole(
                200, b"0123456789", platform_world.id_of(head)
            )[:-4]
        )
        return "close"

    entry, _ = start_with_servers(made, cut)
    assert made.call(entry, "POST", "/order/", body=b"{}").status == 502


def streams(first, last, then=""):
    """Return a script that streams events ``first`` to ``last``.

    Any ``then`` closes the connection without the end of the stream;
    ``mid-event`` first sends part of another event.
    """

    def script(server, sock, head):
        sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
        begin = int(platform_world.header(head, "last-event-id") or first - 1)
        for number in range(begin + 1, last + 1):
            sock.sendall(platform_world.chunk(platform_world.event(number)))
            gevent.sleep(0.01)
        if then == "mid-event":
            sock.sendall(platform_world.chunk(b"id: 99\nda"))
        if then:
            return "close"
        sock.sendall(platform_world.END)

    return script


def event_ids(reply):
    return [
        line for line in reply.body.decode().split("\n") if line[:3] == "id:"
    ]


def test_passes_events_on_as_they_come(made):
    entry, _ = start_with_servers(made, streams(1, 30))
    sock = made.connect(entry)
    headers = platform_world.caller_headers("r1")
    platform_world.send(sock, "POST", "/chat/", headers, b"{}")
    began = time.monotonic()
    first = sock.recv(65536)
    assert b"200 OK" in first
    assert time.monotonic() - began < 0.25


def test_a_stream_goes_on_at_another_server_after_its_last_event(made):
    # A server crashes in the middle of an event.  If the partial event were
    # relayed, the caller would see it joined with the first event of the next
    # server.
    entry, servers = start_with_servers(
        made, streams(1, 5, "mid-event"), streams(1, 5, "mid-event")
    )
    whole = made.server(streams(1, 9))
    made.knows(entry, whole)
    for number in range(3):
        reply = made.call(entry, "POST", "/chat/", f"r{number}", body=b"{}")
        found = event_ids(reply)
        expected = [f"id: {place}" for place in range(1, len(found) + 1)]
        assert found == expected
        assert reply.whole == (len(found) == 9)


def test_a_stream_that_may_not_be_repeated_is_visibly_truncated(made):
    entry, (server,) = start_with_servers(made, streams(1, 3, "close"))
    reply = made.call(entry, "POST", "/report/", body=b"{}")
    assert event_ids(reply) == ["id: 1", "id: 2", "id: 3"]
    assert not reply.whole
    assert len(server.ran) == 1


def test_a_server_stops_when_the_caller_has_left(made):
    # A caller closes its connection while the engine still processes the
    # prompt.  Without a cancellation the engine wastes many seconds on it.
    stopped = []

    def waits(server, sock, head):
        if platform_world.ends(sock):
            stopped.append(time.monotonic())
        return "close"

    entry, (server,) = start_with_servers(made, waits)
    sock = made.connect(entry)
    headers = platform_world.caller_headers("r1")
    platform_world.send(sock, "POST", "/chat/", headers, b"{}")
    world.wait_until(lambda: server.ran)
    left = time.monotonic()
    sock.close()
    world.wait_until(lambda: stopped)
    assert stopped[0] - left < 0.3
    world.wait_until(lambda: not entry.host.open_exchange_count())


def test_an_order_under_way_is_not_stopped_when_its_caller_leaves(made):
    finished = []

    def slow(server, sock, head):
        gevent.sleep(0.3)
        sock.sendall(
            platform_world.whole(200, b"done", platform_world.id_of(head))
        )
        finished.append(head)

    entry, (server,) = start_with_servers(made, slow)
    sock = made.connect(entry)
    headers = platform_world.caller_headers("r1")
    platform_world.send(sock, "POST", "/order/", headers, b"{}")
    world.wait_until(lambda: server.ran)
    sock.close()
    world.wait_until(lambda: finished)


def test_the_final_answer_comes_at_the_time_limit_of_the_route(made):
    def silent(server, sock, head):
        gevent.sleep(5.0)

    entry, _ = start_with_servers(made, silent)
    began = time.monotonic()
    reply = made.call(entry, "POST", "/order/", body=b"{}", left="9000")
    assert reply.status == 504
    assert 1.9 < time.monotonic() - began < 2.3


def test_without_a_server_the_refusal_says_when_to_come_back(made):
    entry = made.entry()
    began = time.monotonic()
    reply = made.call(entry, "GET", "/read/")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert time.monotonic() - began < 1.0


def test_an_unknown_route_or_key_is_turned_away(made):
    entry, (server,) = start_with_servers(made, answer_script())
    assert made.call(entry, "GET", "/nowhere/").status == 404
    assert made.call(entry, "GET", "/read/", key="wrong").status == 401
    assert made.call(entry, "GET", "/read/", key="").status == 401
    assert not server.ran


@pytest.mark.parametrize(
    "framing",
    [
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: +4",
        "Transfer-Encoding: chunked, identity",
    ],
)
def test_a_request_inside_another_never_reaches_a_server(made, framing):
    # Request smuggling: two parsers disagree on where the first request ends,
    # so what one reads as its body the other runs as a second request.
    entry, (server,) = start_with_servers(made, answer_script())
    sock = made.connect(entry)
    sock.sendall(
        f"POST /order/ HTTP/1.1\r\nHost: {platform_world.HOST}\r\n"
        f"{ID}: r1\r\nX-Api-Key: {platform_world.KEY}\r\n{framing}\r\n\r\n"
        f"0\r\n\r\nPOST /order/ HTTP/1.1\r\n{ID}: r2\r\n\r\n".encode()
    )
    reply = platform_world.Reply(platform_world.read_to_end(sock))
    assert reply.status == 400
    assert not server.ran


def test_a_server_that_replaced_another_is_distinguished(made):
    # A server crashes and another starts at its address while the record of
    # the first is still valid.  The new one answers 421 to requests for the
    # first, and they are retried at other servers.
    def other(server, sock, head):
        sock.sendall(
            platform_world.whole(421, b"", platform_world.id_of(head))
        )

    entry, servers = start_with_servers(made, other, answer_script(200, b"ok"))
    for number in range(8):
        reply = made.call(entry, "POST", "/order/", f"r{number}", body=b"{}")
        assert reply.status == 200
    assert len(servers[0].ran) <= 1


def test_a_leaving_server_gets_no_new_work(made):
    entry, servers = start_with_servers(
        made, answer_script(200, b"a"), answer_script(200, b"b")
    )
    reply = made.heartbeat(servers[0], state="draining")
    assert reply.status == 200
    gevent.sleep(0.3)
    before = len(servers[0].ran)
    for number in range(6):
        assert made.call(entry, "GET", "/read/", f"r{number}").body == b"b"
    assert len(servers[0].ran) == before


def test_a_draining_entry_is_not_ready_and_cuts_nothing(made):
    entry, _ = start_with_servers(made, streams(1, 20))
    sock = made.connect(entry)
    headers = platform_world.caller_headers("r1")
    platform_world.send(sock, "POST", "/chat/", headers, b"{}")
    world.wait_until(entry.host.open_exchange_count)
    entry.begin_drain()
    assert made.ready(entry) == 503
    reply = platform_world.Reply(platform_world.read_to_end(sock))
    assert len(event_ids(reply)) == 20
    assert reply.whole


def test_a_second_sigterm_during_a_drain_cuts_nothing(made):
    entry, _ = start_with_servers(made, streams(1, 20))
    sock = made.connect(entry)
    headers = platform_world.caller_headers("r1")
    platform_world.send(sock, "POST", "/chat/", headers, b"{}")
    world.wait_until(entry.host.open_exchange_count)
    entry.on_term()
    entry.on_term()
    entry.drain()
    reply = platform_world.Reply(platform_world.read_to_end(sock))
    assert len(event_ids(reply)) == 20
    assert reply.whole
