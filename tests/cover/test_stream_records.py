"""Records of streams, their holders, and what an unknown stream may do."""

import collections
import random

from hypothesis import given
from hypothesis import strategies
import msgspec

from dandeliontrail.coordination import software_versions
from dandeliontrail.coordination import stream_records
from dandeliontrail.decisions import stream_holders
from dandeliontrail.decisions import unknown_streams
from dandeliontrail.resources import revisions

RECEIVED = 100.0


def record(key, version="v1", service="llm", age=0.0, remaining=10.0):
    return stream_records.StreamRecord(key, service, version, age, remaining)


def domains(count):
    found = collections.defaultdict(list)
    for number in range(count):
        found[f"fd{number % 3}"].append(f"i{number}")
    return found


def test_ids_of_two_organisations_or_routes_do_not_meet():
    keys = {
        stream_records.key_of(organisation, route, request_id)
        for organisation in ("acme", "acm")
        for route in ("chat", "echat")
        for request_id in ("r1", "r2")
    }
    assert len(keys) == 8


@given(strategies.text(max_size=300))
def test_malformed_ids_have_no_key(text):
    key = stream_records.key_of("acme", "chat", text)
    is_id = (
        0 < len(text) <= stream_records.MAX_ID_CHARACTERS
        and text.isascii()
        and text.isprintable()
    )
    assert (key is not None) == is_id


def test_a_key_for_which_two_versions_are_told_is_unknown():
    table = stream_records.StreamTable()
    table.put(record("k", "v1"), 0.0)
    assert table.find("k", 0.0).version == "v1"
    table.put(record("k", "v2"), 0.0)
    assert table.find("k", 0.0) is None
    assert table.record_of("k", 0.0) is None


def test_a_stream_has_two_holders_wherever_its_candidates_are():
    keepers = ["k1", "k2", "k3"]
    layouts = (
        {"fd1": ["i1", "i2"], "fd2": ["k1"], "fd3": ["k2"], "fd4": ["k3"]},
        {"fd1": ["i1", "k1"], "fd2": ["k2"], "fd3": ["k3"]},
        {"fd1": ["i1", "k1", "k2", "k3"]},
        {"fd1": ["k1"], "fd2": ["k2"], "fd3": ["k3"], "fd4": []},
    )
    for layout in layouts:
        for number in range(300):
            held = stream_holders.choose(f"{number:x}", layout, keepers)
            assert len(set(held)) == stream_holders.HOLDERS, layout
            assert held[0] in keepers


def test_records_live_as_long_as_the_longest_that_was_told():
    table = stream_records.StreamTable()
    table.put(record("k", remaining=5.0), 0.0)
    table.put(record("k", remaining=20.0), 0.0)
    table.put(record("k", remaining=1.0), 0.0)
    table.expire(10.0)
    assert table.find("k", 10.0) is not None
    assert table.record_of("k", 10.0).remaining == 10.0
    table.expire(20.5)
    assert table.find("k", 20.5) is None
    assert len(table) == 0


def test_the_number_of_records_is_bounded_and_the_first_to_expire_go():
    table = stream_records.StreamTable(max_streams=100)
    for number in range(1000):
        table.put(record(f"k{number}", remaining=6.0 + number / 100.0), 0.0)
        table.put(record(f"k{number}", remaining=5.0 + number / 100.0), 0.0)
    assert len(table) == 100
    assert table.dropped == 900
    assert table.find("k999", 0.0) is not None
    assert table.find("k0", 0.0) is None


def test_holders_are_in_two_domains_and_spread():
    for count in (9, 100, 530):
        held = collections.Counter()
        for number in range(6 * count):
            key = stream_records.key_of("acme", "chat", f"r{number}")
            holders = stream_holders.choose(key, domains(count))
            assert len(holders) == 2
            assert len({int(name[1:]) % 3 for name in holders}) == 2
            held.update(holders)
        assert len(held) == count
        assert max(held.values()) <= 40


def test_a_member_that_is_lost_leaves_one_holder_of_each_stream():
    rng = random.Random(1)
    for number in range(200):
        key = stream_records.key_of("acme", "chat", f"r{number}")
        before = stream_holders.choose(key, domains(9))
        others = domains(9)
        lost = rng.choice(sorted(others))
        others[lost].pop()
        after = stream_holders.choose(key, others)
        assert set(before) & set(after)


def test_in_one_domain_two_of_its_instances_hold_a_record():
    holders = stream_holders.choose("k", {"fd1": ["i1", "i2", "i3"]})
    assert len(set(holders)) == 2
    assert stream_holders.choose("k", {"fd1": ["i1"]}) == ["i1"]
    assert stream_holders.choose("k", {}) == []


def route(*services):
    split = [revisions.Split(name, weight) for name, weight in services]
    return revisions.Route("chat", "h", "/c/", split, 8.0)


def admitted(*versions, service="llm"):
    found = software_versions.AdmittedVersions()
    for version in versions:
        found.apply(1, software_versions.VersionChange(service, version, True))
    return found


def sole(versions, proven_at=RECEIVED, on=(("llm", 1),)):
    return unknown_streams.sole_version(
        route(*on), admitted(*versions), proven_at, RECEIVED
    )


def test_an_unknown_stream_goes_on_only_where_one_version_is_proven():
    assert sole(["v1"]) == ("llm", "v1")
    assert sole([""]) == ("llm", "")
    assert sole(["v1"], on=(("llm", 1), ("other", 0))) == ("llm", "v1")
    assert sole(["v1", "v2"]) is None
    assert sole([]) is None
    assert sole(["v1"], proven_at=RECEIVED - 0.001) is None
    assert sole(["v1"], proven_at=None) is None
    assert sole(["v1"], on=(("llm", 1), ("other", 1))) is None


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["a", "b"]),
            strategies.sampled_from(["", "v1", "v2"]),
            strategies.booleans(),
        )
    )
)
def test_admitted_versions_survive_a_checkpoint(changes):
    table = software_versions.AdmittedVersions()
    expected = collections.defaultdict(set)
    for position, (service, version, is_admitted) in enumerate(changes):
        change = software_versions.VersionChange(service, version, is_admitted)
        assert table.apply(position, change).version == position
        if is_admitted:
            expected[service].add(version)
        else:
            expected[service].discard(version)
    restored = software_versions.AdmittedVersions()
    snapshot = msgspec.json.encode(table.snapshot())
    restored.restore(msgspec.json.decode(snapshot))
    for service in ("a", "b"):
        assert set(restored.of(service)) == expected[service]
        assert restored.of(service) == table.of(service)
