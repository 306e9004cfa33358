"""Heartbeats and departures of servers, valid, malformed and delayed."""

import logging
import random
import types

from dandeliontrail.coordination import server_loads
from dandeliontrail.coordination import servers
from dandeliontrail.decisions import work as work_module
from dandeliontrail_node import wsgi
from dandeliontrail_platform import registration
import gevent
import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from tests.common import platform_world
from tests.common import shared_policy_harness
from tests.common import world
from tests.cover import test_forwarding

HEARTBEAT = {
    "service": "app",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 7,
}


def body_of(**changed):
    return msgspec.json.encode({**HEARTBEAT, **changed})


def learn_heartbeat(registry, name="i-1", at=0.0, **changed):
    """Pass a heartbeat to ``registry``; return whether it changed a record."""
    announcement = registration.decode_heartbeat(
        name, body_of(**changed), registry
    )
    return registry.learn(announcement, 0.0, at)


def test_a_server_that_starts_again_under_its_id_is_used_at_once():
    # A server crashes after its 40th heartbeat and restarts with the same id
    # and a new sequence.  If its heartbeats were taken for delayed ones of the
    # first incarnation, they would not renew its lease until the 41st.
    registry = servers.ServerRegistry(longest_lease=12.0)
    learn_heartbeat(registry, sequence=40, born=1000)
    assert learn_heartbeat(registry, at=1.0, sequence=1, born=2000)
    held = registry.servers["i-1"]
    assert held.announcement.order() == (2000, 1)
    assert held.serves(12.5)
    # A delayed heartbeat of the first incarnation changes nothing.
    assert not learn_heartbeat(registry, at=2.0, sequence=41, born=1000)
    assert held.announcement.order() == (2000, 1)


def test_a_departure_of_an_earlier_incarnation_takes_nobody_out():
    # A server announces its departure, stops and restarts.  A slow keeper
    # delivers the departure after the first heartbeat of the new incarnation.
    registry = servers.ServerRegistry(longest_lease=12.0)
    learn_heartbeat(registry, sequence=40, born=1000)
    learn_heartbeat(registry, at=1.0, sequence=1, born=2000)
    assert (
        registration.decode_departure("i-1", b'{"born":1000}', registry)
        is None
    )
    assert registration.decode_departure(
        "i-1", b'{"born":2000}', registry
    ).leaving
    assert registration.decode_departure("i-1", b"", registry).leaving


def test_a_server_that_left_may_come_back_under_its_id():
    registry = servers.ServerRegistry(longest_lease=12.0)
    learn_heartbeat(registry, sequence=40, born=1000)
    registry.learn(
        registration.decode_departure("i-1", b"", registry), 0.0, 1.0
    )
    assert not learn_heartbeat(registry, at=2.0, sequence=41, born=1000)
    assert learn_heartbeat(registry, at=2.0, sequence=1, born=2000)
    assert registry.servers["i-1"].serves(3.0)


@pytest.mark.parametrize(
    "name", ["service", "address", "zone", "slots", "state", "sequence"]
)
def test_a_heartbeat_that_lacks_a_field_names_no_server(name):
    body = msgspec.json.encode(
        {key: value for key, value in HEARTBEAT.items() if key != name}
    )
    with pytest.raises(wsgi.Problem):
        registration.decode_heartbeat("i-1", body, servers.ServerRegistry())


@pytest.mark.parametrize(
    "changed",
    [
        {"state": "warming"},
        {"state": None},
        {"slots": "4"},
        {"slots": True},
        {"sequence": 1.5},
        {"sequence": -1},
        {"born": "1000"},
        {"born": 1000.5},
        {"born": None},
        {"born": True},
        {"born": 0},
        {"address": ""},
        {"address": "10.0.0.9"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:99999"},
        {"address": "a b:80"},
        {"address": 80},
        {"zone": ["a"]},
        {"service": ""},
        {"service": {}},
        {"models": "m"},
        {"models": [{"name": 1}]},
        {"version": 1},
        {"cold_remaining_ms": "0"},
    ],
    ids=str,
)
def test_a_heartbeat_with_a_strange_field_names_no_server(changed):
    with pytest.raises(wsgi.Problem) as caught:
        registration.decode_heartbeat(
            "i-1", body_of(**changed), servers.ServerRegistry()
        )
    assert caught.value.status == 400


def test_who_does_not_say_when_it_started_is_no_server_where_others_do():
    # All servers of the deployment send their start time.  Another program
    # registers an entry without one, with an address that nobody serves.
    registry = servers.ServerRegistry()
    learn_heartbeat(registry, born=1000)
    with pytest.raises(wsgi.Problem):
        registration.decode_heartbeat("i-2", body_of(), registry)
    other = registration.decode_heartbeat(
        "i-2", body_of(service="other"), registry
    )
    assert other.epoch == 0


SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(["ready", "draining", "10.0.0.9:8080", "app"])
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)
FIELD_NAMES = st.sampled_from(
    [*HEARTBEAT, "born", "models", "stage"]
) | st.text(max_size=5)
BODIES = st.binary(max_size=200) | st.dictionaries(
    FIELD_NAMES, VALUES, max_size=8
).map(lambda fields: msgspec.json.encode({**HEARTBEAT, **fields}))


