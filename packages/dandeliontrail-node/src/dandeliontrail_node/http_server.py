"""The HTTP server of every listener: gevent's, with bounds on each caller.

What a caller can cost is bounded before any application code runs:

* a connection that sends nothing is closed after ``idle_seconds``;
* a request whose head comes in drops (the *slow loris*) is answered 408
  after ``header_seconds``, one whose head is too long 431;
* a body that nobody wants to read is read on for a short while only, so
  that the caller gets to see the answer (RFC 9112, section 9.6), and then
  the connection is closed;
* a caller that takes nothing of its answer for ``write_seconds`` is cut
  off, since its engine stream would be held up for good.

Each refusal is the JSON error of the contract, with a remedy.
"""

import socket

import gevent
from gevent import pool
from gevent import pywsgi

from . import connection
from . import wsgi

LINGER_BYTES = 1024 * 1024
LINGER_SECONDS = 2.0
LINGER_STEP = 16 * 1024
JSON_HEAD = (
    b"HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n"
)


class Rejected(ValueError):
    """The head of a request cannot be served; ``problem`` says why."""

    def __init__(self, problem):
        super().__init__(problem.message)
        self.problem = problem


class _HeadReader:
    """Hands the lines of a head on until there are too many bytes."""

    __slots__ = ("_rfile", "_left", "_limit")

    def __init__(self, rfile, limit):
        self._rfile = rfile
        self._left = limit
        self._limit = limit

    def readline(self, size=-1):
        """Return the next line."""
        line = self._rfile.readline(self._left + 1)
        self._left -= len(line)
        if self._left < 0:
            raise Rejected(_head_too_large(self._limit))
        return line


class _BoundedInput(pywsgi.Input):
    """A request's body; what is left of it is discarded within bounds."""

    __slots__ = ("handler",)

    def _discard(self):
        if self._chunked_input_error:
            return
        self.send_100_continue_enabled = False
        with gevent.Timeout(LINGER_SECONDS, False):
            for _ in range(LINGER_BYTES // LINGER_STEP):
                if not self.read(LINGER_STEP):
                    return
        # More is to come than anyone wants to read.
        self.handler.close_connection = True


class Handler(pywsgi.WSGIHandler):
    """One connection of a caller."""

    def handle(self):
        """Serve the connection.

        An answer goes out as head and body.  Without ``TCP_NODELAY`` the
        body waits for the other end to acknowledge the head, which on a
        connection that is kept open takes 40 ms (RFC 896 and RFC 1122,
        section 4.2.3.2): more than the 29 ms between two tokens.
        """
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self):
        """Wait for a request and return its first line."""
        self.socket.settimeout(self.server.limits.idle_seconds)
        if not self.rfile.peek(1):
            return ""
        with gevent.Timeout(self.server.limits.header_seconds, False):
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline):
        """Read the head of a request within its bounds."""
        seconds = self.server.limits.header_seconds
        timeout = gevent.Timeout(seconds)
        try:
            with timeout:
                return super().read_request(raw_requestline)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            raise Rejected(_head_too_slow(seconds))

    def MessageClass(self, rfile, seekable):
        """Parse the lines of a head; the name is that of the base class."""
        limit = self.server.limits.header_bytes
        reader = _HeadReader(rfile, limit)
        headers = pywsgi.headers_factory(reader, seekable)
        _check_framing(headers)
        return headers

    def get_environ(self):
        """Return the environment, with a body that is bounded."""
        environ = super().get_environ()
        plain = self.wsgi_input
        bounded = _BoundedInput(
            plain.rfile,
            plain.content_length,
            plain.socket,
            plain.chunked_input,
        )
        bounded.handler = self
        self.wsgi_input = bounded
        environ["wsgi.input"] = bounded
        environ[wsgi.SOCKET] = self.socket
        environ[wsgi.HEAD] = wsgi.Head(
            self.command, self.path, self.headers.items()
        )
        return environ

    def handle_one_response(self):
        """Answer, cutting off a caller that takes nothing any more."""
        self.socket.settimeout(self.server.limits.write_seconds)
        super().handle_one_response()
        if self.server.closing():
            # Its head may have gone out before the drain began, and said
            # nothing of an end; the next request would come past it.
            self.close_connection = True

    def _sendall(self, data):
        """Write to the caller, most often with one call of the system.

        The library's way asks for the size of the socket's buffer each time:
        twice the calls for each event of a stream.  What a
        full buffer leaves over goes that way.
        """
        try:
            sent = self.socket.send(data)
        except OSError:
            # The library's way meets the same error and takes note of it.
            sent = 0
        if sent < len(data):
            super()._sendall(data[sent:])
        self.response_length += sent

    def handle_error(self, kind, exc, trace):
        """Log a fault; a caller that is too slow or gone is none."""
        if isinstance(exc, (OSError, gevent.GreenletExit, wsgi.Aborted)):
            self.close_connection = True
            return
        self.server.logger.error("connection failed", exc_info=exc)
        self._send_error_response_if_possible(500)

    def _handle_client_error(self, exc):
        problem = _problem_of(exc)
        self.server.logger.info(
            "request rejected",
            extra={"code": problem.code, "reason": problem.message},
        )
        body = wsgi.error_body(problem)
        status = wsgi.status_line(problem.status).encode()
        return str(problem.status), JSON_HEAD % (status, len(body)) + body

    def log_request(self):
        """Write nothing: the instance logs requests by their id."""


