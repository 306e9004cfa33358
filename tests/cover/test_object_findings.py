"""The check of objects finds what instances reject and what has no effect."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from dandeliontrail.resources import changes
from dandeliontrail.resources import findings
from dandeliontrail.resources import object_findings
from dandeliontrail.resources import store

KEYS = [f"sha256:{digit * 64}" for digit in "0123"]
LAB = "organisations/lab"
LOOKUP = "requestclasses/lookup"
POOL = "backendpools/all"
LAB_SPEC = {"keys": KEYS[:1], "classes": ["lookup"]}
LOOKUP_SPEC = {
    "pools": ["all"],
    "targets": {"first_token_ms": 100, "total_ms": 100},
    "limits": {"tokens_per_second": 10, "tokens_per_day": 10},
}
GOOD = {LAB: LAB_SPEC, LOOKUP: LOOKUP_SPEC, POOL: {"select": {"model": "m"}}}
LATE = {"first_token_ms": 101, "total_ms": 100}
SMALL_DAY = {"tokens_per_second": 10, "tokens_per_day": 9}


def put(field, spec):
    kind, name = field.split("/")
    raw = msgspec.Raw(msgspec.json.encode(spec))
    return changes.Operation(changes.Verb.PUT, kind, name, raw)


def delete(field):
    return changes.Operation(changes.Verb.DELETE, *field.split("/"))


def puts(objects):
    return [put(field, spec) for field, spec in objects.items()]


def found(operations, in_force=()):
    return [
        (item.level.value, item.code, item.field)
        for item in object_findings.check(operations, in_force)
    ]


WARNINGS = [
    ("no-keys", LAB, {**LAB_SPEC, "keys": []}),
    ("no-class", "organisations/other", {"keys": KEYS[1:2]}),
    ("unused-class", "requestclasses/unused", {}),
    ("unused-pool", "backendpools/unused", {}),
    ("target-beyond-total", LOOKUP, {**LOOKUP_SPEC, "targets": LATE}),
    ("limit-zero", LAB, {**LAB_SPEC, "limits": {"requests_per_second": 0}}),
    ("limit-zero", LOOKUP, {**LOOKUP_SPEC, "limits": {"tokens_per_day": -1}}),
    ("limits-contradict", LOOKUP, {**LOOKUP_SPEC, "limits": SMALL_DAY}),
    ("never-matches", POOL, {"select": {"kind": "service", "model": "m"}}),
]


@pytest.mark.parametrize("code, field, spec", WARNINGS)
def test_a_warning_is_reported_only_with_its_problem(code, field, spec):
    # Guards against rules that miss their case or report a good object.
    assert found(puts(GOOD)) == []
    assert found(puts({**GOOD, field: spec})) == [("warning", code, field)]


def test_a_class_is_used_if_an_organisation_has_it_as_its_default():
    # Guards against a rule that differs from the one by which requests are
    # accepted: of the listed classes and the default one.
    lab = {"keys": KEYS[:1], "default_class": "lookup"}
    objects = {**GOOD, LAB: lab, "requestclasses/other": {}}
    unused = ("warning", "unused-class", "requestclasses/other")
    assert found(puts(objects)) == [unused]


def test_independent_errors_are_all_reported_without_consequential_ones():
    # Guards against a check that stops at its first error, and against
    # references to an invalid object that are reported as missing.
    objects = {
        LAB: {**LAB_SPEC, "weight": 0},
        LOOKUP: {"pools": ["all", "none"], "minimum_share": 0.5},
        POOL: {"misspelt": 1},
        "requestclasses/half": {"minimum_share": 0.5},
        "requestclass/x": {},
        "organisations/twin": {**LAB_SPEC, "keys": KEYS[1:2]},
        "organisations/twin2": {**LAB_SPEC, "keys": KEYS[1:2]},
    }
    expected = [
        "backendpools/all.spec",
        "organisations/lab.spec.weight",
        "organisations/twin2.spec.keys",
        "requestclass/x.kind",
        "requestclasses/lookup.spec.pools",
        "spec.minimum_share",
    ]
    assert found(puts(objects)) == [
        ("error", "invalid", field) for field in expected
    ]


def test_objects_in_force_count_for_references_but_are_not_reported():
    # Guards against false errors about a file with a part of the objects.
    in_force = puts({**GOOD, "backendpools/unused": {}})
    assert found([put(LAB, LAB_SPEC)], in_force) == []
    assert found([delete(POOL)], in_force) == [("error", "invalid", POOL)]
    assert found([delete(POOL), put(POOL, {})], in_force) == []
    assert found([delete(LOOKUP)]) == [("error", "invalid", LOOKUP)]


def test_differences_name_changed_attributes_and_hide_keys():
    # Guards against whole hashes in reports, and against differences where
    # only an order or a default was written differently.
    after = {
        LAB: {"keys": KEYS[1:3], "classes": ["lookup"], "weight": 1},
        POOL: {},
        "backendpools/new": {},
    }
    found_changes = object_findings.differences(puts(GOOD), puts(after))
    model = change("select.model", "m", "")
    kinds = findings.DifferenceKind
    shown = [key[:19] for key in KEYS]
    keys = change("keys", shown[:1], shown[1:3])
    assert found_changes == [
        findings.Difference(kinds.CHANGED, POOL, [model]),
        findings.Difference(kinds.ADDED, "backendpools/new"),
        findings.Difference(kinds.CHANGED, LAB, [keys]),
        findings.Difference(kinds.REMOVED, LOOKUP),
    ]
    same = {**after, LAB: {"keys": KEYS[2:0:-1], "classes": ["lookup"]}}
    assert not object_findings.differences(puts(after), puts(same)[::-1])
    invalid = puts({**after, LAB: {"keys": ["a secret"]}})
    assert object_findings.differences(puts(after), invalid) == [
        findings.Difference(kinds.CHANGED, LAB)
    ]


def change(name, before, after):
    return findings.AttributeChange(name, before, after)


NAMES = strategies.sampled_from(["a", "b"])
LISTS = strategies.lists(NAMES, max_size=2)
SPECS = {
    "organisations": strategies.fixed_dictionaries(
        {"keys": strategies.lists(strategies.sampled_from(KEYS[:2]))},
        optional={"classes": LISTS, "default_class": NAMES},
    ),
    "requestclasses": strategies.fixed_dictionaries(
        {"pools": LISTS},
        optional={"minimum_share": strategies.sampled_from([0, 0.5, 1])},
    ),
    "backendpools": strategies.just({}),
    "modelplacements": strategies.fixed_dictionaries({"pool": NAMES}),
}


def operation(field, spec):
    return delete(field) if spec is None else put(field, spec)


OPERATIONS = strategies.lists(
    strategies.sampled_from(sorted(SPECS)).flatmap(
        lambda kind: strategies.builds(
            operation,
            strategies.builds(f"{kind}/{{}}".format, NAMES),
            strategies.one_of(SPECS[kind], SPECS[kind], strategies.none()),
        )
    ),
    max_size=6,
)


@hypothesis.given(strategies.lists(OPERATIONS, max_size=5), OPERATIONS)
def test_errors_are_found_exactly_where_an_instance_rejects(earlier, last):
    # Guards against a check that accepts what an instance rejects, or the
    # other way round.
    resources = store.ResourceStore()
    for version, operations in enumerate(earlier, 1):
        resources.apply(version, changes.Change("", operations))
    in_force = [
        put(f"{item.kind.value}/{item.name}", msgspec.json.decode(item.spec))
        for item in resources.dump().objects
    ]
    result = resources.check(changes.Change("", last))
    errors = [item for item in found(last, in_force) if item[0] == "error"]
    accepted = result.kind is changes.ResultKind.ACCEPTED
    assert accepted == (not errors), (result, errors)
    assert not object_findings.differences(in_force, in_force[::-1])
    forth = object_findings.differences(in_force, last)
    back = object_findings.differences(last, in_force)
    assert [item.field for item in forth] == [item.field for item in back]
