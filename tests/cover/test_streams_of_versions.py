"""Streams while servers of several software versions serve."""

import collections
import contextlib

from dandeliontrail_node.listeners import version_views
import gevent
import pytest

from tests.common import platform_world
from tests.common import server_paths
from tests.common import version_world

STREAMS = 24
# The time within which other requests are refused.
REFUSAL_SECONDS = 0.5
# How long a stream that nobody knows may be looked for, at the most.
UNKNOWN_SECONDS = 1.2
OTHER_ROUTE = platform_world.route("echo", "streaming", resumable=True)


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
def test_stream_that_is_resumed_goes_on_at_its_version(service, how):
    # A caller resumes its stream and gets events of other software.
    platform, entries, servers = service
    callers = version_world.run_callers(callers_of(platform, entries, **how))
    assert version_world.mixed(callers) == []
    assert sum(caller.complete for caller in callers) >= STREAMS - 1


@contextlib.contextmanager
def serving(*versions, entries=3, routes=(version_world.ROUTE,)):
    """Yield the platform, its entries, and a server of each version."""
    with platform_world.declared(list(routes)) as platform:
        running = [platform.entry() for _ in range(entries)]
        servers = [
            version_world.VersionedServer(platform, version, slots=64)
            for version in versions
        ]
        version_world.wait_for_servers(running, servers)
        yield platform, running, servers


def slowly(servers, pause=0.15):
    """Let streams last for some 1.8 s."""
    for server in servers:
        server.pause = pause


def start(callers):
    """Begin the callers' streams; return their jobs."""
    jobs = [gevent.spawn(caller.run) for caller in callers]
    gevent.sleep(0.6)
    assert all(caller.tries for caller in callers)
    return jobs


def resumed(callers):
    """Return all tries that resumed a stream."""
    return [item for caller in callers for item in caller.resumed]


def test_streams_stay_at_their_version_while_servers_are_replaced():
    with serving("v1", "v1", "v1") as (platform, entries, servers):
        slowly(servers)
        callers = callers_of(platform, entries)
        jobs = []
        for number, server in enumerate(servers):
            jobs += start(callers[number * 8 : number * 8 + 8])
            new = version_world.VersionedServer(platform, "v1-1")
            slowly([new])
            gevent.spawn(server.leave, 1.2)
            gevent.sleep(0.8)
        gevent.joinall(jobs, raise_error=True)
        assert version_world.mixed(callers) == []
        assert sum(caller.complete for caller in callers) > STREAMS / 2


def test_streams_whose_version_crashed_are_cut_off_and_refused():
    with serving("v1", "v1", "v1-1", "v1-1") as (platform, entries, servers):
        slowly(servers)
        callers = callers_of(platform, entries)
        jobs = start(callers)
        for server in servers[:2]:
            server.crash()
        gevent.joinall(jobs, raise_error=True)
        assert version_world.mixed(callers) == []
        for caller in callers:
            assert caller.complete == (caller.versions == {"v1-1"})
        refused = resumed(callers)
        assert refused and {item.status for item in refused} == {503}
        assert {item.retry_after for item in refused} == {"1.00"}
        assert max(item.seconds for item in refused) < REFUSAL_SECONDS


def test_streams_whose_version_has_left_are_refused_for_good():
    with serving("v1", "v1-1") as (platform, entries, servers):
        slowly(servers, 0.05)
        old, new = servers
        callers = callers_of(platform, entries, leaves_after=[2], pause=1.0)
        jobs = start(callers)
        old.leave(0.2)
        gevent.joinall(jobs, raise_error=True)
        assert version_world.mixed(callers) == []
        refused = [
            item
            for caller in callers
            if caller.versions == {"v1"}
            for item in caller.resumed
        ]
        assert refused and {item.status for item in refused} == {503}
        assert {item.retry_after for item in refused} == {None}
        assert max(item.seconds for item in refused) < REFUSAL_SECONDS


