"""The head of a request: reading its lines, parsing them, and refusals."""

import email.parser

from gevent import pywsgi

from . import request_framing
from . import wsgi

# What a header takes once it is parsed, in bytes beside its text.
HEADER_BYTES = 512
# The limits of the libraries, on the request line and the number of headers,
# would be met inside the one in bytes.
pywsgi.MAX_REQUEST_LINE = 1024 * 1024
_head_parser = email.parser.HeaderParser(_class=pywsgi.OldMessage)


class Rejected(ValueError):
    """The head of a request cannot be served; ``problem`` says why."""

    def __init__(self, problem):
        super().__init__(problem.message)
        self.problem = problem


def read(rfile, limit):
    """Return the checked lines of a head; raises :class:`Rejected`.

    Raises ``request_framing.Malformed`` if a line is no header line, also at
    the end of the connection.
    """
    head = bytearray()
    line = b""
    while line != b"\r\n":
        line = rfile.readline(limit + 1 - len(head))
        if len(head) + len(line) > limit:
            raise Rejected(too_large(limit))
        head += request_framing.check_header_line(line)
    return head


def parse(head):
    """Return the headers in the lines of a head, as the server needs them."""
    return _head_parser.parsestr(head.decode("latin-1"))


def memory_cost(head):
    """Return how many bytes a head takes once it is parsed."""
    return len(head) + HEADER_BYTES * head.count(b"\n")


def problem_of(exc):
    if isinstance(exc, Rejected):
        return exc.problem
    if isinstance(exc, request_framing.Malformed):
        return _bad_framing(exc)
    return wsgi.Problem(
        400,
        "malformed_http",
        f"The request is not HTTP: {_single_line(exc)}.",
        "send a well-formed HTTP/1.1 request",
        outcome="not-run",
    )


def _bad_framing(exc):
    return wsgi.Problem(
        400,
        "bad_framing",
        f"The request has {exc}.",
        "write each line as in RFC 9112, and send one Content-Length, or"
        " Transfer-Encoding: chunked alone",
        outcome="not-run",
    )


def _single_line(exc):
    return " ".join(str(exc).split())[:200]


def too_large(limit):
    return wsgi.Problem(
        431,
        "head_too_large",
        f"The request line and headers exceed {limit} bytes.",
        "send fewer or shorter headers, or ask an operator to raise"
        " limits.header_bytes",
        outcome="not-run",
    )


def too_slow(seconds):
    return wsgi.Problem(
        408,
        "slow_head",
        f"The headers did not arrive within {seconds:g} s.",
        "send the request again over a faster connection",
        outcome="not-run",
    )
