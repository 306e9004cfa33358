"""A pool of keep-alive connections to backend servers.

A connection carries one request at a time.  It is reused only if the
previous answer was complete, no bytes came after it, and it has not been
idle for too long: the limit is below the idle timeout that the server
announced, or a default if it announced none.  A request sent on a connection
that the server closes at the same moment may or may not have run.
"""

import collections
import re
import socket
import time

import gevent

from .. import connection
from .. import server_socket
from . import answer_bounds
from . import tunnels

# A connection is reused until this long before the end of the idle timeout
# that the server announced: it announces whole seconds, which may be rounded
# up by half a second, and a busy instance reads the end of an answer up to a
# quarter of a second after the server has sent it.
IDLE_MARGIN_SECONDS = 0.75
# A timeout of one second would leave too little of it.  A server that
# announces one keeps an idle connection for at least that time.
MIN_IDLE_SECONDS = 0.75
# The idle limit for a server that announces no timeout: some close idle
# connections after 1.5 s.
DEFAULT_IDLE_SECONDS = 1.25
RECEIVE_BYTES = 64 * 1024
MAX_IDLE_PER_SERVER = 64

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")

FAILURES = (OSError, gevent.Timeout)


class Connection:
    """One open connection to ``address``, with ``peer`` a tunnel through it.

    ``heard_at`` is when bytes last arrived, or when it was opened.
    """

    __slots__ = ("sock", "address", "peer", "idle_until", "used", "heard_at")

    def __init__(self, sock, address, peer=""):
        self.sock = sock
        self.address = address
        self.peer = peer
        self.idle_until = 0.0
        self.used = False
        self.heard_at = time.monotonic()

    def reset(self):
        """Reset it; the server then stops working on its request."""
        try:
            self.sock.close()
        except OSError:
            # The connection is unusable either way.
            return

    def close(self):
        """Close it after its last answer; nothing is under way on it."""
        try:
            connection.end_on_close(self.sock)
        except OSError:
            # The other end has closed it before.
            pass
        self.reset()

    def is_reusable(self):
        """Return whether it is open and has no unsolicited data to read."""
        self.sock.settimeout(0.0)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            self.sock.settimeout(None)
        return False


