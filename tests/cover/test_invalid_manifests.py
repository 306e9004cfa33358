"""Manifests that the platform's page calls invalid.

Guards against orders that go to another service, since a manifest with one
place twice was acknowledged, its host once in capitals.
"""

from dandeliontrail import errors
from dandeliontrail.resources import findings
from dandeliontrail.resources import revisions
from dandeliontrail_platform import manifest
from dandeliontrail_platform import manifest_findings
import msgspec
import pytest

from tests.common import platform_world

TENANTS = platform_world.manifest(1)["tenants"]


def body(routes, **fields):
    return msgspec.json.encode(platform_world.manifest(1, routes, **fields))


def twice(host):
    route = platform_world.route("order", "non_idempotent", max_attempts=1)
    again = {**route, "name": "again", "hostname": host}
    return body([route, again])


def beside(service, weight):
    split = [{"service": service, "weight": weight}]
    route = platform_world.route("read", "safe", traffic_split=split)
    return body([route])


INVALID = {
    "capitals": twice(platform_world.HOST.upper()),
    "one capital": twice(platform_world.HOST.title()),
    "same host": twice(platform_world.HOST),
    "unknown service in a split beside a service": beside("unknown", 1),
    "no weight in a split beside a service": beside("app", 0),
    "a key of two tenants of one name": body([], tenants=TENANTS * 2),
}


@pytest.mark.parametrize("name", INVALID)
def test_what_the_page_calls_invalid_is_refused(name):
    with pytest.raises(errors.ResourceInvalid):
        manifest.decode(INVALID[name])


@pytest.mark.parametrize("name", INVALID)
def test_the_check_of_a_manifest_finds_it_too(name):
    checked = manifest_findings.check("m.json", INVALID[name])
    assert any(item.level is findings.Level.ERROR for item in checked.findings)


def test_an_invalid_manifest_is_not_acknowledged():
    with platform_world.declared() as platform:
        for data in INVALID.values():
            changed = {**msgspec.json.decode(data), "version": 2}
            assert platform.apply(changed).status == 400


def test_a_valid_split_beside_a_service_has_no_effect():
    (route,) = manifest.decode(beside("app", 9)).routes
    assert route.split == [revisions.Split("app", 1)]
