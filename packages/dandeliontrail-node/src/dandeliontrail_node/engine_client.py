"""Sends requests to backend servers and reads their answers.

What this module must get right is when a request *may have begun*: from
the moment before the first byte is written.  Only a failure to connect, or
the server's own ``X-Outcome: not-run``, proves that it did not.
"""

import copy
import enum
import socket

import gevent
import geventhttpclient
from geventhttpclient import url as url_module

from dandeliontrail import interfaces

CONNECTIONS_PER_SERVER = 512
NOT_RUN_STATUSES = (429, 503)
CANCEL_SECONDS = 2.0
PROBE_SECONDS = 2.0
# A path that acknowledges nothing is found out by the kernel: idle for 5 s,
# then three probes 2 s apart; unacknowledged data counts for 10 s.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MS = 10_000
EVENT_END = b"\n\n"
# A server that never ends its headers, an event or an answer would have all
# of it gathered here.  Real events are below 1 KB, real answers below 1 MB.
MOST_EVENT_BYTES = 1024 * 1024
MOST_ANSWER_BYTES = 64 * 1024 * 1024
FAILURES = (OSError, gevent.Timeout, geventhttpclient.response.HTTPParseError)


class Probe(enum.Enum):
    """What a probe over a new connection found.

    ``REFUSES`` means that nothing listens there any more.
    """

    ANSWERS = "answers"
    REFUSES = "refuses"
    SILENT = "silent"


class NotBegun(Exception):
    """The server certainly did not begin; ``server_said`` tells how."""

    def __init__(self, server_said, retry_after=0.0):
        super().__init__("not begun")
        self.server_said = server_said
        self.retry_after = retry_after


class Broken(Exception):
    """The exchange broke off after the server may have begun."""


class PathLost(Exception):
    """The old connection is dead; ``answer`` goes on over a new one.

    ``left`` is the old connection, still open: closing it may reach the
    server late, and a server may take it for the wish to stop.
    """

    def __init__(self, answer):
        super().__init__("path lost")
        self.answer = answer
        self.left = None


class Outgoing:
    """One request on its way to a server."""

    __slots__ = ("method", "path", "headers", "body")

    def __init__(self, method, path, headers, body=b""):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


class _Spent(OSError):
    """The library asked for a second connection for one request."""


class _OneConnection:
    """Shows the library a pool that holds one connection, once.

    Failure guarded against: on a stale connection the library sends a
    GET, PUT or DELETE again by itself, up to the size of its pool and one
    more, and a plain service runs its call as often.  Here the second
    ``get_socket`` fails, whatever the method, and the error comes to us.
    """

    size = 0

    def __init__(self, pool, watch):
        self._pool = pool
        self._watch = watch
        self.sock = pool.get_socket()

    def get_socket(self):
        """Return the connection, the first time only."""
        sock, self.sock = self.sock, None
        if sock is None:
            raise _Spent("the connection broke off")
        self.paced = PacedSocket(sock, self._watch)
        return self.paced

    def return_socket(self, paced):
        """Keep the connection for another request."""
        paced.sock.settimeout(self._pool.network_timeout)
        self._pool.return_socket(paced.sock)

    def release_socket(self, paced):
        """Close the connection."""
        self._pool.release_socket(paced.sock)


class _TooLarge(OSError):
    """The server sent more than is gathered of one thing."""


class Watch:
    """Says how long a connection may be silent, and what is done then."""

    def seconds(self):
        """Return how long to wait for the next byte before asking."""
        return PROBE_SECONDS

    def silent(self):
        """Raise if the connection is given up; return to wait on."""
        raise TimeoutError("silent")


class PacedSocket:
    """A connection whose reader asks a :class:`Watch` about silence.

    The library closes a connection that times out.  Here a time without
    bytes is no error yet: the stream may be slow, and is then read on.
    ``allow`` says how many bytes more may come before an end of something
    must have been found in them.
    """

    def __init__(self, sock, watch):
        self.sock = sock
        self.watch = watch
        self.allow(MOST_EVENT_BYTES)

    def allow(self, size):
        """Take in up to ``size`` bytes from now on."""
        self._left = size

    def recv(self, size):
        """Return the next bytes, for as long as the watch waits."""
        while True:
            self.sock.settimeout(self.watch.seconds())
            try:
                data = self.sock.recv(size)
            except TimeoutError:
                self._ask()
                continue
            self._left -= len(data)
            if self._left < 0:
                raise _TooLarge("the server sent too much without an end")
            return data

    def _ask(self):
        try:
            self.watch.silent()
        except PathLost as exc:
            # The library closes this object; the connection stays open.
            exc.left, self.sock = self.sock, socket.socket()
            raise

    def sendall(self, data):
        """Send, with the time limit of the pool."""
        self.sock.sendall(data)

    def sendfile(self, body):
        """Send what the library takes for a file."""
        self.sock.sendfile(body)


