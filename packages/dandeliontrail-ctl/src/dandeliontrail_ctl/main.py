"""The command line of ``dandelionctl``."""

from gevent import monkey

monkey.patch_all()

import enum  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import typing  # noqa: E402

import cyclopts  # noqa: E402
import dandeliontrail  # noqa: E402
import msgspec  # noqa: E402
import rich.console  # noqa: E402
import yaml  # noqa: E402

from . import __version__  # noqa: E402
from . import api  # noqa: E402
from . import tables  # noqa: E402

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_INPUT = 2
EXIT_CONFLICT = 3

# Objects are applied in this order, since later kinds name earlier ones.
KINDS = (
    "backendpools",
    "requestclasses",
    "organisations",
    "modelplacements",
)

app = cyclopts.App(name="dandelionctl", version=__version__)


class Output(enum.Enum):
    """How results are printed."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


@cyclopts.Parameter(name="*")
class Target(msgspec.Struct):
    """Which instance to ask, and as whom."""

    server: str = "http://127.0.0.1:8002"
    token_file: str = ""

    def api(self):
        """Return the API of the instance."""
        token = ""
        if self.token_file:
            token = pathlib.Path(self.token_file).read_text().strip()
        return api.Api(self.server, token)


class Document(msgspec.Struct, forbid_unknown_fields=True):
    """One object in a file."""

    kind: str
    name: str
    spec: dict[str, typing.Any] = {}
    version: int | None = None
    status: typing.Any = None


def read_documents(path):
    """Return the objects in a file, or in all files of a folder."""
    path = pathlib.Path(path)
    files = sorted(path.glob("*.yaml")) if path.is_dir() else [path]
    documents = []
    for file in files:
        documents.extend(_read_file(file))
    return sorted(documents, key=_kind_order)


def _read_file(file):
    try:
        loaded = list(yaml.safe_load_all(file.read_text()))
        return [
            msgspec.convert(item, Document)
            for item in loaded
            if item is not None
        ]
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        raise dandeliontrail.SettingsError(
            f"{file}: {exc}.", "write kind, name and spec in each document"
        )


def _kind_order(document):
    if document.kind not in KINDS:
        return len(KINDS)
    return KINDS.index(document.kind)


def show(value, output, table):
    """Print ``value`` in the chosen form."""
    if output is Output.JSON:
        print(msgspec.json.format(msgspec.json.encode(value)).decode())
    elif output is Output.YAML:
        print(yaml.safe_dump(value, sort_keys=False), end="")
    else:
        rich.console.Console().print(table(value))


@app.command
def apply(*, f: pathlib.Path, target: Target = Target()):
    """Write the objects in a file or a folder.

    Example: dandelionctl apply -f examples/derwent/resources
    """
    server = target.api()
    for document in read_documents(f):
        written = server.put(document.kind, document.name, document.spec)
        name = f"{document.kind}/{document.name}"
        print(f"{name} at version {written['version']}")


@app.command
def get(
    kind: str,
    name: str = "",
    *,
    output: Output = Output.TABLE,
    target: Target = Target(),
):
    """Show the objects of a kind, or one object.

    Example: dandelionctl get organisations --output yaml
    """
    words = (kind, name) if name else (kind,)
    value = target.api().get(*words)
    show(value, output, _object_table)


def _object_table(value):
    if "items" in value:
        return tables.objects(value)
    return tables.objects({"kind": value["kind"], "items": [value]})


@app.command
def delete(
    kind: str,
    name: str,
    *,
    if_match: int | None = None,
    target: Target = Target(),
):
    """Delete one object.

    Example: dandelionctl delete organisations dock --if-match 17
    """
    target.api().delete(kind, name, if_match=if_match)
    print(f"{kind}/{name} deleted")


@app.command
def status(*, output: Output = Output.TABLE, target: Target = Target()):
    """Show the state of one instance.

    Example: dandelionctl status --server http://127.0.0.1:8002
    """
    show([target.api().get("status")], output, tables.status)


@app.command
def usage(*, output: Output = Output.TABLE, target: Target = Target()):
    """Show what each organisation used.

    Example: dandelionctl usage --output json
    """
    show(target.api().get("usage"), output, tables.objects)


def _add_lab():
    """Add the lab's commands where the lab is installed."""
    try:
        from dandeliontrail_lab import commands
    except ImportError:
        return
    app.command(commands.app)


def run():
    """Run the command line and exit with its code."""
    _add_lab()
    try:
        code = app(result_action="return_value") or EXIT_DONE
    except api.ApiError as exc:
        print(exc, file=sys.stderr)
        code = _code_of(exc)
    except dandeliontrail.SettingsError as exc:
        print(exc, file=sys.stderr)
        code = EXIT_INPUT
    sys.exit(code)


def _code_of(exc):
    if exc.status == api.CONFLICT:
        return EXIT_CONFLICT
    if exc.status == 400:
        return EXIT_INPUT
    return EXIT_FAILED
