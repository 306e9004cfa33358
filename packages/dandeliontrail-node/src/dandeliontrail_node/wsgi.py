"""What the WSGI applications of all listeners share."""

import http

import gevent
import msgspec

JSON = ("Content-Type", "application/json")
# Where the environment of a request has its caller's connection.
SOCKET = "dandeliontrail.socket"


# Where the environment of a request has its :class:`Head`.
HEAD = "dandeliontrail.head"


class Head:
    """The head of a request as it came, for whoever passes it on.

    ``target`` is the path with its query, not decoded; ``headers`` the
    pairs of name and value in their order.
    """

    __slots__ = ("method", "target", "headers")

    def __init__(self, method, target, headers):
        self.method = method
        self.target = target
        self.headers = headers

    def get(self, name):
        """Return the value of a header by its lower-case name, or ''."""
        for held, value in self.headers:
            if held.lower() == name:
                return value
        return ""


class Aborted(BaseException):
    """The reply ends here; the connection closes without its proper end."""


class Problem(Exception):
    """An answer other than success, raised to end the handling.

    ``outcome`` and ``request_id`` stay empty where no request was run.
    ``close`` ends the connection, where the next request could not be told
    from the rest of this one.
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
    """The inner part of an error answer."""

    type: str
    code: str
    message: str
    remedy: str
    outcome: str = ""
    request_id: str = ""


class ErrorAnswer(msgspec.Struct):
    """An error answer, as the contract has it."""

    error: ErrorBody


_TYPES = {
    401: "authentication",
    403: "permission",
    404: "not_found",
    409: "conflict",
    429: "rate_limit",
}


def error_body(problem):
    """Return the JSON of a problem."""
    return msgspec.json.encode(
        ErrorAnswer(
            ErrorBody(
                _type_of(problem.status),
                problem.code,
                problem.message,
                problem.remedy,
                problem.outcome,
                problem.request_id,
            )
        )
    )


def _type_of(status):
    """Return the error type of a status; the caller can mend any 4xx."""
    if status >= 500:
        return "server_error"
    return _TYPES.get(status, "invalid_request")


def status_line(status):
    """Return ``404 Not Found`` for 404."""
    return f"{status} {http.HTTPStatus(status).phrase}"


def problem_headers(problem):
    """Return the reply headers that belong to a problem."""
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
    """Start a reply with a whole body and return its iterable."""
    lengths = ("Content-Length", str(len(body)))
    start_response(status_line(status), [*headers, lengths])
    return [body]


def reply_json(start_response, value, status=200):
    """Reply with ``value`` as JSON."""
    return reply(start_response, status, msgspec.json.encode(value), [JSON])


def reply_problem(start_response, problem):
    """Reply with an error."""
    body = error_body(problem)
    headers = problem_headers(problem)
    return reply(start_response, problem.status, body, headers)


def read_body(environ, limit, seconds):
    """Return the body of a request, bounded in size and in time.

    The server has made sure that a ``Content-Length`` is a number.
    """
    length = environ.get("CONTENT_LENGTH")
    if length and int(length) > limit:
        raise _too_large(limit)
    timeout = gevent.Timeout(seconds)
    try:
        with timeout:
            body = environ["wsgi.input"].read(limit + 1)
    except gevent.Timeout as exc:
        if exc is not timeout:
            raise
        raise _unreadable(
            408,
            "slow_body",
            f"The body did not arrive within {seconds:g} s.",
            "send it again over a faster connection",
        )
    except OSError as exc:
        raise _unreadable(
            400,
            "cut_body",
            f"The body broke off or is malformed: {exc}.",
            "send it again whole, with its right Content-Length or chunks",
        )
    if len(body) > limit:
        raise _too_large(limit)
    return body


def _unreadable(status, code, message, remedy):
    return Problem(
        status, code, message, remedy, outcome="not-run", close=True
    )


def _too_large(limit):
    return _unreadable(
        413,
        "too_large",
        f"The body is above {limit} bytes.",
        "send less, or ask an operator to raise limits.body_bytes",
    )


def decode(body, kind, remedy):
    """Return the JSON ``body`` as a checked ``kind``."""
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


def guard(app, logger):
    """Wrap a WSGI application so that each fault becomes an answer."""

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
