"""Instances that share the places of brittle servers, as pure reducers."""

import random

import pytest

from dandeliontrail.coordination import server_limits
from dandeliontrail.decisions import permit_issuer
from dandeliontrail.decisions import place_ledger

from tests.common import brittle_world
from tests.common import limit_world

SERVERS = ("s1", "s2")
# In requests per second, above what the places of two servers take.
OVERLOAD = (
    1.5 * len(SERVERS) * (brittle_world.PLACES / brittle_world.SERVICE_SECONDS)
)
JOIN_SECONDS = 8.0
LEARNING_SECONDS = 6.0
JUDGED_SECONDS = 6.0
MIN_SHARE = 0.6


def make_world(count, names=None, seed=0, **options):
    """Return a world of brittle servers that are asked for too much."""
    world = limit_world.LimitWorld(count, seed, **options)
    world.run(JOIN_SECONDS)
    for name in SERVERS:
        world.start_server(brittle_world.BrittleServer(name))
    world.press(OVERLOAD, names)
    world.run(LEARNING_SECONDS)
    return world


def share_used(world, since):
    shares = [
        server.share(since, world.now) for server in world.servers.values()
    ]
    return sum(shares) / len(shares)


@pytest.mark.parametrize("names", [None, ["i1"]], ids=["all", "one"])
@pytest.mark.parametrize("count", [3, 9])
def test_no_more_is_sent_than_there_are_places_and_they_are_used(count, names):
    world = make_world(count, names)
    since = world.now
    world.run(JUDGED_SECONDS)
    assert not brittle_world.overfull(world, since)
    assert share_used(world, since) >= MIN_SHARE


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lost_late_and_doubled_messages_free_no_place_in_use(seed):
    world = make_world(9, seed=seed)
    since = world.now
    world.loss = 0.3
    world.doubled = True
    world.run(JUDGED_SECONDS)
    assert not brittle_world.overfull(world, since)


def test_a_holder_that_is_killed_costs_no_server_its_life():
    world = make_world(9)
    since = world.now
    world.kill(world.holder_of("s1"))
    world.run(15.0)
    assert not brittle_world.overfull(world, since)
    assert share_used(world, world.now - 4.0) >= MIN_SHARE


def test_an_instance_that_is_killed_leaves_its_places_to_the_others():
    world = make_world(9)
    for name in ("i1", "i2"):
        world.kill(name)
    world.run(4.0 + place_ledger.REPORT_TTL_SECONDS)
    since = world.now
    world.run(JUDGED_SECONDS)
    assert not brittle_world.overfull(world, since)
    assert share_used(world, since) >= MIN_SHARE


def test_a_server_that_is_no_longer_brittle_is_used_freely():
    world = make_world(9)
    for server in world.servers.values():
        server.brittle_texts = ()
    world.run(3.0)
    assert all(not node.state.limits.named for node in world.nodes.values())


def asker(number):
    return permit_issuer.Asker(f"i{number}", 1, "")


@pytest.mark.parametrize("seed", range(20))
def test_a_ledger_never_counts_fewer_places_than_are_in_use(seed):
    rng = random.Random(seed)
    ledger = place_ledger.PlaceLedger(0.0)
    # What each instance truly has, and the grants on their way to it.
    used = [0, 0, 0]
    seen = [0, 0, 0]
    on_their_way = [[], [], []]
    serial = 0
    for step in range(400):
        now = place_ledger.SETTLE_SECONDS + step * 0.005
        ledger.update(brittle_world.PLACES, now)
        number = rng.randrange(3)
        if rng.random() < 0.5:
            ledger.report(asker(number), used[number], seen[number], now)
        if ledger.free() > 0 and rng.random() < 0.7:
            ledger.report(asker(number), used[number], seen[number], now)
            if ledger.free() > 0:
                serial += 1
                ledger.take(asker(number), now)
                ledger.sent(asker(number), serial, now)
                on_their_way[number].append(serial)
        if on_their_way[number] and rng.random() < 0.5:
            seen[number] = on_their_way[number].pop(0)
            used[number] += 1
        if used[number] and rng.random() < 0.4:
            used[number] -= 1
        in_use = sum(used) + sum(len(item) for item in on_their_way)
        assert in_use <= brittle_world.PLACES


@pytest.mark.parametrize("text", ["", "x", "-1", "nan", "inf", "1.5", "1e3"])
def test_a_bad_number_of_refusals_is_no_number(text):
    with pytest.raises(server_limits.BadLimit):
        server_limits.parse_brittle([text])
    with pytest.raises(server_limits.BadLimit):
        server_limits.parse_brittle(["1", "1"])


def test_of_answers_that_overtake_each_other_the_stricter_one_counts():
    table = server_limits.LimitTable()
    reading = server_limits.Reading("s", 1, None, 1.0, False, 3)
    assert table.read(reading, 1.1)
    older = server_limits.Reading("s", 1, None, 1.0, False, None)
    assert table.read(older, 1.2) is None
    stricter = server_limits.Reading("s", 1, None, 1.0, False, 1)
    assert table.read(stricter, 1.3).brittle == 1
    newer = server_limits.Reading("s", 1, None, 1.4, False, None)
    assert table.read(newer, 1.5).brittle is None
    assert not table.named


def test_a_server_that_starts_beside_brittle_ones_is_taken_for_one():
    world = make_world(3)
    started = brittle_world.BrittleServer("s3")
    world.start_server(started)
    since = world.now
    world.run(4.0)
    assert not brittle_world.overfull(world, since)
    assert started.busy
