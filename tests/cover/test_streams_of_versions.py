"""Streams while servers of several software versions serve."""

import pytest

from tests.common import platform_world
from tests.common import version_world

STREAMS = 24


@pytest.fixture(params=[1, 3, 9])
def service(request):
    """Entries and two servers of each of two versions."""
    with platform_world.declared([version_world.ROUTE]) as platform:
        entries = [platform.entry() for _ in range(request.param)]
        servers = [
            version_world.VersionedServer(platform, version)
            for version in ("v1", "v1-1")
            for _ in range(2)
        ]
        version_world.wait_for_servers(entries, servers)
        yield platform, entries, servers


def callers_of(platform, entries, **more):
    """Return callers who begin at each entry in turn."""
    return [
        version_world.Caller(
            platform,
            f"c{number}",
            entries[number % len(entries) :]
            + entries[: number % len(entries)],
            **more,
        )
        for number in range(STREAMS)
    ]


def test_stream_whose_server_breaks_off_goes_on_at_its_version(service):
    # An answer goes on at a server with other software.
    platform, entries, servers = service
    for server in servers:
        server.breaks_after = 3
    callers = version_world.run_callers(
        callers_of(platform, entries, max_tries=1)
    )
    assert version_world.mixed(callers) == []
    assert sum(caller.complete for caller in callers) >= STREAMS - 1


@pytest.mark.parametrize(
    "how",
    [
        {"leaves_after": [3]},
        {"leaves_after": [3], "pause": 1.0},
        {"leaves_after": [3, 3]},
        {"leaves_after": [3, 3], "names_latest": True},
    ],
)
def test_stream_that_is_taken_up_goes_on_at_its_version(service, how):
    # A caller takes its stream up and gets events of other software.
    platform, entries, servers = service
    callers = version_world.run_callers(callers_of(platform, entries, **how))
    assert version_world.mixed(callers) == []
    assert sum(caller.complete for caller in callers) >= STREAMS - 1
