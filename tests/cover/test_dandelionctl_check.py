"""``dandelionctl check``: exit codes, JSON, unreadable files and servers."""

import contextlib
import json
import pathlib

import gevent
from gevent import pywsgi
import pytest

from dandeliontrail_ctl import main
from dandeliontrail_ctl import objects_in_force

from tests.common import world

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
POOL = "{kind: backendpools, name: all, spec: {}}\n"
LOOKUP = "{kind: requestclasses, name: lookup, spec: {pools: [all]}}\n"
LAB_SPEC = f"{{keys: ['sha256:{'0' * 64}'], classes: [lookup]}}"
LAB = f"{{kind: organisations, name: lab, spec: {LAB_SPEC}}}\n"
GOOD = "---\n".join([POOL, LOOKUP, LAB])
BAD = GOOD.replace("{pools: [all]}", "{misspelt: 1}")

UNUSED = ("unused-pool", "backendpools/all")


@pytest.fixture
def check(capsys):
    """Run one check; return its exit code and its JSON."""

    def run_command(*words):
        words = ["check", "--output", "json", "-f", *map(str, words)]
        code = main.exit_code(words)
        return code, json.loads(capsys.readouterr().out)

    return run_command


@pytest.fixture
def write(tmp_path):
    """Write a file with the content; return its path."""

    def write_file(content, name="objects.yaml"):
        path = tmp_path / name
        path.write_bytes(content.encode("latin-1"))
        return path

    return write_file


@contextlib.contextmanager
def stand_in(application):
    """Serve a WSGI application; yield its URL."""
    server = pywsgi.WSGIServer(("127.0.0.1", 0), application, log=None)
    server.start()
    try:
        yield f"http://127.0.0.1:{server.server_port}"
    finally:
        server.stop()


def summary(report):
    return [(item["code"], item["field"]) for item in report["findings"]]


@pytest.mark.parametrize("deployment", ["derwent", "bayou-gulf"])
def test_example_objects_have_no_findings(check, deployment):
    # Guards against warnings about sound configurations.
    folder = EXAMPLES / deployment / "resources"
    nothing = {"findings": [], "differences": []}
    assert check(folder, "--offline") == (0, nothing)
    assert check(folder, "--against", folder) == (0, nothing)


def test_exit_code_and_findings_follow_the_worst_finding(check, write):
    # Guards against pipelines that continue after an error, and against a
    # changed form of the JSON that they read.
    code, report = check(write(POOL), "--offline")
    assert (code, summary(report)) == (1, [UNUSED])
    code, report = check(write(BAD), "--offline")
    assert (code, report["differences"]) == (2, [])
    assert summary(report) == [("invalid", "requestclasses/lookup.spec")]
    keys = {"level", "code", "field", "message", "remedy"}
    assert report["findings"][0].keys() == keys


def test_differences_are_those_that_apply_would_make(check, write):
    # Guards against objects shown as removed that ``apply`` would keep.
    path = write(POOL.replace("{}", "{select: {model: m}}"))
    code, report = check(path, "--against", write(GOOD, "old.yaml"))
    change = {"name": "select.model", "before": "", "after": "m"}
    assert (code, report["findings"]) == (0, [])
    names = {"kind": "changed", "field": "backendpools/all"}
    assert report["differences"] == [{**names, "attributes": [change]}]


@pytest.mark.parametrize(
    "content, position",
    [
        ("kind: [\n", "line 2, column 1"),
        ("kind: \xff", "position 6"),
        ("&a {kind: k, name: n, spec: {x: *a}}", "recursion"),
        ("kind: k\nname: n\nspec: {x: 2024-13-45}", "month"),
        ("!!timestamp x", "groupdict"),
        ("!!bool x", "'x'"),
        ("!!int ''", "index"),
        (None, "No such file"),
    ],
)
def test_unreadable_files_are_findings(check, write, content, position):
    # Guards against tracebacks, and against lost findings of a sound file
    # that is compared with an unreadable one.
    path = write(content or "", "bad.yaml")
    if content is None:
        path.unlink()
    code, report = check(path, "--offline")
    assert (code, summary(report)) == (2, [("unreadable", str(path))])
    message = report["findings"][0]["message"]
    assert str(path) in message and position in message
    code, report = check(write(POOL), "--against", path)
    assert (code, report["differences"]) == (2, [])
    assert summary(report) == [("unreadable", str(path)), UNUSED]


def test_a_path_that_is_too_long_is_a_finding(check):
    # Guards against a traceback before the file is opened.
    path = "x" * 300
    code, report = check(path, "--offline")
    assert (code, summary(report)) == (2, [("unreadable", path)])


