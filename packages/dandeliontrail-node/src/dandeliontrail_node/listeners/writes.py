"""Operators' writes: one object, many at once, roll-backs, dry runs."""

import typing
import urllib.parse
import uuid

from gevent import event as gevent_event
import msgspec

from dandeliontrail import events
from dandeliontrail.resources import changes
from dandeliontrail.resources import history

from .. import wsgi
from . import read_only

BODY_BYTES = 1024 * 1024
BODY_SECONDS = 10.0
# Longer than the reducer takes to call a proposal unknown.
WRITE_SECONDS = 10.0
RETRY_AFTER = 2.0
# How often a PATCH without If-Match is merged anew when someone else wrote
# in between; each round somebody got further, so a few suffice.
PATCH_ROUNDS = 5

_STATUSES = {
    changes.ResultKind.CONFLICT: 409,
    changes.ResultKind.INVALID: 400,
    changes.ResultKind.NOT_FOUND: 404,
    changes.ResultKind.NO_QUORUM: 503,
    changes.ResultKind.UNKNOWN: 504,
}


class Submitted(msgspec.Struct):
    """The body of a write to one object; only ``spec`` counts."""

    spec: msgspec.Raw
    kind: str = ""
    name: str = ""
    version: int | None = None


class SubmittedChange(msgspec.Struct, forbid_unknown_fields=True):
    """The body of an atomic change of many objects."""

    operations: list[changes.Operation]


class SubmittedRollback(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a roll-back: the version whose state is wanted."""

    to: int


class Writer:
    """Submits changes to the reducer and waits for their results."""

    def __init__(self, host):
        self._host = host

    def object(self, words, author, environ):
        """Write one object and return what it is then."""
        kind, name = words
        method = environ["REQUEST_METHOD"]
        operation_id = _operation_id(environ)
        if_match = _if_match(environ)
        if method == "DELETE":
            operation = changes.Operation(
                changes.Verb.DELETE, kind, name, if_match=if_match
            )
            change = changes.Change(operation_id, [operation], author)
            return self._accepted(change, environ)
        body = wsgi.read_body(environ, BODY_BYTES, BODY_SECONDS)
        submitted = wsgi.decode(body, Submitted, "send {'spec': {…}} as JSON")
        spec = submitted.spec
        if method == "PATCH":
            found = self._patch(words, author, environ, spec)
        elif method == "PUT":
            operation = changes.Operation(
                changes.Verb.PUT, kind, name, spec, if_match
            )
            change = changes.Change(operation_id, [operation], author)
            found = self._accepted(change, environ)
        else:
            raise wsgi.Problem(
                405,
                "method",
                f"{method} is not served here.",
                "use GET, PUT, PATCH or DELETE",
            )
        return read_only.after_write(self._host, words, found)

    def _patch(self, words, author, environ, fields):
        """Merge fields into an object, on top of its present version.

        The merge is made here and written under the version that it was
        made from, so that two of them at once cannot undo each other.
        """
        kind, name = words
        first_id = _operation_id(environ)
        given = _if_match(environ)
        for number in range(PATCH_ROUNDS):
            held = read_only.held(self._host, kind, name)
            present = msgspec.json.decode(msgspec.json.encode(held.spec))
            merged = merge_patch(present, msgspec.json.decode(fields))
            if_match = held.version if given is None else given
            operation = changes.Operation(
                changes.Verb.PUT,
                kind,
                name,
                msgspec.Raw(msgspec.json.encode(merged)),
                if_match,
            )
            operation_id = f"{first_id}/{number}" if number else first_id
            change = changes.Change(operation_id, [operation], author)
            result = self._result(change, environ)
            again = result.kind is changes.ResultKind.CONFLICT
            if not again or given is not None:
                break
        return _checked(result)

    def change(self, author, environ):
        """Make several operations one change: all or none takes effect."""
        body = wsgi.read_body(environ, BODY_BYTES, BODY_SECONDS)
        submitted = wsgi.decode(
            body,
            SubmittedChange,
            "send {'operations': [{'verb', 'kind', 'name', 'spec'}, …]}",
        )
        change = changes.Change(
            _operation_id(environ), submitted.operations, author
        )
        return self._accepted(change, environ)

    def rollback(self, author, environ):
        """Bring all objects back to an earlier version, by a new change."""
        body = wsgi.read_body(environ, BODY_BYTES, BODY_SECONDS)
        submitted = wsgi.decode(body, SubmittedRollback, "send {'to': N}")
        try:
            operations = self._host.state.store.rollback(submitted.to)
        except history.HistoryGone as exc:
            raise gone(exc)
        change = changes.Change(_operation_id(environ), operations, author)
        return self._accepted(change, environ)

    def _accepted(self, change, environ):
        return _checked(self._result(change, environ))

    def _result(self, change, environ):
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        if query.get("dry_run", [""])[0] == "true":
            return self._host.state.store.check(change)
        write_id = str(uuid.uuid4())
        return self._wait(write_id, events.WriteSubmitted(write_id, change))

    def refresh(self):
        """Return once all that was accepted until now is in force here."""
        read_id = str(uuid.uuid4())
        _checked(self._wait(read_id, events.ReadSubmitted(read_id)))

    def _wait(self, write_id, event):
        waiting = gevent_event.AsyncResult()
        self._host.expect_write(write_id, waiting)
        self._host.submit(event)
        result = waiting.wait(WRITE_SECONDS)
        self._host.forget_write(write_id)
        if result is None:
            return changes.Result(
                changes.ResultKind.UNKNOWN,
                message="No answer came in time; it may yet take effect.",
                remedy="resend with the same Operation-Id",
            )
        return result


def merge_patch(present, patch) -> typing.Any:
    """Return ``present`` with ``patch`` merged in (RFC 7396).

    >>> merge_patch({"a": 1, "b": {"c": 2}}, {"a": None, "b": {"d": 3}})
    {'b': {'c': 2, 'd': 3}}
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(present) if isinstance(present, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def gone(exc):
    """Return the problem of a version that is no longer held."""
    return wsgi.Problem(410, "version_gone", exc.message, exc.remedy)


def _operation_id(environ):
    given = environ.get("HTTP_OPERATION_ID", "")
    if len(given) > 200:
        raise wsgi.Problem(
            400,
            "operation_id",
            "Operation-Id is longer than 200 characters.",
            "use a UUID",
        )
    return given or str(uuid.uuid4())


def _if_match(environ):
    text = environ.get("HTTP_IF_MATCH", "").strip('" ')
    if not text:
        return None
    if not text.isdigit():
        raise wsgi.Problem(
            400,
            "if_match",
            f"If-Match is {text!r}.",
            "give the version of the object, a whole number",
        )
    return int(text)


def _checked(result):
    """Return an accepted result, or raise the problem that it tells."""
    if result.kind is changes.ResultKind.ACCEPTED:
        return result
    unknown = result.kind is changes.ResultKind.UNKNOWN
    retry_after = None
    if unknown or result.kind is changes.ResultKind.NO_QUORUM:
        retry_after = RETRY_AFTER
    raise wsgi.Problem(
        _STATUSES[result.kind],
        result.kind.value,
        result.message,
        result.remedy,
        outcome="unknown" if unknown else "not-run",
        retry_after=retry_after,
    )
