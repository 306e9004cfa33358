"""Detects immediately that a caller has closed its connection.

Work for a caller that has disconnected is wasted.  While a request is being
served nothing reads from its connection, so an event-loop watcher waits for
the socket to become readable: then either the caller has closed the
connection, or it has already sent its next request, which stays unread.
"""

import socket

import gevent

from .. import wsgi


class CallerLeft(wsgi.Aborted):
    """The caller closed its connection."""


class CallerWatch:
    """Context manager that raises :class:`CallerLeft` in its greenlet.

    It does not if ``may_interrupt()`` is false when the caller leaves; then
    ``left`` tells it.

    >>> with CallerWatch(sock, lambda: True):  # doctest: +SKIP
    ...     serve()
    """

    def __init__(self, sock, may_interrupt):
        self._sock = sock
        self._may_interrupt = may_interrupt
        self._watcher = None
        self._greenlet = None
        self.left = False

    def __enter__(self):
        self._greenlet = gevent.getcurrent()
        if self._sock is not None:
            loop = gevent.get_hub().loop
            self._watcher = loop.io(self._sock.fileno(), 1)
            self._watcher.start(self._on_readable)
        return self

    def __exit__(self, *exc_info):
        self._greenlet = None
        self._stop()

    def _stop(self):
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _on_readable(self):
        self._stop()
        if not self._is_closed():
            return
        self.left = True
        greenlet = self._greenlet
        if greenlet is not None and self._may_interrupt():
            greenlet.kill(CallerLeft(), block=False)

    def _is_closed(self):
        """Return whether the connection has ended; runs in the event loop."""
        try:
            raw_socket = socket.socket(fileno=self._sock.fileno())
        except OSError:
            return True
        try:
            return not raw_socket.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            raw_socket.detach()
