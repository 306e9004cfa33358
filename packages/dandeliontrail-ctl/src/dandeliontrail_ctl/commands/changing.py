"""Commands that change what is declared, or check a change beforehand."""

import pathlib
import typing
import uuid

import cyclopts
import gevent
import msgspec
import yaml

from .. import api
from .. import documents
from .. import options

# A change without an answer is sent again under the same Operation-Id, to
# the next instance named: it takes effect once, whichever takes it.
ATTEMPTS = 4
PAUSE_SECONDS = 1.0
TRY_AGAIN = (0, 503, 504)

# A YAML file, or a folder of such files.
File = typing.Annotated[
    pathlib.Path, cyclopts.Parameter(name=["-f", "--file"])
]


def apply(
    *,
    f: File,
    operation_id: str = "",
    target: options.Target = options.Target(),
):
    """Write the objects in a file or a folder, as one atomic change.

    Example: dandelionctl apply -f examples/derwent/resources

    Parameters
    ----------
    f
        A YAML file, or a folder of such files.
    operation_id
        Makes a resend after a lost answer return the first result.
    """
    found = documents.read_documents(f)
    result = _send(target, ("changes",), _operations(found), operation_id)
    print(f"{len(found)} objects applied at version {result['version']}")


def check(*, f: File, target: options.Target = options.Target()):
    """Check the objects in a file or a folder, and change nothing.

    Example: dandelionctl check -f examples/derwent/resources
    """
    found = documents.read_documents(f)
    server = target.api()
    server.post("changes?dry_run=true", body=_operations(found))
    print(f"{len(found)} objects are good")


def export(*, target: options.Target = options.Target()):
    """Print all declared objects as a file that ``apply -f`` takes.

    Example: dandelionctl export > backup.yaml
    """
    server = target.api()
    found = [
        {"kind": kind, "name": item["name"], "spec": item["spec"]}
        for kind in documents.KINDS
        for item in server.get(kind)["items"]
    ]
    print(yaml.safe_dump_all(found, sort_keys=False), end="")


def rollback(
    *,
    to: int,
    operation_id: str = "",
    target: options.Target = options.Target(),
):
    """Bring all objects back to an earlier version, by a new change.

    Example: dandelionctl rollback --to 1204

    Parameters
    ----------
    to
        A version from ``dandelionctl history``.
    operation_id
        Makes a resend after a lost answer return the first result.
    """
    body = msgspec.json.encode({"to": to})
    result = _send(target, ("rollback",), body, operation_id)
    print(f"back at the objects of {to}, at version {result['version']}")


def _operations(found):
    operations = [
        {
            "verb": "put",
            "kind": item.kind,
            "name": item.name,
            "spec": item.spec,
        }
        for item in found
    ]
    return msgspec.json.encode({"operations": operations})


def _send(target, words, body, operation_id):
    """Send one change until its result is known, a few times at most."""
    servers = target.apis()
    operation_id = operation_id or str(uuid.uuid4())
    for attempt in range(ATTEMPTS):
        server = servers[attempt % len(servers)]
        try:
            return server.post(*words, body=body, operation_id=operation_id)
        except api.ApiError as exc:
            if exc.status not in TRY_AGAIN or attempt == ATTEMPTS - 1:
                raise
        gevent.sleep(PAUSE_SECONDS)


def register(app):
    """Add the commands of this module."""
    for command in (apply, check, export, rollback):
        app.command(command)
