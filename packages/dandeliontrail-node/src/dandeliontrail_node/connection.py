"""One connection to a backend server, and how long it may be silent."""

import socket

from gevent import socket as gevent_socket

# How long a connection that nobody watches waits for the next byte.
DEFAULT_SECONDS = 2.0
# A path that acknowledges nothing is found out by the kernel: idle for 5 s,
# then three probes 2 s apart; unacknowledged data counts for 10 s.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MS = 10_000
# A server that never ends its headers or an event would have all of it
# gathered here.  Real events are below 1 KB.
MOST_EVENT_BYTES = 1024 * 1024


class PathLost(Exception):
    """The old connection is dead; ``answer`` goes on over a new one.

    ``left`` is the old connection, still open: closing it may reach the
    server late, and a server may take it for the wish to stop.
    """

    def __init__(self, answer):
        super().__init__("path lost")
        self.answer = answer
        self.left = None


class _Spent(OSError):
    """The library asked for a second connection for one request."""


class OneConnection:
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
        return DEFAULT_SECONDS

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
        """Send, with the timeout of the pool."""
        self.sock.sendall(data)

    def sendfile(self, body):
        """Send what the library takes for a file."""
        self.sock.sendfile(body)


def connect(address, seconds):
    """Return a socket connected to ``host:port`` within so many seconds.

    An address that is a number already is not looked up: gevent asks its
    thread pool, which takes two changes of thread and the wait for them.
    """
    host, port = address.rsplit(":", 1)
    host = host.strip("[]")
    family = _family_of(host)
    if family is None:
        return gevent_socket.create_connection(
            (host, int(port)), timeout=seconds
        )
    sock = gevent_socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(seconds)
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
