"""Instances leave a server alone that turned them away and asked for rest."""

import time

from dandeliontrail_lab import client
import gevent
import pytest

from tests.common import platform_world
from tests.common import rest_judge
from tests.common import resting_server
from tests.common import world
from tests.cover import test_bad_servers

ROUTES = (
    platform_world.route("read", "safe", timeout_ms=8000, max_attempts=3),
    platform_world.route(
        "order", "non_idempotent", timeout_ms=8000, max_attempts=3
    ),
    platform_world.route(
        "chat",
        "streaming",
        resumable=True,
        gap_aim_ms=300,
        timeout_ms=8000,
        max_attempts=3,
    ),
    platform_world.route(
        "report", "streaming", gap_aim_ms=1000, timeout_ms=8000
    ),
)
REST_SECONDS = 3.0
TOLD_SECONDS = 0.5
PAUSE_SECONDS = 0.02
CALLERS = 3
HEARTBEAT_SECONDS = 0.5


def call_until(platform, entry, path, name, deadline, left="8000"):
    replies = []
    while time.monotonic() < deadline:
        request_id = f"{name}-{len(replies)}"
        replies.append(
            platform.call(entry, "POST", path, request_id, left=left)
        )
        gevent.sleep(PAUSE_SECONDS)
    return replies


def press(platform, entries, path, seconds, left="8000", callers=CALLERS):
    """Have callers ask at each entry for some seconds; return the job."""
    deadline = time.monotonic() + seconds
    return [
        gevent.spawn(
            call_until,
            platform,
            entry,
            path,
            f"{entry.ip}-{number}",
            deadline,
            left,
        )
        for entry in entries
        for number in range(callers)
    ]


def replies_of(jobs):
    gevent.joinall(jobs, raise_error=True)
    return [reply for job in jobs for reply in job.value]


def heartbeats(platform, servers):
    while True:
        gevent.sleep(HEARTBEAT_SECONDS)
        for item in servers:
            platform.heartbeat(item.server)


def start(platform, entry_count, server_count, **more):
    entries = [platform.entry() for _ in range(entry_count)]
    for entry in entries:
        resting_server.connects_from_its_address(entry)
    servers = [
        resting_server.RestingServer(platform, entries, **more)
        for _ in range(server_count)
    ]
    job = gevent.spawn(heartbeats, platform, servers)
    platform.at_end(job.kill)
    return entries, servers


def assert_left_alone(servers):
    worst = max(item.judge.worst for item in servers)
    assert worst <= rest_judge.MAX_REQUESTS_IN_REST


@pytest.mark.parametrize(
    "path", ["/read/x", "/order/x", "/chat/x", "/report/x"]
)
def test_one_of_three_servers_gets_no_requests_in_its_rest(path):
    with platform_world.declared(ROUTES) as platform:
        entries, servers = start(platform, 1, 3)
        jobs = press(platform, entries, path, REST_SECONDS + 1.0)
        servers[0].ask_for_rest(REST_SECONDS, TOLD_SECONDS)
        replies = replies_of(jobs)
    assert_left_alone(servers)
    assert {reply.status for reply in replies} == {200}


def test_servers_that_all_rest_are_waited_for_while_there_is_time():
    with platform_world.declared(ROUTES) as platform:
        entries, servers = start(platform, 2, 2)
        jobs = press(platform, entries, "/read/x", REST_SECONDS + 1.0)
        asking = [
            gevent.spawn(item.ask_for_rest, REST_SECONDS, TOLD_SECONDS)
            for item in servers
        ]
        gevent.joinall(asking)
        replies = replies_of(jobs)
    assert_left_alone(servers)
    assert {reply.status for reply in replies} == {200}


def test_callers_without_time_to_wait_are_told_how_long_the_rest_lasts():
    with platform_world.declared(ROUTES) as platform:
        entries, servers = start(platform, 1, 1)
        asking = gevent.spawn(servers[0].ask_for_rest, 5.0, TOLD_SECONDS)
        asked = time.monotonic()
        gevent.sleep(0.05)
        platform.call(entries[0], "POST", "/read/x", "first", left="2000")
        began = time.monotonic()
        reply = platform.call(
            entries[0], "POST", "/read/x", "second", left="2000"
        )
        took = time.monotonic() - began
        asking.join()
    assert reply.status == 503 and took < 0.2
    assert b"backend_servers_rest" in reply.body
    left = asked + 5.0 - began
    assert left - 0.2 <= float(reply.headers["retry-after"]) <= left + 1.5


def test_the_longest_rest_counts_when_answers_name_several():
    with platform_world.declared(ROUTES) as platform:
        entries, servers = start(platform, 1, 2)
        jobs = press(platform, entries, "/read/x", 4.5)
        servers[0].ask_for_rest(4.0, 0.1)
        servers[0].ask_for_rest(0.5, 0.3)
        replies = replies_of(jobs)
    assert_left_alone(servers)
    assert {reply.status for reply in replies} == {200}


def test_a_server_is_used_again_after_its_rest_without_a_rush():
    with platform_world.declared(ROUTES) as platform:
        entries, servers = start(platform, 3, 1, answer_seconds=0.1)
        jobs = press(platform, entries, "/read/x", 5.0, callers=8)
        servers[0].ask_for_rest(2.0, TOLD_SECONDS)
        asked = max(at for at, _ in servers[0].arrivals)
        replies = replies_of(jobs)
    began = min(at for at, _ in servers[0].arrivals if at > asked + 1.0)
    assert servers[0].arrivals_between(began - 0.01, began + 0.09) <= 12
    assert_left_alone(servers)
    assert {reply.status for reply in replies} == {200}


