"""The resource API on three keepers and an instance without a disk."""

import contextlib

import gevent
import pytest

from dandeliontrail.coordination import quorum_log_proposals
from dandeliontrail_ctl import api
import msgspec

from tests.common import world

NAMES = ("i1", "i2", "i3")
ALL = {"select": {}}


def api_of(instance):
    return api.Api(f"http://{instance.addresses['operators']}")


@contextlib.contextmanager
def keepers():
    with world.World(NAMES) as made:
        for number, name in enumerate(NAMES):
            made.instance(name, f"fd{number + 1}")
        made.instance("i4", "fd1")
        world.wait_until(lambda: made.in_force(0))
        yield made


@pytest.fixture(scope="module")
def shared():
    """Yield a world shared by the tests that stop none of its instances."""
    with keepers() as made:
        yield made


def put(kind, name, spec):
    return {"verb": "put", "kind": kind, "name": name, "spec": spec}


def change(*operations):
    return msgspec.json.encode({"operations": operations})


def names(server):
    return {item["name"] for item in server.get("backendpools")["items"]}


def model(number):
    return {"select": {"model": f"m{number}"}}


def refused(call, *args, **kwargs):
    with pytest.raises(api.ApiError) as caught:
        call(*args, **kwargs)
    return caught.value


def test_of_writes_against_one_version_exactly_one_wins(shared):
    # Four operators read the same version and write concurrently, each at
    # another instance, on condition that the version is unchanged.
    made = shared
    servers = [api_of(item) for item in made.instances]
    held = servers[0].put("backendpools", "p", model(0))

    def attempt(number):
        try:
            return servers[number].put(
                "backendpools", "p", model(number), if_match=version
            )
        except api.ApiError as exc:
            return exc.status

    for _ in range(5):
        version = held["version"]
        jobs = [gevent.spawn(attempt, number) for number in range(4)]
        outcomes = [job.get() for job in jobs]
        winners = [item for item in outcomes if isinstance(item, dict)]
        assert len(winners) == 1
        assert outcomes.count(409) == 3
        held = winners[0]
    world.wait_until(lambda: made.in_force(held["version"]))
    assert servers[3].get("backendpools", "p")["spec"] == held["spec"]


def test_resend_after_a_lost_answer_returns_the_first_result():
    # The answer to a write is lost, another write follows, and all keepers
    # restart.  The resend must neither undo the other write nor be refused.
    with keepers() as made:
        first = api_of(made.instances[0])
        change_1 = change(put("backendpools", "p", model(1)))
        done = first.post("changes", body=change_1, operation_id="op-1")
        first.put("backendpools", "p", model(2))
        for name in NAMES:
            made.stop(made.instances[0])
            made.instance(name, f"fd{name[1:]}")
        world.wait_until(lambda: made.in_force(done["version"] + 1))
        again = api_of(made.instances[1])
        resent = again.post("changes", body=change_1, operation_id="op-1")
        assert resent == done
        assert again.get("backendpools", "p")["spec"]["select"]["model"] == (
            "m2"
        )


def test_a_change_of_many_objects_takes_effect_whole_or_not_at_all(shared):
    made = shared
    server = api_of(made.instances[1])
    bad = change(
        put("backendpools", "atomic", ALL),
        put("requestclasses", "c", {"pools": ["missing"]}),
    )
    exc = refused(server.post, "changes", body=bad)
    assert exc.status == 400
    assert "backendpools/missing" in exc.message
    assert "atomic" not in names(server)
    good = change(
        put("requestclasses", "c", {"pools": ["atomic"]}),
        put("backendpools", "atomic", ALL),
    )
    assert server.post("changes?dry_run=true", body=good)
    assert "atomic" not in names(server)
    server.post("changes", body=good)
    exc = refused(server.delete, "backendpools", "atomic")
    assert exc.status == 400
    assert "requestclasses/c" in exc.remedy


def test_watch_resumes_elsewhere_without_gap_or_repetition(shared):
    # A watch ends, as it does when its instance stops, and resumes at another
    # instance from the version of its last line.
    made = shared
    servers = [api_of(item) for item in made.instances]
    seen = []
    since = servers[0].get("history")["version"]
    for number in range(6):
        servers[number % 3].put("backendpools", "watched", model(number))
        if number % 2 == 0:
            continue
        lines = servers[number // 2].watch(["backendpools"], since)
        for line in lines:
            since = line["version"]
            if line["type"] == "put":
                seen.append(line["object"]["spec"]["select"]["model"])
            if seen and seen[-1] == f"m{number}":
                break
        lines.close()
    assert seen == [f"m{number}" for number in range(6)]


def test_rollback_is_a_new_change_and_keeps_unaffected_objects(shared):
    made = shared
    server = api_of(made.instances[2])
    kept = server.put("backendpools", "kept", model(0))
    before = server.put("backendpools", "r", model(1))["version"]
    server.put("backendpools", "r", model(2))
    server.put("backendpools", "new", model(3))
    server.delete("backendpools", "r")
    body = msgspec.json.encode({"to": before})
    done = server.post("rollback", body=body)
    assert "new" not in names(server)
    held = server.get("backendpools", "r")
    assert held["spec"]["select"]["model"] == "m1"
    assert held["version"] == done["version"]
    untouched = server.get("backendpools", "kept")
    assert untouched["version"] == kept["version"]


def test_keepers_are_changed_by_the_leader_through_any_instance(shared):
    server = api_of(shared.instances[3])
    listed = server.get("keepers")["items"]
    assert [item["name"] for item in listed] == list(NAMES)
    exc = refused(server.post, "keepers", "i4")
    assert exc.status == 409
    assert "has not shown itself as an instance with a disk" in exc.message


def test_without_a_majority_a_write_is_refused_and_never_applied(
    monkeypatch,
):
    # Two of three keepers are stopped.  The write is refused in bounded time,
    # reads still work, and the write is not found once a keeper is back.
    monkeypatch.setattr(quorum_log_proposals, "UNSENT_TIMEOUT_SECONDS", 1.0)
    with keepers() as made:
        server = api_of(made.instances[0])
        server.put("backendpools", "p", model(1))
        made.stop(made.instances[2])
        made.stop(made.instances[1])
        log = made.instances[0].host.state.log
        world.wait_until(
            lambda: not log.leader(made.instances[0].host.clock.now())
        )
        exc = refused(server.put, "backendpools", "p", model(2))
        assert exc.status == 503
        assert "not" in exc.message
        assert server.get("backendpools", "p")
        made.instance("i2", "fd2")
        world.wait_until(
            lambda: log.leader(made.instances[0].host.clock.now())
        )
        server.put("backendpools", "q", ALL)
        held = server.get("backendpools", "p")
        assert held["spec"]["select"]["model"] == "m1"
        assert held["status"]["in_force"]["of"] >= 1
