"""A backend server that names how many requests a second it takes."""

import time

import gevent
import pytest

from dandeliontrail_ctl import api
from dandeliontrail_lab import client
from dandeliontrail_node.listeners import resource_views

from tests.common import limit_judge
from tests.common import limited_server
from tests.common import platform_world
from tests.common import world

ROUTES = (
    platform_world.route("read", "safe", timeout_ms=1500),
    platform_world.route(
        "chat", "streaming", resumable=True, timeout_ms=1500, max_attempts=3
    ),
)
# Each caller asks again this long after its last answer.
CALLER_PAUSE_SECONDS = 0.05
# The holder grants by the end of the first figure; then one whole window.
GRANTING_SECONDS = 4.0
DEMAND_SECONDS = GRANTING_SECONDS + limit_judge.WINDOW_SECONDS
MIN_SHARE = 0.8


# All instances, also one that has just started, know of a limit by then.
LEARNING_SECONDS = 2.5
CALLERS = 4


def _call_until(platform, entry, path, number, deadline):
    """Send one request after another to ``entry``; return the replies."""
    replies = []
    while time.monotonic() < deadline:
        request_id = f"{number}-{len(replies)}"
        replies.append(platform.call(entry, "GET", path, request_id))
        gevent.sleep(CALLER_PAUSE_SECONDS)
    return replies


def _press(platform, entries, seconds, path="/read/x", callers=1):
    """Have callers at each entry ask for more than any limit here.

    Returns all replies.
    """
    deadline = time.monotonic() + seconds
    jobs = [
        gevent.spawn(
            _call_until, platform, entry, path, f"{number}-{index}", deadline
        )
        for number, entry in enumerate(entries)
        for index in range(callers)
    ]
    gevent.joinall(jobs, raise_error=True)
    return [reply for job in jobs for reply in job.value]


def _limit_at(entry, server):
    return entry.host.state.limits.limit_of(server.server.id)


def _check(arrivals, limit, began):
    """Check the bound and, in the last whole window, the use of a limit."""
    until = began + DEMAND_SECONDS
    worst = limit_judge.worst_window(
        arrivals, began + limit_judge.CONTACT_SECONDS
    )
    assert worst <= limit_judge.allowed(limit)
    share = limit_judge.share_used(
        arrivals, limit, until - limit_judge.WINDOW_SECONDS, until
    )
    assert share >= MIN_SHARE


@pytest.mark.parametrize("count", [1, 3])
def test_a_limit_holds_for_the_sum_over_all_instances(count):
    limit = 2.9
    with platform_world.declared(ROUTES) as platform:
        entries = [platform.entry() for _ in range(count)]
        server = limited_server.LimitedServer(platform, entries, str(limit))
        began = time.monotonic()
        _press(platform, entries, DEMAND_SECONDS)
    _check(server.arrivals, limit, began)


def test_streams_that_are_cut_and_resumed_count():
    limit = 2.9
    with platform_world.declared(ROUTES) as platform:
        entries = [platform.entry() for _ in range(2)]
        servers = [
            limited_server.LimitedServer(platform, entries, str(limit))
            for _ in range(2)
        ]
        for server in servers:
            server.cut_after = 2
        began = time.monotonic()
        _press(platform, entries, DEMAND_SECONDS, "/chat/x", CALLERS)
    for server in servers:
        _check(server.arrivals, limit, began)


def test_refusals_and_retries_count():
    limit = 2.9
    with platform_world.declared(ROUTES) as platform:
        entries = [platform.entry() for _ in range(2)]
        server = limited_server.LimitedServer(platform, entries, str(limit))
        server.refuses = True
        began = time.monotonic()
        replies = _press(platform, entries, DEMAND_SECONDS, callers=CALLERS)
    _check(server.arrivals, limit, began)
    assert {reply.status for reply in replies} == {503}


