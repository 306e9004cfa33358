"""The listener for operators: the resource API, metrics, histograms."""

import urllib.parse
import uuid

from gevent import event as gevent_event
import msgspec

from dandeliontrail import events
from dandeliontrail.resources import changes

from .. import tokens
from .. import wsgi
from . import read_only

BODY_BYTES = 1024 * 1024
BODY_SECONDS = 10.0
WRITE_SECONDS = 10.0
ROOT = "/apis/v1/"

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


class OperatorsApp:
    """Serves the resource API."""

    def __init__(self, host, door):
        self._host = host
        self._door = door

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return wsgi.reply_json(start_response, {"ok": True})
        author = self._door.name_of(tokens.bearer(environ))
        if not author:
            raise wsgi.Problem(
                401,
                "unknown_token",
                "The token is not in operator_tokens_file.",
                "send Authorization: Bearer with a registered token",
            )
        if path == "/metrics":
            query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
            by = query.get("by", [""])[0]
            text = self._host.metrics.text(by).encode()
            plain = ("Content-Type", "text/plain; version=0.0.4")
            return wsgi.reply(start_response, 200, text, [plain])
        if not path.startswith(ROOT):
            raise wsgi.not_found(path)
        words = [
            urllib.parse.unquote(word)
            for word in path[len(ROOT) :].strip("/").split("/")
        ]
        return self._resource(words, author, environ, start_response)

    def _resource(self, words, author, environ, start_response):
        method = environ["REQUEST_METHOD"]
        if method == "GET":
            value = read_only.get(self._host, words)
            return wsgi.reply_json(start_response, value)
        if len(words) != 2:
            raise wsgi.not_found(environ["PATH_INFO"])
        operation = self._operation(words, method, environ)
        change = changes.Change(
            environ.get("HTTP_OPERATION_ID") or str(uuid.uuid4()),
            [operation],
            author,
        )
        result = self._write(change)
        if result.kind is not changes.ResultKind.ACCEPTED:
            raise _problem(result)
        if operation.verb is changes.Verb.DELETE:
            return wsgi.reply_json(start_response, result)
        value = read_only.get(self._host, words)
        return wsgi.reply_json(start_response, value)

    def _operation(self, words, method, environ):
        kind, name = words
        if_match = _if_match(environ)
        if method == "DELETE":
            return changes.Operation(
                changes.Verb.DELETE, kind, name, if_match=if_match
            )
        body = wsgi.read_body(environ, BODY_BYTES, BODY_SECONDS)
        submitted = wsgi.decode(body, Submitted, "send {'spec': {…}} as JSON")
        spec = submitted.spec
        if method == "PATCH":
            spec = self._merged(kind, name, spec)
        elif method != "PUT":
            raise wsgi.Problem(
                405,
                "method",
                f"{method} is not served here.",
                "use GET, PUT, PATCH or DELETE",
            )
        return changes.Operation(changes.Verb.PUT, kind, name, spec, if_match)

    def _merged(self, kind, name, spec):
        """Return the present spec with the given fields replaced."""
        held = read_only.held(self._host, kind, name)
        present = msgspec.json.decode(msgspec.json.encode(held.spec))
        present.update(msgspec.json.decode(spec))
        return msgspec.Raw(msgspec.json.encode(present))

    def _write(self, change):
        write_id = str(uuid.uuid4())
        waiting = gevent_event.AsyncResult()
        self._host.expect_write(write_id, waiting)
        self._host.submit(events.WriteSubmitted(write_id, change))
        result = waiting.wait(WRITE_SECONDS)
        self._host.forget_write(write_id)
        if result is None:
            return changes.Result(
                changes.ResultKind.UNKNOWN,
                message="No answer came in time; it may yet take effect.",
                remedy="resend with the same Operation-Id",
            )
        return result


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


def _problem(result):
    outcome = "not-run"
    if result.kind is changes.ResultKind.UNKNOWN:
        outcome = "unknown"
    return wsgi.Problem(
        _STATUSES[result.kind],
        result.kind.value,
        result.message,
        result.remedy,
        outcome=outcome,
    )
