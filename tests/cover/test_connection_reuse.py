"""Reuse of connections to backend servers, on loopback.

Guards against connections that are opened although an open one could have
been used, and against the reuse of one that the server is about to close.
"""

from dandeliontrail import events
from dandeliontrail_node.forwarding import answer_parser
from dandeliontrail_node.forwarding import connections
from dandeliontrail_platform import dialect
import gevent
import pytest

from tests.common import platform_world
from tests.common import world

# When the servers here close idle connections.
IDLE_SECONDS = 1.5


def answer_script(status=200, extra="", segments=1):
    """Return a script whose answers have a body in a segment of its own."""

    def script(server, sock, head):
        data = platform_world.whole(
            status, b"0123456789", platform_world.id_of(head), extra
        )
        first, _, body = data.partition(b"\r\n\r\n")
        if segments == 1:
            sock.sendall(data)
            return
        sock.sendall(first + b"\r\n\r\n")
        gevent.sleep(0.002)
        sock.sendall(body)

    return script


def stream(server, sock, head):
    """Send a stream whose end comes after its last event."""
    sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
    sock.sendall(platform_world.chunk(platform_world.event(1)))
    gevent.sleep(0.01)
    sock.sendall(platform_world.END)


@pytest.fixture
def made():
    with platform_world.declared() as found:
        yield found


def start(made, *scripts):
    """Return an instance and the servers that it knows, one per script."""
    entry = made.entry()
    servers = [made.server(script) for script in scripts]
    for server in servers:
        server.idle_seconds = IDLE_SECONDS
        made.knows(entry, server)
    # Within a tick after it learned of a server, an instance drops idle
    # connections to earlier servers at its address.
    gevent.sleep(0.3)
    return entry, servers


def finished(entry):
    """Return the list to which the ends of answers are added."""
    found = []
    submit = entry.host.submit

    def record(event):
        if isinstance(event, events.AnswerFinished):
            found.append(event)
        return submit(event)

    entry.host.submit = record
    return found


def test_a_connection_serves_whole_answers_and_streams(made):
    entry, (server,) = start(made, stream)
    for number in range(4):
        made.call(entry, "POST", "/chat/", f"r{number}", body=b"{}")
    assert (len(server.ran), server.connections) == (4, 1)


def test_refusals_in_two_segments_keep_their_connection(made):
    # A server that is full sends the head of its refusal before the body.
    # The retry began at the head and the connection was reset: each of nine
    # refusals opened a new one.
    refused = f"{dialect.NOT_EXECUTED}: 1\r\n"
    entry, servers = start(
        made, answer_script(503, refused, segments=2), answer_script()
    )
    for number in range(60):
        reply = made.call(entry, "POST", "/order/", f"r{number}", body=b"{}")
        assert reply.status == 200
        if len(servers[0].ran) >= 4:
            break
        gevent.sleep(0.16)
    assert len(servers[0].ran) >= 4
    assert servers[0].connections == 1


def test_a_refusal_that_does_not_end_delays_nobody(made):
    def endless(server, sock, head):
        data = platform_world.whole(
            503,
            b"x" * 1000,
            platform_world.id_of(head),
            f"{dialect.NOT_EXECUTED}: 1\r\n",
        )
        sock.sendall(data[:-900])
        platform_world.ends(sock)
        server.closed.append(head)
        return "close"

    entry, servers = start(made, endless, answer_script())
    number = 0
    while not servers[0].ran:
        number += 1
        assert number < 100
        with gevent.Timeout(0.15):
            made.call(entry, "POST", "/order/", f"r{number}", body=b"{}")
    world.wait_until(lambda: servers[0].closed)


def test_a_connection_is_used_again_within_an_announced_second(made):
    # Half of the second was given up: at a request each 0.6 s, each opened a
    # connection.
    entry, (server,) = start(
        made, answer_script(200, "Keep-Alive: timeout=1\r\n")
    )
    for number in range(4):
        made.call(entry, "GET", "/read/", f"r{number}")
        gevent.sleep(0.55)
    assert (len(server.ran), server.connections) == (4, 1)


def test_the_end_of_an_answer_tells_how_long_its_connection_is_kept(made):
    entry, _ = start(made, answer_script(200, "Keep-Alive: timeout=1\r\n"))
    found = finished(entry)
    made.call(entry, "GET", "/read/")
    world.wait_until(lambda: found)
    assert 0.5 < found[0].idle_seconds <= connections.MIN_IDLE_SECONDS


def test_no_time_is_told_of_a_connection_that_the_server_closes(made):
    entry, _ = start(made, answer_script(200, "Connection: close\r\n"))
    found = finished(entry)
    made.call(entry, "GET", "/read/")
    world.wait_until(lambda: found)
    assert found[0].idle_seconds == 0.0


def answer_with(keep_alive):
    answer = answer_parser.Answer()
    if keep_alive:
        answer.headers.append(("Keep-Alive", keep_alive))
    return answer


@pytest.mark.parametrize(
    ("keep_alive", "limit"),
    [
        # Servers that close after 1.5 s announce 1, 2 or nothing.
        ("", 1.5),
        ("timeout=1", 1.0),
        ("timeout=2", 1.5),
        ("timeout=5, max=100", 5.0),
        ("timeout=0", 0.0),
    ],
)
def test_no_connection_is_kept_until_the_server_closes_it(keep_alive, limit):
    # A request on a connection that the server closes at that moment may or
    # may not have run.  The default of 2 s was beyond the 1.5 s of servers
    # that announce nothing.
    sock = gevent.socket.socket()
    pool = connections.ConnectionPool(0.2)
    conn = connections.Connection(sock, "127.0.0.1:1")
    kept = pool.keep(conn, answer_with(keep_alive))
    assert kept == 0.0 if not limit else 0.0 < kept <= limit - 0.24
    pool.close()


def test_the_idle_time_counts_from_the_end_of_the_answer():
    # A caller that took a second to read a whole answer had the connection
    # kept a second longer than the server does.
    pool = connections.ConnectionPool(0.2)
    conn = connections.Connection(gevent.socket.socket(), "127.0.0.1:1")
    conn.heard_at -= 0.5
    assert pool.keep(conn, answer_with("timeout=1")) < 0.26
    late = connections.Connection(gevent.socket.socket(), "127.0.0.1:1")
    late.heard_at -= 1.0
    assert pool.keep(late, answer_with("timeout=1")) == 0.0
    pool.close()


def test_an_unused_connection_is_kept(made):
    # A request may end while a connection is opened for it.  The connection
    # was closed, although nothing had been sent on it.
    entry, (server,) = start(made, answer_script())
    current = entry.host.is_current
    # The dispatch is current when it is taken up, and not any more when the
    # connection is open.
    replies = [False, True]
    entry.host.is_current = lambda dispatch: replies.pop()
    caller = made.connect(entry)
    headers = platform_world.caller_headers("r1")
    platform_world.send(caller, "GET", "/read/", headers)
    world.wait_until(lambda: not replies)
    world.wait_until(lambda: server.connections == 1)
    caller.close()
    entry.host.is_current = current
    assert made.call(entry, "GET", "/read/", "r2").status == 200
    assert (len(server.ran), server.connections) == (1, 1)
