"""An operator's check of a manifest hides an error, or fails without one."""

import contextlib
import importlib.util
import json
import pathlib
import subprocess
import sys

from dandeliontrail_platform import manifest_sources
import gevent
from gevent import pywsgi
import pytest

from tests.common import platform_world

PROGRAM = pathlib.Path(__file__).parents[2] / "platform/check_manifest.py"
BAD_ROUTE = platform_world.route(
    "bad", "fast", timeout_ms=0, target_latency_ms=0
)
ROUTE_NAMES = [item["name"] for item in platform_world.ROUTES]
NO_TIMEOUT = {**BAD_ROUTE, "timeout_ms": "soon", "name": "late"}


@pytest.fixture
def write(tmp_path):
    def write(name, content):
        path = tmp_path / name
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        path.write_bytes(content)
        return str(path)

    return write


@pytest.fixture
def check(capsys):
    spec = importlib.util.spec_from_file_location("check_manifest", PROGRAM)
    program = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(program)

    def check(*arguments):
        status = program.main([*arguments, "--output", "json"])
        report = json.loads(capsys.readouterr().out)
        found = [(x["code"], x["field"]) for x in report["findings"]]
        return status, found, report

    return check


@contextlib.contextmanager
def serving(app):
    server = pywsgi.WSGIServer(("127.0.0.1", 0), app, log=None)
    server.start()
    try:
        yield f"http://127.0.0.1:{server.server_port}"
    finally:
        server.stop(0)


