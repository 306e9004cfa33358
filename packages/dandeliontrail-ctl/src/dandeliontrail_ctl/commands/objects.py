"""Commands on single objects: get, describe, delete."""

import rich.console

from .. import options
from .. import tables


def get(
    kind: str,
    name: str = "",
    *,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Show the objects of a kind, or one object.

    Example: dandelionctl get organisations --output yaml

    Parameters
    ----------
    kind
        organisations, requestclasses, backendpools, modelplacements,
        backendservers, instances or usage.
    name
        Name of the object to show; all objects of the kind if omitted.
    """
    path_segments = (kind, name) if name else (kind,)
    options.show(target.api().get(*path_segments), output, tables.listing)


def describe(
    kind: str,
    name: str,
    *,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Show one object in full: spec, status and where it is in force.

    Example: dandelionctl describe requestclasses intake
    """
    value = target.api().get(kind, name)
    options.show(value, output, _description_tables)


def _description_tables(value):
    return rich.console.Group(*tables.description(value))


def delete(
    kind: str,
    name: str,
    *,
    if_match: int | None = None,
    operation_id: str = "",
    target: options.Target = options.Target(),
):
    """Delete one object.

    Example: dandelionctl delete organisations dock --if-match 17

    Parameters
    ----------
    if_match
        Delete only if the object is still at this version.
    operation_id
        Idempotency key: a retry with the same id returns the first result.
    """
    target.api().delete(
        kind, name, if_match=if_match, operation_id=operation_id
    )
    print(f"{kind}/{name} deleted")


def register(app):
    """Add this module's commands to ``app``."""
    for command in (get, describe, delete):
        app.command(command)
