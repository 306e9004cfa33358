"""A revision is sent with an error, or a setting that has no effect."""

import copy
import random

from dandeliontrail import errors
from dandeliontrail.resources import findings
from dandeliontrail.resources import revision_findings
from dandeliontrail.resources import revisions
from dandeliontrail_platform import manifest
import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from tests.common import platform_world

check = revision_findings.check
KEY = "sha256:" + "0123456789abcdef" * 4


def sound():
    """Return a revision that has no findings but uses every setting."""
    route = revisions.Route(
        "r",
        "shop.example",
        "/r/",
        [revisions.Split("app", 9), revisions.Split("spare", 1)],
        timeout=2.0,
        target=0.4,
        max_attempts=2,
        streamed=True,
        resumable=True,
        longest_pause=2.0,
    )
    service = revisions.Service(
        "app", 64, revisions.Engine(64), revisions.Scaling(1, 4, 2.0, 0.3)
    )
    return revisions.Revision(
        5,
        "document",
        [route],
        [service, revisions.Service("spare")],
        [revisions.Organisation("acme", [KEY])],
    )


def codes(revision):
    return [(item.code, item.field) for item in check(revision)]


def set_at(item, path, value):
    """Set the attribute at a path such as ``routes.host`` of first items."""
    *parents, name = path.split(".")
    for parent in parents:
        item = getattr(item, parent)
        item = item[0] if isinstance(item, list) else item
    setattr(item, name, value)


ROUTE, SERVICE = "routes.r", "services.app"


@pytest.mark.parametrize(
    "path, value, code, field",
    [
        ("routes.path_prefix", "/r", "never-matches", ROUTE),
        ("routes.path_prefix", "r/", "never-matches", ROUTE),
        ("routes.host", "", "never-matches", ROUTE),
        ("routes.host", "shop.example:80", "never-matches", ROUTE),
        ("routes.host", "[::1]:80", "never-matches", ROUTE),
        ("routes.target", 2.0, "target-beyond-timeout", ROUTE),
        ("routes.longest_pause", 2.1, "pause-beyond-timeout", ROUTE),
        ("routes.max_attempts", 0, "no-attempt", ROUTE),
        ("routes.resumable", False, "attempts-unused", ROUTE),
        ("routes.streamed", False, "attempts-unused", ROUTE),
        ("routes.target", -1.0, "negative", ROUTE),
        ("routes.priority", -1, "negative", ROUTE),
        ("services.engine.slots", -1, "negative", SERVICE),
        ("services.scaling.fewest", -1, "negative", SERVICE),
        ("services.scaling.fewest", 5, "scaling-bounds", SERVICE),
        ("services.scaling.spot_price", 1.1, "scaling-price", SERVICE),
        ("services.scaling.spot_price", -0.1, "scaling-price", SERVICE),
        ("services.scaling.boot_seconds", 2.1, "boot-beyond-timeout", SERVICE),
        ("services.max_connections", 63, "connections-below-slots", SERVICE),
        ("limits.body_bytes", -1, "negative", "limits"),
        ("number", -1, "negative", "number"),
        ("organisations.keys", [], "no-keys", "organisations.acme"),
        ("organisations", [], "no-organisation", "organisations"),
        ("routes.timeout", 0.0, "invalid", ROUTE),
        ("routes.split.weight", -1, "invalid", ROUTE),
    ],
)
def test_one_bad_value_is_reported_at_its_field(path, value, code, field):
    revision = sound()
    assert not check(revision)
    set_at(revision, path, value)
    assert (code, field) in codes(revision)


@pytest.mark.parametrize(
    "path, value",
    [
        ("routes.host", "[::1]"),
        ("routes.target", 0.0),
        ("routes.longest_pause", 0.0),
        ("services.max_connections", 0),
        ("services.engine", None),
    ],
)
def test_unset_values_and_addresses_without_port_cause_no_warning(path, value):
    revision = sound()
    set_at(revision, path, value)
    assert not check(revision)


def test_a_route_that_is_not_streamed_has_no_settings_of_streams():
    revision = sound()
    revision.routes[0].streamed = False
    expected = [("attempts-unused", ROUTE), *[("stream-only", ROUTE)] * 2]
    assert codes(revision) == expected


