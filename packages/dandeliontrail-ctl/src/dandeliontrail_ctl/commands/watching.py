"""Commands that show changes: watch, history."""

import gevent
import msgspec
import rich.table

from .. import api
from .. import options

PAUSE_SECONDS = 1.0
GONE = 410


def watch(
    kind: str = "changes",
    name: str = "",
    *,
    since: int | None = None,
    count: int = 0,
    target: options.Target = options.Target(),
):
    """Print each change of a kind, an object or all, as a JSON line.

    A watch that breaks off goes on where it was, at the next instance
    named, and neither misses nor repeats a change.

    Example: dandelionctl watch requestclasses --since 1204

    Parameters
    ----------
    kind
        The kind to watch; all kinds where it is left out.
    name
        The one object to watch.
    since
        The version after which to begin; the present one where left out.
    count
        End after this many changes; 0 never ends.
    """
    words = (kind, name) if name else (kind,)
    servers = target.apis()
    if since is None:
        since = servers[0].get("history")["version"]
    left = count
    turn = 0
    while True:
        server = servers[turn % len(servers)]
        try:
            for line in server.watch(words, since):
                if line["type"] == "gone":
                    raise api.ApiError(GONE, line["message"], line["remedy"])
                since = line["version"]
                if line["type"] == "bookmark":
                    continue
                print(msgspec.json.encode(line).decode(), flush=True)
                left -= 1
                if left == 0:
                    return
        except api.ApiError as exc:
            if exc.status not in (0, 503):
                raise
        turn += 1
        gevent.sleep(PAUSE_SECONDS)


def history(
    *,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Show the recent changes: version, author, objects.

    Example: dandelionctl history --output json
    """
    options.show(target.api().get("history"), output, _table)


def _table(listing):
    table = rich.table.Table(title="history")
    for heading in ("version", "author", "operation_id", "objects"):
        table.add_column(heading)
    for item in listing["items"]:
        table.add_row(
            str(item["version"]),
            item["author"],
            item["operation_id"],
            " ".join(item["objects"]),
        )
    return table


def register(app):
    """Add the commands of this module."""
    for command in (watch, history):
        app.command(command)
