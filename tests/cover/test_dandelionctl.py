"""``dandelionctl`` against running instances."""

import json
import subprocess
import urllib.error
import urllib.request

from dandeliontrail_ctl import api
from dandeliontrail_ctl import main
from dandeliontrail_lab import batch
from dandeliontrail_lab import client
from dandeliontrail_lab import engine
from dandeliontrail_lab import processes
import gevent
import pytest

from tests.common import world

LOOKUP = {"lookup": {"priority": 0}}


@pytest.fixture
def run(capsys):
    """Run one command line; return its exit code, output and error line."""

    def run_command(*words):
        code = main.exit_code(list(words))
        out, err = capsys.readouterr()
        return code, out, json.loads(err) if err else None

    return run_command


def url_of(instance):
    return f"http://{instance.addresses['operators']}"


def test_status_merges_histograms_and_names_silent_instances(run):
    with world.World() as made:
        servers = [made.instance("i1"), made.instance("i2", "fd2")]
        made.engine("e1")
        made.apply(LOOKUP)
        for instance in servers:
            address = instance.addresses["callers"]
            client.send(client.Ask(address, world.KEY, "", "hello"))
        words = ["status", "--output", "json"]
        for instance in servers:
            words += ["--server", url_of(instance)]
        words += ["--server", "http://127.0.0.1:9"]
        code, out, _ = run(*words)
    found = json.loads(out)
    assert code == 0
    assert [item["instance"] for item in found["instances"]] == ["i1", "i2"]
    assert [item["server"] for item in found["unreachable"]] == [
        "http://127.0.0.1:9"
    ]
    (row,) = [
        item
        for item in found["latency"]
        if (item["by"], item["metric"]) == ("class", "total_ms")
    ]
    assert row["count"] == 2


def test_can_show_objects_in_each_form(run, tmp_path):
    with world.World() as made:
        instance = made.instance("i1")
        made.apply(LOOKUP)
        config = tmp_path / "ctl.yaml"
        config.write_text(f"servers: ['{url_of(instance)}']")
        config_option = ("--config", str(config))
        _, table, _ = run("get", "requestclasses", *config_option)
        assert "lookup" in table and "priority" in table
        _, out, _ = run(
            "get", "requestclasses", "--output", "json", *config_option
        )
        assert json.loads(out)["items"][0]["name"] == "lookup"
        _, out, _ = run("describe", "requestclasses", "lookup", *config_option)
        assert "in force" in out and "minimum share" in out
        code, _, err = run("get", "requestclasses", "none", *config_option)
        assert code == 1 and err["remedy"]
        stale = ("--if-match", "99", *config_option)
        code, _, err = run("delete", "requestclasses", "lookup", *stale)
        assert code == 3 and err["remedy"]


@pytest.mark.parametrize(
    "words",
    [
        ("get",),
        ("no-such-command",),
        ("status", "--output", "xml"),
        ("status", "--server", "10.0.0.1:8002"),
        ("status", "--token-file", "/nonexistent"),
        ("apply", "-f", "/nonexistent"),
    ],
)
def test_bad_usage_exits_with_two_and_a_remedy(run, words):
    code, _, err = run(*words)
    assert code == 2
    assert err["level"] == "ERROR"
    assert err["remedy"]


def test_every_command_has_an_example():
    shown = subprocess.run(
        [processes.program("dandelionctl"), "--version"], capture_output=True
    )
    assert shown.returncode == 0
    names = [name for name in main.app if not name.startswith("-")]
    assert {"apply", "get", "describe", "delete", "status"} <= set(names)
    assert {"usage", "drain"} <= set(names)
    for name in names:
        function = main.app[name].default_command
        assert function is None or "Example: dandelionctl " in (
            function.__doc__
        )


def test_drain_over_http_finishes_what_runs(run):
    # An instance is drained while it streams a long answer: the answer must
    # be complete, and the process must exit by itself with code 0.
    with processes.Deployment(["i1"], ["fd1"]) as deployment:
        url = f"http://{deployment.addresses('operators')[0]}"
        code, _, err = run("drain", "i2", "--server", url)
        assert code == 2 and "i1" in err["message"]
        job = start_long_answer(deployment, url)
        code, out, _ = run("drain", "i1", "--server", url)
        assert code == 0 and "has ended" in out
        assert job.get().complete
    assert deployment.exit_codes == [0]


def is_ready_for_callers(address):
    """Return whether an instance reports that it accepts requests."""
    try:
        with urllib.request.urlopen(f"http://{address}/readyz") as reply:
            return reply.status == 200
    except urllib.error.HTTPError:
        return False


def start_long_answer(deployment, url):
    """Start a request that takes some seconds; return once it is running."""
    served = engine.Engine("e1", "fd1", ["small"], 4, batch.Pace(step=0.01))
    served.start()
    gevent.spawn(served.announce, deployment.addresses("backend_servers"))
    server = api.Api(url)
    server.put("backendpools", "all", {})
    server.put("requestclasses", "lookup", {"pools": ["all"]})
    key = {"keys": [engine.key_hash("k")], "default_class": "lookup"}
    server.put("organisations", "lab", key)
    world.wait_until(lambda: server.get("status")["serving_backend_servers"])
    address = deployment.addresses("callers")[0]
    # Wait as a load balancer does: an instance becomes ready a tick after its
    # first change, and correctly refuses requests with "not run" until then.
    world.wait_until(lambda: is_ready_for_callers(address))
    ask = client.Ask(address, "k", "", "hello", max_tokens=100)
    job = gevent.spawn(client.send, ask)
    world.wait_until(lambda: served.batch.begun)
    return job
