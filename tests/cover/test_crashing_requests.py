"""Requests that crash every server that starts to run them."""

import contextlib

import gevent
import pytest

from dandeliontrail_lab import client

from tests.common import platform_world
from tests.common import sockets
from tests.common import world

POISON = b'{"poison": 1}'
ROUTES = (
    platform_world.route("chat", "streaming", resumable=True, timeout_ms=4000),
    platform_world.route("read", "safe", timeout_ms=4000),
    platform_world.route("order", "non_idempotent", max_attempts=1),
)
# By then the other instances have the report of a server's crash.
REPORT_SECONDS = 0.5
RESENDS = 8


class Pool:
    """Servers that crash on ``POISON`` and restart with another id.

    ``poisoned`` counts how often a server received it, and ``ended`` how many
    servers crashed.
    """

    def __init__(self, platform, entries, size=4):
        self._platform = platform
        self._entries = entries
        self.poisoned = 0
        self.ended = 0
        self.servers = []
        for _ in range(size):
            self._start()

    def _start(self):
        server = self._platform.server(self._script)
        self.servers.append(server)
        for entry in self._entries:
            self._platform.knows(entry, server)

    def _script(self, server, sock, head):
        if platform_world.header(head, "X-Poison"):
            self.poisoned += 1
            gevent.sleep(0.1)
            self._crash(server)
            return "close"
        if platform_world.header(head, "Slow"):
            gevent.sleep(0.3)
        answer = platform_world.whole(
            200, b"whole", platform_world.id_of(head)
        )
        sock.sendall(answer)

    def _crash(self, server):
        self.ended += 1
        self.servers.remove(server)
        gevent.spawn(server.close)
        gevent.spawn_later(0.2, self._start)


@pytest.fixture
def platform():
    with platform_world.declared(ROUTES) as found:
        yield found


def ask(platform, entry, path, number, body, *headers):
    """Send a request with its own id and return the reply."""
    method = "GET" if path == "/read/" else "POST"
    return platform.call(
        entry, method, path, f"r{number}", body=body, headers=headers
    )


def resend(platform, entries, pool, path):
    """Send the poison ``RESENDS`` times, to each entry in turn."""
    replies = []
    for number in range(RESENDS):
        entry = entries[number % len(entries)]
        replies.append(
            ask(platform, entry, path, number, POISON, ("X-Poison", "1"))
        )
        gevent.sleep(REPORT_SECONDS)
    return replies


@pytest.mark.parametrize("path", ["/chat/", "/read/", "/order/"])
def test_a_request_that_crashes_servers_ends_three_and_no_more(platform, path):
    entries = [platform.entry() for _ in range(3)]
    pool = Pool(platform, entries)
    replies = resend(platform, entries, pool, path)
    assert pool.ended <= 3
    assert pool.poisoned == pool.ended
    assert replies[-1].status == 503
    assert float(replies[-1].headers["retry-after"]) > 10.0


def test_an_instance_that_starts_later_holds_it_back_too(platform):
    entries = [platform.entry() for _ in range(2)]
    pool = Pool(platform, entries)
    resend(platform, entries, pool, "/chat/")
    ended = pool.ended
    late = platform.entry()
    for server in pool.servers:
        platform.knows(late, server)
    root = entries[0].host.state.ends.digest.root
    world.wait_until(lambda: late.host.state.ends.digest.root == root, 3.0)
    reply = ask(platform, late, "/chat/", 99, POISON, ("X-Poison", "1"))
    assert reply.status == 503
    assert pool.ended == ended


def test_what_runs_beside_it_is_served(platform):
    # With one server, each other request runs there when it crashes.
    entries = [platform.entry() for _ in range(2)]
    pool = Pool(platform, entries, size=1)
    jobs = []
    for number in range(RESENDS):
        entry = entries[number % 2]
        world.wait_until(lambda: pool.servers)
        platform.knows(entry, pool.servers[0])
        body = b'{"beside": %d}' % (number // 2)
        jobs.append(
            gevent.spawn(
                ask,
                platform,
                entry,
                "/chat/",
                f"b{number}",
                body,
                ("Slow", "1"),
            )
        )
        gevent.sleep(0.05)
        ask(platform, entry, "/chat/", number, POISON, ("X-Poison", "1"))
        gevent.sleep(REPORT_SECONDS)
    assert pool.ended <= 3
    replies = [job.get() for job in jobs]
    assert [reply.status for reply in replies[6:]] == [200, 200]
    for number in range(4):
        body = b'{"beside": %d}' % number
        reply = ask(platform, entries[0], "/chat/", f"c{number}", body)
        assert reply.status == 200


def test_what_waits_at_a_server_is_taken_back_before_it_begins(platform):
    entries = [platform.entry() for _ in range(2)]
    begins = []
    ended = []

    def script(server, sock, head):
        # The first three servers crash at once; a later one queues requests.
        if len(ended) < 3:
            ended.append(server)
            gevent.spawn(server.close)
            return "close"
        begins.append(server)
        with gevent.Timeout(3.0, False):
            if platform_world.ends(sock):
                begins.remove(server)
        return "close"

    for _ in range(3):
        server = platform.server(script)
        for entry in entries:
            platform.knows(entry, server)
    waiting_job = None
    for number in range(2):
        waiting_job = gevent.spawn(
            ask, platform, entries[number], "/chat/", number, POISON
        )
        gevent.sleep(0.2)
    server = platform.server(script)
    for entry in entries:
        platform.knows(entry, server)
    reply = waiting_job.get()
    assert reply.status in (502, 503)
    assert begins == []


def test_a_request_of_the_own_interface_ends_three_and_no_more():
    ended = []

    def crashing_handler(name):
        def serve(sock, address):
            sock.recv(65536)
            ended.append(name)

        return serve

    with world.World() as test_world, contextlib.ExitStack() as stack:
        test_world.instance("i1")
        test_world.apply({"chat": {"priority": 0}})
        for number in range(5):
            server = sockets.raw_server(crashing_handler(f"e{number}"))
            test_world.raw_server(f"e{number}", stack.enter_context(server))
        address = test_world.instances[0].addresses["callers"]
        asked = client.Ask(address, world.KEY, "", "crash", max_tokens=5)
        answers = [client.send(asked) for _ in range(3)]
    assert len(set(ended)) == 3
    assert answers[-1].status == 503