def test_a_service_of_weight_zero_counts_as_not_used():
    # Its boot time is compared with no route, so it is not reported.
    revision = sound()
    revision.services[1].scaling = revisions.Scaling(0, 1, 9.0)
    revision.routes[0].split[1].weight = 0
    assert codes(revision) == [
        ("weight-zero", ROUTE),
        ("unused-service", "services.spare"),
    ]


def test_a_scaling_of_no_servers_is_reported():
    revision = sound()
    revision.services[0].scaling = revisions.Scaling(0, 0)
    assert codes(revision) == [("scaling-bounds", SERVICE)]


def test_two_spellings_of_a_host_are_one_and_the_earlier_is_hidden():
    revision = sound()
    later = copy.deepcopy(revision.routes[0])
    later.name, later.host = "later", "SHOP.example"
    revision.routes.append(later)
    expected = [("invalid", "routes.later"), ("never-matches", ROUTE)]
    assert codes(revision) == expected


def test_errors_of_each_entry_are_reported_before_warnings():
    revision = sound()
    for name in ("b", "a"):
        revision.routes.append(
            revisions.Route(name, "h", "/", [revisions.Split("no")], 0.0)
        )
    revision.routes[0].path_prefix = "/r"
    revision.organisations.append(revisions.Organisation("thief", [KEY]))
    found = check(revision)
    assert [item.field for item in found] == [
        "organisations.thief",
        *["routes.a"] * 3,
        *["routes.b"] * 2,
        ROUTE,
    ]
    assert findings.exit_status(found) == findings.EXIT_ERRORS


@pytest.mark.parametrize(
    "number, document, warned",
    [(6, "x", False), (5, "document", False), (5, "x", True), (4, "x", True)],
)
def test_a_number_without_effect_is_reported(number, document, warned):
    revision = sound()
    revision.number, revision.document = number, document
    found = revision_findings.check_number(revision, sound())
    assert [item.code for item in found] == ["number-not-above"] * warned


def test_differences_name_attributes_and_shorten_keys():
    before, after = sound(), sound()
    after.routes[0].target = 0.5
    after.services[0].engine.slots = 32
    after.services[1].name = "other"
    after.organisations[0].keys = []
    found = msgspec.to_builtins(revision_findings.differences(before, after))
    short = [KEY[:19]]
    assert [tuple(item.values()) for item in found] == [
        ("changed", "organisations.acme", [change("keys", short, [])]),
        ("changed", "routes.r", [change("target", 0.4, 0.5)]),
        ("changed", "services.app", [change("engine.slots", 64, 32)]),
        ("added", "services.other", []),
        ("removed", "services.spare", []),
    ]


def change(name, before, after):
    return {"name": name, "before": before, "after": after}


def test_the_manifest_of_the_tests_has_no_findings():
    document = msgspec.json.encode(platform_world.manifest(1))
    assert not check(manifest.decode(document))


NAMES = st.sampled_from(["a", "b"])
REVISIONS = st.builds(
    revisions.Revision,
    st.integers(-1, 2),
    NAMES,
    st.lists(
        st.builds(
            revisions.Route,
            NAMES,
            st.sampled_from(["h", "H"]),
            st.sampled_from(["/", "/a"]),
            st.lists(
                st.builds(revisions.Split, NAMES, st.integers(-1, 9)),
                max_size=3,
            ),
            st.floats(-1, 9),
        ),
        max_size=3,
    ),
    st.lists(st.builds(revisions.Service, NAMES), max_size=3),
    st.lists(
        st.builds(revisions.Organisation, NAMES, st.lists(NAMES, max_size=2)),
        max_size=3,
    ),
)


@hypothesis.given(REVISIONS)
def test_there_are_errors_exactly_if_an_instance_rejects_it(revision):
    try:
        revisions.check(revision)
        rejected = False
    except errors.ResourceInvalid:
        rejected = True
    levels = [item.level for item in check(revision)]
    assert (findings.Level.ERROR in levels) == rejected


@hypothesis.given(REVISIONS, REVISIONS, st.integers())
def test_differences_are_the_same_in_both_directions(one, other, seed):
    shuffled = copy.deepcopy(one)
    for items in (
        shuffled.routes,
        shuffled.services,
        shuffled.organisations,
        *[item.split for item in shuffled.routes],
        *[item.keys for item in shuffled.organisations],
    ):
        random.Random(seed).shuffle(items)
    assert not revision_findings.differences(one, shuffled)
    there = revision_findings.differences(one, other)
    back = revision_findings.differences(other, one)
    assert [item.field for item in there] == [item.field for item in back]
