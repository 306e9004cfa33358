"""Who gets in once the last key is taken away.

Guards against routes that are open to everybody since an empty list of
organisations was taken for none.
"""

from dandeliontrail.components import revisions as component
from dandeliontrail.resources import revisions
from dandeliontrail_platform import manifest
from dandeliontrail_platform import programs
import msgspec
import pytest

from tests.common import platform_world
from tests.common import world

STRANGER = "key-of-nobody"
UNAUTHORIZED = 401
NO_KEYS = {"name": "acme", "api_keys": []}
OTHER = {"name": "other", "api_keys": ["key-of-other"]}
TWO = platform_world.manifest(1)["tenants"] + [OTHER]


def serve(server, sock, head):
    sock.sendall(platform_world.whole(200, b"ok", platform_world.id_of(head)))


def document(version, **fields):
    """Return a manifest without tenants, but for those in ``fields``."""
    found = platform_world.manifest(version)
    del found["tenants"]
    return {**found, **fields}


def statuses(platform, entry):
    """Return the statuses with the key, with an unknown one and without."""
    return [
        platform.call(entry, "GET", "/read/x", key=key).status
        for key in (platform_world.KEY, STRANGER, "")
    ]


@pytest.mark.parametrize(
    "tenants, expected",
    [
        ([], [UNAUTHORIZED] * 3),
        ([NO_KEYS], [UNAUTHORIZED] * 3),
        ([OTHER], [UNAUTHORIZED] * 3),
        (TWO, [200, UNAUTHORIZED, UNAUTHORIZED]),
    ],
    ids=["no tenant", "no key", "other key", "two"],
)
def test_a_key_that_was_taken_away_and_unknown_ones_are_refused(
    tenants, expected
):
    with platform_world.declared() as platform:
        entry = platform.entry()
        platform.knows(entry, platform.server(serve))
        changed = document(2, tenants=tenants)
        assert platform.apply(changed).status == 200
        wait_for(entry, 2)
        assert statuses(platform, entry) == expected


def test_keys_that_go_in_two_versions_let_nobody_in():
    with platform_world.PlatformWorld() as platform:
        assert platform.apply(document(1, tenants=TWO)).status == 200
        entry = platform.entry()
        platform.knows(entry, platform.server(serve))
        for version, tenants in ((2, [OTHER]), (3, [])):
            assert platform.apply(document(version, tenants=tenants)).status
            wait_for(entry, version)
        assert statuses(platform, entry) == [UNAUTHORIZED] * 3


def test_a_manifest_without_tenants_asks_for_no_key():
    with platform_world.declared() as platform:
        entry = platform.entry()
        platform.knows(entry, platform.server(serve))
        assert platform.apply(document(2)).status == 200
        wait_for(entry, 2)
        assert statuses(platform, entry) == [200] * 3


def wait_for(entry, version):
    world.wait_until(lambda: entry.host.state.routing.number == version)


def decoded(**fields):
    return manifest.decode(msgspec.json.encode(document(1, **fields)))


def table_after(revision):
    """Return the routing table of an instance that restarts with it."""
    before = component.RoutingState()
    component.RevisionApplier(before).apply(1, revision)
    dump = component.RevisionApplier(before).dump()
    after = component.RoutingState(programs.routing_options(5.0))
    component.RevisionApplier(after).prepare(dump)()
    return after.table


@pytest.mark.parametrize(
    "fields, keyed",
    [({}, False), ({"tenants": []}, True), ({"tenants": [NO_KEYS]}, True)],
    ids=["absent", "empty", "no key"],
)
@pytest.mark.parametrize("is_older", [False, True])
def test_absent_and_empty_outlive_checkpoints_of_both_releases(
    fields, keyed, is_older
):
    revision = decoded(**fields)
    if is_older:
        # Of a release that did not keep them apart.
        revision.needs_key = None
    assert table_after(revision).keyed == keyed
    data = msgspec.json.encode(revision)
    logged = msgspec.json.decode(data, type=revisions.Revision)
    assert table_after(logged).keyed == keyed


def test_a_document_of_an_older_release_that_cannot_be_read_needs_keys():
    revision = decoded()
    revision.needs_key = None
    revision.document = "no manifest"
    assert table_after(revision).keyed


def test_null_is_no_list_of_tenants():
    with pytest.raises(manifest.errors.ResourceInvalid):
        decoded(tenants=None)
