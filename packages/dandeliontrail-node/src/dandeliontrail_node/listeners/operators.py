"""The listener for operators: the resource API and metrics."""

import urllib.parse

from .. import tokens
from .. import wsgi
from . import keepers
from . import resource_views
from . import watches
from . import writes

API_ROOT = "/apis/v1/"


class OperatorsApp:
    """Serves the resource API, ``/metrics`` and ``/healthz``."""

    def __init__(self, host, authenticator):
        self._host = host
        self._authenticator = authenticator
        self._writer = writes.Writer(host)

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return wsgi.reply_json(start_response, {"ok": True})
        author = self._authenticator.name_of(tokens.bearer_token(environ))
        if not author:
            raise wsgi.Problem(
                401,
                "unknown_token",
                "The token is not in operator_tokens_file.",
                "send Authorization: Bearer with a registered token",
            )
        if path == "/metrics":
            return self._reply_metrics(environ, start_response)
        if not path.startswith(API_ROOT):
            raise wsgi.not_found(path)
        segments = [
            urllib.parse.unquote(segment)
            for segment in path[len(API_ROOT) :].strip("/").split("/")
        ]
        if environ["REQUEST_METHOD"] == "GET":
            return self._read(segments, environ, start_response)
        value = self._write(segments, author, environ)
        return wsgi.reply_json(start_response, value)

    def _reply_metrics(self, environ, start_response):
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        group_by = query.get("by", [""])[0]
        return resource_views.reply_metrics(
            self._host, start_response, group_by
        )

    def _read(self, segments, environ, start_response):
        if watches.is_requested(environ):
            return watches.serve(self._host, segments, environ, start_response)
        if _wants_fresh(environ):
            self._writer.wait_until_current()
        if segments == ["keepers"]:
            value = keepers.listing(self._host)
        else:
            value = resource_views.get(self._host, segments)
        return wsgi.reply_json(start_response, value)

    def _write(self, segments, author, environ):
        method = environ["REQUEST_METHOD"]
        if segments == ["changes"] and method == "POST":
            return self._writer.change(author, environ)
        if segments == ["rollback"] and method == "POST":
            return self._writer.rollback(author, environ)
        if len(segments) != 2:
            raise wsgi.not_found(environ["PATH_INFO"])
        if segments[0] == "keepers":
            return keepers.change(self._host, segments[1], method)
        return self._writer.object(segments, author, environ)


def _wants_fresh(environ):
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    return query.get("fresh", [""])[0] == "true"
