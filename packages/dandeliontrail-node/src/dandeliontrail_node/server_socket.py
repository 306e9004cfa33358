"""Connections to backend servers whose end is told from their failure.

An answer without a length ends with its connection (RFC 9112, section 6.3).
The kernel reports a reset, a timeout or a lost path to one call only; from
then on ``recv`` returns ``b""``, as it does after the server's orderly end.
So whoever uses a connection learns from :class:`ServerSocket` alone that the
server has ended it.
"""

import errno


class EarlierFailure(ConnectionResetError):
    """The connection has failed before, so its end says nothing."""


class ServerSocket:
    """A socket to a server that returns ``b""`` after an orderly end only.

    >>> import socket
    >>> own, server = socket.socketpair()
    >>> sock = ServerSocket(own)
    >>> server.close()
    >>> sock.recv(1)
    b''
    >>> sock.shutdown(socket.SHUT_RDWR)
    >>> sock.recv(1)
    Traceback (most recent call last):
    ...
    dandeliontrail_node.server_socket.EarlierFailure: this side has ended it
    """

    __slots__ = ("_sock", "_failure", "settimeout", "setsockopt", "close")

    def __init__(self, sock):
        self._sock = sock
        # What ended the connection, if that was not the server.
        self._failure = ""
        self.settimeout = sock.settimeout
        self.setsockopt = sock.setsockopt
        self.close = sock.close

    def send(self, data):
        """Send a part of ``data``; return how many bytes."""
        try:
            return self._sock.send(data)
        except OSError as exc:
            self._note_failure(exc)
            raise

    def sendall(self, data):
        """Send all of ``data``."""
        try:
            self._sock.sendall(data)
        except OSError as exc:
            self._note_failure(exc)
            raise

    def recv(self, size, flags=0):
        """Return received bytes, ``b""`` once the server has ended.

        Raises ``OSError``, also at the end of a connection that has failed
        in an earlier call.
        """
        try:
            data = self._sock.recv(size, flags)
        except OSError as exc:
            self._note_failure(exc)
            raise
        if not data and self._failure:
            raise EarlierFailure(self._failure)
        return data

    def shutdown(self, how):
        """End the connection from this side."""
        self._failure = self._failure or "this side has ended it"
        self._sock.shutdown(how)

    def _note_failure(self, exc):
        if is_failure(exc):
            self._failure = f"{type(exc).__name__}: {exc}"


def is_failure(exc):
    """Return whether an ``OSError`` means that the connection has failed.

    A timeout of the socket and a call that would block do not; the kernel's
    ``ETIMEDOUT`` does.
    """
    if isinstance(exc, BlockingIOError):
        return False
    return not isinstance(exc, TimeoutError) or exc.errno == errno.ETIMEDOUT
