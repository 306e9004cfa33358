"""A backend server that names how many requests a second it takes."""

import time

import gevent
import pytest

from tests.common import limit_judge
from tests.common import limited_server
from tests.common import platform_world

ROUTES = (
    platform_world.route("read", "safe", timeout_ms=1500),
    platform_world.route("order", "non_idempotent", max_attempts=1),
)
# Each caller asks again this long after its last answer.
CALLER_PAUSE_SECONDS = 0.05
# One whole window, judged from ``CONTACT_SECONDS`` on.
DEMAND_SECONDS = limit_judge.CONTACT_SECONDS + limit_judge.WINDOW_SECONDS


def _call_until(platform, entry, number, deadline):
    """Send one request after another to ``entry``."""
    count = 0
    while time.monotonic() < deadline:
        count += 1
        platform.call(entry, "GET", "/read/x", f"{number}-{count}")
        gevent.sleep(CALLER_PAUSE_SECONDS)


def _press(platform, entries, seconds):
    """Have a caller at each entry ask for more than any limit here."""
    deadline = time.monotonic() + seconds
    callers = [
        gevent.spawn(_call_until, platform, entry, number, deadline)
        for number, entry in enumerate(entries)
    ]
    gevent.joinall(callers, raise_error=True)


@pytest.mark.parametrize("count", [1, 3])
def test_a_limit_holds_for_the_sum_over_all_instances(count):
    limit = 2.9
    with platform_world.declared(ROUTES) as platform:
        entries = [platform.entry() for _ in range(count)]
        server = limited_server.LimitedServer(platform, entries, str(limit))
        began = time.monotonic()
        _press(platform, entries, DEMAND_SECONDS)
    worst = limit_judge.worst_window(
        server.arrivals, began + limit_judge.CONTACT_SECONDS
    )
    assert worst <= limit_judge.allowed(limit)
