"""The HTTP server of every listener: gevent's, with limits per connection.

The resources that a client can use are limited before any application code
runs:

* an idle connection is closed after ``idle_seconds``;
* a request whose head arrives too slowly (the *slow loris* attack) is answered
  with 408 after ``header_seconds``, one whose head is too long with 431;
* an unread request body is read on for a short time only, so that the client
  sees the response (a lingering close: RFC 9112, section 9.6), and then the
  connection is closed;
* a request whose end two HTTP parsers could disagree on is answered with 400
  and its connection is closed (:mod:`.request_framing`);
* a client that accepts no part of its response for ``write_seconds`` is
  disconnected, since it would block its engine stream forever.

Each rejection is a JSON error as the HTTP API defines it, with a remedy.
"""

import contextlib
import socket
import ssl
import time

import gevent
from gevent import pool
from gevent import pywsgi

from dandeliontrail.decisions import client_limits

from . import body_source
from . import client_connections
from . import client_holds
from . import connection
from . import listener_room
from . import request_framing
from . import request_head
from . import wsgi

# Writes of this size tell soon whether a client takes its response.
WRITE_BYTES = 64 * 1024
# How often a full listener looks for a connection to close.
ROOM_POLL_SECONDS = 0.1
# A head that takes more once it is parsed is charged to the account.
FREE_HEAD_BYTES = 16 * 1024
# How long a listener that ends reads what has arrived.
ARRIVED_SECONDS = 0.05
END_POLL_SECONDS = 0.01
# How long to wait for a client's own close alert.
CLOSE_ALERT_SECONDS = 1.0
ERROR_RESPONSE_HEAD = (
    b"HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
    b"%sConnection: close\r\nContent-Length: %d\r\n\r\n"
)


