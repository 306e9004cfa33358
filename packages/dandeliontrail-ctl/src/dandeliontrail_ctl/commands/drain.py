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
    """Stop an instance after it has finished its open requests.

    The instance accepts no new requests, as after SIGTERM.  A second drain
    stops it immediately.

    Example: dandelionctl drain derwent-a1 --server http://10.40.1.11:8002

    Parameters
    ----------
    instance
        Name of the instance; must match the instance at --server.
    wait
        Wait until the instance has stopped.
    seconds
        Maximum time to wait, in seconds.
    """
    server = target.api()
    _verify_instance_name(server, instance)
    server.post("drain")
    if wait:
        _wait_for_exit(server, instance, seconds)
    print(f"{instance} {'has ended' if wait else 'is draining'}")


def _verify_instance_name(server, instance):
    """Raise an error if another instance listens at the address."""
    actual_name = server.get("status")["instance"]
    if actual_name != instance:
        raise dandeliontrail.SettingsError(
            f"The instance at {server.url} is {actual_name!r},"
            f" not {instance!r}.",
            "set --server to the operators listener of the instance to drain",
        )


def _wait_for_exit(server, instance, seconds):
    deadline = time.monotonic() + seconds
    console = rich.console.Console(file=sys.stderr)
    with console.status(f"draining {instance}") as spinner:
        while time.monotonic() < deadline:
            try:
                open_requests = server.get("status")["open_requests"]
            except api.ApiError:
                return
            spinner.update(
                f"draining {instance}, {open_requests} open requests"
            )
            gevent.sleep(POLL_SECONDS)
    raise api.ApiError(
        0,
        f"{instance} has not stopped after {seconds:g} s.",
        "check its log, or drain it again to stop it immediately",
    )


def register(app):
    """Add this module's commands to ``app``."""
    app.command(drain)
