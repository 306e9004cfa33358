"""The command that takes an instance out of service."""

import sys
import time

import dandeliontrail
import gevent
import rich.console

from .. import api
from .. import options

POLL_SECONDS = 0.3


def drain(
    instance: str,
    *,
    wait: bool = True,
    seconds: float = 360.0,
    target: options.Target = options.Target(),
):
    """Let an instance finish what it has, take no more, and end.

    It is the same drain as on SIGTERM.  A second one ends it at once.

    Example: dandelionctl drain derwent-a1 --server http://10.40.1.11:8002

    Parameters
    ----------
    instance
        Its name, which must be that of the instance at --server.
    wait
        Return only when it has ended.
    seconds
        How long to wait at the most.
    """
    server = target.api()
    _require_name(server, instance)
    server.post("drain")
    if wait:
        _wait_for_end(server, instance, seconds)
    print(f"{instance} {'has ended' if wait else 'is draining'}")


def _require_name(server, instance):
    """Refuse to drain whatever else may answer at the address."""
    found = server.get("status")["instance"]
    if found != instance:
        raise dandeliontrail.SettingsError(
            f"The instance at {server.url} is {found!r}, not {instance!r}.",
            "give --server the operators listener of the instance meant",
        )


def _wait_for_end(server, instance, seconds):
    deadline = time.monotonic() + seconds
    console = rich.console.Console(file=sys.stderr)
    with console.status(f"{instance} drains") as shown:
        while time.monotonic() < deadline:
            try:
                left = server.get("status")["open_requests"]
            except api.ApiError:
                return
            shown.update(f"{instance} drains, {left} requests left")
            gevent.sleep(POLL_SECONDS)
    raise api.ApiError(
        0,
        f"{instance} has not ended after {seconds:g} s.",
        "look at its log, or drain it again to end it at once",
    )


def register(app):
    """Add the commands of this module."""
    app.command(drain)