def test_a_syntax_error_does_not_show_the_keys_beside_it(check, write):
    # Guards against keys in the logs of pipelines.
    path = write("spec: {keys: [secret}", "bad.yaml")
    code, report = check(path, "--offline")
    message = report["findings"][0]["message"]
    assert "(line 1, column 21)" in message and "secret" not in message


def test_a_path_that_is_not_utf_8_is_a_finding(check):
    # Guards against a report that cannot be printed.
    code, report = check("no\udcffne.yaml", "--offline")
    name = "no\\udcffne.yaml"
    assert (code, summary(report)) == (2, [("unreadable", name)])


def test_objects_are_compared_with_those_of_an_instance(check, write):
    # Guards against a check without the objects in force, and one that
    # applies something.
    with world.World() as made:
        instance = made.instance("i1")
        made.apply({"lookup": {"priority": 0}})
        version = instance.host.state.store.version
        server = ["--server", f"http://{instance.addresses['operators']}"]
        code, report = check(write(LAB), *server)
        assert (code, summary(report)) == (0, [])
        assert [item["kind"] for item in report["differences"]] == ["changed"]
        # An error that both find is reported once.
        code, report = check(write(BAD), *server)
        assert (code, len(report["findings"])) == (2, 1)
        assert instance.host.state.store.version == version


def answer(status, body, listing=b'{"items": []}'):
    """Return an application that answers a listing, and a change so."""

    def application(environ, start_response):
        is_listing = environ["REQUEST_METHOD"] == "GET"
        start_response("200 OK" if is_listing else status, [])
        return [listing if is_listing else body]

    return application


ERROR = b'{"error": {"message": "spec.x: is bad.", "remedy": "r"}}'


def test_errors_of_the_server_are_reported(check, write):
    # Guards against a rejection that is lost, and a failure reported as one.
    with stand_in(answer("400 Bad Request", ERROR)) as url:
        code, report = check(write(GOOD), "--server", url)
    assert (code, summary(report)) == (2, [("rejected", "spec.x")])
    assert report["findings"][0]["message"] == "is bad."
    with stand_in(answer("503 Service Unavailable", b"")) as url:
        failing = check(write(GOOD), "--server", url)
    # Nobody listens there any more.
    unreachable = check(write(GOOD), "--server", url)
    for code, report in (failing, unreachable):
        assert (code, summary(report)) == (2, [("unreadable", url)])
    nested = b'{"x": ' + b"[" * 100000
    with stand_in(answer("400 Bad Request", nested)) as url:
        code, report = check(write(GOOD), "--server", url)
    assert (code, summary(report)) == (2, [("rejected", url)])


@pytest.mark.parametrize(
    "url", ["http://a..b", "http://h:x", "http://h:99999", "http://[::1"]
)
def test_a_malformed_url_is_a_finding(check, write, url):
    # Guards against a traceback that hides the findings of the file.
    code, report = check(write(POOL), "--server", url)
    assert (code, summary(report)) == (2, [("unreadable", url), UNUSED])


def endless(environ, start_response):
    start_response("200 OK", [])
    while True:
        yield b" " * 1000
        gevent.sleep(0.001)


@pytest.mark.parametrize(
    "application, max_bytes, message",
    [
        (endless, 10000, "more than 10000 bytes"),
        (endless, 10**9, "within 0.2 s"),
        (answer("", b"", b"<html>"), 10**9, "not JSON"),
        (answer("", b"", b"{}"), 10**9, "no listing"),
    ],
)
def test_failing_servers_are_findings(
    check, write, monkeypatch, application, max_bytes, message
):
    # Guards against a check that waits or reads without end, or that drops
    # its own findings when the server fails.
    monkeypatch.setattr(objects_in_force, "MAX_RESPONSE_BYTES", max_bytes)
    monkeypatch.setattr(objects_in_force, "MAX_RESPONSE_SECONDS", 0.2)
    with stand_in(application) as url:
        code, report = check(write(POOL), "--server", url)
    assert (code, summary(report)) == (2, [("unreadable", url), UNUSED])
    assert message in report["findings"][0]["message"]


def test_table_shows_findings_and_differences(capsys, write):
    # Guards against text that is read as markup and does not appear, and
    # against an option that is ignored.
    path = write(POOL.replace("{}", "{'[x]': 1}"))
    words = ["check", "-f", str(path), "--against", str(write(GOOD, "old"))]
    assert main.exit_code(words) == 2
    out = capsys.readouterr().out
    assert "[x]" in out and "invalid" in out and "changed" in out
    assert main.exit_code([*words, "--offline"]) == 2
    assert "exclude" in json.loads(capsys.readouterr().err)["message"]
