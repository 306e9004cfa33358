"""Manifests that are written to the replicated log and read back."""

import msgspec
import pytest

from tests.common import platform_world
from tests.common import world


@pytest.fixture
def platform():
    with platform_world.PlatformWorld() as running:
        yield running


def in_force(running):
    return running.host.state.routing.number


def test_is_read_back_as_it_was_sent(platform):
    document = platform_world.manifest(5, extra={"kept": [1, 2]})
    assert platform.apply(document).status == 200
    reply = platform.control("GET", "/api/config")
    assert msgspec.json.decode(reply.body) == document


def test_the_highest_number_wins_and_the_others_are_acknowledged(platform):
    # One operator resends an old manifest because its answer was lost, and
    # another sends different content under the version in force.  Applying
    # either would replace the configuration that is declared now.
    newer = platform_world.manifest(7)
    assert platform.apply(newer).status == 200
    assert (
        platform.apply(platform_world.manifest(6, keys=("old",))).status == 200
    )
    assert (
        platform.apply(platform_world.manifest(7, keys=("else",))).status
        == 200
    )
    assert platform.apply(newer).status == 200
    reply = platform.control("GET", "/api/config")
    assert msgspec.json.decode(reply.body) == newer


def test_an_invalid_one_is_refused_whatever_its_number(platform):
    assert platform.apply(platform_world.manifest(7)).status == 200
    bad = platform_world.manifest(3, services=[])
    assert platform.apply(bad).status == 400
    assert in_force(platform.keeper) == 7


def test_an_entry_without_any_says_so_and_is_not_ready(platform):
    entry = platform.program("entry")
    world.wait_until(lambda: entry.host.state.log.ready)
    assert platform.ready(entry) == 503
    assert platform.call(entry, "GET", "/read/").status == 503
    platform.apply(platform_world.manifest(1))
    world.wait_until(lambda: platform.ready(entry) == 200)


def test_a_change_is_in_force_at_an_entry_within_a_moment(platform):
    platform.apply(platform_world.manifest(1))
    entry = platform.entry()
    platform.apply(platform_world.manifest(2, routes=[]))
    world.wait_until(lambda: in_force(entry) == 2, 1.0)
    assert platform.call(entry, "GET", "/read/").status == 404


def test_a_key_that_was_taken_away_stops_at_an_entry_that_is_cut_off():
    # A key is revoked while an entry is partitioned.  After the revocation
    # bound the entry must not accept the key, although it still has it.
    with platform_world.PlatformWorld(revoke_ms=1500) as platform:
        platform.apply(platform_world.manifest(1))
        entry = platform.entry()
        server = platform.server(
            lambda server, sock, head: sock.sendall(
                platform_world.whole(200, b"ok", "r1")
            )
        )
        platform.knows(entry, server)
        assert platform.call(entry, "GET", "/read/").status == 200
        entry.host._peer_link.send = lambda address, message: None
        # It stops being ready first, so that callers use other instances.
        world.wait_until(lambda: platform.ready(entry) == 503)
        assert platform.call(entry, "GET", "/read/").status == 200
        world.wait_until(
            lambda: (
                entry.host.state.log.proven_ago(entry.host.clock.now()) > 1.5
            )
        )
        reply = platform.call(entry, "GET", "/read/")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) < 1.0
        # It does not answer 404 either, as the route may exist by now.
        world.wait_until(
            lambda: platform.call(entry, "GET", "/nowhere/").status == 503
        )


def test_takes_hundreds_of_changes_in_a_row(platform):
    for number in range(1, 301):
        assert platform.apply(platform_world.manifest(number)).status == 200
    assert in_force(platform.keeper) == 300
