"""The example of docs/embedding.md runs as it stands there."""

import pathlib
import re

from dandeliontrail.resources import changes

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "embedding.md"


def test_example_of_the_page_runs():
    (code,) = re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
    names = {}
    exec(compile(code, str(PAGE), "exec"), names)
    assert names["written"][0].kind is changes.ResultKind.ACCEPTED
    assert names["dispatch"].backend_server == "e1"


def test_parts_of_the_page_exist():
    package = PAGE.parents[1] / "packages" / "dandeliontrail" / "src"
    table = PAGE.read_text().split("## Parts that stand alone")[1]
    named = re.findall(r"\| `([a-z_.]+)` \|", table)
    assert named
    for name in named:
        path = package / "dandeliontrail" / name.replace(".", "/")
        assert path.with_suffix(".py").exists(), name
