"""What an answer's status or head costs the requests after it.

An answer that cannot be written out must leave nothing behind, and a status
that is none (RFC 9110, section 15) must not reach a caller.
"""

import time

from dandeliontrail_lab import client
from dandeliontrail_node.forwarding import answer_parser
from dandeliontrail_node import http_server
from dandeliontrail_node import wsgi
import gevent
import pytest

from tests.common import platform_world
from tests.common import world

ROUTES = (
    platform_world.route("read", "safe", max_attempts=2),
    platform_world.route("order", "non_idempotent", max_attempts=1),
    platform_world.route("chat", "streaming", max_attempts=1),
)
# Less than ``LONG_MS``, so that the timers can be told apart.
SHORT_MS = 400
# Nothing else of a platform answers with it.
REFUSED_STATUS = 207
LONG_MS = 1900
STREAM_SECONDS = 0.9
UNKNOWN_STATUSES = (210, 299, 430, 529, 599)
# The ``target_latency_ms`` of the routes.
AIM_SECONDS = 0.4
INVALID_STATUSES = ("000", "001", "099", "600", "999")


def status_server(status):
    """Return a script that answers orders and reads with ``status``."""

    def script(server, sock, head):
        request_id = platform_world.id_of(head)
        if " /chat/" in head:
            sock.sendall(platform_world.stream_head(request_id))
            sock.sendall(platform_world.chunk(platform_world.event(1)))
            gevent.sleep(STREAM_SECONDS)
            sock.sendall(platform_world.chunk(platform_world.event(2)))
            sock.sendall(platform_world.END)
        else:
            sock.sendall(platform_world.whole(status, b"body", request_id))

    return script


def sound_script(server, sock, head):
    sock.sendall(platform_world.whole(200, b"ok", platform_world.id_of(head)))


def read_reply(sock):
    """Read one reply, of a whole body or a stream, and return it."""
    data = b""
    with gevent.Timeout(5.0):
        while True:
            more = sock.recv(65536)
            data += more
            reply = platform_world.Reply(data) if b"\r\n\r\n" in data else None
            if not more or (reply is not None and reply.whole):
                return reply


def ask_on(sock, method, path, request_id, left):
    headers = platform_world.caller_headers(request_id, left=str(left))
    platform_world.send(sock, method, path, headers)
    return read_reply(sock)


@pytest.mark.parametrize("status", UNKNOWN_STATUSES)
def test_a_status_that_python_does_not_list_is_passed_on(status):
    with platform_world.served(ROUTES, status_server(status)) as (
        platform,
        entry,
        _,
    ):
        reply = platform.call(entry, "POST", "/order/x")
        assert (reply.status, reply.body) == (status, b"body")
        assert not entry.host.open_exchange_count()


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_a_status_beyond_its_range_is_no_answer(status):
    with platform_world.served(ROUTES, status_server(status)) as (
        platform,
        entry,
        _,
    ):
        began = time.monotonic()
        reply = platform.call(entry, "POST", "/order/x", left="1500")
        assert reply.status == 502
        assert time.monotonic() - began < 1.0


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_a_read_is_repeated_after_a_status_beyond_its_range(status):
    with platform_world.served(
        ROUTES, status_server(status), sound_script
    ) as (platform, entry, _):
        for number in range(6):
            began = time.monotonic()
            reply = platform.call(entry, "GET", "/read/x", f"r{number}")
            assert (reply.status, reply.body) == (200, b"ok")
            assert time.monotonic() - began < AIM_SECONDS


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_the_body_of_an_invalid_answer_is_not_read_as_an_answer(status):
    parser = answer_parser.AnswerParser()
    posing = platform_world.whole(200, b"posing", "r1")
    with pytest.raises(answer_parser.ParseError):
        parser.feed(
            f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()
            + posing
        )
    assert not any(answer.complete for answer in parser.answers)


def stream_after_order(platform, entry, status):
    """Return the stream that follows an order on the same connection."""
    sock = platform.connect(entry)
    reply = ask_on(sock, "POST", "/order/x", "r1", SHORT_MS)
    assert reply.status == status
    assert not entry.host.open_exchange_count()
    return ask_on(sock, "POST", "/chat/x", "r2", LONG_MS)


def refuse_status(monkeypatch, refused):
    """Have the heads of answers with a status be refused."""
    status_line = wsgi.status_line

    def refuse(status):
        if status == refused:
            raise ValueError(f"the status {status} cannot be written")
        return status_line(status)

    monkeypatch.setattr(wsgi, "status_line", refuse)


def assert_whole_stream(reply):
    assert reply is not None and (reply.status, reply.whole) == (200, True)
    assert reply.body.count(b"id: ") == 2


@pytest.mark.parametrize("status", ["600", "299"])
def test_the_timer_of_an_odd_answer_cuts_no_later_stream(status):
    with platform_world.served(ROUTES, status_server(status)) as (
        platform,
        entry,
        _,
    ):
        expected = 502 if status == "600" else 299
        reply = stream_after_order(platform, entry, expected)
        assert_whole_stream(reply)


def test_the_timer_of_an_answer_that_is_refused_cuts_no_later_stream(
    monkeypatch,
):
    refuse_status(monkeypatch, REFUSED_STATUS)
    with platform_world.served(ROUTES, status_server(REFUSED_STATUS)) as (
        platform,
        entry,
        _,
    ):
        reply = stream_after_order(platform, entry, 500)
        assert_whole_stream(reply)


@pytest.mark.parametrize("status", [204, 304])
def test_the_length_beside_a_status_without_a_body_is_left_out(status):
    def script(server, sock, head):
        request_id = platform_world.id_of(head)
        whole = platform_world.whole(status, b"body", request_id)
        sock.sendall(whole.partition(b"\r\n\r\n")[0] + b"\r\n\r\n")

    with platform_world.served(ROUTES, script) as (platform, entry, _):
        for method in ("HEAD", "GET"):
            reply = platform.call(entry, method, "/read/x", method)
            assert (reply.status, reply.body) == (status, b"")
            assert not entry.host.open_exchange_count()


def test_a_stream_whose_body_nobody_reads_is_closed(monkeypatch):
    # The server of HTTP closes the iterable, whose generator never began.
    def refuse_to_iterate(handler):
        raise OSError("the connection has ended")

    with platform_world.served(ROUTES, status_server(200)) as (
        platform,
        entry,
        _,
    ):
        monkeypatch.setattr(
            http_server.Handler, "process_result", refuse_to_iterate
        )
        platform.call(entry, "POST", "/chat/x", left=str(SHORT_MS))
        monkeypatch.undo()
        assert not entry.host.open_exchange_count()
        assert entry.host.request_lifecycle("r1") is None


def test_an_own_interface_answer_that_is_refused_leaves_nothing_open(
    monkeypatch,
):
    with world.World() as cluster:
        instance = cluster.instance("i1")
        cluster.engine("e1")
        cluster.apply({"summary": {"repeatable": False}})
        address = instance.addresses["callers"]
        refuse_status(monkeypatch, 200)
        received = client.send(client.Ask(address, world.KEY, "", "hello"))
        assert not received.complete
        world.wait_until(lambda: not instance.host.open_exchange_count())
