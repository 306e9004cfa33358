"""Servers that fall over if they have to turn away too many requests."""

import time

import gevent
import pytest

from tests.common import brittle_server
from tests.common import platform_world

ROUTES = (platform_world.route("read", "safe", timeout_ms=1500),)
PLACES = 4
ANSWER_SECONDS = 0.1
# What happens before all instances can know of it does not count.
CONTACT_SECONDS = 3.0
JUDGED_SECONDS = 6.0
CALLERS = 6
HEARTBEAT_SECONDS = 0.6
# Of the places of the servers, while more is asked of them.
MIN_SHARE_USED = 0.6


def keep_alive(platform, servers):
    while True:
        gevent.sleep(HEARTBEAT_SECONDS)
        for item in servers:
            platform.heartbeat(item.server, slots=PLACES)


def call_until(platform, entry, name, deadline):
    count = 0
    while time.monotonic() < deadline:
        count += 1
        platform.call(entry, "GET", "/read/x", f"{name}-{count}")


def press(platform, entries, callers, seconds):
    deadline = time.monotonic() + seconds
    jobs = [
        gevent.spawn(
            call_until, platform, entry, f"{entry.ip}-{number}", deadline
        )
        for entry in entries
        for number in range(callers)
    ]
    gevent.joinall(jobs, raise_error=True)


@pytest.mark.parametrize("allowed", [0, 2])
def test_brittle_servers_stand_and_are_used(allowed):
    with platform_world.declared(ROUTES) as platform:
        entries = [platform.entry() for _ in range(3)]
        servers = [
            brittle_server.BrittleServer(
                platform, entries, PLACES, allowed, ANSWER_SECONDS
            )
            for _ in range(2)
        ]
        alive = gevent.spawn(keep_alive, platform, servers)
        began = time.monotonic()
        judged_since = began + CONTACT_SECONDS
        for item in servers:
            item.since = judged_since
        press(platform, entries, CALLERS, CONTACT_SECONDS + JUDGED_SECONDS)
        seconds = time.monotonic() - judged_since
        alive.kill()
    falls = sum(at > judged_since for item in servers for at in item.falls)
    used = sum(item.busy_seconds for item in servers)
    share = used / (seconds * PLACES * len(servers))
    assert falls <= 2 + 0.1 * len(servers), (falls, share)
    assert share >= MIN_SHARE_USED, (falls, share)