def test_a_server_that_is_back_with_other_software_continues_nothing():
    with serving("v1") as (platform, entries, (server,)):
        slowly([server])
        callers = callers_of(platform, entries)[:6]
        jobs = start(callers)
        server.come_back("v1-1")
        gevent.joinall(jobs, raise_error=True)
        assert version_world.mixed(callers) == []
        assert not any(caller.complete for caller in callers)
        again = version_world.run_callers(
            [version_world.Caller(platform, "again", entries)]
        )
        assert again[0].complete and again[0].versions == {"v1-1"}


IDS_OF_NOBODY = pytest.mark.parametrize(
    "names", ["unknown", "", "x" * 5000, "\t1 2", "c0-0;", "echo-0"]
)


def resume_as(names, platform, entries):
    """Return callers who resumed their streams under another id."""
    echo = version_world.Caller(
        platform, "echo", entries, path="/echo/a", max_tries=1
    )
    version_world.run_callers([echo])
    callers = callers_of(
        platform, entries, leaves_after=[3], names=names, max_tries=2
    )
    return version_world.run_callers(callers[:6])


@IDS_OF_NOBODY
def test_an_id_that_nobody_knows_goes_on_where_one_version_serves(names):
    routes = (version_world.ROUTE, OTHER_ROUTE)
    with serving("v1", "v1", routes=routes) as (platform, entries, servers):
        callers = resume_as(names, platform, entries)
        assert all(caller.complete for caller in callers)


@IDS_OF_NOBODY
def test_an_id_that_nobody_knows_is_refused_where_two_versions_serve(names):
    routes = (version_world.ROUTE, OTHER_ROUTE)
    with serving("v1", "v1-1", routes=routes) as (platform, entries, servers):
        callers = resume_as(names, platform, entries)
        assert version_world.mixed(callers) == []
        tries = resumed(callers)
        assert len(tries) == 6 and {item.status for item in tries} == {503}
        assert {item.retry_after for item in tries} == {None}
        assert max(item.seconds for item in tries) < UNKNOWN_SECONDS


@pytest.mark.parametrize("cut", list(server_paths.Cut))
def test_a_stream_is_resumed_at_an_entry_without_a_path_to_servers(cut):
    with serving("v1", "v1", "v1-1", "v1-1") as (platform, entries, servers):
        with contextlib.ExitStack() as stack:
            path = server_paths.ServerPath(stack, entries[1])
            callers = [
                version_world.Caller(
                    platform, f"c{number}", entries, leaves_after=[3]
                )
                for number in range(12)
            ]
            path.cut(cut)
            version_world.run_callers(callers)
        assert version_world.mixed(callers) == []
        assert all(caller.tries[1].entry is entries[1] for caller in callers)
        assert sum(caller.complete for caller in callers) >= 11


def test_a_new_stream_begins_where_two_servers_could_continue_it():
    with serving("v1", "v1", "v1-1") as (platform, entries, servers):
        callers = version_world.run_callers(callers_of(platform, entries))
        assert all(caller.versions == {"v1"} for caller in callers)


def test_operators_see_versions_and_streams():
    with serving("v1", "v1-1") as (platform, entries, servers):
        callers = callers_of(platform, entries, leaves_after=[3])
        version_world.run_callers(callers)
        listed = version_views.software_versions(entries[0].host)
        assert [(item.software_version, item.serving) for item in listed] == [
            ("v1", 1),
            ("v1-1", 1),
        ]
        assert all(item.admitted for item in listed)
        counted = collections.Counter()
        for entry in entries:
            counted.update(version_views.gauges(entry.host.state))
        begun = [
            count
            for name, count in counted.items()
            if name.startswith("streams_begun_total")
        ]
        assert sum(begun) == 2 * STREAMS
        assert counted['streams_resumed_total{source="asked"}'] > 0
        assert counted["stream_records"] >= STREAMS
