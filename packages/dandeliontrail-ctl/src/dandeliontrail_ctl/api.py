"""HTTP client for the resource API on an instance's operators listener."""

import urllib.parse

import gevent
import geventhttpclient
from geventhttpclient import url as url_module
import msgspec

import dandeliontrail

REQUEST_TIMEOUT_SECONDS = 15.0
# An idle watch sends a bookmark at least every ten seconds, so a connection
# without data for more than two of these intervals is dead.
WATCH_TIMEOUT_SECONDS = 25.0
API_ROOT = "/apis/v1/"
HTTP_CONFLICT = 409
READ_BYTES = 64 * 1024
# ``UnicodeError`` is raised for a host that is no valid name: ``a..b``.
CONNECTION_ERRORS = (
    OSError,
    UnicodeError,
    geventhttpclient.response.HTTPParseError,
)


class ApiError(dandeliontrail.DandeliontrailError):
    """An instance returned an error, or could not be reached.

    ``status`` is the HTTP status code, or 0 where there was no response.
    """

    def __init__(self, status, message, remedy):
        super().__init__(message, remedy)
        self.status = status


class ErrorDetails(msgspec.Struct):
    """The ``error`` object of an error response."""

    code: str = ""
    message: str = ""
    remedy: str = ""


class ErrorAnswer(msgspec.Struct):
    """The body of an error response."""

    error: ErrorDetails


class Api:
    """Client for the resource API of one instance."""

    def __init__(self, server, token=""):
        self.url = server
        # ``None`` is no bound; see ``bound_responses``.
        self._max_response_bytes = None
        self._max_response_seconds = None
        self._headers = {"Content-Type": "application/json"}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"

    def bound_responses(self, max_bytes, max_seconds):
        """Fail each call with a response that is longer or takes longer.

        The time is that of the whole call, from the connection on.
        """
        self._max_response_bytes = max_bytes
        self._max_response_seconds = max_seconds

    def get(self, *path_segments):
        """Return all objects of a kind, or one object."""
        return self._call("GET", path_segments, b"", {})

    def put(self, kind, name, spec, **options):
        """Create or replace one object."""
        body = msgspec.json.encode({"spec": spec})
        return self._call("PUT", (kind, name), body, _option_headers(options))

    def post(self, *path_segments, body=b"", **options):
        """Start an action; the last path segment may carry a query string."""
        return self._call(
            "POST", path_segments, body, _option_headers(options)
        )

    def watch(self, path_segments, version):
        """Yield the decoded lines of a watch that starts after ``version``.

        The generator ends when the connection closes; the caller resumes
        from the version of the last line.
        """
        path = API_ROOT + "/".join(
            urllib.parse.quote(segment) for segment in path_segments
        )
        client = self._new_client(WATCH_TIMEOUT_SECONDS)
        try:
            response = client.get(
                f"{path}?watch=true&from={version}", self._headers
            )
            if response.status_code >= 400:
                raise _response_error(response.status_code, response.read())
            while line := response.readline(b"\n"):
                yield msgspec.json.decode(line)
        except CONNECTION_ERRORS as exc:
            raise _unreachable_error(self.url, exc)
        finally:
            client.close()

    def delete(self, kind, name, **options):
        """Delete one object."""
        return self._call(
            "DELETE", (kind, name), b"", _option_headers(options)
        )

    def _new_client(self, timeout):
        try:
            return geventhttpclient.HTTPClient.from_url(
                url_module.URL(self.url), network_timeout=timeout
            )
        except ValueError as exc:
            # The URL is malformed, for example its port is no number.
            raise _unreachable_error(self.url, exc)

    def _call(self, method, path_segments, body, headers):
        path = API_ROOT + "/".join(
            urllib.parse.quote(segment, safe="?=") for segment in path_segments
        )
        client = self._new_client(REQUEST_TIMEOUT_SECONDS)
        too_late = ApiError(
            0,
            f"{self.url} sent no whole response within"
            f" {self._max_response_seconds} s.",
            "send it again later, or give another instance",
        )
        try:
            with gevent.Timeout(self._max_response_seconds, too_late):
                response = client.request(
                    method, path, body, {**self._headers, **headers}
                )
                text = self._read(response)
        except CONNECTION_ERRORS as exc:
            raise _unreachable_error(self.url, exc)
        finally:
            client.close()
        if response.status_code >= 400:
            raise _response_error(response.status_code, text)
        return _decode(self.url, text)

    def _read(self, response):
        if self._max_response_bytes is None:
            return response.read()
        chunks, size = [], 0
        while chunk := response.read(READ_BYTES):
            chunks.append(chunk)
            size += len(chunk)
            if size > self._max_response_bytes:
                raise ApiError(
                    0,
                    f"{self.url} sent more than"
                    f" {self._max_response_bytes} bytes.",
                    "check that --server names an operators listener",
                )
        return b"".join(chunks)


def _decode(url, text):
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise ApiError(
            0,
            f"{url} sent a response that is not JSON: {exc}.",
            "check that --server names an operators listener",
        )


def _unreachable_error(url, exc):
    return ApiError(
        0,
        f"{url} cannot be reached: {exc}.",
        "check --server, or give another instance",
    )


def _option_headers(options):
    headers = {}
    if options.get("if_match") is not None:
        headers["If-Match"] = str(options["if_match"])
    if options.get("operation_id"):
        headers["Operation-Id"] = options["operation_id"]
    return headers


def _response_error(status, text):
    try:
        details = msgspec.json.decode(text, type=ErrorAnswer).error
    except (msgspec.DecodeError, RecursionError):
        return ApiError(status, f"HTTP {status}.", "see the instance's log")
    return ApiError(status, details.message, details.remedy)
