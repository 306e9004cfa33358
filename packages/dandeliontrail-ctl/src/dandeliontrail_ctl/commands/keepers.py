"""Commands on the keepers: list, add, remove."""

import time

import cyclopts
import gevent

from .. import api
from .. import options
from .. import tables

WAIT_SECONDS = 30.0
POLL_SECONDS = 0.3

app = cyclopts.App(name="keepers", help="See and change who is a keeper.")


@app.command(name="list")
def list_keepers(
    *,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Show the keepers, the folder that each votes by, and who leads.

    Example: dandelionctl keepers list
    """
    options.show(target.api().get("keepers"), output, tables.listing)


@app.command
def add(name: str, *, target: options.Target = options.Target()):
    """Make an instance with a disk a keeper, once it has caught up.

    Example: dandelionctl keepers add derwent-b1
    """
    server = target.api()
    server.post("keepers", name)
    _wait(server, lambda names: name in names)
    print(f"{name} is a keeper")


@app.command
def remove(name: str, *, target: options.Target = options.Target()):
    """Take an instance out of the keepers; its log counts no longer.

    Example: dandelionctl keepers remove derwent-b1
    """
    server = target.api()
    server.delete("keepers", name)
    _wait(server, lambda names: name not in names)
    print(f"{name} is no keeper")


def _wait(server, holds):
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        items = server.get("keepers")["items"]
        if holds([item["name"] for item in items]):
            return
        gevent.sleep(POLL_SECONDS)
    raise api.ApiError(
        0,
        f"It was begun but is not done after {WAIT_SECONDS:g} s.",
        "look at dandelionctl keepers list and at the new keeper's log",
    )


def register(parent):
    """Add the commands of this module."""
    parent.command(app)