def test_all_instances_learn_of_a_limit_and_of_its_end():
    with platform_world.declared(ROUTES) as platform:
        entries = [platform.entry() for _ in range(2)]
        server = limited_server.LimitedServer(platform, entries, "2.9")
        platform.call(entries[0], "GET", "/chat/x")
        world.wait_until(
            lambda: _limit_at(entries[1], server) == 2.9, LEARNING_SECONDS
        )
        entries.append(platform.entry())
        world.wait_until(
            lambda: _limit_at(entries[2], server) == 2.9, LEARNING_SECONDS
        )
        server.limits = ()
        _press(platform, entries[:1], LEARNING_SECONDS)
        world.wait_until(
            lambda: all(_limit_at(item, server) is None for item in entries),
            LEARNING_SECONDS,
        )


def test_a_refusal_names_a_limit_and_another_server_serves():
    with platform_world.declared(ROUTES) as platform:
        entry = platform.entry()
        limited = limited_server.LimitedServer(platform, [entry], "0.3")
        limited.refuses = True
        limited_server.LimitedServer(platform, [entry])
        replies = _press(platform, [entry], 2.0)
        assert {reply.status for reply in replies} == {200}
        assert _limit_at(entry, limited) == 0.3


def test_a_bad_limit_is_ignored_and_logged_once(monkeypatch):
    logged = []
    with platform_world.declared(ROUTES) as platform:
        entry = platform.entry()
        monkeypatch.setattr(
            entry.host.logger,
            "log",
            lambda level, text, extra: logged.append(text),
        )
        server = limited_server.LimitedServer(platform, [entry], "1.0", "2.0")
        for number in range(3):
            reply = platform.call(entry, "GET", "/read/x", f"r{number}")
            assert reply.status == 200
        assert _limit_at(entry, server) is None
    assert logged.count("backend server limit ignored") == 1


def test_a_refusal_for_a_limit_says_not_run_and_when_to_come_back():
    with platform_world.declared(ROUTES) as platform:
        entry = platform.entry()
        server = limited_server.LimitedServer(platform, [entry], "0.3")
        replies = _press(platform, [entry], 8.0, callers=CALLERS)
    refused = [reply for reply in replies if reply.status == 503]
    assert len(replies) - len(refused) <= len(server.arrivals)
    assert refused
    for reply in refused:
        assert b"backend_server_limit" in reply.body
        assert 0.1 <= float(reply.headers["retry-after"]) <= 10.0


def test_own_interface_keeps_the_limit_that_an_engine_names():
    limit = 2.9
    with world.World() as made:
        for number in range(3):
            made.instance(f"i{number + 1}")
        engine = made.engine("e1")
        engine.max_request_rate = limit
        made.apply({"lookup": {}})
        began = time.monotonic()
        deadline = began + DEMAND_SECONDS
        jobs = [
            gevent.spawn(_generate_until, made, item, deadline)
            for item in made.instances
            for _ in range(CALLERS)
        ]
        gevent.joinall(jobs, raise_error=True)
        assert sum(job.value for job in jobs) > limit
        operators = api.Api(
            f"http://{made.instances[0].addresses['operators']}"
        )
        listed = operators.get("backendservers")["items"]
        assert [item["limit"] for item in listed] == [limit]
        text = resource_views.log_metrics(made.instances[0].host)
        assert 'backend_server_limit{backend_server="e1"} 2.9' in text
        for item in made.instances:
            assert not item.host.metrics.counters["faults_total"]
    _check(engine.arrivals, limit, began)


def _generate_until(made, instance, deadline):
    """Ask for one answer after another; return how many were whole."""
    complete = 0
    while time.monotonic() < deadline:
        asked = client.Ask(
            instance.addresses["callers"],
            world.KEY,
            "lookup",
            "hello",
            max_tokens=4,
            timeout=1.5,
        )
        complete += client.send(asked).complete
        gevent.sleep(CALLER_PAUSE_SECONDS)
    return complete