class Handler(pywsgi.WSGIHandler):
    """Serves one client connection."""

    # Whether the end of the connection is that of the present response.
    _ends_with_connection = False
    _connection = None
    _holds = None
    # The greenlet that writes, and whether it is to end the connection.
    _writer = None
    _is_aborted = False

    def handle(self):
        """Serve the connection with ``TCP_NODELAY`` set.

        A response is written as a head and then a body. Without
        ``TCP_NODELAY`` the body waits until the client has acknowledged the
        head, which takes 40 ms on a connection that is kept open (RFC 896 and
        RFC 1122, section 4.2.3.2): more than the 29 ms between two tokens.
        """
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connection = self.server.connection_of(self.socket)
        self._connection.abort_writing = self.abort_writing
        try:
            super().handle()
        finally:
            # They refer to each other.
            self._connection.abort_writing = None
            if self._holds is not None:
                # Of a head that was refused.
                self._holds.close()

    def enter(self, state):
        """Record what the connection is used for from now on."""
        if self._connection is not None:
            self._connection.enter(state, time.monotonic())

    def read_requestline(self):
        """Wait for a request and return its first line."""
        if self._connection.state is not client_connections.State.SILENT:
            if self.server.connections.needs_room:
                # Others wait for a connection, and this one is idle.
                return ""
            self.enter(client_connections.State.IDLE)
        self.socket.settimeout(self.server.limits.idle_seconds)
        if not self.rfile.peek(1):
            return ""
        self.enter(client_connections.State.HEAD)
        limit = self.server.limits.header_bytes
        with gevent.Timeout(self.server.limits.header_seconds, False):
            return self.rfile.readline(limit + 1).decode("latin-1")
        return ""

    def read_request(self, raw_requestline):
        """Read the head of a request within ``header_seconds``."""
        limit = self.server.limits.header_bytes
        if len(raw_requestline) > limit:
            raise request_head.Rejected(request_head.too_large(limit))
        request_framing.check_request_line(raw_requestline.encode("latin-1"))
        seconds = self.server.limits.header_seconds
        timeout = gevent.Timeout(seconds)
        try:
            with timeout:
                return super().read_request(raw_requestline)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            raise request_head.Rejected(request_head.too_slow(seconds))

    def MessageClass(self, rfile, seekable):
        """Parse a request's head; the base class requires this name."""
        head = request_head.read(rfile, self.server.limits.header_bytes)
        self._holds = client_holds.RequestHolds(
            self.server.room, self.abort_writing
        )
        cost = request_head.memory_cost(head)
        if cost > FREE_HEAD_BYTES and not self._holds.take_head(cost):
            raise request_head.Rejected(wsgi.no_room())
        headers = request_head.parse(head)
        request_framing.check_headers(headers, self.request_version)
        return headers

    def get_environ(self):
        """Return the WSGI environment with a body that is bounded."""
        environ = super().get_environ()
        original = self.wsgi_input
        bounded = body_source.BodySource(
            original.rfile,
            original.content_length,
            original.socket,
            self.headers.get("transfer-encoding") is not None,
        )
        bounded.handler = self
        bounded.chunks = request_framing.ChunkedBody(original.rfile)
        self.wsgi_input = bounded
        environ["wsgi.input"] = bounded
        environ[wsgi.SOCKET] = self.socket
        environ[wsgi.HOLDS] = self._holds
        environ[wsgi.HEAD] = wsgi.Head(
            self.command, self.path, self.headers.items()
        )
        return environ

    def handle_one_response(self):
        """Send the response; disconnect a client that accepts no data."""
        self.socket.settimeout(self.server.limits.write_seconds)
        if not self.wsgi_input.is_complete():
            self.enter(client_connections.State.BODY)
        else:
            self.enter(client_connections.State.SERVED)
        try:
            super().handle_one_response()
        finally:
            holds, self._holds = self._holds, None
            holds.close()
        if self.server.closing():
            # The head of the response may have been sent before the drain
            # began, without ``Connection: close``. The next request would
            # arrive on this connection although the instance is draining.
            self.close_connection = True

    def finalize_headers(self):
        """Prepare the head; a body without length or chunks is guarded.

        Such a body ends with the connection (RFC 9112, section 6.3).  Until
        it is whole, whatever ends the connection resets it, also the end of
        the process, so that the client does not take a part for the whole.
        """
        super().finalize_headers()
        if self.command == "HEAD":
            # No last chunk either.
            self.response_use_chunked = False
        self._ends_with_connection = not self._has_framing()
        if self._ends_with_connection:
            self.close_connection = True
            self.response_headers = [
                item
                for item in self.response_headers
                if item[0].lower() != b"connection"
            ] + [(b"Connection", b"close")]
            connection.reset_on_close(self.socket)

    def _has_framing(self):
        """Return whether the head tells where the response ends."""
        return (
            self.response_use_chunked
            or self.command == "HEAD"
            or self.code < 200
            or self.code in (204, 304)
            or any(
                name.lower() == b"content-length"
                for name, _ in self.response_headers
            )
        )

    def _write(self, data):
        """Write a part of the body; a response to HEAD has none.

        Its bytes would be read as the response to the next request.
        """
        if self.command != "HEAD":
            super()._write(data)

    def process_result(self):
        """Write the whole response."""
        self.enter(client_connections.State.SERVED)
        super().process_result()
        if self._ends_with_connection:
            connection.end_on_close(self.socket)
            self._send_close_alert()

    def _send_close_alert(self):
        """End the TLS session of a connection, if it has one.

        Without the alert the end cannot be told from one that somebody on
        the way has made up (RFC 9112, section 9.8).
        """
        if not isinstance(self.socket, ssl.SSLSocket):
            return
        self.socket.settimeout(CLOSE_ALERT_SECONDS)
        with contextlib.suppress(OSError):
            self.socket.unwrap()

    def _sendall(self, data):
        """Write to the client, in most cases with a single system call.

        The base class queries the size of the socket's send buffer on each
        write, which doubles the system calls per stream event.  What a client
        has to make room for is not copied.
        """
        size = len(data)
        self.enter(client_connections.State.WRITING)
        self._writer = gevent.getcurrent()
        try:
            sent = self._send(data)
            if sent < size:
                self._send_rest(memoryview(data)[sent:])
        finally:
            self._writer = None
        self.enter(client_connections.State.SERVED)
        self.response_length += size

    def _send(self, data):
        if self._is_aborted:
            raise wsgi.Aborted()
        try:
            sent = self.socket.send(data)
        except OSError as exc:
            # Recorded as the base class does.
            self.status = f"socket error: {exc}"
            if self.code > 0:
                self.code = -self.code
            raise
        if self._holds is not None:
            self._holds.note_taken(sent)
        return sent

    def _send_rest(self, view):
        while view:
            sent = self._send(view[:WRITE_BYTES])
            view = view[sent:]
            self.enter(client_connections.State.WRITING)

    def abort_writing(self):
        """End the connection of a client that does not take its answer.

        The event loop throws the exception: while it runs, the writer waits
        for the client or has written everything.
        """
        self._is_aborted = True
        gevent.get_hub().loop.run_callback(self._abort_now)

    def _abort_now(self):
        if self._writer is not None:
            self._writer.throw(wsgi.Aborted())

    def handle_error(self, exc_type, exc, trace):
        """Log an exception, unless the client was too slow or disconnected."""
        if isinstance(exc, (OSError, gevent.GreenletExit, wsgi.Aborted)):
            self.close_connection = True
            return
        self.server.logger.error("connection failed", exc_info=exc)
        self._send_error_response_if_possible(500)

    def _handle_client_error(self, exc):
        problem = request_head.problem_of(exc)
        self.server.room.report.note(problem.code, problem.message)
        body = wsgi.error_body(problem)
        status = wsgi.status_line(problem.status).encode()
        headers = b""
        if problem.retry_after is not None:
            headers = b"Retry-After: %d\r\n" % max(1, problem.retry_after)
        return str(problem.status), ERROR_RESPONSE_HEAD % (
            status,
            headers,
            len(body),
        ) + body

    def log_request(self):
        """Log nothing: the instance logs requests by their id."""


