"""Sends requests to backend servers and reads their answers.

The main concern of this module is to tell when a request *may have begun*:
from just before its first byte is written. Only a failure to connect, or the
server's own ``X-Outcome: not-run``, proves that it did not begin.
"""

import enum

import gevent

from dandeliontrail import interfaces

from . import connection
from . import http_library

CONNECTIONS_PER_SERVER = 512
BODILESS_STATUSES = (204, 304)
NOT_RUN_STATUSES = (429, 503)
CANCEL_TIMEOUT_SECONDS = 2.0
PROBE_SECONDS = 2.0
EVENT_END = b"\n\n"
# Real answers are below 1 MB.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
CONNECTION_ERRORS = (
    OSError,
    gevent.Timeout,
    http_library.HTTPParseError,
)


class Probe(enum.Enum):
    """The result of a health check over a new connection.

    ``REFUSES`` means that the connection was refused: no process listens there
    any more.
    """

    ANSWERS = "answers"
    REFUSES = "refuses"
    SILENT = "silent"


class NotBegun(Exception):
    """The server did not begin; ``server_said`` if it reported so itself."""

    def __init__(self, server_said, retry_after=0.0):
        super().__init__("not begun")
        self.server_said = server_said
        self.retry_after = retry_after


class Broken(Exception):
    """The exchange failed after the server may have begun.

    ``closed`` is true if the connection was closed, as it is when the server
    process ends.
    """

    def __init__(self, text, closed=False):
        super().__init__(text)
        self.closed = closed


class NotHeld(Broken):
    """The server answered that it does not know the stream."""


class OutgoingRequest:
    """An HTTP request to be sent to a backend server."""

    __slots__ = ("method", "path", "headers", "body")

    def __init__(self, method, path, headers, body=b""):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


class ServerResponse:
    """A backend server's status and headers, with the body still unread."""

    def __init__(self, response, watched_socket):
        self._response = response
        self._watched_socket = watched_socket
        self.status = response.status_code

    def get(self, name):
        """Return the value of a header, or ``None``."""
        value = self._response.get(name)
        return value[0] if isinstance(value, list) else value

    def values(self, name):
        """Return all values of a header."""
        value = self._response.get(name)
        if value is None:
            return []
        return list(value) if isinstance(value, list) else [value]

    @property
    def self_delimited(self):
        """Whether a complete body can be distinguished from a truncated one.

        A body that is delimited by the close of the connection (RFC 9112,
        section 6.3) looks complete wherever it is cut, to the parser as well.
        """
        if self.status in BODILESS_STATUSES:
            return True
        codings = ",".join(self.values("Transfer-Encoding")).lower()
        return (
            self.get("Content-Length") is not None
            or codings.rpartition(",")[2].strip() == "chunked"
        )

    def announced_bytes(self):
        """Return the length of the body that the head names, else 0.

        A longer one than is read counts as the longest.
        """
        length = self.get("Content-Length") or ""
        if not (length.isascii() and length.isdigit()):
            return 0
        return min(int(length), MAX_ANSWER_BYTES)

    def read_event(self):
        """Return the next event of a stream, or ``b""`` at its end.

        Raises :class:`Broken` if the connection ended before the answer did:
        the parser accepts the end of a connection as the end of an answer only
        if the answer did not declare a length.
        """
        self._watched_socket.set_byte_limit(connection.MAX_EVENT_BYTES)
        try:
            return self._response.readline(EVENT_END)
        except CONNECTION_ERRORS as exc:
            raise _broken_error(exc)

    def read_all(self):
        """Return the whole body; raises as :meth:`read_event` does."""
        self._watched_socket.set_byte_limit(MAX_ANSWER_BYTES)
        try:
            return self._response.read()
        except CONNECTION_ERRORS as exc:
            raise _broken_error(exc)

    def close(self):
        """Release the connection; it is closed if the answer is unfinished."""
        self._response.release()