class ConnectionPool:
    """The idle connections per server, most recently used first.

    ``connect(address, seconds)`` opens a new one, ``tunnels``
    (:class:`.tunnels.TunnelOpener`) one through another instance.
    ``endless_bytes`` counts what bodies of unknown length hold.
    """

    def __init__(self, connect_seconds):
        self.connect = connection.connect
        self._connect_seconds = connect_seconds
        self._idle = collections.defaultdict(list)
        # The idle limits of the last answers, by address.
        self._idle_seconds = {}
        self._heard_at = float("-inf")
        self.tunnels = None
        self.endless_bytes = answer_bounds.HeldBytes()

    def open(self, address, avoided=()):
        """Return an idle or new connection to ``address`` (``host:port``).

        It is none of ``avoided``, on which earlier attempts of the same
        request were sent: a late copy of an answer to one of them has the
        request's id as well, and would be taken for that to the new attempt.
        Raises ``OSError`` or ``gevent.Timeout`` if none can be opened.
        """
        conn = self._take_idle(address, avoided)
        if conn is not None:
            conn.used = True
            return conn
        return Connection(self.connect_new(address), address)

    def _take_idle(self, address, avoided):
        """Remove and return a usable idle connection, ``None`` without one."""
        idle = self._idle.get(address, [])
        for conn in reversed(idle):
            if conn in avoided:
                continue
            idle.remove(conn)
            if time.monotonic() < conn.idle_until and conn.is_reusable():
                return conn
            conn.close()
        return None

    def connect_new(self, address):
        """Return a ``ServerSocket`` to a server; raises like :meth:`open`."""
        sock = self.connect(address, self._connect_seconds)
        sock.settimeout(None)
        connection.bound_receive_buffer(sock)
        connection.enable_tcp_keepalive(sock)
        connection.reset_on_close(sock)
        self._heard_at = time.monotonic()
        return server_socket.ServerSocket(sock)

    def open_tunnel(self, dispatch):
        """Return a connection to the server of a dispatch through its peer.

        It carries one request.  Raises :class:`.tunnels.NotOpened`.
        """
        address = address_of(dispatch.url)
        sock = self.tunnels.open(dispatch, dispatch.request_id)
        return Connection(sock, address, dispatch.peer)

    def note_heard(self, conn):
        """Record that bytes arrived on a connection."""
        conn.heard_at = time.monotonic()
        if not conn.peer:
            self._heard_at = conn.heard_at

    def check(self, url, silent_seconds):
        """Return whether a server can be reached.

        That is not checked, and the result ``None``, if bytes of any server
        arrived in the last ``silent_seconds``.  A connection that was opened
        is kept for the next request.
        """
        if time.monotonic() - self._heard_at < silent_seconds:
            return None
        address = address_of(url)
        try:
            conn = Connection(self.connect_new(address), address)
        except FAILURES:
            return False
        self._keep_until(conn, conn.heard_at + self._idle_limit(address))
        return True

    def keep(self, conn, answer):
        """Keep a connection for reuse, or close it if that is not allowed.

        ``answer`` is the last answer on it, which must be complete.  The
        server has counted the idle time since it sent the last byte.  Returns
        for how many seconds the connection is kept, 0 if it was closed.
        """
        if conn.peer or "close" in answer.get("connection").lower():
            conn.close()
            return 0.0
        seconds = _announced_limit(answer)
        self._idle_seconds[conn.address] = seconds
        return self._keep_until(conn, conn.heard_at + seconds)

    def keep_unused(self, conn):
        """Keep a connection on which nothing was sent since it was opened.

        A connection that was idle before is kept as long as before.
        """
        if conn.peer:
            conn.close()
            return
        if not conn.used:
            conn.idle_until = conn.heard_at + self._idle_limit(conn.address)
        self._keep_until(conn, conn.idle_until)

    def _idle_limit(self, address):
        """Return the idle limit of a connection without an answer."""
        announced = self._idle_seconds.get(address, DEFAULT_IDLE_SECONDS)
        return min(announced, DEFAULT_IDLE_SECONDS)

    def _keep_until(self, conn, until):
        """Keep a connection; return for how many seconds, 0 if closed."""
        idle = self._idle[conn.address]
        left = until - time.monotonic()
        if left <= 0 or len(idle) >= MAX_IDLE_PER_SERVER:
            conn.close()
            return 0.0
        conn.idle_until = until
        idle.append(conn)
        return left

    def check_through_peer(self, check):
        """Return why a peer does not reach a server, ``None`` if it does."""
        try:
            sock = self.tunnels.open(check)
        except tunnels.NotOpened as exc:
            return exc.failure
        sock.close()
        return None

    def forget(self, url):
        """Close the idle connections to a server that has ended."""
        self._close_idle(address_of(url))

    def close(self):
        """Close all idle connections."""
        for address in list(self._idle):
            self._close_idle(address)

    def _close_idle(self, address):
        self._idle_seconds.pop(address, None)
        for conn in self._idle.pop(address, ()):
            conn.close()


def _announced_limit(answer):
    """Return for how many seconds to keep an idle connection after it."""
    match = _KEEP_ALIVE_TIMEOUT.search(answer.get("keep-alive").lower())
    if not match:
        return DEFAULT_IDLE_SECONDS
    timeout = int(match[1])
    if not timeout:
        return 0.0
    return max(MIN_IDLE_SECONDS, timeout - IDLE_MARGIN_SECONDS)


def address_of(url):
    """Return the ``host:port`` of a backend server's ``url``."""
    return url.removeprefix("http://").rstrip("/")
