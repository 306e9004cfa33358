"""Commands that show changes: watch, history."""

import gevent
import msgspec
import rich.table

from .. import api
from .. import options

RECONNECT_PAUSE_SECONDS = 1.0
HTTP_GONE = 410


def watch(
    kind: str = "changes",
    name: str = "",
    *,
    since: int | None = None,
    count: int = 0,
    target: options.Target = options.Target(),
):
    """Print each change to a kind, an object or everything, as a JSON line.

    If the connection breaks, the watch resumes at the next given instance,
    and neither misses nor repeats a change.

    Example: dandelionctl watch requestclasses --since 1204

    Parameters
    ----------
    kind
        The kind to watch; all kinds if omitted.
    name
        Name of the object to watch; all objects of the kind if omitted.
    since
        Print changes after this version; the current one if omitted.
    count
        Stop after this many changes; 0 means never.
    """
    path_segments = (kind, name) if name else (kind,)
    servers = target.apis()
    if since is None:
        since = servers[0].get("history")["version"]
    remaining = count
    attempt = 0
    while True:
        server = servers[attempt % len(servers)]
        try:
            for line in server.watch(path_segments, since):
                if line["type"] == "gone":
                    raise api.ApiError(
                        HTTP_GONE, line["message"], line["remedy"]
                    )
                since = line["version"]
                if line["type"] == "bookmark":
                    continue
                print(msgspec.json.encode(line).decode(), flush=True)
                remaining -= 1
                if remaining == 0:
                    return
        except api.ApiError as exc:
            if exc.status not in (0, 503):
                raise
        attempt += 1
        gevent.sleep(RECONNECT_PAUSE_SECONDS)


def history(
    *,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Show the recent changes: version, author, objects.

    Example: dandelionctl history --output json
    """
    options.show(target.api().get("history"), output, _history_table)


def _history_table(listing):
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
    """Add this module's commands to ``app``."""
    for command in (watch, history):
        app.command(command)
