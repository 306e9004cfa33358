"""What callers get from an instance that has just started."""

import time

from dandeliontrail.components import early_requests
from dandeliontrail import events
import gevent

from tests.common import platform_world
from tests.common import world
from tests.cover import test_forwarding


def event_of(name, timeout=None):
    return events.RoutedRequestReceived(
        name, "h", "/p/", "", timeout, "", (), 0, 0, 0.5
    )


def test_a_request_that_comes_during_the_start_is_served():
    # All entries were killed.  They listen again half a second before they
    # have the configuration, and callers come at once.  Told to come back in
    # a second, they would have used up their one retry.
    with platform_world.PlatformWorld() as made:
        assert made.apply(platform_world.manifest(1)).status == 200
        server = made.server(test_forwarding.answers(200, b"done"))
        began = time.monotonic()
        entry = made.program("entry")
        calls = [
            gevent.spawn(made.call, entry, "POST", "/order/", f"r{number}")
            for number in range(5)
        ]
        replies = [item.get(timeout=5.0) for item in calls]
        assert [item.status for item in replies] == [200] * 5
        assert time.monotonic() - began < 1.0
        assert len(server.ran) == 5


def test_an_entry_has_its_state_a_quarter_second_after_it_listens():
    # Before, it asked how far the keepers were every 0.3 s and took a step
    # of its start each 0.1 s: 0.40 to 0.55 s in the users' deployment.
    with platform_world.PlatformWorld() as made:
        assert made.apply(platform_world.manifest(1)).status == 200
        seconds = []
        for _ in range(4):
            began = time.monotonic()
            entry = made.program("entry")
            world.wait_until(lambda: entry.host.state.log.ready)
            seconds.append(time.monotonic() - began)
        assert sorted(seconds)[1] < 0.25


def test_without_state_a_request_is_refused_within_a_second():
    # An entry starts where no keeper can be reached: it must not hold its
    # callers until their time is up, and nothing has run.
    with platform_world.PlatformWorld() as made:
        entry = made.program("entry")
        began = time.monotonic()
        reply = made.call(entry, "POST", "/order/", left="3000")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert time.monotonic() - began < early_requests.PATIENCE + 0.5


def test_a_caller_that_leaves_during_the_start_is_forgotten():
    with platform_world.PlatformWorld() as made:
        entry = made.program("entry")
        sock = made.connect(entry)
        headers = platform_world.caller_headers("r1")
        platform_world.send(sock, "POST", "/order/", headers, b"{}")
        world.wait_until(entry.host.open_exchanges)
        sock.close()
        world.wait_until(lambda: not entry.host.open_exchanges())


def test_requests_wait_for_the_state_within_bounds():
    held = early_requests.EarlyRequests()
    assert held.hold(event_of("long"), 0.0)
    assert held.hold(event_of("short", timeout=0.5), 0.0)
    assert not held.due(False, 0.1)
    ((event, received),) = held.due(False, 0.2)
    assert (event.request_id, received) == ("short", 0.0)
    assert held.drop("long")
    assert not held.drop("long")
    for number in range(early_requests.MOST_WAITING):
        assert held.hold(event_of(f"r{number}"), 1.0)
    assert not held.hold(event_of("one more"), 1.0)
    assert len(held.due(True, 1.0)) == early_requests.MOST_WAITING