class Server(pywsgi.WSGIServer):
    """The server of one listener.

    While ``closing()`` is true each connection is closed after its next
    response.  ``room`` is the listener's part of what the instance has.
    """

    handler_class = Handler

    def __init__(
        self,
        address,
        app,
        limits,
        logger,
        closing=lambda: False,
        room=None,
        **options,
    ):
        self.room = room or listener_room.standalone()
        self.limits = limits
        self.closing = closing
        self.logger = logger
        most = min(limits.connections, self.room.connections)
        self.connections = client_connections.ClientConnections(most)
        self._by_descriptor = {}
        self._room_maker = None
        super().__init__(
            address,
            app,
            spawn=pool.Pool(most),
            log=None,
            error_log=logger,
            # Otherwise the base class looks up the name of the address, in a
            # thread, and waits for the answer before the listener serves.
            # Nothing here reads the name.
            environ={"SERVER_NAME": ""},
            **options,
        )
        if self.ssl_enabled:
            self._shake_hands = self.wrap_socket
            self.wrap_socket = self._shake_hands_in_time

    def start(self):
        """Listen; what the kernel holds of an unread connection is bounded."""
        super().start()
        self.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            client_limits.RECEIVE_BUFFER_BYTES,
        )

    def end_connections(self, seconds):
        """Accept nothing more, and end all connections.

        Requests that were read whole have ``seconds`` to be answered.  The
        others cannot have run: their connections are closed at once, since a
        client that sends slowly may take longer than this process has.
        """
        self.close()
        # What has arrived by now is read first.
        gevent.sleep(ARRIVED_SECONDS)
        self.connections.close_unread()
        with gevent.Timeout(seconds, False):
            while len(self.connections):
                gevent.sleep(END_POLL_SECONDS)
        self.connections.close_all()

    def connection_of(self, sock):
        """Return the record of a connection that is being served."""
        return self._by_descriptor[sock.fileno()]

    def wrap_socket_and_handle(self, client_socket, address):
        """Serve a connection after its TLS handshake."""
        with self._counted(client_socket):
            try:
                super().wrap_socket_and_handle(client_socket, address)
            except _HandshakeFailed as exc:
                self.room.report.note("tls_handshake_failed", str(exc))

    def _shake_hands_in_time(self, client_socket, **options):
        """Return the socket of a TLS session; its handshake is bounded."""
        timeout = gevent.Timeout(self.limits.header_seconds)
        try:
            with timeout:
                return self._shake_hands(client_socket, **options)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            raise _HandshakeFailed("it took too long")
        except OSError as exc:
            raise _HandshakeFailed(str(exc))

    def handle(self, client_socket, address):
        """Serve one connection, with TCP keep-alive probes enabled."""
        try:
            connection.enable_tcp_keepalive(client_socket)
        except OSError:
            # The client has disconnected; serving the connection detects that.
            pass
        with self._counted(client_socket):
            super().handle(client_socket, address)

    @contextlib.contextmanager
    def _counted(self, sock):
        """Have a connection closed if others need its place.

        One with TLS was counted before its handshake.
        """
        descriptor = sock.fileno()
        if descriptor in self._by_descriptor:
            yield
            return
        conn = client_connections.ClientConnection(
            time.monotonic(), lambda: _shut_down(descriptor)
        )
        self._by_descriptor[descriptor] = conn
        self.connections.add(conn)
        if self.connections.needs_room and self._room_maker is None:
            self._room_maker = gevent.spawn(self._make_room)
        try:
            yield
        finally:
            self.connections.remove(conn)
            del self._by_descriptor[descriptor]

    def _make_room(self):
        """Close connections until there is room for another one."""
        try:
            while self.connections.needs_room:
                closed = self.connections.make_room(time.monotonic())
                if closed is None:
                    gevent.sleep(ROOM_POLL_SECONDS)
                    continue
                self.room.report.note(f"connection_closed_{closed.value}")
                gevent.sleep(0)
        finally:
            self._room_maker = None


class _HandshakeFailed(Exception):
    """A client did not complete its TLS handshake."""


def _shut_down(descriptor):
    """End a connection in both directions; whoever waits for it wakes up."""
    raw_socket = socket.socket(fileno=descriptor)
    try:
        raw_socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The client has closed it.
        pass
    finally:
        raw_socket.detach()
