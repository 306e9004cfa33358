"""Instances that share the limits of servers, as pure reducers."""

import pytest

from tests.common import limit_judge
from tests.common import limit_world

SERVER = "s1"
# The demand, as a multiple of the limit.
OVERLOAD = 5.0
# The instances know one another by then.
JOIN_SECONDS = 8.0
# The holder grants by then.
GRANTING_SECONDS = 8.0
# The share of a limit that is used in the steady state: most of it, and no
# more than one request in ten beyond it.
MIN_SHARE = 0.8
MAX_SHARE = 1.1


def make_world(count=9, limit=3.0, names=None, **options):
    """Return a world in which one limited server is overloaded."""
    world = limit_world.LimitWorld(count, **options)
    world.run(JOIN_SECONDS)
    world.add_server(SERVER, str(limit))
    world.press(limit * OVERLOAD, names)
    world.run(GRANTING_SECONDS)
    return world


def check(world, limit, since):
    """Check the bound from ``CONTACT_SECONDS`` after ``since`` on."""
    worst = world.worst(SERVER, since + limit_judge.CONTACT_SECONDS)
    assert worst <= limit_judge.allowed(limit)


def check_share(world, since):
    """Check that most of the limit and not more than it is used."""
    assert MIN_SHARE <= world.share(SERVER, since) <= MAX_SHARE


def seconds_for(limit):
    """Return how long to measure the share of a limit."""
    return max(15.0, 18.0 / limit)


@pytest.mark.parametrize("names", [None, ["i1"]], ids=["all", "one"])
@pytest.mark.parametrize(
    "count,limit", [(3, 30.0), (9, 0.3), (9, 3.0), (27, 0.3), (27, 3.0)]
)
def test_a_limit_is_used_and_kept_wherever_the_callers_are(
    count, limit, names
):
    world = make_world(count, limit, names)
    since = world.now
    world.run(seconds_for(limit))
    check(world, limit, JOIN_SECONDS)
    check_share(world, since)
    assert not world.overdue


def test_a_limit_follows_callers_that_move_within_seconds():
    limit = 3.0
    world = make_world(limit=limit)
    since = world.now
    for second in range(20):
        world.press(limit * OVERLOAD, [f"i{second % 9}"])
        world.run(1.0)
    check(world, limit, JOIN_SECONDS)
    check_share(world, since)


@pytest.mark.parametrize("limit", [0.3, 3.0])
def test_a_limit_is_kept_when_its_holder_is_killed_and_starts_again(limit):
    world = make_world(limit=limit)
    holder = world.holder_of(SERVER)
    world.kill(holder)
    world.run(15.0)
    world.restart(holder)
    world.run(15.0)
    since = world.now
    world.run(seconds_for(limit))
    check(world, limit, JOIN_SECONDS)
    check_share(world, since)


@pytest.mark.parametrize("seconds", [3.0, 12.0])
@pytest.mark.parametrize("limit", [0.3, 3.0])
def test_a_limit_is_kept_when_its_holder_is_paused(limit, seconds):
    world = make_world(limit=limit)
    holder = world.holder_of(SERVER)
    world.freeze(holder)
    world.run(seconds)
    world.thaw(holder)
    world.run(15.0)
    since = world.now
    world.run(seconds_for(limit))
    check(world, limit, JOIN_SECONDS)
    check_share(world, since)


@pytest.mark.parametrize("with_holder", [True, False])
@pytest.mark.parametrize("count", [3, 9, 27])
def test_a_limit_is_kept_on_both_sides_of_a_cut(count, with_holder):
    limit = 3.0
    world = make_world(count, limit)
    domain = world.nodes[world.holder_of(SERVER)].domain
    if not with_holder:
        domain = next(item for item in limit_world.DOMAINS if item != domain)
    world.cut_off(world.in_domain(domain))
    world.run(30.0)
    world.heal()
    world.run(15.0)
    since = world.now
    world.run(seconds_for(limit))
    check(world, limit, JOIN_SECONDS)
    check_share(world, since)


