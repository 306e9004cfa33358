"""Commands that list, add and remove keepers.

Keepers are the voting replicas of the configuration log.
"""

import time

import cyclopts
import gevent

from .. import api
from .. import keeper_tables
from .. import options

MAX_WAIT_SECONDS = 30.0
POLL_SECONDS = 0.3

app = cyclopts.App(
    name="keepers",
    help="List, add and remove keepers, the voters of the configuration log.",
)


@app.command(name="list")
def list_keepers(
    *,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Show the voters and spares, and how many losses writes survive.

    When each voter answered last is known to the leader only; ask it.

    Example: dandelionctl keepers list
    """
    options.show(target.api().get("keepers"), output, keeper_tables.listing)


@app.command
def add(name: str, *, target: options.Target = options.Target()):
    """Make an instance with a disk a keeper, once its log is up to date.

    Example: dandelionctl keepers add derwent-b1
    """
    server = target.api()
    server.post("keepers", name)
    _wait_for_voters(server, lambda names: name in names)
    print(f"{name} is a keeper")


@app.command
def remove(name: str, *, target: options.Target = options.Target()):
    """Remove an instance from the keepers; it no longer counts for quorum.

    Example: dandelionctl keepers remove derwent-b1
    """
    server = target.api()
    server.delete("keepers", name)
    _wait_for_voters(server, lambda names: name not in names)
    print(f"{name} is no longer a keeper")


def _wait_for_voters(server, is_done):
    """Wait until the change is committed; until then it may still be undone.

    An instance of an older release does not tell whether it is.
    """
    deadline = time.monotonic() + MAX_WAIT_SECONDS
    while time.monotonic() < deadline:
        found = server.get("keepers")
        is_settled = found.get("voters_settled", True)
        if is_settled and is_done([item["name"] for item in found["items"]]):
            return
        gevent.sleep(POLL_SECONDS)
    raise api.ApiError(
        0,
        "The change of keepers was started but is not finished after"
        f" {MAX_WAIT_SECONDS:g} s.",
        "run dandelionctl keepers list and check the new keeper's log",
    )


def register(parent):
    """Add this module's commands to ``parent``."""
    parent.command(app)
