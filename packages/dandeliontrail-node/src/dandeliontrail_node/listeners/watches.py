"""Watches: streams of changes to objects, as JSON lines.

Each line carries the version that the watch has reached.  An interrupted
watch can resume from that version, on this instance or another, without
missing or repeating a change.
"""

import urllib.parse

import msgspec

from dandeliontrail.resources import history

from .. import wsgi
from . import writes

# The interval of bookmark lines while nothing changes: they advance the
# version to resume from and show that the connection is alive.
BOOKMARK_SECONDS = 10.0
ALL_KINDS = "changes"


class WatchedObject(msgspec.Struct):
    """An object in a watch; ``spec`` is null if it was deleted."""

    kind: str
    name: str
    version: int
    spec: msgspec.Raw


class WatchLine(msgspec.Struct, omit_defaults=True):
    """One line: ``put``, ``deleted``, ``bookmark`` or ``gone``."""

    type: str
    version: int
    object: WatchedObject | None = None
    message: str = ""
    remedy: str = ""


def is_requested(environ):
    """Return whether a GET request asks for a watch."""
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    return query.get("watch", [""])[0] == "true"


def serve(host, segments, environ, start_response):
    """Stream the changes of one kind, of one object, or of all kinds.

    ``segments`` are the parts of the path after the root of the API.  Raises
    ``wsgi.Problem`` if the version to start from is malformed or no longer
    retained.
    """
    version = _start_version(host, environ)
    try:
        host.state.store.history.since(version)
    except history.HistoryGone as exc:
        raise writes.version_gone_problem(exc)
    content_type = ("Content-Type", "application/jsonl")
    start_response(wsgi.status_line(200), [content_type])
    return _lines(host, segments, version)


def _start_version(host, environ):
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    text = query.get("from", [""])[0]
    if not text:
        return host.state.store.version
    if not text.isdigit():
        raise wsgi.Problem(
            400,
            "from",
            f"from is {text!r}.",
            "give the version of a listing or of the last line seen",
        )
    return int(text)


def _lines(host, segments, version):
    yield _encode(WatchLine("bookmark", version))
    store = host.state.store
    while True:
        changed = host.wait_version(version, BOOKMARK_SECONDS)
        # ``from`` may be ahead of an instance that lags behind; the watch
        # then waits until the instance has caught up.
        next_version = max(version, store.version)
        try:
            items = store.history.since(version)
        except history.HistoryGone as exc:
            yield _encode(
                WatchLine("gone", version, None, exc.message, exc.remedy)
            )
            return
        version = next_version
        for item in items:
            for step in item.steps:
                if _matches(segments, step):
                    yield _encode(_line(item.version, step))
        if not changed or not items:
            yield _encode(WatchLine("bookmark", version))


def _matches(segments, step):
    if segments[0] != ALL_KINDS and step.kind.value != segments[0]:
        return False
    return len(segments) == 1 or step.name == segments[1]


def _line(version, step):
    deleted = bytes(step.after) == history.ABSENT
    watched = WatchedObject(step.kind.value, step.name, version, step.after)
    return WatchLine("deleted" if deleted else "put", version, watched)


def _encode(line):
    return msgspec.json.encode(line) + b"\n"
