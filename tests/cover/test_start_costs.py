"""What a program of the platform loads at its start."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
# Each takes a part of the 0.3 s of processor time of a start, twice that on
# a machine with half a core, in which callers find nobody listening.
NEEDLESS = ("yaml", "gevent.subprocess", "importlib.metadata", "zipfile")


def test_a_start_loads_nothing_that_the_program_does_not_use():
    # All machines lose their power.  What the programs load before they
    # listen is a second in which every caller is turned away.
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
    assert not loaded & set(NEEDLESS)


def test_data_classes_of_the_programs_are_structs():
    # A data class is put together by generated code at each start, 0.7 to
    # 1.3 ms each; there were 111 of them, a third of a start.
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
    made = [path for path in sources if "@dataclass" in path.read_text()]
    assert made == []
