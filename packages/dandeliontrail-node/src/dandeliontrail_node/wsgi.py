"""Requests, responses and errors of the WSGI apps of all listeners."""

import http

import msgspec

from . import body_reader

JSON = ("Content-Type", "application/json")
# The key in the WSGI environment of the caller's socket.
SOCKET = "dandeliontrail.socket"


_PHRASES = {int(item): item.phrase for item in http.HTTPStatus}
# The key in the WSGI environment of the request's :class:`Head`.
HEAD = "dandeliontrail.head"
# The key of the request's :class:`.client_holds.RequestHolds`.
HOLDS = "dandeliontrail.holds"


class Head:
    """The head of a request as received, for apps that forward it.

    ``target`` is the path with its query, not decoded; ``headers`` are the
    pairs of name and value in their original order.
    """

    __slots__ = ("method", "target", "headers")

    def __init__(self, method, target, headers):
        self.method = method
        self.target = target
        self.headers = headers

    def get(self, name):
        """Return the value of a header by its lower-case name, or ``""``."""
        for header, value in self.headers:
            if header.lower() == name:
                return value
        return ""


class Aborted(BaseException):
    """Ends the response by closing the connection before its proper end."""


class Problem(Exception):
    """An error response, raised to end the handling of a request.

    ``outcome`` and ``request_id`` are empty if no request was run. ``close``
    closes the connection, for cases in which the start of the next request
    cannot be determined.
    """

    def __init__(self, status, code, message, remedy, **extra):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.remedy = remedy
        self.outcome = extra.get("outcome", "")
        self.request_id = extra.get("request_id", "")
        self.retry_after = extra.get("retry_after")
        self.close = extra.get("close", False)


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """The content of an error response."""

    type: str
    code: str
    message: str
    remedy: str
    outcome: str = ""
    request_id: str = ""


class ErrorAnswer(msgspec.Struct):
    """An error response as the HTTP API defines it."""

    error: ErrorBody


_ERROR_TYPES = {
    401: "authentication",
    403: "permission",
    404: "not_found",
    409: "conflict",
    429: "rate_limit",
}


def error_body(problem):
    """Return the JSON body of a problem."""
    return msgspec.json.encode(
        ErrorAnswer(
            ErrorBody(
                _error_type(problem.status),
                problem.code,
                problem.message,
                problem.remedy,
                problem.outcome,
                problem.request_id,
            )
        )
    )


def _error_type(status):
    """Return the error type of a status; the caller can fix any 4xx."""
    if status >= 500:
        return "server_error"
    return _ERROR_TYPES.get(status, "invalid_request")


def status_line(status):
    """Return the status line, such as ``404 Not Found`` for 404.

    The reason phrase of a status that has no name is empty (RFC 9112,
    section 4).
    """
    return f"{status} {_PHRASES.get(status, '')}"


def problem_headers(problem):
    """Return the response headers of a problem."""
    headers = [JSON]
    if problem.request_id:
        headers.append(("X-Request-Id", problem.request_id))
    if problem.outcome:
        headers.append(("X-Outcome", problem.outcome))
    if problem.retry_after is not None:
        seconds = max(1, round(problem.retry_after))
        headers.append(("Retry-After", str(seconds)))
    if problem.close:
        headers.append(("Connection", "close"))
    return headers


def reply(start_response, status, body, headers=()):
    """Start a response with a complete body and return its iterable."""
    length_header = ("Content-Length", str(len(body)))
    start_response(status_line(status), [*headers, length_header])
    return [body]


def reply_json(start_response, value, status=200):
    """Respond with ``value`` as JSON."""
    return reply(start_response, status, msgspec.json.encode(value), [JSON])


def reply_problem(start_response, problem):
    """Respond with an error."""
    body = error_body(problem)
    headers = problem_headers(problem)
    return reply(start_response, problem.status, body, headers)


def read_body(environ, limit, seconds):
    """Return the body of a request, limited in size and in time.

    It is held until the request has ended.  Raises :class:`Problem` if it is
    too large, too slow or broken, or if the instance has no room for it. The
    HTTP server has already checked that ``Content-Length`` is a number.
    """
    holds = environ[HOLDS]
    try:
        return _read_body(environ, holds, limit, seconds)
    except Problem as problem:
        holds.note_refused(problem)
        raise


def _read_body(environ, holds, limit, seconds):
    length = environ.get("CONTENT_LENGTH")
    if length and int(length) > limit:
        raise _body_too_large(limit)
    try:
        return body_reader.read(environ["wsgi.input"], holds, limit, seconds)
    except body_reader.TooLarge:
        raise _body_too_large(limit)
    except body_reader.TooSlow:
        raise _body_problem(
            408,
            "slow_body",
            f"The body did not arrive within {seconds:g} s.",
            "send it again over a faster connection",
        )
    except body_reader.NoRoom:
        raise no_room()
    except OSError as exc:
        raise _body_problem(
            400,
            "cut_body",
            f"The body broke off or is malformed: {exc}.",
            "send it again whole, with its right Content-Length or chunks",
        )


def no_room():
    """Return the problem of a request that the instance cannot hold."""
    return Problem(
        503,
        "no_room",
        "The instance holds as much for its clients as it may.",
        "send it again after the time in Retry-After, or smaller",
        outcome="not-run",
        close=True,
        retry_after=body_reader.retry_after_seconds(),
    )


def _body_problem(status, code, message, remedy):
    return Problem(
        status, code, message, remedy, outcome="not-run", close=True
    )


def _body_too_large(limit):
    return _body_problem(
        413,
        "too_large",
        f"The body exceeds {limit} bytes.",
        "send less, or ask an operator to raise limits.body_bytes",
    )


def decode(body, kind, remedy):
    """Parse a JSON body as ``kind``; raises :class:`Problem` if invalid."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise Problem(400, "malformed", f"{exc}.", remedy, outcome="not-run")


def not_found(path):
    """Return the problem of an unknown path."""
    return Problem(
        404,
        "unknown_path",
        f"There is nothing at {path}.",
        "see docs/operators/ for the paths of each listener",
    )


def catch_errors(app, logger):
    """Wrap a WSGI app so that every exception becomes an error response."""

    def guarded(environ, start_response):
        try:
            return app(environ, start_response)
        except Problem as problem:
            return reply_problem(start_response, problem)
        except Exception as exc:
            logger.error("listener failed", exc_info=exc)
            problem = Problem(
                500,
                "internal",
                "The instance failed on this request.",
                "send it again if it may be repeated; see the instance's log",
                outcome="unknown",
            )
            return reply_problem(start_response, problem)

    return guarded
