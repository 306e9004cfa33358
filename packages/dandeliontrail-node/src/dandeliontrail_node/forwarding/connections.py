"""Connections to backend servers, kept open between requests.

One connection carries one request at a time.  It is used again only where
the answer before was complete, nothing came after it, and the server has
not said how long it keeps idle ones open or that time is not near: a request
sent on a connection that the server closes at the same moment may or may not
have run.
"""

import collections
import re
import socket
import time

import gevent

from .. import connection

# The share of the server's idle time-out that a connection is used within.
IDLE_PART = 0.5
# Where the server names no time-out, a connection is idle this long at most.
IDLE_SECONDS = 2.0
RECEIVE_BYTES = 64 * 1024
MOST_IDLE = 64

_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")

FAILURES = (OSError, gevent.Timeout)


class Connection:
    """One open connection to ``address``."""

    __slots__ = ("sock", "address", "idle_until", "used")

    def __init__(self, sock, address):
        self.sock = sock
        self.address = address
        self.idle_until = 0.0
        self.used = False

    def close(self):
        """Close it; the server takes that for the wish to stop."""
        try:
            self.sock.close()
        except OSError:
            # It is gone either way.
            return

    def is_quiet(self):
        """Tell whether it is open and nothing came that nobody asked for."""
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


class Connections:
    """The idle connections to every server, newest first."""

    def __init__(self, connect_seconds):
        self._connect_seconds = connect_seconds
        self._idle = collections.defaultdict(list)

    def open(self, address):
        """Return a connection to ``host:port``, kept or new.

        Raises ``OSError`` or ``gevent.Timeout`` where none comes about.
        """
        held = self._idle.get(address)
        while held:
            conn = held.pop()
            if time.monotonic() < conn.idle_until and conn.is_quiet():
                conn.used = True
                return conn
            conn.close()
        sock = connection.connect(address, self._connect_seconds)
        sock.settimeout(None)
        connection.watch_path(sock)
        return Connection(sock, address)

    def keep(self, conn, answer):
        """Keep a connection whose answer was complete, where it may be."""
        held = self._idle[conn.address]
        if "close" in answer.get("connection").lower() or (
            len(held) >= MOST_IDLE
        ):
            conn.close()
            return
        found = _TIMEOUT.search(answer.get("keep-alive").lower())
        seconds = int(found[1]) * IDLE_PART if found else IDLE_SECONDS
        conn.idle_until = time.monotonic() + seconds
        held.append(conn)

    def forget(self, url):
        """Close the idle connections to a server that is gone."""
        self._drop(address_of(url))

    def close(self):
        """Close all idle connections."""
        for address in list(self._idle):
            self._drop(address)

    def _drop(self, address):
        for conn in self._idle.pop(address, ()):
            conn.close()


def address_of(url):
    """Return the ``host:port`` of a backend server's ``url``."""
    return url.removeprefix("http://").rstrip("/")