def test_a_new_start_at_the_address_owes_no_rest():
    with platform_world.declared(ROUTES) as platform:
        entries, servers = start(platform, 1, 1)
        asking = gevent.spawn(servers[0].ask_for_rest, 30.0, TOLD_SECONDS)
        gevent.sleep(0.05)
        first = platform.call(entries[0], "POST", "/read/x", "1", left="1000")
        asking.join()
        servers[0].server.id += "-again"
        platform.heartbeat(servers[0].server)
        platform.knows(entries[0], servers[0].server)
        reply = platform.call(entries[0], "POST", "/read/x", "2", left="1000")
    assert (first.status, reply.status) == (503, 200)


def test_a_rest_that_was_asked_for_through_a_tunnel_holds_at_the_peer():
    with platform_world.declared(ROUTES) as platform:
        entries, servers = start(platform, 2, 1)
        (pool,) = entries[0].host.connection_pools
        pool.connect = refuse
        jobs = press(platform, entries[:1], "/read/x", 4.0)
        gevent.sleep(0.5)
        server = servers[0]
        assert {instance for _, instance in server.arrivals} == {entries[1].ip}
        server.ask_for_rest(REST_SECONDS, TOLD_SECONDS)
        jobs += press(platform, entries[1:], "/read/x", REST_SECONDS)
        replies = replies_of(jobs)
    assert_left_alone(servers)
    assert {reply.status for reply in replies} == {200}


def refuse(address, seconds):
    raise ConnectionRefusedError("refused")


TURNED_AWAY = (
    b"HTTP/1.1 503 X\r\nX-Outcome: not-run\r\nRetry-After: 3\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


def test_own_interface_leaves_an_engine_alone_that_asked_for_rest():
    engine = test_bad_servers.BadServer(TURNED_AWAY)
    runner = gevent.spawn(engine.run)
    with world.World() as cluster:
        instance = cluster.instance("i1")
        good = cluster.engine("e1", announce=False)
        cluster.apply({"summary": {"repeatable": True}})
        test_bad_servers.announce(instance, good, engine.port)
        address = instance.addresses["callers"]
        asks = [
            client.Ask(address, world.KEY, "", "hello", timeout=2.0)
            for _ in range(10)
        ]
        jobs = []
        for ask in asks:
            jobs.append(gevent.spawn(client.send, ask))
            gevent.sleep(0.15)
        gevent.joinall(jobs, raise_error=True)
        assert {job.value.outcome for job in jobs} == {"not-run"}
        assert not instance.host.metrics.counters["faults_total"]
    runner.kill()
    assert engine.connections <= 5


BAD_VALUES = (
    "0",
    "-1",
    "nan",
    "inf",
    "soon",
    "Wed, 21 Oct 2026 07:28:00 GMT",
    "9" * 400,
    "1e9",
)


@pytest.mark.parametrize("value", BAD_VALUES)
def test_a_bad_time_of_rest_loses_no_server(value):
    with platform_world.declared(ROUTES) as platform:
        entries, servers = start(platform, 1, 1)
        asking = gevent.spawn(servers[0].ask_for_rest, value, 0.3)
        gevent.sleep(0.05)
        platform.call(entries[0], "POST", "/read/x", "1", left="1000")
        asking.join()
        gevent.sleep(0.5)
        reply = platform.call(entries[0], "POST", "/read/x", "2")
        assert reply.status == 200
        assert not entries[0].host.metrics.counters["faults_total"]


def test_a_503_without_a_time_asks_for_no_rest():
    with platform_world.declared(ROUTES) as platform:
        entries, servers = start(platform, 1, 1)
        asking = gevent.spawn(servers[0].ask_for_rest, "0", 0.3)
        gevent.sleep(0.05)
        platform.call(entries[0], "POST", "/read/x", "1", left="1000")
        asking.join()
        gevent.sleep(0.2)
        reply = platform.call(entries[0], "POST", "/read/x", "2")
    assert reply.status == 200


def test_streams_that_outlast_a_rest_do_not_keep_new_work_out():
    def long_stream(server, sock, head):
        request_id = platform_world.id_of(head)
        if platform_world.id_of(head) == "tired":
            sock.sendall(
                platform_world.whole(
                    503,
                    b"",
                    request_id,
                    "X-Dandeliontrail-Not-Executed: 1\r\nRetry-After: 1\r\n",
                )
            )
            return
        sock.sendall(platform_world.stream_head(request_id))
        sock.sendall(platform_world.chunk(platform_world.event(1)))
        gevent.sleep(4.0 if request_id.startswith("long") else 0.0)
        sock.sendall(platform_world.chunk(platform_world.event(2)))
        sock.sendall(platform_world.END)

    with platform_world.declared(ROUTES) as platform:
        entry = platform.entry()
        platform.knows(entry, platform.server(long_stream))
        jobs = [
            gevent.spawn(
                platform.call, entry, "POST", "/report/x", f"long{number}"
            )
            for number in range(3)
        ]
        gevent.sleep(0.2)
        platform.call(entry, "POST", "/report/x", "tired", left="500")
        began = time.monotonic()
        reply = platform.call(entry, "POST", "/report/x", "next", left="6000")
        took = time.monotonic() - began
        gevent.joinall(jobs, raise_error=True)
    assert reply.status == 200 and took < 2.0
