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
        The one object to show.
    """
    words = (kind, name) if name else (kind,)
    options.show(target.api().get(*words), output, tables.listing)


def describe(
    kind: str,
    name: str,
    *,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Show all of one object: its spec, its status and where it is in force.

    Example: dandelionctl describe requestclasses intake
    """
    value = target.api().get(kind, name)
    options.show(value, output, _described)


def _described(value):
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
        Delete only if this is the object's present version.
    operation_id
        Makes a resend after a lost answer return the first result.
    """
    target.api().delete(
        kind, name, if_match=if_match, operation_id=operation_id
    )
    print(f"{kind}/{name} deleted")


def register(app):
    """Add the commands of this module."""
    for command in (get, describe, delete):
        app.command(command)
