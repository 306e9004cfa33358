"""Requests that arrive while an instance starts."""

import time

from dandeliontrail.components import early_requests
from dandeliontrail import events
import gevent

from tests.common import platform_world
from tests.common import world
from tests.cover import test_forwarding


def request_event(name, timeout=None):
    return events.RoutedRequestReceived(
        name, "h", "/p/", "", timeout, "", (), 0, 0, 0.5
    )


def test_a_request_that_comes_during_the_start_is_served():
    # All entries were killed.  They listen again half a second before they
    # have the configuration, and callers connect at once.  If they were
    # asked to retry in a second, they would have used their only retry.
    with platform_world.PlatformWorld() as deployment:
        assert deployment.apply(platform_world.manifest(1)).status == 200
        server = deployment.server(test_forwarding.answer_script(200, b"done"))
        began = time.monotonic()
        entry = deployment.program("entry")
        calls = [
            gevent.spawn(
                deployment.call, entry, "POST", "/order/", f"r{number}"
            )
            for number in range(5)
        ]
        replies = [item.get(timeout=5.0) for item in calls]
        assert [item.status for item in replies] == [200] * 5
        assert time.monotonic() - began < 1.0
        assert len(server.ran) == 5


def test_an_entry_has_its_state_a_quarter_second_after_it_listens():
    # Asking the keepers for their progress every 0.3 s and taking one step of
    # the start every 0.1 s took 0.40 to 0.55 s in the users' deployment.
    with platform_world.PlatformWorld() as deployment:
        assert deployment.apply(platform_world.manifest(1)).status == 200
        seconds = []
        for _ in range(4):
            began = time.monotonic()
            entry = deployment.program("entry")
            world.wait_until(lambda: entry.host.state.log.ready)
            seconds.append(time.monotonic() - began)
        assert sorted(seconds)[1] < 0.25


def test_without_state_a_request_is_refused_within_a_second():
    # An entry starts while no keeper is reachable: it must not hold requests
    # until their deadlines, and it must answer that they were not run.
    with platform_world.PlatformWorld() as deployment:
        entry = deployment.program("entry")
        began = time.monotonic()
        reply = deployment.call(entry, "POST", "/order/", left="3000")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert time.monotonic() - began < early_requests.MAX_WAIT_SECONDS + 0.5


def test_a_caller_that_leaves_during_the_start_is_forgotten():
    with platform_world.PlatformWorld() as deployment:
        entry = deployment.program("entry")
        sock = deployment.connect(entry)
        headers = platform_world.caller_headers("r1")
        platform_world.send(sock, "POST", "/order/", headers, b"{}")
        world.wait_until(entry.host.open_exchange_count)
        sock.close()
        world.wait_until(lambda: not entry.host.open_exchange_count())


def test_requests_wait_for_the_state_within_bounds():
    early = early_requests.EarlyRequests()
    assert early.hold(request_event("long"), 0.0)
    assert early.hold(request_event("short", timeout=0.5), 0.0)
    assert not early.due(False, 0.1)
    ((event, received),) = early.due(False, 0.2)
    assert (event.request_id, received) == ("short", 0.0)
    assert early.drop("long")
    assert not early.drop("long")
    for number in range(early_requests.MAX_WAITING_REQUESTS):
        assert early.hold(request_event(f"r{number}"), 1.0)
    assert not early.hold(request_event("one more"), 1.0)
    assert len(early.due(True, 1.0)) == early_requests.MAX_WAITING_REQUESTS
