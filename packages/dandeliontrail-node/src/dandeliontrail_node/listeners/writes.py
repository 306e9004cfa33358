"""Operators' writes: single objects, atomic changes, rollbacks, dry runs."""

import typing
import urllib.parse
import uuid

from gevent import event as gevent_event
import msgspec

from dandeliontrail import events
from dandeliontrail.resources import changes
from dandeliontrail.resources import history

from .. import wsgi
from . import resource_views

MAX_BODY_BYTES = 1024 * 1024
MAX_BODY_SECONDS = 10.0
# Longer than the time after which the reducer itself reports the result of a
# proposal as unknown.
WRITE_TIMEOUT_SECONDS = 10.0
RETRY_AFTER_SECONDS = 2.0
# How often a PATCH without If-Match is merged and written if concurrent writes
# conflict with it.  In each round at least one writer succeeds, so a few
# attempts suffice.
MAX_PATCH_ATTEMPTS = 5

_NOT_CURRENT = changes.Result(
    changes.ResultKind.NO_QUORUM,
    message="No majority of the keepers confirmed in time what is current.",
    remedy="send it again later, or through an instance that reaches a"
    " majority of keepers",
)
_STATUSES = {
    changes.ResultKind.CONFLICT: 409,
    changes.ResultKind.INVALID: 400,
    changes.ResultKind.NOT_FOUND: 404,
    changes.ResultKind.NO_QUORUM: 503,
    changes.ResultKind.UNKNOWN: 504,
}


class Submitted(msgspec.Struct):
    """The body of a write to one object; all but ``spec`` is ignored."""

    spec: msgspec.Raw
    kind: str = ""
    name: str = ""
    version: int | None = None


class SubmittedChange(msgspec.Struct, forbid_unknown_fields=True):
    """The body of an atomic change of many objects."""

    operations: list[changes.Operation]


class SubmittedRollback(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a rollback; ``to`` is the version to restore."""

    to: int


class Writer:
    """Submits changes to the reducer and waits for their results."""

    def __init__(self, host):
        self._host = host

    def object(self, segments, author, environ):
        """Write one object and return its new state."""
        kind, name = segments
        method = environ["REQUEST_METHOD"]
        operation_id = _operation_id(environ)
        if_match = _if_match(environ)
        if method == "DELETE":
            operation = changes.Operation(
                changes.Verb.DELETE, kind, name, if_match=if_match
            )
            change = changes.Change(operation_id, [operation], author)
            return self._apply(change, environ)
        body = wsgi.read_body(environ, MAX_BODY_BYTES, MAX_BODY_SECONDS)
        submitted = wsgi.decode(body, Submitted, "send {'spec': {…}} as JSON")
        spec = submitted.spec
        if method == "PATCH":
            found = self._patch(segments, author, environ, spec)
        elif method == "PUT":
            operation = changes.Operation(
                changes.Verb.PUT, kind, name, spec, if_match
            )
            change = changes.Change(operation_id, [operation], author)
            found = self._apply(change, environ)
        else:
            raise wsgi.Problem(
                405,
                "method",
                f"{method} is not supported here.",
                "use GET, PUT, PATCH or DELETE",
            )
        return resource_views.after_write(self._host, segments, found)

    def _patch(self, segments, author, environ, fields):
        """Merge ``fields`` into an object and write the result.

        The merge is computed here and written on condition that the object
        still has the version that it was computed from, so that two
        concurrent patches cannot overwrite each other.
        """
        kind, name = segments
        base_operation_id = _operation_id(environ)
        given = _if_match(environ)
        for attempt in range(MAX_PATCH_ATTEMPTS):
            stored = resource_views.stored_object(self._host, kind, name)
            present = msgspec.json.decode(msgspec.json.encode(stored.spec))
            merged = merge_patch(present, msgspec.json.decode(fields))
            if_match = stored.version if given is None else given
            operation = changes.Operation(
                changes.Verb.PUT,
                kind,
                name,
                msgspec.Raw(msgspec.json.encode(merged)),
                if_match,
            )
            operation_id = (
                f"{base_operation_id}/{attempt}"
                if attempt
                else base_operation_id
            )
            change = changes.Change(operation_id, [operation], author)
            result = self._submit(change, environ)
            conflict = result.kind is changes.ResultKind.CONFLICT
            if not conflict or given is not None:
                break
        return _check_result(result)

    def change(self, author, environ):
        """Apply several operations atomically, as one change."""
        body = wsgi.read_body(environ, MAX_BODY_BYTES, MAX_BODY_SECONDS)
        submitted = wsgi.decode(
            body,
            SubmittedChange,
            "send {'operations': [{'verb', 'kind', 'name', 'spec'}, …]}",
        )
        change = changes.Change(
            _operation_id(environ), submitted.operations, author
        )
        return self._apply(change, environ)

    def rollback(self, author, environ):
        """Restore the state of all objects at a version, by a new change."""
        body = wsgi.read_body(environ, MAX_BODY_BYTES, MAX_BODY_SECONDS)
        submitted = wsgi.decode(body, SubmittedRollback, "send {'to': N}")
        try:
            operations = self._host.state.store.rollback(submitted.to)
        except history.HistoryGone as exc:
            raise version_gone_problem(exc)
        change = changes.Change(_operation_id(environ), operations, author)
        return self._apply(change, environ)

    def _apply(self, change, environ):
        return _check_result(self._submit(change, environ))

    def _submit(self, change, environ):
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        if query.get("dry_run", [""])[0] == "true":
            return self._host.state.store.check(change)
        write_id = str(uuid.uuid4())
        return self._submit_and_wait(
            write_id, events.WriteSubmitted(write_id, change)
        )

    def wait_until_current(self):
        """Wait until every change accepted so far is in force here.

        A read changes nothing, so one that was not confirmed was not run.
        """
        read_id = str(uuid.uuid4())
        result = self._submit_and_wait(read_id, events.ReadSubmitted(read_id))
        if result.kind is changes.ResultKind.UNKNOWN:
            result = _NOT_CURRENT
        _check_result(result)

    def _submit_and_wait(self, write_id, event):
        pending_result = gevent_event.AsyncResult()
        self._host.register_write(write_id, pending_result)
        self._host.submit(event)
        result = pending_result.wait(WRITE_TIMEOUT_SECONDS)
        self._host.unregister_write(write_id)
        if result is None:
            return changes.Result(
                changes.ResultKind.UNKNOWN,
                message="No answer came in time; it may still take effect.",
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


def version_gone_problem(exc):
    """Return the problem for a version that is no longer stored."""
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


def _check_result(result):
    """Return an accepted result; raise any other as a ``wsgi.Problem``."""
    if result.kind is changes.ResultKind.ACCEPTED:
        return result
    is_unknown = result.kind is changes.ResultKind.UNKNOWN
    retry_after = None
    if is_unknown or result.kind is changes.ResultKind.NO_QUORUM:
        retry_after = RETRY_AFTER_SECONDS
    raise wsgi.Problem(
        _STATUSES[result.kind],
        result.kind.value,
        result.message,
        result.remedy,
        outcome="unknown" if is_unknown else "not-run",
        retry_after=retry_after,
    )