@hypothesis.given(st.text(max_size=10), BODIES, st.booleans())
def test_no_body_whatever_raises_or_harms_the_servers_that_are_known(
    name, body, leaves
):
    registry = servers.ServerRegistry(longest_lease=12.0)
    learn_heartbeat(registry, "i-good", born=1000)
    read = (
        registration.decode_departure
        if leaves
        else registration.decode_heartbeat
    )
    try:
        found = read(name, body, registry)
    except wsgi.Problem as problem:
        assert problem.status == 400
        found = None
    if found is not None and name != "i-good":
        registry.learn(found, 0.0, 0.0)
        host, _, port = found.url.removeprefix("http://").rpartition(":")
        assert host and 0 < int(port) < 65536
    assert registry.servers["i-good"].serves(1.0)
    assert registry.servers["i-good"].announcement.order() == (1000, 7)


def test_what_was_known_of_an_engine_goes_with_its_incarnation():
    # An engine crashes while it runs ten prompts and restarts under its name.
    # If the policy kept its load and its cached prompt parts, the idle engine
    # would get no requests, and later requests whose prompts it must read
    # from the beginning.
    harness = shared_policy_harness.PolicyHarness(count=1)
    (server,) = harness.directory.servers
    name = server.announcement.backend_server
    server.announcement = msgspec.structs.replace(
        server.announcement, epoch=1000
    )
    harness.policy.observe(server, harness.now)
    first = harness.review(0)
    assert harness.next()[first.request_id] == name
    harness.loads.replace_report(
        "other", "fd1", [server_loads.Load(name, 20, 40_000)], harness.now
    )
    assert harness.policy.own_loads()
    server.announcement = msgspec.structs.replace(
        server.announcement, epoch=2000, sequence=1
    )
    harness.policy.observe(server, harness.now)
    assert not harness.policy.own_loads()
    assert harness.loads.unread(name) == 0
    assert [item.text for item in harness.policy.take_beliefs()] == [
        "backend server restarted"
    ]
    # The end of an earlier attempt does not reduce the new incarnation's load.
    ended = work_module.AttemptEnd(first.request_id, name, failed=True)
    harness.policy.ended(ended, harness.now)
    work = harness.review(0)
    assert harness.next()[work.request_id] == name
    (load,) = harness.policy.own_loads()
    assert load.running == 1
    # The shared part counts as unread again: the cache was lost.
    assert load.unread == 16_000


def test_the_programs_drop_what_they_held_of_an_earlier_incarnation():
    # A server restarts with the same id while an entry still has an idle
    # connection to the first incarnation.  A request sent over it may or may
    # not have run, and its caller would get that answer although the new
    # incarnation could have run the request.
    with platform_world.PlatformWorld() as platform:
        assert platform.apply(platform_world.manifest(1)).status == 200
        entry, (server,) = test_forwarding.start_with_servers(
            platform, test_forwarding.answer_script(200, b"done")
        )
        platform.heartbeat(server, born=1000)
        registry = entry.host.state.registry
        world.wait_until(
            lambda: registry.servers[server.id].announcement.epoch == 1000
        )
        gevent.sleep(0.2)
        assert platform.call(entry, "POST", "/order/", "r1").status == 200
        (pool,) = entry.host.connection_pools
        # The caller gets its answer just before the connection becomes idle.
        world.wait_until(lambda: any(pool._idle.values()))
        platform.heartbeat(server, born=2000, sequence=1)
        world.wait_until(lambda: not pool._idle)
        assert platform.call(entry, "POST", "/order/", "r2").status == 200
        record = registry.servers[server.id]
        assert record.announcement.order() == (2000, 1)


def test_strange_words_leave_a_line_in_the_log_and_change_nothing():
    log_records = []
    with platform_world.PlatformWorld() as platform:
        handler = logging.Handler(logging.WARNING)
        handler.emit = log_records.append
        platform.keeper.host.logger.addHandler(handler)
        server = types.SimpleNamespace(id="i-x", address="10.0.0.1:80")
        reply = platform.heartbeat(server, state="sleeping" * 100)
        assert reply.status == 400
        assert platform.heartbeat(server, sequence="1").status == 400
        broken = platform.ask(
            platform.keeper,
            "PUT",
            "/api/instances/i-x",
            body=random.Random(1).randbytes(500),
            port=platform.ports["control"],
        )
        assert broken.status == 400
        assert not platform.keeper.host.state.registry.servers
        platform.keeper.host.logger.removeHandler(handler)
    assert [item.msg for item in log_records] == [
        "backend server's word rejected"
    ] * 3
    assert all(len(item.reason) <= 200 for item in log_records)
