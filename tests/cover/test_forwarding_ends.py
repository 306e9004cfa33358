"""How requests of declared routes end, and what is logged about it."""

import logging

from dandeliontrail import events
from dandeliontrail_node.forwarding import connections
import pytest

from tests.common import platform_world


class LogRecords(logging.Handler):
    """Collects the log records of one running instance."""

    def __init__(self, running):
        super().__init__(logging.INFO)
        self.records = []
        running.host.logger.setLevel(logging.INFO)
        running.host.logger.addHandler(self)

    def emit(self, record):
        self.records.append(record)

    def errors(self):
        return [item for item in self.records if item.levelno >= logging.ERROR]

    def request_ends(self):
        return [
            item
            for item in self.records
            if item.getMessage() == "request ended"
        ]


@pytest.fixture
def made():
    with platform_world.declared() as found:
        yield found


def answers_500(server, sock, head):
    sock.sendall(
        platform_world.whole(500, b"broken", platform_world.id_of(head))
    )


def test_an_instance_that_ends_while_connecting_sends_nothing(
    made, monkeypatch
):
    # An instance is suspended while it drains and resumes after its grace
    # period.  In one iteration of the event loop all requests are
    # notified that the instance ends, and a connection to a server is
    # established.  The caller receives "not run", so the request must not
    # be sent any more.
    entry = made.entry()
    server = made.server(answers_500)
    made.knows(entry, server)
    log = LogRecords(entry)
    connect = connections.ConnectionPool.open

    def open_while_ending(pool, address, avoided):
        conn = connect(pool, address, avoided)
        entry.host.submit(events.CutShort("r1"))
        return conn

    monkeypatch.setattr(connections.ConnectionPool, "open", open_while_ending)
    reply = made.call(entry, "POST", "/order/", body=b"{}")
    assert reply.status == 503
    assert server.ran == []
    assert log.errors() == []


def test_the_log_has_the_status_that_the_caller_got(made):
    # A server answers 500 and no other can be tried, so the caller gets the
    # server's own answer.  A 502 in the log would suggest a broken connection
    # to whoever looks for the cause.
    entry = made.entry()
    server = made.server(answers_500)
    made.knows(entry, server)
    log = LogRecords(entry)
    reply = made.call(entry, "GET", "/read/")
    assert (reply.status, reply.body) == (500, b"broken")
    (line,) = log.request_ends()
    assert line.status == 500
    assert line.reason == "no_backend_server"


def test_a_stream_cut_after_an_earlier_failure_logs_no_error(made):
    # One server answers 500, the next begins the stream and disconnects, and
    # no server is left to resume it.  The stored answer of the first server
    # cannot be used in the middle of a stream: the caller sees a truncated
    # stream, and the log has the reason and no error of the instance.
    def disconnects(server, sock, head):
        sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
        sock.sendall(platform_world.chunk(platform_world.event(1)))
        return "close"

    entry = made.entry()
    for script in (answers_500, disconnects):
        made.knows(entry, made.server(script))
    log = LogRecords(entry)
    for number in range(12):
        reply = made.call(entry, "POST", "/chat/", f"r{number}", body=b"{}")
        assert not (reply.status == 200 and reply.whole)
    assert log.errors() == []
