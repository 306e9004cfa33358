"""Decoding and validation of manifests, and routing by host and path."""

import dandeliontrail
from dandeliontrail.decisions import routing
from dandeliontrail.resources import revisions
from dandeliontrail_platform import manifest
import msgspec
import pytest

from tests.common import platform_world


def decode_manifest(**changed):
    document = platform_world.manifest(1)
    document.update(changed)
    return manifest.decode(msgspec.json.encode(document))


def route(name, prefix, **more):
    return platform_world.route(
        name, "safe", path_prefix=prefix, hostname="h.example", **more
    )


def test_can_read_a_manifest_with_the_units_of_the_product():
    found = decode_manifest()
    read, order, chat, report = found.routes
    assert read.timeout == 2.0
    assert chat.longest_pause == 0.3
    assert (read.repeatable, order.repeatable) == (True, False)
    assert (chat.resumable, report.resumable) == (True, False)
    assert found.organisations[0].keys[0].startswith("sha256:")


def test_keeps_the_document_as_it_was_sent():
    body = msgspec.json.encode(platform_world.manifest(3)) + b"  "
    assert manifest.decode(body).document == body.decode()


@pytest.mark.parametrize(
    "changed",
    [
        {"routes": [route("a", "/a/", service="nobody")]},
        {"routes": [route("a", "/a/"), route("b", "/a/")]},
        {"routes": [route("a", "/a/", timeout_ms=0)]},
        {
            "routes": [
                route(
                    "a",
                    "/a/",
                    service=None,
                    traffic_split=[{"service": "app", "weight": 0}],
                )
            ]
        },
        {"routes": [route("a", "/a/", route_type="sometimes")]},
        {
            "tenants": [
                {"name": "a", "api_keys": ["k"]},
                {"name": "b", "api_keys": ["k"]},
            ]
        },
        {"version": "seven"},
        {"routes": None},
    ],
)
def test_refuses_what_makes_no_sense(changed):
    with pytest.raises(dandeliontrail.ResourceInvalid):
        decode_manifest(**changed)


def test_refuses_a_manifest_that_is_cut_short():
    body = msgspec.json.encode(platform_world.manifest(1))
    with pytest.raises(dandeliontrail.ResourceInvalid):
        manifest.decode(body[:-9])


@pytest.fixture
def table():
    routes = [
        route("root", "/"),
        route("a", "/a/"),
        route("ab", "/a/b/"),
    ]
    return routing.RoutingTable(decode_manifest(routes=routes))


@pytest.mark.parametrize(
    "host, path, name",
    [
        ("h.example", "/", "root"),
        ("h.example", "/x", "root"),
        ("h.example", "/a", "root"),
        ("h.example", "/a/", "a"),
        ("H.example:8080", "/a/x/y", "a"),
        ("h.example", "/a/b/c?d=/e/", "ab"),
        ("h.example", "/x?y=/a/", "root"),
    ],
)
def test_finds_the_longest_prefix(table, host, path, name):
    assert table.find(host, path).name == name


def test_finds_nothing_at_another_host(table):
    assert table.find("other.example", "/a/") is None


def test_a_split_follows_its_weights():
    parts = [
        revisions.Split("a", 3),
        revisions.Split("none", 0),
        revisions.Split("b", 1),
    ]
    draws = [number / 100 for number in range(100)]
    found = [routing.choose_service(parts, draw) for draw in draws]
    assert (found.count("a"), found.count("b")) == (75, 25)
