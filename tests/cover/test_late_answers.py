"""A late copy of an earlier attempt's answer is no answer to the next one.

Both have the request's id.  A copy that counts makes an order that runs be
answered "not run", or run a second time.
"""

import contextlib
import enum

import gevent
import pytest

from tests.common import platform_world
from tests.common import server_paths
from tests.common import world

NOT_EXECUTED = "X-Dandeliontrail-Not-Executed: 1\r\n"
# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
WORK_SECONDS = 0.05
ROUTES = tuple(
    platform_world.route(name, kind, max_attempts=4, timeout_ms=4000, **more)
    for name, kind, more in (
        ("read", "safe", {}),
        ("order", "non_idempotent", {}),
        ("chat", "streaming", {"resumable": True}),
    )
)


class First(enum.Enum):
    """How a server answers the first attempt of a request."""

    REST = f"503 {NOT_EXECUTED}Retry-After: 0.3\r\n"
    FULL = f"503 {NOT_EXECUTED}"
    OTHER_SERVER = "421 "
    LIMITED = f"429 {NOT_EXECUTED}"
    FAILED = "500 "
    SILENT = ""

    @property
    def status(self):
        return int(self.value[:3])

    @property
    def headers(self):
        return self.value[4:]


class EchoingServer:
    """Sends each answer on a connection once more, before the next one.

    The first ``turned_away`` attempts of a request are answered as ``first``
    says; only later ones run.
    """

    def __init__(self, first, turned_away=1):
        self._first = first
        self._turned_away = turned_away
        self._attempts = {}
        self._last = {}
        self.ran = []
        self.copies = 0

    def script(self, server, sock, head):
        request_id = platform_world.id_of(head)
        count = self._attempts[request_id] = (
            self._attempts.get(request_id, 0) + 1
        )
        late = self._last.pop(sock, b"")
        if request_id.startswith("t-") and count <= self._turned_away:
            answer = self._refusal(request_id)
        else:
            self.ran.append(request_id)
            answer = platform_world.whole(200, b"ran", request_id)
        if late:
            self.copies += 1
            sock.sendall(late)
        gevent.sleep(WORK_SECONDS)
        self._last[sock] = answer
        sock.sendall(answer)

    def _refusal(self, request_id):
        if self._first is First.SILENT:
            gevent.sleep(1.0)
            self.ran.append(request_id)
            return platform_world.whole(200, b"ran", request_id)
        return platform_world.whole(
            self._first.status, b"", request_id, self._first.headers
        )


@contextlib.contextmanager
def deployment(servers, through_peer):
    """Yield a world and an entry that knows the servers."""
    with contextlib.ExitStack() as stack:
        made = stack.enter_context(platform_world.declared(ROUTES))
        entries = [made.entry() for _ in range(2 if through_peer else 1)]
        for item in servers:
            started = made.server(item.script)
            for entry in entries:
                made.knows(entry, started)
        # Idle connections to earlier servers at an address are dropped.
        gevent.sleep(0.3)
        if through_peer:
            (path, _) = stack.enter_context(server_paths.paths_of(entries))
            path.cut(server_paths.Cut.RESET)
        yield made, entries[0]


@pytest.mark.parametrize(
    "count, through_peer",
    [(1, False), (2, False), (2, True)],
    ids=["one server", "two servers", "through a peer"],
)
@pytest.mark.parametrize("first", First)
def test_a_late_copy_of_an_answer_is_not_taken_for_the_next(
    first, count, through_peer
):
    servers = [EchoingServer(first) for _ in range(count)]
    with deployment(servers, through_peer) as (made, entry):
        for path in ("/order/x", "/read/x", "/chat/x"):
            made.call(entry, "POST", path, f"warm-{path}")
            request_id = f"t-{path}"
            reply = made.call(entry, "POST", path, request_id, left="4000")
            world.wait_until(lambda: not entry.host.open_exchange_count())
            ran = sum(server.ran.count(request_id) for server in servers)
            if reply.status in PROMISES:
                assert not ran
            if reply.status == 200:
                assert reply.body == b"ran"
            if path == "/order/x":
                assert ran <= 1
            if first in (First.REST, First.OTHER_SERVER):
                assert reply.status == 200 or not ran
        # Other requests do get connections that were used.
        if not through_peer and first is not First.SILENT:
            assert any(server.copies for server in servers)


def test_an_order_that_a_resting_server_takes_later_is_answered():
    servers = [EchoingServer(First.REST)]
    with deployment(servers, False) as (made, entry):
        for number in range(3):
            request_id = f"t-{number}"
            reply = made.call(entry, "POST", "/order/x", request_id)
            assert (reply.status, reply.body) == (200, b"ran")
            assert servers[0].ran.count(request_id) == 1