class PooledEngineClient(interfaces.EngineClient):
    """An HTTP client with a pool of connections for each backend server."""

    def __init__(self, connect_seconds, silent_seconds):
        self._connect_seconds = connect_seconds
        self._silent_seconds = silent_seconds
        self._clients = {}
        self._resume_checked = set()
        self._resumable = set()

    def open(self, dispatch, exchange):
        """Send ``exchange`` (an :class:`OutgoingRequest`); return the answer.

        ``dispatch.began()`` is called before the first byte is written, and
        ``dispatch.head_received(answer, refused)`` when the answer begins;
        ``dispatch.monitor`` is the :class:`.connection.SilenceMonitor` of the
        connection. Raises :class:`NotBegun` or :class:`Broken`.
        """
        client = self._client(dispatch.url)
        pool = self._connect(client, dispatch.monitor)
        dispatch.began()
        try:
            response = self._send(client, pool, exchange)
            answer = ServerResponse(response, pool.watched_socket)
        except CONNECTION_ERRORS as exc:
            raise _broken_error(exc)
        if answer.status not in http_library.FINAL_STATUSES:
            answer.close()
            raise Broken(f"the status {answer.status:03} is no answer")
        refused = _is_not_run(answer)
        dispatch.head_received(answer, refused)
        if refused:
            answer.close()
            retry_after = _parse_retry_after(answer.get("Retry-After"))
            raise NotBegun(True, retry_after)
        return answer

    def resume(self, url, request_id, first_event, monitor):
        """Return the stream from event number ``first_event`` on.

        The request uses a new connection, since the pooled ones may be what
        failed. ``monitor`` takes effect once the server has accepted the
        request. Raises :class:`NotHeld` if the server does not know the
        stream, else :class:`Broken`.
        """
        client = self._new_client(url)
        path = f"/v1/streams/{request_id}?from={first_event}"
        try:
            pool = connection.SingleUsePool(
                client._connection_pool, connection.SilenceMonitor()
            )
            outgoing = OutgoingRequest("GET", path, {})
            response = self._send(client, pool, outgoing)
            answer = ServerResponse(response, pool.watched_socket)
            pool.watched_socket.monitor = monitor
        except CONNECTION_ERRORS as exc:
            raise _broken_error(exc)
        if answer.status == 404:
            answer.close()
            raise NotHeld("the server does not know the stream")
        if answer.status != 200:
            answer.close()
            raise Broken(
                f"the server did not resume the stream: status {answer.status}"
            )
        return answer

    def check_resumable(self, url, request_id, streamed):
        """Find out, once per server, whether it can resume its streams.

        The server is asked to resume a stream that has just ended, which has
        no side effects. ``streamed`` distinguishes streams from answers that
        were given whole.
        """
        if (url, streamed) in self._resume_checked:
            return
        self._resume_checked.add((url, streamed))
        gevent.spawn(self._check_resumable, url, request_id, streamed)

    def _check_resumable(self, url, request_id, streamed):
        try:
            self.resume(
                url, request_id, 0, connection.SilenceMonitor()
            ).close()
        except Broken:
            return
        self._resumable.add((url, streamed))

    def is_resumable(self, url, streamed):
        """Whether a server is known to be able to resume its streams."""
        return (url, streamed) in self._resumable

    def probe(self, url):
        """Send a health check over a new connection and return its result."""
        client = self._new_client(url)
        try:
            with gevent.Timeout(PROBE_SECONDS):
                _read_short_answer(client, "GET", "/health")
                return Probe.ANSWERS
        except ConnectionRefusedError:
            return Probe.REFUSES
        except CONNECTION_ERRORS:
            return Probe.SILENT
        finally:
            client.close()

    def retire_connections(self, url):
        """Stop using the connections to ``url`` that are open now.

        Those that are in use are closed when their answers end.
        """
        client = self._clients.pop(url, None)
        if client:
            client.close()

    def _send(self, client, pool, outgoing):
        return connection.send_once(
            client,
            pool,
            outgoing.method,
            outgoing.path,
            outgoing.body,
            outgoing.headers,
        )

    def _connect(self, client, monitor):
        """Return a live connection to the server of ``client``.

        Connecting separately, before sending, distinguishes a refused
        connection from a request that failed midway: the library's own
        ``request`` reports both as a socket error.
        """
        try:
            return connection.SingleUsePool(client._connection_pool, monitor)
        except (OSError, gevent.Timeout, RuntimeError):
            raise NotBegun(server_said=False)

    def _client(self, url):
        client = self._clients.get(url)
        if client is None:
            client = self._new_client(url)
            self._clients[url] = client
        return client

    def _new_client(self, url):
        client = http_library.new_client(
            url,
            concurrency=CONNECTIONS_PER_SERVER,
            connection_timeout=self._connect_seconds,
            network_timeout=self._silent_seconds,
        )
        client._connection_pool.after_connect = connection.enable_tcp_keepalive
        return client

    def cancel(self, url, request_id):
        """Ask a server to stop, as best effort: it may be unreachable."""
        client = self._client(url)
        try:
            with gevent.Timeout(CANCEL_TIMEOUT_SECONDS):
                path = f"/v1/streams/{request_id}"
                _read_short_answer(client, "DELETE", path)
        except CONNECTION_ERRORS:
            return

    def close(self):
        """Close every connection."""
        for client in self._clients.values():
            client.close()


def _read_short_answer(client, method, path):
    """Send a request and read its answer, which may come without end."""
    pool = connection.SingleUsePool(
        client._connection_pool, connection.SilenceMonitor()
    )
    connection.send_once(client, pool, method, path).read()


def _is_not_run(answer):
    return (
        answer.status in NOT_RUN_STATUSES
        and answer.get("X-Outcome") == "not-run"
    )


def _parse_retry_after(text):
    """Return a delay in seconds; a date (RFC 9110, 10.2.3) counts as 1."""
    try:
        return max(0.0, float(text or 0.0))
    except (TypeError, ValueError):
        return 1.0


def _broken_error(exc):
    """Return the ``Broken`` for a failure of the connection."""
    # The parser raises if a connection ends before the answer is complete.
    closed = isinstance(exc, (ConnectionError, http_library.HTTPParseError))
    return Broken(f"{type(exc).__name__}: {exc}", closed)