def test_the_program_prints_one_line_for_each_finding_and_difference(write):
    before = platform_world.manifest(4)
    after = platform_world.manifest(4, routes=[], keys=())
    after["services"][0]["name"] = "line\nend"
    arguments = [write("new", after), "--against", write("old", before)]
    found = subprocess.run(
        [sys.executable, str(PROGRAM), *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert found.returncode == 1
    heads = [line.split(":")[:2] for line in found.stdout.splitlines()]
    assert heads == [
        ["warning", " number"],
        ["warning", " organisations.acme"],
        ["warning", " services.line\\nend"],
        ["changed", " organisations.acme"],
        *[["removed", f" routes.{x}"] for x in sorted(ROUTE_NAMES)],
        ["removed", " services.app"],
        ["added", " services.line\\nend"],
    ]


def test_a_manifest_without_findings_shows_only_what_it_changes(write, check):
    before = write("old", platform_world.manifest(4))
    more = [*platform_world.ROUTES, platform_world.route("new", "safe")]
    after = write("new", platform_world.manifest(5, routes=more))
    assert check(before) == (0, [], {"findings": [], "differences": []})
    status, found, report = check(after, "--against", before)
    assert (status, found) == (0, [])
    added = {"kind": "added", "field": "routes.new", "attributes": []}
    assert report["differences"] == [added]


@pytest.mark.parametrize(
    "changes, expected",
    [
        # No warning is about what a route of unknown type repeats.
        ({"routes": [BAD_ROUTE]}, [("invalid", "routes.bad")] * 2),
        (
            {
                "routes": [NO_TIMEOUT, 3],
                "services": [{"name": "s", "engine": 1}],
                "limits": {"max_body_bytes": "1"},
            },
            [
                ("invalid", name)
                for name in ("document", "limits", "routes.late", "services.s")
            ],
        ),
        ({"padding": " " * 2**23}, [("invalid", "document")]),
    ],
)
def test_all_that_an_instance_rejects_is_an_error(
    write, check, changes, expected
):
    manifest = {**platform_world.manifest(1), **changes}
    status, found, report = check(write("new", manifest))
    assert (status, found) == (2, expected)


@pytest.mark.parametrize(
    "content, reason",
    [
        (b'{"version": 1,]', "(byte 14)"),
        (b'{"version": "x",]', "(byte 16)"),
        (b'{"version": "\xff"}', "(byte 13)"),
        (b" " * (2**23 + 1), "truncated"),
        (b'{"x":' + b"[" * 100000, "recursion"),
    ],
)
def test_a_file_that_is_no_json_is_named_with_the_place(
    write, check, content, reason
):
    broken = write("new", content)
    status, found, report = check(broken)
    assert (status, found) == (2, [("unreadable", broken)])
    assert reason in report["findings"][0]["message"]
    # The same holds for the file that it is compared with.
    sound = write("sound", platform_world.manifest(1, keys=()))
    status, found, report = check(sound, "--against", broken)
    assert status == 2 and report["differences"] == []
    assert found == [("unreadable", broken), ("no-keys", "organisations.acme")]


def test_a_file_that_does_not_exist_is_named(check, tmp_path):
    for path in (str(tmp_path), str(tmp_path / "no\udcffne")):
        assert check(path)[:2] == (2, [("unreadable", path)])


def test_a_source_that_no_instance_would_accept_is_unreadable(write, check):
    sound = write("new", platform_world.manifest(1))
    for changes in ({"routes": [BAD_ROUTE]}, {"routes": 1}):
        old = write("old", {**platform_world.manifest(1), **changes})
        status, found, report = check(sound, "--against", old)
        assert (status, found) == (2, [("unreadable", old)])


def test_what_a_keeper_has_in_force_is_compared(write, check):
    # A platform without any configuration is no failure.
    path = write("new", platform_world.manifest(3))
    with platform_world.PlatformWorld() as platform:
        port = platform.ports["control"]
        url = f"http://{platform.keeper.ip}:{port}"
        status, found, report = check(path, "--from", url)
        assert (status, found) == (0, [])
        assert {x["kind"] for x in report["differences"]} == {"added"}
        platform.apply(platform_world.manifest(3, routes=[]))
        status, found, report = check(path, "--from", url + "/")
        assert (status, found) == (1, [("number-not-above", "number")])
        assert len(report["differences"]) == len(platform_world.ROUTES)


def respond(status, parts):
    def app(environ, start_response):
        start_response(status, [("Content-Type", "application/json")])
        return parts()

    return app


def slow_parts():
    for _ in range(20):
        gevent.sleep(0.05)
        yield b" "


@pytest.mark.parametrize(
    "status, parts, reason",
    [
        ("200 OK", slow_parts, "0.3 s"),
        ("200 OK", lambda: [b" " * 1001], "exceeds"),
        ("200 OK", lambda: [b"<html>"], "malformed"),
        ("404 Not Found", lambda: [b"{}"], "404"),
        (
            "503 Unavailable",
            lambda: [
                b'{"error":{"type":"","code":"","message":"W","remedy":""}}'
            ],
            "HTTP 503, W",
        ),
    ],
)
def test_a_failing_instance_is_named_beside_the_findings(
    write, check, monkeypatch, status, parts, reason
):
    # An instance that sends without end must not keep the check waiting.
    monkeypatch.setattr(manifest_sources, "RESPONSE_SECONDS", 0.3)
    monkeypatch.setattr(manifest_sources, "MAX_RESPONSE_BYTES", 1000)
    path = write("new", platform_world.manifest(1, keys=()))
    with serving(respond(status, parts)) as url:
        exit_status, found, report = check(path, "--from", url)
    assert exit_status == 2 and report["differences"] == []
    assert found == [("unreadable", url), ("no-keys", "organisations.acme")]
    assert reason in report["findings"][0]["message"]


@pytest.mark.parametrize(
    "url", ["127.0.0.1:1", "http://127.0.0.1:1", "http://a..b", "http://h:x"]
)
def test_an_instance_that_cannot_be_reached_is_named(write, check, url):
    path = write("new", platform_world.manifest(1))
    assert check(path, "--from", url)[:2] == (2, [("unreadable", url)])


@pytest.mark.parametrize("option", ["--against", "--from"])
def test_an_empty_source_is_unreadable(write, check, option):
    # As from an unset variable of a shell: it must not pass as compared.
    path = write("new", platform_world.manifest(1))
    assert check(path, option, "")[:2] == (2, [("unreadable", "")])


def test_two_sources_are_a_usage_error(check):
    with pytest.raises(SystemExit) as caught:
        check("new", "--against", "old", "--from", "http://h")
    assert caught.value.code == 2