class Server(pywsgi.WSGIServer):
    """One listener.

    While ``closing()`` is true each connection ends with its next answer.
    """

    handler_class = Handler

    def __init__(
        self, address, app, limits, logger, closing=lambda: False, **options
    ):
        self.limits = limits
        self.closing = closing
        self.logger = logger
        super().__init__(
            address,
            app,
            spawn=pool.Pool(limits.connections),
            log=None,
            error_log=logger,
            **options,
        )

    def handle(self, client_socket, address):
        """Serve one connection, with the kernel watching its path."""
        try:
            connection.watch_path(client_socket)
        except OSError:
            # The caller is gone already; serving it finds that out.
            pass
        super().handle(client_socket, address)


def _check_framing(headers):
    """Refuse a request whose end two readers could see differently.

    Made for request smuggling (RFC 9112, section 11.2): what one server
    takes for the body, the next takes for a request of its own.
    """
    lengths = headers.get_all("content-length") or []
    codings = headers.get_all("transfer-encoding") or []
    if lengths and codings:
        raise Rejected(_bad_framing("both a length and a transfer coding"))
    if len(lengths) > 1 or len(codings) > 1:
        raise Rejected(_bad_framing("a repeated framing header"))
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        raise Rejected(_bad_framing("a Content-Length that is no number"))
    if codings and codings[0].strip().lower() != "chunked":
        raise Rejected(_bad_framing("a transfer coding beside chunked"))


def _bad_framing(what):
    return wsgi.Problem(
        400,
        "bad_framing",
        f"The request has {what}.",
        "send one Content-Length, or Transfer-Encoding: chunked alone",
        outcome="not-run",
    )


def _problem_of(exc):
    if isinstance(exc, Rejected):
        return exc.problem
    return wsgi.Problem(
        400,
        "malformed_http",
        f"The request is not HTTP: {_text(exc)}.",
        "send a well-formed HTTP/1.1 request",
        outcome="not-run",
    )


def _text(exc):
    return " ".join(str(exc).split())[:200]


def _head_too_large(limit):
    return wsgi.Problem(
        431,
        "head_too_large",
        f"The request line and headers are above {limit} bytes.",
        "send fewer or shorter headers, or ask an operator to raise"
        " limits.header_bytes",
        outcome="not-run",
    )


def _head_too_slow(seconds):
    return wsgi.Problem(
        408,
        "slow_head",
        f"The headers did not arrive within {seconds:g} s.",
        "send the request again over a faster connection",
        outcome="not-run",
    )
