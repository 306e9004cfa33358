"""The import cost of starting a program of the platform."""

import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parents[2]
# Each adds to the 0.3 s of processor time of a start, twice that on a host
# with half a core, during which no instance accepts callers.
UNNEEDED_MODULES = (
    "yaml",
    "gevent.subprocess",
    "importlib.metadata",
    "zipfile",
)


def test_a_start_loads_nothing_that_the_program_does_not_use():
    # After all hosts lost power, every caller is refused for the second in
    # which the programs import modules before they listen.
    code = (
        "import sys; sys.argv = ['launch.py', 'none'];"
        f"sys.path.insert(0, {str(ROOT / 'platform')!r});"
        "import launch; print('\\n'.join(sys.modules))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = set(done.stdout.split())
    assert "dandeliontrail_node.instance" in loaded
    assert not loaded & set(UNNEEDED_MODULES)


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
