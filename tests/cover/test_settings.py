"""Settings files: the samples are valid, and errors name the remedy."""

import pathlib
import subprocess

import dandeliontrail
from dandeliontrail.resources import changes
from dandeliontrail.resources import store
from dandeliontrail_ctl import documents
from dandeliontrail_lab import processes
from dandeliontrail_node import settings
import msgspec
import pytest
import yaml

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = ROOT / "examples"
VALID_FILE = EXAMPLES / "derwent" / "instances" / "derwent-a1.yaml"
DEPLOYMENTS = ("derwent", "bayou-gulf")


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_sample_settings_of_nine_instances_are_valid(deployment):
    files = sorted((EXAMPLES / deployment / "instances").glob("*.yaml"))
    loaded = [settings.load(file) for file in files]
    assert len({cfg.instance for cfg in loaded}) == 9
    assert len({cfg.failure_domain for cfg in loaded}) == 3
    keepers = [cfg for cfg in loaded if cfg.keeper]
    assert len({cfg.failure_domain for cfg in keepers}) == 3
    keeper_names = [cfg.instance for cfg in keepers]
    assert all(cfg.bootstrap_keepers == keeper_names for cfg in loaded)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_sample_resources_are_accepted(deployment):
    resources = store.ResourceStore()
    folder = EXAMPLES / deployment / "resources"
    for number, document in enumerate(documents.read_documents(folder), 1):
        operation = changes.Operation(
            changes.Verb.PUT,
            document.kind,
            document.name,
            msgspec.Raw(msgspec.json.encode(document.spec)),
        )
        result = resources.apply(number, changes.Change("", [operation]))
        assert result.kind is changes.ResultKind.ACCEPTED, result.message


# A key, an invalid value for it, and texts that the message must contain
# beside the key and the value: the allowed values and the remedy.
INVALID_SETTINGS = (
    ("instance", 17, ("a text", "in quotes")),
    ("instance", "a/b", ("letters", "give it a name")),
    ("failure_domain", None, ("a text", "in quotes")),
    ("listen.callers", "10.0.0.1", ("IP:port", "as in 10.0.0.1:8000")),
    ("listen.peers", "10.0.0.300:1", ("IP:port", "as in 10.0.0.1:8000")),
    (
        "listen.peers_advertised",
        "gate:1",
        ("IP:port", "as in 10.0.0.1:8000"),
    ),
    ("limits.body_bytes", "8 MB", ("a whole number", "without quotes")),
    ("limits.idle_seconds", -1, ("above 0", "give a larger")),
    ("log.level", "loud", ("debug, info", "use one")),
    ("credentials.open", ["callers"], ("operators", "may be left open")),
    ("credentials.peer_key_file", "", ("a file", "add peers")),
    ("listen.caller", "10.0.0.1:1", ("callers, ", "write callers")),
    ("keeper.data_dir", "", ("a folder", "leave keeper out")),
    ("peers", "10.0.0.1:8003", ("a list", "as in [")),
    ("tls.operators", {"key": "k"}, ("a value", "add the key")),
)


@pytest.mark.parametrize("key, value, told", INVALID_SETTINGS)
def test_invalid_setting_is_named_with_its_remedy(key, value, told):
    with pytest.raises(dandeliontrail.SettingsError) as caught:
        settings.parse(with_changed_key(key, value))
    message = str(caught.value)
    head, _, last = key.rpartition(".")
    assert key in message or (last in message and head in message)
    shown = value[0] if isinstance(value, list) else value
    assert repr(shown) in message or "is missing" in message
    assert "allowed: " in message
    assert "Remedy: " in message
    assert all(words in message for words in told)


def with_changed_key(key, value):
    """Return a valid settings file in which one key is changed."""
    loaded = yaml.safe_load(VALID_FILE.read_text())
    *path, last = key.split(".")
    section = loaded
    for step in path:
        section = section.setdefault(step, {})
    section[last] = value
    return yaml.safe_dump(loaded)


def test_check_exits_with_zero_or_two(tmp_path):
    bad = tmp_path / "bad.yaml"
    bad.write_text(with_changed_key("log.level", "loud"))
    cases = (
        (["--check", "--settings", VALID_FILE], 0, b""),
        (["--check", "--settings", bad], 2, b"Remedy"),
        (["--check", "--settings", tmp_path / "none.yaml"], 2, b"Remedy"),
        (["--no-such-option"], 2, b"remedy"),
    )
    for arguments, code, told in cases:
        command = [processes.program("dandeliond"), *map(str, arguments)]
        ended = subprocess.run(command, capture_output=True)
        assert ended.returncode == code
        assert told in ended.stderr
        for line in ended.stderr.splitlines():
            assert msgspec.json.decode(line)["level"] == "ERROR"


def test_every_settings_key_is_on_the_operators_page():
    page = (ROOT / "docs" / "operators" / "settings.md").read_text()
    for struct in (
        settings.Settings,
        settings.Listen,
        settings.Keeper,
        settings.Credentials,
        settings.Tls,
        settings.LogSettings,
        settings.LimitSettings,
    ):
        for key in struct.__struct_fields__:
            assert f"`{key}`" in page, key