def test_a_limit_is_kept_while_all_instances_are_cut_off_from_one_another():
    limit = 3.0
    world = make_world(limit=limit)
    for name in world.names:
        world.cut_off([name])
    world.run(30.0)
    check(world, limit, JOIN_SECONDS)


@pytest.mark.parametrize("limit", [3.0, 30.0])
def test_a_limit_is_kept_when_instances_start_while_they_are_cut_off(limit):
    world = make_world(limit=limit)
    domain = world.nodes[world.holder_of(SERVER)].domain
    cut_off = world.in_domain(
        next(item for item in limit_world.DOMAINS if item != domain)
    )
    for name in cut_off:
        world.kill(name)
        world.cut_off([name])
        world.restart(name)
    world.run(30.0)
    check(world, limit, JOIN_SECONDS)


def test_a_limit_is_kept_while_instances_are_added():
    limit = 3.0
    world = make_world(limit=limit)
    for number in range(4):
        world.names.append(f"new{number}")
        world.start(world.names[-1], limit_world.DOMAINS[number % 3])
        world.press(limit * OVERLOAD)
        world.run(4.0)
    check(world, limit, JOIN_SECONDS)


@pytest.mark.parametrize("limit", [0.3, 3.0, 30.0])
@pytest.mark.parametrize(
    "faults",
    [{"loss": 0.3}, {"loss": 0.8}, {"delay": 1.0}],
    ids=["some-lost", "most-lost", "late"],
)
def test_a_limit_is_kept_when_messages_are_lost_or_late(limit, faults):
    world = make_world(limit=limit, **faults)
    world.run(20.0)
    check(world, limit, JOIN_SECONDS)


@pytest.mark.parametrize("limit", [0.3, 3.0])
def test_a_limit_is_used_again_once_messages_are_no_longer_lost(limit):
    world = make_world(limit=limit)
    holder = world.holder_of(SERVER)
    world.press(0.0)
    world.press(
        limit * OVERLOAD,
        [next(name for name in world.names if name != holder)],
        "/urgent/",
    )
    world.loss = 1.0
    world.run(3.0)
    world.loss = 0.0
    world.run(2.0)
    since = world.now
    world.run(seconds_for(limit))
    check(world, limit, JOIN_SECONDS)
    check_share(world, since)


def test_no_permit_counts_twice_when_messages_are_doubled():
    limit = 3.0
    world = make_world(limit=limit)
    world.doubled = True
    since = world.now
    world.run(20.0)
    check(world, limit, JOIN_SECONDS)
    check_share(world, since)


def test_a_limit_that_is_lowered_under_load_takes_effect():
    world = make_world(limit=18.0)
    world.servers[SERVER].limit = "3.0"
    lowered = world.now
    world.run(20.0)
    check(world, 3.0, lowered)


def test_a_limit_that_rises_takes_effect():
    world = make_world(limit=3.0)
    world.servers[SERVER].limit = "12.0"
    world.run(4.0)
    since = world.now
    world.run(10.0)
    check_share(world, since)


def test_a_limit_that_differs_a_little_in_each_answer_is_used():
    limit = 3.0
    world = make_world(limit=limit)
    since = world.now
    for step in range(200):
        world.servers[SERVER].limit = str(limit + 0.01 * (step % 9))
        world.run(0.1)
    world.servers[SERVER].limit = str(limit)
    check(world, limit, JOIN_SECONDS)
    check_share(world, since)


@pytest.mark.parametrize("limit", [0.0, 0.3, 3.0])
def test_a_limit_that_is_no_longer_named_is_forgotten_everywhere(limit):
    world = make_world(limit=limit, names=["i1"])
    world.press(15.0, ["i1"])
    world.run(15.0)
    world.servers[SERVER].limit = ""
    # At the lowest rate, one request in ten seconds finds out.
    world.run(12.0)
    for node in world.nodes.values():
        assert node.state.limits.limit_of(SERVER) is None
    world.refused.clear()
    world.run(5.0)
    assert not world.refused["/usual/"]


def test_a_server_that_takes_nothing_gets_one_request_in_ten_seconds():
    world = make_world(limit=0.0)
    world.press(15.0)
    since = world.now
    world.run(60.0)
    arrivals = [at for at in world.servers[SERVER].arrivals if at >= since]
    assert 4 <= len(arrivals) <= 8


