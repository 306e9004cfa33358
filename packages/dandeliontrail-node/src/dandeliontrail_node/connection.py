"""Connections to backend servers, with limits on silence and on size."""

import copy
import socket
import struct

from gevent import socket as gevent_socket

from . import server_socket

# How long to wait for the next byte on a connection without a monitor of its
# own.
DEFAULT_SECONDS = 2.0
# The kernel detects a path that no longer acknowledges anything: after 5 s
# without traffic it sends three probes 2 s apart; unacknowledged data times
# out after 10 s.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_TIMEOUT_MS = 10_000
# What the kernel may hold of an answer that is not read; by itself it would
# take megabytes.
RECEIVE_BUFFER_BYTES = 256 * 1024
_LINGER_ZERO = struct.pack("ii", 1, 0)
_NO_LINGER = struct.pack("ii", 0, 0)
# Limits what is buffered here for a server that never ends its headers or an
# event. Real events are below 1 KB.
MAX_EVENT_BYTES = 1024 * 1024


class PathLost(Exception):
    """The old connection is dead; ``answer`` continues on a new one.

    ``old_connection`` is still open: closing it may reach the server late, and
    the server may take the close as a request to stop.
    """

    def __init__(self, answer):
        super().__init__(
            "the connection is dead; the answer continues on a new one"
        )
        self.answer = answer
        self.old_connection = None


class _Spent(OSError):
    """The library asked for a second connection for the same request."""


class SingleUsePool:
    """A connection pool for the library that provides one connection, once.

    On a stale connection the library resends a GET, PUT or DELETE by itself,
    as often as its pool has connections plus one, and a plain service runs the
    call that many times. Here the second ``get_socket`` fails for every
    method, and the error is raised to the caller of the library.
    """

    size = 0

    def __init__(self, pool, monitor):
        self._pool = pool
        self._monitor = monitor
        self.sock = pool.get_socket()

    def get_socket(self):
        """Return the connection; raises on the second call."""
        sock, self.sock = self.sock, None
        if sock is None:
            raise _Spent(
                "the connection failed; the request is not sent again"
            )
        self.watched_socket = WatchedSocket(sock, self._monitor)
        return self.watched_socket

    def return_socket(self, watched_socket):
        """Return the connection to the real pool for reuse."""
        watched_socket.sock.settimeout(self._pool.network_timeout)
        self._pool.return_socket(watched_socket.sock)

    def release_socket(self, watched_socket):
        """Close the connection."""
        self._pool.release_socket(watched_socket.sock)


def send_once(client, pool, method, path, body=b"", headers=None):
    """Send a request of ``client`` over the connection of a single-use pool.

    Returns the library's response, whose parts are bounded.
    """
    single_use_client = copy.copy(client)
    single_use_client._connection_pool = pool
    return single_use_client.request(method, path, body, headers or {})


class _TooLarge(OSError):
    """The server sent more than the limit without an end."""


class SilenceMonitor:
    """Decides how long a connection may be silent, and what happens then."""

    def timeout_seconds(self):
        """Return how long to wait for the next byte before a timeout."""
        return DEFAULT_SECONDS

    def handle_timeout(self):
        """Raise to give the connection up; return to continue to wait."""
        raise TimeoutError("silent")


class WatchedSocket:
    """A socket whose read timeouts are handled by a :class:`SilenceMonitor`.

    The library closes a connection that times out. Here a timeout is not yet
    an error: the stream may be slow, and reading continues. ``set_byte_limit``
    sets how many more bytes may arrive before the end of the current item
    (headers, event or body) must have been found.
    """

    def __init__(self, sock, monitor):
        self.sock = sock
        self.monitor = monitor
        self.set_byte_limit(MAX_EVENT_BYTES)

    def set_byte_limit(self, size):
        """Allow up to ``size`` more bytes from now on."""
        self._bytes_left = size

    def recv(self, size):
        """Return the next bytes, waiting for as long as the monitor allows."""
        while True:
            self.sock.settimeout(self.monitor.timeout_seconds())
            try:
                data = self.sock.recv(size)
            except TimeoutError as exc:
                if server_socket.is_failure(exc):
                    raise
                self._handle_timeout()
                continue
            self._bytes_left -= len(data)
            if self._bytes_left < 0:
                raise _TooLarge(
                    "the server exceeded the size limit of one event or body"
                )
            return data

    def _handle_timeout(self):
        try:
            self.monitor.handle_timeout()
        except PathLost as exc:
            # The library closes this object, so the connection that is to stay
            # open is replaced by a dummy socket.
            exc.old_connection, self.sock = self.sock, socket.socket()
            raise

    def sendall(self, data):
        """Send all of ``data``, with the timeout of the pool."""
        self.sock.sendall(data)

    def sendfile(self, body):
        """Send a body that the library takes to be a file."""
        self.sock.sendfile(body)


def connect(address, seconds, source=None):
    """Return a socket connected to ``host:port`` within ``seconds``.

    ``source`` is the address to connect from; the kernel chooses by default.
    A numeric address is not looked up: gevent's resolver runs in a thread
    pool, which costs two thread switches and the wait for them.
    """
    host, port = address.rsplit(":", 1)
    host = host.strip("[]")
    family = _family_of(host)
    if family is None:
        return gevent_socket.create_connection(
            (host, int(port)),
            timeout=seconds,
            source_address=source and (source, 0),
        )
    sock = gevent_socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(seconds)
        if source:
            sock.bind((source, 0))
        sock.connect((host, int(port)))
    except BaseException:
        sock.close()
        raise
    return sock


def _family_of(host):
    """Return the address family of a numeric address, else ``None``."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except OSError:
            continue
        return family
    return None


def reset_on_close(sock):
    """Have a connection reset when it is closed, also by the process's end.

    A reset discards what the kernel has not sent yet, so that nothing arrives
    after the request was given up.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def end_on_close(sock):
    """Undo :func:`reset_on_close`, for a connection whose work is done."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def bound_receive_buffer(sock):
    """Bound what the kernel holds of a connection that is not read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def enable_tcp_keepalive(sock):
    """Enable the kernel's detection of a connection whose path is lost."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
