"""Watches: the changes of objects, as they happen, as JSON lines.

Each line has the version that it stands at, so a watch that broke off goes
on from there, on this instance or another, and misses and repeats nothing.
"""

import urllib.parse

import msgspec

from dandeliontrail.resources import history

from .. import wsgi
from . import writes

# Without changes a line comes this often all the same: it moves the version
# to resume from along, and tells a live connection from one gone silent.
BOOKMARK_SECONDS = 10.0
ALL_KINDS = "changes"


class WatchedObject(msgspec.Struct):
    """An object in a watch; ``spec`` is null where it was deleted."""

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


def wanted(environ):
    """Tell whether a GET asks for a watch."""
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    return query.get("watch", [""])[0] == "true"


def serve(host, words, environ, start_response):
    """Stream the changes of a kind, of one object, or of all."""
    version = _from(host, environ)
    try:
        host.state.store.history.since(version)
    except history.HistoryGone as exc:
        raise writes.gone(exc)
    lines = ("Content-Type", "application/jsonl")
    start_response(wsgi.status_line(200), [lines])
    return _lines(host, words, version)


def _from(host, environ):
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


def _lines(host, words, version):
    yield _encode(WatchLine("bookmark", version))
    store = host.state.store
    while True:
        changed = host.wait_version(version, BOOKMARK_SECONDS)
        # ``from`` may lie ahead of an instance that is behind: it waits.
        reached = max(version, store.version)
        try:
            items = store.history.since(version)
        except history.HistoryGone as exc:
            yield _encode(
                WatchLine("gone", version, None, exc.message, exc.remedy)
            )
            return
        version = reached
        for item in items:
            for step in item.steps:
                if _matches(words, step):
                    yield _encode(_line(item.version, step))
        if not changed or not items:
            yield _encode(WatchLine("bookmark", version))


def _matches(words, step):
    if words[0] != ALL_KINDS and step.kind.value != words[0]:
        return False
    return len(words) == 1 or step.name == words[1]


def _line(version, step):
    deleted = bytes(step.after) == history.ABSENT
    found = WatchedObject(step.kind.value, step.name, version, step.after)
    return WatchLine("deleted" if deleted else "put", version, found)


def _encode(line):
    return msgspec.json.encode(line) + b"\n"
