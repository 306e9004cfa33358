"""The import cost of starting a program of the platform."""

import pathlib
import subprocess
import sys
import tomllib

import pytest

from tests.common import platform_world

ROOT = pathlib.Path(__file__).parents[2]
# Each adds to the 0.2 s of processor time of a start, twice that on a host
# with half a core, during which no instance accepts callers.
UNNEEDED_MODULES = (
    "yaml",
    "gevent.subprocess",
    "importlib.metadata",
    "zipfile",
    # The client of geventhttpclient, and what it imports.
    "geventhttpclient",
    "http.cookiejar",
    "urllib.request",
    # Formats of log lines that are not written.
    "pythonjsonlogger",
    # Encoded histograms, which only operators ask for.
    "hdrh",
    "ctypes",
    # Hints at misspelt settings.
    "difflib",
    # What the standard interface of an instance has and the platform has not.
    "dandeliontrail_node.standard_listeners",
    "dandeliontrail_node.worker",
    "dandeliontrail.decisions.adaptive",
    "statistics",
    # A look-up of the name of each listener's address.
    "gevent.resolver.thread",
)
# A keeper writes to its disk in threads, and gevent's module for these
# imports the others.
UNNEEDED_BY_ENTRY = ("gevent.threadpool", "pprint", "dataclasses", "inspect")
PROGRAM = """
import sys
sys.argv = ["launch.py", "none"]
sys.path.insert(0, {platform!r})
from dandeliontrail_node import instance
from dandeliontrail_platform import programs
from dandeliontrail_platform import settings_file
import launch
launch.main("none")
settings = settings_file.load({settings!r})
factory = programs.LISTENER_FACTORIES[{role!r}](settings, {settings!r})
cfg = programs.instance_settings(settings)
logger = launch.jsonlog.make_logger("test", "error", "")
with instance.Instance(cfg, logger, listener_factory=factory):
    print("\\n".join(sys.modules))
"""


@pytest.mark.parametrize("role", ["entry", "keeper"])
def test_a_start_loads_nothing_that_the_program_does_not_use(tmp_path, role):
    # After all hosts lost power, every caller is refused for the second in
    # which the programs import modules before they listen.
    ports = platform_world.new_ports()
    settings = tmp_path / "settings"
    settings.write_text(
        platform_world.SETTINGS.format(
            node="one",
            ip=f"{platform_world.NETWORK}.1",
            zone="a",
            seed=f"{platform_world.NETWORK}.1:{ports['control']}",
            data_dir=tmp_path / "data" if role == "keeper" else "",
            revoke_ms=5000,
            tolerated=0,
            **ports,
        )
    )
    program = PROGRAM.format(
        platform=str(ROOT / "platform"), settings=str(settings), role=role
    )
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = set(done.stdout.split())
    assert "dandeliontrail_node.instance" in loaded
    unneeded = {*UNNEEDED_MODULES}
    if role == "entry":
        unneeded.update(UNNEEDED_BY_ENTRY)
    assert not loaded & unneeded


def test_modules_are_not_searched_for_garbage_again():
    # Each search through all that the modules allocated stops an instance for
    # 12 ms, and without any search its memory would grow.
    code = (
        "import sys; sys.argv = ['launch.py', 'none'];"
        f"sys.path.insert(0, {str(ROOT / 'platform')!r});"
        "import gc, launch; print(gc.isenabled(), gc.get_freeze_count())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    enabled, frozen = done.stdout.split()
    assert enabled == "True"
    assert int(frozen) > 10_000


def test_the_build_compiles_all_that_a_start_imports():
    # Where programs may not write bytecode, each start compiled the modules
    # of the product again, which doubled its processor time.
    system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    _, _, compiled = system["build"].partition("python3 -m compileall")
    imported = [
        str(path.relative_to(ROOT))
        for package in ("dandeliontrail", "dandeliontrail_node")
        for path in ROOT.glob(f"packages/*/src/{package}")
    ]
    assert len(imported) == 2
    for folder in (*imported, "platform"):
        assert folder in compiled.split()


def test_data_classes_of_the_programs_are_structs():
    # A data class is generated at each start, which takes 0.7 to 1.3 ms; the
    # 111 that existed took a third of a start.
    sources = [
        path
        for folder in (
            "packages/dandeliontrail/src",
            "packages/dandeliontrail-node/src",
            "platform",
        )
        for path in (ROOT / folder).rglob("*.py")
    ]
    assert len(sources) > 100
    offenders = [path for path in sources if "@dataclass" in path.read_text()]
    assert offenders == []
