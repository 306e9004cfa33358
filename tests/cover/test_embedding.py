"""The example in docs/embedding.md runs unchanged."""

import pathlib
import re

from dandeliontrail.resources import changes

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "embedding.md"


def test_example_runs():
    (code,) = re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
    namespace = {}
    exec(compile(code, str(PAGE), "exec"), namespace)
    assert namespace["written"][0].kind is changes.ResultKind.ACCEPTED
    assert namespace["dispatch"].backend_server == "e1"


def test_listed_modules_exist():
    package = PAGE.parents[1] / "packages" / "dandeliontrail" / "src"
    table = PAGE.read_text().split("## Parts that stand alone")[1]
    module_names = re.findall(r"\| `([a-z_.]+)` \|", table)
    assert module_names
    for name in module_names:
        path = package / "dandeliontrail" / name.replace(".", "/")
        assert path.with_suffix(".py").exists(), name
