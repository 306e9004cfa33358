"""Commands that apply, export and roll back declared objects."""

import uuid

import gevent
import msgspec
import yaml

from .. import api
from .. import documents
from .. import options

# A change whose outcome is unknown is resent with the same Operation-Id to
# the next instance in the list.  The Operation-Id makes it idempotent: it
# takes effect once, whichever instance accepts it.
MAX_ATTEMPTS = 4
RETRY_PAUSE_SECONDS = 1.0
RETRYABLE_STATUSES = (0, 503, 504)


def apply(
    *,
    f: options.FileOption,
    operation_id: str = "",
    target: options.Target = options.Target(),
):
    """Create or replace the objects in a file or folder, as one atomic change.

    Example: dandelionctl apply -f examples/derwent/resources

    Parameters
    ----------
    f
        A YAML file, or a folder of YAML files.
    operation_id
        Idempotency key: a retry with the same id returns the first result.
    """
    objects = documents.read_documents(f)
    result = _send_with_retries(
        target, ("changes",), documents.encode_change(objects), operation_id
    )
    print(f"{len(objects)} objects applied at version {result['version']}")


def export(*, target: options.Target = options.Target()):
    """Print all declared objects as YAML that ``apply -f`` accepts.

    Example: dandelionctl export > backup.yaml
    """
    server = target.api()
    objects = [
        {"kind": kind, "name": item["name"], "spec": item["spec"]}
        for kind in documents.KINDS_IN_APPLY_ORDER
        for item in server.get(kind)["items"]
    ]
    print(yaml.safe_dump_all(objects, sort_keys=False), end="")


def rollback(
    *,
    to: int,
    operation_id: str = "",
    target: options.Target = options.Target(),
):
    """Restore all objects to an earlier version, as a new change.

    Example: dandelionctl rollback --to 1204

    Parameters
    ----------
    to
        The version to restore, from ``dandelionctl history``.
    operation_id
        Idempotency key: a retry with the same id returns the first result.
    """
    body = msgspec.json.encode({"to": to})
    result = _send_with_retries(target, ("rollback",), body, operation_id)
    print(f"objects of version {to} restored, at version {result['version']}")


def _send_with_retries(target, path_segments, body, operation_id):
    """Send one change, and retry while its outcome is unknown.

    Raises the last :class:`api.ApiError` after ``MAX_ATTEMPTS`` attempts, or
    the first one whose status says that a retry cannot help.
    """
    servers = target.apis()
    operation_id = operation_id or str(uuid.uuid4())
    for attempt in range(MAX_ATTEMPTS):
        server = servers[attempt % len(servers)]
        try:
            return server.post(
                *path_segments, body=body, operation_id=operation_id
            )
        except api.ApiError as exc:
            if (
                exc.status not in RETRYABLE_STATUSES
                or attempt == MAX_ATTEMPTS - 1
            ):
                raise
        gevent.sleep(RETRY_PAUSE_SECONDS)


def register(app):
    """Add this module's commands to ``app``."""
    for command in (apply, export, rollback):
        app.command(command)
