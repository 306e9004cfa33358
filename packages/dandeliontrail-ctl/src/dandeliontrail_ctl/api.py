"""Talks to the operators' listener of an instance."""

import urllib.parse

import geventhttpclient
from geventhttpclient import url as url_module
import msgspec

import dandeliontrail

SECONDS = 15.0
# A watch sends a line every ten seconds at the least; a connection silent
# for longer than two of them is dead.
WATCH_SILENCE = 25.0
ROOT = "/apis/v1/"
CONFLICT = 409
FAILURES = (OSError, geventhttpclient.response.HTTPParseError)


class ApiError(dandeliontrail.DandeliontrailError):
    """An instance answered with an error; ``status`` is that of HTTP."""

    def __init__(self, status, message, remedy):
        super().__init__(message, remedy)
        self.status = status


class Inner(msgspec.Struct):
    """The error inside an answer."""

    code: str = ""
    message: str = ""
    remedy: str = ""


class ErrorAnswer(msgspec.Struct):
    """An answer that is an error."""

    error: Inner


class Api:
    """The resource API at one URL."""

    def __init__(self, server, token=""):
        self.url = server
        self._headers = {"Content-Type": "application/json"}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"

    def get(self, *words):
        """Read a kind, or one object."""
        return self._call("GET", words, b"", {})

    def put(self, kind, name, spec, **options):
        """Write one object."""
        body = msgspec.json.encode({"spec": spec})
        return self._call("PUT", (kind, name), body, _options(options))

    def post(self, *words, body=b"", **options):
        """Ask for an action; a query may follow the last word."""
        return self._call("POST", words, body, _options(options))

    def watch(self, words, version):
        """Yield each line of a watch from ``version`` on, decoded.

        It ends where the connection does; the caller goes on from the
        version of the last line.
        """
        path = ROOT + "/".join(urllib.parse.quote(word) for word in words)
        client = geventhttpclient.HTTPClient.from_url(
            url_module.URL(self.url), network_timeout=WATCH_SILENCE
        )
        try:
            response = client.get(
                f"{path}?watch=true&from={version}", self._headers
            )
            if response.status_code >= 400:
                raise _error(response.status_code, response.read())
            while line := response.readline(b"\n"):
                yield msgspec.json.decode(line)
        except FAILURES as exc:
            raise _no_answer(self.url, exc)
        finally:
            client.close()

    def delete(self, kind, name, **options):
        """Delete one object."""
        return self._call("DELETE", (kind, name), b"", _options(options))

    def _call(self, method, words, body, headers):
        path = ROOT + "/".join(
            urllib.parse.quote(word, safe="?=") for word in words
        )
        client = geventhttpclient.HTTPClient.from_url(
            url_module.URL(self.url), network_timeout=SECONDS
        )
        try:
            response = client.request(
                method, path, body, {**self._headers, **headers}
            )
            text = response.read()
        except FAILURES as exc:
            raise _no_answer(self.url, exc)
        finally:
            client.close()
        if response.status_code >= 400:
            raise _error(response.status_code, text)
        return msgspec.json.decode(text)


def _no_answer(url, exc):
    return ApiError(
        0,
        f"{url} does not answer: {exc}.",
        "check --server, or name another instance",
    )


def _options(options):
    headers = {}
    if options.get("if_match") is not None:
        headers["If-Match"] = str(options["if_match"])
    if options.get("operation_id"):
        headers["Operation-Id"] = options["operation_id"]
    return headers


def _error(status, text):
    try:
        inner = msgspec.json.decode(text, type=ErrorAnswer).error
    except msgspec.DecodeError:
        return ApiError(status, f"HTTP {status}.", "see the instance's log")
    return ApiError(status, inner.message, inner.remedy)