def test_a_limit_ends_with_the_start_of_the_server_that_named_it():
    world = make_world(limit=0.3)
    world.restart_server(SERVER)
    world.run(1.0)
    assert all(
        node.state.limits.limit_of(SERVER) is None
        for node in world.nodes.values()
    )
    world.servers[SERVER].limit = "3.0"
    world.press(15.0)
    named = world.now
    world.run(12.0)
    since = world.now
    world.run(20.0)
    check(world, 3.0, named)
    check_share(world, since)


def test_a_limit_that_only_refusals_name_is_kept():
    limit = 3.0
    world = limit_world.LimitWorld(9)
    world.run(JOIN_SECONDS)
    world.add_server(SERVER, str(limit)).names_in_refusals_only = True
    world.press(limit * OVERLOAD)
    world.run(60.0)
    check(world, limit, JOIN_SECONDS)


def test_two_limited_servers_of_a_pool_are_both_used():
    world = make_world(limit=3.0)
    world.add_server("s2", "6.0")
    world.press(30.0)
    world.run(GRANTING_SECONDS)
    since = world.now
    world.run(20.0)
    for name in (SERVER, "s2"):
        assert world.share(name, since) >= MIN_SHARE
        worst = world.worst(name, since)
        assert worst <= limit_judge.allowed(float(world.servers[name].limit))


@pytest.mark.parametrize(
    "servers,limit", [(2, 3.0), (8, 3.0), (8, 0.3)], ids=["two", "many", "low"]
)
def test_a_little_too_much_demand_leaves_no_server_of_a_pool_unused(
    servers, limit
):
    world = limit_world.LimitWorld(9)
    world.run(JOIN_SECONDS)
    names = [f"s{number}" for number in range(servers)]
    for name in names:
        world.add_server(name, str(limit))
    world.press(1.2 * limit * servers)
    world.run(GRANTING_SECONDS)
    since = world.now
    world.run(seconds_for(limit))
    shares = [world.share(name, since) for name in names]
    assert sum(shares) / servers >= MIN_SHARE
    assert not world.overdue


def test_no_request_is_refused_while_another_server_has_room():
    world = make_world(limit=0.3)
    world.add_server("free")
    world.run(1.0)
    world.press(30.0)
    world.refused.clear()
    world.run(20.0)
    assert not world.refused["/usual/"]
    assert not world.overdue


def test_urgent_requests_get_the_permits_and_no_class_gets_none():
    limit = 3.0
    world = make_world(limit=limit)
    world.press(0.0)
    world.press(2.0, path="/urgent/")
    world.press(13.0, path="/later/")
    world.run(5.0)
    world.waits.clear()
    world.refused.clear()
    world.run(60.0)
    urgent = len(world.waits["/urgent/"])
    assert urgent >= 0.8 * (urgent + len(world.refused["/urgent/"]))
    assert len(world.waits["/later/"]) >= 0.2 * limit * 60.0 * 0.8
    world.press(15.0, path="/urgent/")
    world.run(5.0)
    world.waits.clear()
    world.run(60.0)
    assert world.waits["/later/"]
    assert len(world.waits["/urgent/"]) >= 0.8 * limit * 60.0


def test_what_gets_no_permit_in_time_is_refused_at_once_with_the_wait():
    limit = 0.3
    world = make_world(limit=limit, names=["i1"])
    world.refused.clear()
    world.run(60.0)
    waits = world.refused["/usual/"]
    assert waits and not world.overdue
    assert 1.0 <= sum(waits) / len(waits) <= 2.0 / limit


def test_a_large_organisation_leaves_a_small_one_its_turns():
    limit = 3.0
    world = make_world(limit=limit)
    world.press(14.0, organisation="large")
    world.press(1.0, organisation="small")
    world.run(5.0)
    world.asked.clear()
    world.sent.clear()
    world.run(60.0)
    assert world.sent["small"] >= 0.8 * world.asked["small"]
    assert world.sent["large"] >= 0.5 * limit * 60.0