class Answer:
    """A server's answer: its status and headers, the body still to come."""

    def __init__(self, response, paced):
        self._response = response
        self._paced = paced
        self.status = response.status_code

    def get(self, name):
        """Return a header, or ``None``."""
        value = self._response.get(name)
        return value[0] if isinstance(value, list) else value

    @property
    def framed(self):
        """Tell whether the answer's end can be told from a cut.

        A body that ends with the connection (RFC 9112, section 6.3) looks
        whole wherever it is cut.
        """
        if self._response.message_complete:
            return True
        names = ("Content-Length", "Transfer-Encoding")
        return any(self.get(name) is not None for name in names)

    def read_event(self):
        """Return the next event of a stream, or ``b""`` at its end.

        Raises :class:`Broken` where the connection ended before the answer
        did: the parser takes the end of a connection for the end of an
        answer only where the answer had no length of its own.
        """
        self._paced.allow(MOST_EVENT_BYTES)
        try:
            return self._response.readline(EVENT_END)
        except FAILURES as exc:
            raise Broken(f"{type(exc).__name__}: {exc}")

    def read_all(self):
        """Return the whole body; raises as :meth:`read_event` does."""
        self._paced.allow(MOST_ANSWER_BYTES)
        try:
            return self._response.read()
        except FAILURES as exc:
            raise Broken(f"{type(exc).__name__}: {exc}")

    def close(self):
        """End the exchange; an unfinished answer closes its connection."""
        self._response.release()


class PooledEngineClient(interfaces.EngineClient):
    """Keeps connections open to every server that it has talked to."""

    def __init__(self, connect_seconds, silent_seconds):
        self._connect_seconds = connect_seconds
        self._silent_seconds = silent_seconds
        self._clients = {}

    def open(self, dispatch, exchange):
        """Send ``exchange`` (an :class:`Outgoing`) and return the answer.

        ``dispatch.began()`` is called before the first byte is written;
        ``dispatch.watch`` is the :class:`Watch` of the connection.
        """
        client = self._client(dispatch.url)
        pool = self._connect(client, dispatch.watch)
        dispatch.began()
        try:
            response = self._send(client, pool, exchange)
            answer = Answer(response, pool.paced)
        except FAILURES as exc:
            raise Broken(f"{type(exc).__name__}: {exc}")
        _check_not_run(answer)
        return answer

    def resume(self, url, request_id, start, watch):
        """Return the rest of a stream from event ``start``, or raise.

        It goes over a new connection: the old ones may be what failed.
        Once the server has agreed, ``watch`` watches it.
        """
        client = self._new_client(url)
        path = f"/v1/streams/{request_id}?from={start}"
        try:
            pool = _OneConnection(client._connection_pool, Watch())
            outgoing = Outgoing("GET", path, {})
            response = self._send(client, pool, outgoing)
            answer = Answer(response, pool.paced)
            pool.paced.watch = watch
        except FAILURES as exc:
            raise Broken(f"{type(exc).__name__}: {exc}")
        if answer.status != 200:
            answer.close()
            raise Broken(f"the stream is not held: status {answer.status}")
        return answer

    def probe(self, url):
        """Return what a server says over a new connection."""
        client = self._new_client(url)
        try:
            with gevent.Timeout(PROBE_SECONDS):
                client.get("/health").read()
                return Probe.ANSWERS
        except ConnectionRefusedError:
            return Probe.REFUSES
        except FAILURES:
            return Probe.SILENT
        finally:
            client.close()

    def retire(self, url):
        """Use no connection to ``url`` again that is open now.

        Those in use are closed as their answers end.
        """
        client = self._clients.pop(url, None)
        if client:
            client.close()

    def _send(self, client, pool, outgoing):
        single = copy.copy(client)
        single._connection_pool = pool
        return single.request(
            outgoing.method, outgoing.path, outgoing.body, outgoing.headers
        )

    def _connect(self, client, watch):
        """Return a live connection to the server of ``client``.

        Connecting first, and apart from sending, is what lets a refused
        connection be told from a request that broke off: the library's own
        ``request`` reports both as a socket error.
        """
        try:
            return _OneConnection(client._connection_pool, watch)
        except (OSError, gevent.Timeout, RuntimeError):
            raise NotBegun(server_said=False)

    def _client(self, url):
        client = self._clients.get(url)
        if client is None:
            client = self._new_client(url)
            self._clients[url] = client
        return client

    def _new_client(self, url):
        client = geventhttpclient.HTTPClient.from_url(
            url_module.URL(url),
            concurrency=CONNECTIONS_PER_SERVER,
            connection_timeout=self._connect_seconds,
            network_timeout=self._silent_seconds,
        )
        client._connection_pool.after_connect = watch_path
        return client

    def cancel(self, url, request_id):
        """Ask a server to stop; best effort, since it may be gone."""
        client = self._client(url)
        try:
            with gevent.Timeout(CANCEL_SECONDS):
                client.delete(f"/v1/streams/{request_id}").read()
        except FAILURES:
            return

    def close(self):
        """Close every connection."""
        for client in self._clients.values():
            client.close()


def watch_path(sock):
    """Have the kernel find out a path that lost track of a connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _check_not_run(answer):
    if answer.status not in NOT_RUN_STATUSES:
        return
    if answer.get("X-Outcome") != "not-run":
        return
    answer.close()
    raise NotBegun(True, _seconds(answer.get("Retry-After")))


def _seconds(text):
    """Return a delay in seconds; a date (RFC 9110, 10.2.3) counts as 1."""
    try:
        return max(0.0, float(text or 0.0))
    except (TypeError, ValueError):
        return 1.0
