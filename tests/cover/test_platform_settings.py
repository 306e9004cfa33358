"""Parsing of the platform's settings file, and its error messages."""

import json
import os
import pathlib
import random
import subprocess
import sys

import dandeliontrail
from dandeliontrail.decisions import routing
from dandeliontrail.resources import revisions
from dandeliontrail_platform import programs
from dandeliontrail_platform import settings_file
import pytest

VALID_SETTINGS = """
node_name=front-a-1
ip=10.1.0.40
zone=a
region=r
listen_addrs.frontend_addr=10.1.0.40:8227
listen_addrs.ready=10.1.0.40:8220
internal_port_range=7340,7355
seed_nodes=10.1.0.43:8229,10.2.0.32:8229
bootstrap=true
bounds.strict_revocation=true
bounds.revoke_ms=5000
something.new=1
"""


def test_reads_units_and_ignores_what_it_does_not_know():
    found = settings_file.parse(VALID_SETTINGS)
    assert found.bounds.key_revocation == 5.0
    assert found.inner_port == 7340
    assert found.first_start


def test_contracts_name_callers_that_compete_for_capacity():
    # An item that only contains the word must not enable prefill queues.
    assert not settings_file.parse(VALID_SETTINGS).contended
    named = VALID_SETTINGS + "contracts=base, pressure,later\n"
    assert settings_file.parse(named).contended
    others = VALID_SETTINGS + "contracts=base,backpressure\n"
    assert not settings_file.parse(others).contended


@pytest.mark.parametrize(
    "contracts, expected", [("", False), ("pressure", True)]
)
def test_contended_capacity_enables_prefill_queues_of_all_engines(
    contracts, expected
):
    found = settings_file.parse(VALID_SETTINGS + f"contracts={contracts}\n")
    options = programs.EntryListeners(found, "").reducer_options()
    reducer = dandeliontrail.new_reducer(
        dandeliontrail.Identity("i1", "a", "r", 1),
        random.Random(0),
        new_policy=options["new_policy"],
    )
    service = revisions.Service("llm", engine=revisions.Engine(64))
    revision = revisions.Revision(1, "", [], [service])
    reducer.state.routing.table = routing.RoutingTable(revision)
    assert reducer.policy.traits_of("llm").queues_prefill is expected


def test_seeds_become_peers_at_the_inner_port():
    found = settings_file.parse(VALID_SETTINGS)
    assert programs.peer_addresses(found) == [
        "10.1.0.43:7340",
        "10.2.0.32:7340",
    ]
    cfg = programs.instance_settings(found)
    assert cfg.bootstrap_keepers == ["10.1.0.43", "10.2.0.32"]
    assert cfg.keeper is None


def test_without_strict_revocation_any_age_will_do():
    text = VALID_SETTINGS.replace(
        "strict_revocation=true", "strict_revocation=false"
    )
    assert settings_file.parse(text).bounds.key_revocation is None


@pytest.mark.parametrize(
    "key", ["ip", "zone", "node_name", "internal_port_range"]
)
def test_a_missing_key_is_named_with_its_remedy(key):
    text = "\n".join(
        line
        for line in VALID_SETTINGS.splitlines()
        if not line.startswith(f"{key}=")
    )
    with pytest.raises(dandeliontrail.SettingsError) as caught:
        settings_file.parse(text)
    assert key in str(caught.value)
    assert "add a line" in caught.value.remedy


def test_a_number_that_is_none_is_named():
    text = VALID_SETTINGS.replace("revoke_ms=5000", "revoke_ms=soon")
    with pytest.raises(dandeliontrail.SettingsError, match="bounds.revoke_ms"):
        settings_file.parse(text)


@pytest.mark.parametrize(
    "arguments, settings",
    [(["nobody"], "here"), ([], "here"), (["entry"], None)],
)
def test_a_start_that_cannot_work_says_how_it_could(arguments, settings):
    env = dict(os.environ)
    env.pop("DANDELIONTRAIL_CONFIG", None)
    if settings:
        env["DANDELIONTRAIL_CONFIG"] = settings
    launch = pathlib.Path(__file__).parents[2] / "platform/launch.py"
    found = subprocess.run(
        [sys.executable, str(launch), *arguments],
        env=env,
        capture_output=True,
        timeout=30,
    )
    assert found.returncode == 2
    (line,) = found.stdout.splitlines()
    assert json.loads(line)["remedy"]
