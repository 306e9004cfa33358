"""Malformed input from callers and backend servers.

Each gets a clear error at a bounded cost, and the instance keeps serving.
"""

import contextlib
import socket

from dandeliontrail_lab import client
import msgspec
import pytest

from tests.common import world

POST = "POST /v1/chat/completions HTTP/1.1\r\nHost: i\r\n"
LIMITS = {
    "body_bytes": 4096,
    "header_bytes": 4096,
    "header_seconds": 0.3,
    "body_seconds": 0.3,
    "idle_seconds": 5.0,
    "write_seconds": 0.5,
}

# The most that the socket buffers of two loopback connections can hold.
MAX_SOCKET_BYTES = 32 * 1024 * 1024


@pytest.fixture(scope="module")
def made():
    with world.World() as shared:
        shared.instance("i1", **LIMITS)
        shared.engine("e1", step=0.0005)
        shared.apply({"lookup": {"priority": 0}})
        yield shared
        # After all the tests the instance still serves requests.
        address = shared.instances[0].addresses["callers"]
        ask = client.Ask(address, world.KEY, "", "hello")
        assert client.send(ask).complete
        assert shared.instances[0].host.open_exchange_count() == 0


@contextlib.contextmanager
def connection(made, listener="callers"):
    address = made.instances[0].addresses[listener]
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), 10) as conn:
        yield conn


def read_answer(conn):
    """Read until the connection ends; return the status and the error."""
    parts = []
    while True:
        try:
            part = conn.recv(65536)
        except ConnectionResetError:
            break
        if not part:
            break
        parts.append(part)
    head, _, body = b"".join(parts).partition(b"\r\n\r\n")
    return int(head.split()[1]), msgspec.json.decode(body)["error"]


MALFORMED = {
    "not HTTP": ("\x16\x03\x01 hello\r\n\r\n", 400),
    "no number": (POST + "Content-Length: abc\r\n\r\n", 400),
    "negative": (POST + "Content-Length: -1\r\n\r\n", 400),
    "too large": (POST + "Content-Length: 99999999\r\n\r\n", 413),
    "too slow": (POST + "Content-Length: 100\r\n\r\n{", 408),
    "slow head": (POST + "X-Slow: a", 408),
    "long head": (POST + f"X-Long: {'a' * 9000}\r\n\r\n", 431),
    "many headers": (POST + "A: b\r\n" * 200 + "\r\n", 400),
    "bad chunk": (
        POST + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
        400,
    ),
    "endless chunks": (
        POST
        + "Transfer-Encoding: chunked\r\n\r\n"
        + f"400\r\n{'a' * 1024}\r\n" * 8,
        413,
    ),
}


@pytest.mark.parametrize("sent, status", MALFORMED.values(), ids=MALFORMED)
def test_malformed_request_gets_a_clear_error(made, sent, status):
    with connection(made) as conn:
        conn.sendall(sent.encode("latin-1"))
        found, error = read_answer(conn)
    assert found == status
    assert error["remedy"] and error["outcome"] == "not-run"


def test_truncated_body_is_not_run(made):
    # The caller shuts down its sending side in the middle of the body.  The
    # partial body must not be served as the request.
    ran = len(made.engines[0].ran)
    with connection(made) as conn:
        conn.sendall((POST + "Content-Length: 50\r\n\r\n{}").encode())
        conn.shutdown(socket.SHUT_WR)
        found, error = read_answer(conn)
    assert (found, error["code"]) == (400, "cut_body")
    assert len(made.engines[0].ran) == ran


def test_half_closed_caller_still_gets_its_answer(made):
    body = b'{"model": "small", "messages": [], "max_tokens": 3}'
    head = POST + f"Authorization: Bearer {world.KEY}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    with connection(made) as conn:
        conn.sendall(head.encode() + body)
        conn.shutdown(socket.SHUT_WR)
        answer = conn.recv(65536)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"X-Outcome: complete" in answer


@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b"{",
        b'{"model": 5}',
        b'{"model": "small", "max_tokens": "many"}',
        b'{"model": "small", "max_tokens": -5}',
        b'{"model": "small", "max_tokens": 1e400}',
        b'\xff\xfe{"model": "small"}',
        b'{"model": "small", "x": ' + b"[" * 3000,
    ],
)
def test_malformed_body_gets_a_clear_error(made, body):
    head = POST + f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    with connection(made) as conn:
        conn.sendall(head.encode() + body)
        found, error = read_answer(conn)
    assert found == 400
    assert error["remedy"] and error["outcome"] == "not-run"


INVALID_FIELDS = {
    "url": ["", "no url", "ftp://127.0.0.1:1", "http://", "http://a:99999"],
    "lease": [-1, 0],
    "slots": [-1, 10**9],
    "epoch": [-1, 2**70],
    "kind": ["toaster"],
    "backend_server": ["", "x" * 1000, "a\r\nb"],
    "models": [[{"name": "x" * 1000}], 5],
    "load": [{"running": -3}, {"measured_ms_ago": -1}],
}


@pytest.mark.parametrize(
    "field, value",
    [
        (field, value)
        for field in INVALID_FIELDS
        for value in INVALID_FIELDS[field]
    ],
)
def test_invalid_announcement_is_refused(made, field, value):
    announcement = made.engines[0].announcement(1)
    announcement["backend_server"] = "absurd"
    announcement[field] = value
    body = msgspec.json.encode(announcement)
    check_refused(made, body)


def test_announcement_with_a_non_finite_number_is_refused(made):
    body = msgspec.json.encode(made.engines[0].announcement(1))
    check_refused(made, body.replace(b'"lease":3', b'"lease":NaN'))
    check_refused(made, body.replace(b'"lease":3', b'"lease":1e999'))


def check_refused(made, body):
    head = "POST /v1/announcements HTTP/1.1\r\nHost: i\r\n"
    head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    with connection(made, "backend_servers") as conn:
        conn.sendall(head.encode() + body)
        found, error = read_answer(conn)
    assert found == 400
    assert error["remedy"]
    servers = made.instances[0].host.state.registry.servers
    assert "absurd" not in servers


def test_caller_that_reads_nothing_is_disconnected(made, monkeypatch):
    # A caller requests a long answer and reads none of it.  Backpressure must
    # reach the engine, with nothing buffered in between except by the
    # sockets.  The stream must not block forever, so the caller is then
    # disconnected and the engine's request cancelled.
    event = b"data: " + b"x" * 65536 + b"\n\n"
    sent_bytes = [0]

    def endless_events(stream, start):
        while True:
            sent_bytes[0] += len(event)
            yield event

    monkeypatch.setattr(made.engines[0], "_event_bytes", endless_events)
    body = b'{"model": "small", "stream": true}'
    head = POST + f"Authorization: Bearer {world.KEY}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    host = made.instances[0].host
    with connection(made) as conn:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        conn.sendall(head.encode() + body)
        world.wait_until(host.open_exchange_count)
        world.wait_until(lambda: not host.open_exchange_count())
    assert sent_bytes[0] < MAX_SOCKET_BYTES
