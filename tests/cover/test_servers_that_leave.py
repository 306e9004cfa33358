"""A server that says in an answer that it leaves gets no new work."""

import time

import gevent
import pytest

from tests.common import platform_world
from tests.common import world
from tests.cover import test_servers_that_rest

DRAIN_SECONDS = 2.0
LEAVING = "Server-Leaving: 1\r\n"
PATHS = ["/read/x", "/order/x", "/chat/x", "/report/x"]


def press_while_leaving(platform, entries, servers, path, seconds=4.0):
    """Have one server say that it leaves; return the replies.

    Its heartbeats go on and say that it is ready.
    """
    jobs = test_servers_that_rest.press(platform, entries, path, seconds)
    gevent.sleep(0.3)
    servers[0].leaving = LEAVING
    return test_servers_that_rest.replies_of(jobs)


def assert_left(server, since):
    last = max(at for at, _ in server.arrivals)
    assert last < since + DRAIN_SECONDS


@pytest.mark.parametrize("path", PATHS)
def test_a_server_that_says_so_in_an_answer_gets_no_new_work(path):
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entries, servers = test_servers_that_rest.start(platform, 2, 3)
        began = time.monotonic()
        replies = press_while_leaving(platform, entries, servers, path)
    assert {reply.status for reply in replies} == {200}
    assert_left(servers[0], began + 0.3)


@pytest.mark.parametrize("status", [503, 500, 429])
def test_an_error_that_says_so_counts_too(status):
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entries, servers = test_servers_that_rest.start(platform, 1, 2)
        servers[0].status = status
        servers[0].leaving = LEAVING
        servers[0].retry_after = "0"
        began = time.monotonic()
        jobs = test_servers_that_rest.press(platform, entries, "/read/x", 3.0)
        test_servers_that_rest.replies_of(jobs)
    assert_left(servers[0], began)


def test_it_holds_at_an_instance_that_reaches_no_keeper():
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entries, servers = test_servers_that_rest.start(platform, 1, 2)
        platform.keeper.__exit__(None, None, None)
        began = time.monotonic()
        press_while_leaving(platform, entries, servers, "/read/x", 3.0)
    assert_left(servers[0], began + 0.3)


def test_it_holds_for_answers_through_a_tunnel():
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entries, servers = test_servers_that_rest.start(platform, 2, 2)
        (pool,) = entries[0].host.connection_pools
        pool.connect = test_servers_that_rest.refuse
        began = time.monotonic()
        press_while_leaving(platform, entries[:1], servers, "/read/x")
    assert_left(servers[0], began + 0.3)


def test_other_instances_are_told():
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entries, servers = test_servers_that_rest.start(platform, 2, 2)
        servers[0].leaving = servers[1].leaving = LEAVING
        platform.call(entries[0], "GET", "/read/x", "r1")
        told = [item.server.id for item in servers if item.arrivals]
        registry = entries[1].host.state.registry
        world.wait_until(
            lambda: registry.servers[told[0]].announcement.leaving, 2.0
        )


def test_the_only_server_that_leaves_is_refused_as_a_drained_one():
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entries, servers = test_servers_that_rest.start(platform, 1, 1)
        servers[0].leaving = LEAVING
        first = platform.call(entries[0], "GET", "/read/x", "r1")
        second = platform.call(entries[0], "GET", "/read/x", "r2")
    assert (first.status, second.status) == (200, 503)
    assert b'"outcome":"not-run"' in second.body


def test_what_runs_at_a_server_that_leaves_ends():
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entries, servers = test_servers_that_rest.start(
            platform, 1, 1, answer_seconds=1.0
        )
        job = gevent.spawn(platform.call, entries[0], "GET", "/read/x", "slow")
        gevent.sleep(0.5)
        servers[0].leaving = LEAVING
        other = gevent.spawn(
            platform.call, entries[0], "GET", "/read/x", "slower"
        )
        gevent.joinall([job, other], raise_error=True)
    assert (job.value.status, other.value.status) == (200, 200)


def test_a_new_start_at_the_address_is_new():
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entries, servers = test_servers_that_rest.start(platform, 1, 1)
        servers[0].leaving = LEAVING
        platform.call(entries[0], "GET", "/read/x", "r1")
        servers[0].leaving = ""
        servers[0].server.id += "-again"
        platform.heartbeat(servers[0].server)
        platform.knows(entries[0], servers[0].server)
        reply = platform.call(entries[0], "GET", "/read/x", "r2")
    assert reply.status == 200


@pytest.mark.parametrize("value", ["0", "true", "", "2", "1, 1", "-1"])
def test_another_value_is_ignored(value):
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entries, servers = test_servers_that_rest.start(platform, 1, 1)
        servers[0].leaving = f"Server-Leaving: {value}\r\n"
        replies = [
            platform.call(entries[0], "GET", "/read/x", f"r{number}")
            for number in range(2)
        ]
        assert not entries[0].host.metrics.counters["faults_total"]
    assert {reply.status for reply in replies} == {200}


def test_a_record_that_was_dropped_is_learned_again_as_leaving():
    with platform_world.declared(test_servers_that_rest.ROUTES) as platform:
        entries, servers = test_servers_that_rest.start(platform, 1, 1)
        servers[0].leaving = LEAVING
        platform.call(entries[0], "GET", "/read/x", "r1")
        for running in (entries[0], platform.keeper):
            running.host.state.registry.servers.pop(servers[0].server.id)
            running.host.state.directory.invalidate()
        platform.heartbeat(servers[0].server)
        platform.knows(entries[0], servers[0].server)
        gevent.sleep(0.5)
        reply = platform.call(entries[0], "GET", "/read/x", "r2")
    assert reply.status == 503
    assert len(servers[0].arrivals) == 1
