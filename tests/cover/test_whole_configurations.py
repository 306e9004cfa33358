"""Whole configurations on the way through the log and back."""

import msgspec
import pytest

from tests.common import platform_world
from tests.common import world


@pytest.fixture
def made():
    with platform_world.PlatformWorld() as found:
        yield found


def in_force(running):
    return running.host.state.routing.number


def test_is_read_back_as_it_was_sent(made):
    document = platform_world.manifest(5, extra={"kept": [1, 2]})
    assert made.apply(document).status == 200
    reply = made.control("GET", "/api/config")
    assert msgspec.json.decode(reply.body) == document


def test_the_highest_number_wins_and_the_others_are_acknowledged(made):
    # An operator resends an old change after a lost answer, and another
    # sends other content under the number in force.  Were either obeyed,
    # callers would be routed as nobody declared any more.
    newer = platform_world.manifest(7)
    assert made.apply(newer).status == 200
    assert made.apply(platform_world.manifest(6, keys=("old",))).status == 200
    assert made.apply(platform_world.manifest(7, keys=("else",))).status == 200
    assert made.apply(newer).status == 200
    reply = made.control("GET", "/api/config")
    assert msgspec.json.decode(reply.body) == newer


def test_an_invalid_one_is_refused_whatever_its_number(made):
    assert made.apply(platform_world.manifest(7)).status == 200
    bad = platform_world.manifest(3, services=[])
    assert made.apply(bad).status == 400
    assert in_force(made.keeper) == 7


def test_an_entry_without_any_says_so_and_is_not_ready(made):
    entry = made.program("entry")
    world.wait_until(lambda: entry.host.state.log.ready)
    assert made.ready(entry) == 503
    assert made.call(entry, "GET", "/read/").status == 503
    made.apply(platform_world.manifest(1))
    world.wait_until(lambda: made.ready(entry) == 200)


def test_a_change_is_in_force_at_an_entry_within_a_moment(made):
    made.apply(platform_world.manifest(1))
    entry = made.entry()
    made.apply(platform_world.manifest(2, routes=[]))
    world.wait_until(lambda: in_force(entry) == 2, 1.0)
    assert made.call(entry, "GET", "/read/").status == 404


def test_a_key_that_was_taken_away_stops_at_an_entry_that_is_cut_off():
    # A key is taken away while an entry cannot hear of it.  After the bound
    # the entry must not accept it any more, though it still holds it.
    with platform_world.PlatformWorld(revoke_ms=1500) as made:
        made.apply(platform_world.manifest(1))
        entry = made.entry()
        server = made.server(
            lambda server, sock, head: sock.sendall(
                platform_world.whole(200, b"ok", "r1")
            )
        )
        made.knows(entry, server)
        assert made.call(entry, "GET", "/read/").status == 200
        entry.host._peer_link.send = lambda address, message: None
        # First it says that it is not ready, so that callers go elsewhere.
        world.wait_until(lambda: made.ready(entry) == 503)
        assert made.call(entry, "GET", "/read/").status == 200
        world.wait_until(
            lambda: (
                entry.host.state.log.proven_ago(entry.host.clock.now()) > 1.5
            )
        )
        reply = made.call(entry, "GET", "/read/")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) < 1.0
        # Nor does it say for certain that a route does not exist.
        world.wait_until(
            lambda: made.call(entry, "GET", "/nowhere/").status == 503
        )


def test_takes_hundreds_of_changes_in_a_row(made):
    for number in range(1, 301):
        assert made.apply(platform_world.manifest(number)).status == 200
    assert in_force(made.keeper) == 300
