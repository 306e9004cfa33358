"""The listener for operators: the resource API, metrics, histograms."""

import urllib.parse

from .. import tokens
from .. import wsgi
from . import keepers
from . import read_only
from . import watches
from . import writes

ROOT = "/apis/v1/"


class OperatorsApp:
    """Serves the resource API."""

    def __init__(self, host, door):
        self._host = host
        self._door = door
        self._writer = writes.Writer(host)

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
            return self._metrics(environ, start_response)
        if not path.startswith(ROOT):
            raise wsgi.not_found(path)
        words = [
            urllib.parse.unquote(word)
            for word in path[len(ROOT) :].strip("/").split("/")
        ]
        if environ["REQUEST_METHOD"] == "GET":
            return self._read(words, environ, start_response)
        value = self._write(words, author, environ)
        return wsgi.reply_json(start_response, value)

    def _metrics(self, environ, start_response):
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        by = query.get("by", [""])[0]
        return read_only.reply_metrics(self._host, start_response, by)

    def _read(self, words, environ, start_response):
        if watches.wanted(environ):
            return watches.serve(self._host, words, environ, start_response)
        if _asks_fresh(environ):
            self._writer.refresh()
        if words == ["keepers"]:
            value = keepers.listing(self._host)
        else:
            value = read_only.get(self._host, words)
        return wsgi.reply_json(start_response, value)

    def _write(self, words, author, environ):
        method = environ["REQUEST_METHOD"]
        if words == ["changes"] and method == "POST":
            return self._writer.change(author, environ)
        if words == ["rollback"] and method == "POST":
            return self._writer.rollback(author, environ)
        if len(words) != 2:
            raise wsgi.not_found(environ["PATH_INFO"])
        if words[0] == "keepers":
            return keepers.change(self._host, words[1], method)
        return self._writer.object(words, author, environ)


def _asks_fresh(environ):
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    return query.get("fresh", [""])[0] == "true"
