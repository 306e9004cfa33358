"""Notices at once that a caller has closed its connection.

A caller that leaves costs its servers work that nobody wants.  While a
request is under way nothing is read from its connection, so the loop is
asked to say when it becomes readable: either the caller closed it, or it
has sent its next request already, which is left where it is.
"""

import socket

import gevent

from .. import wsgi


class CallerLeft(wsgi.Aborted):
    """The caller closed its connection."""


class CallerWatch:
    """Raises :class:`CallerLeft` in the greenlet that entered it.

    >>> with CallerWatch(sock):  # doctest: +SKIP
    ...     serve()
    """

    def __init__(self, sock):
        self._sock = sock
        self._watcher = None
        self._greenlet = None
        self.left = False

    def __enter__(self):
        self._greenlet = gevent.getcurrent()
        if self._sock is not None:
            loop = gevent.get_hub().loop
            self._watcher = loop.io(self._sock.fileno(), 1)
            self._watcher.start(self._readable)
        return self

    def __exit__(self, *exc_info):
        self._greenlet = None
        self._stop()

    def _stop(self):
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _readable(self):
        self._stop()
        if not self._closed():
            return
        self.left = True
        greenlet = self._greenlet
        if greenlet is not None:
            greenlet.kill(CallerLeft(), block=False)

    def _closed(self):
        """Tell whether the connection has ended; runs in the loop."""
        try:
            plain = socket.socket(fileno=self._sock.fileno())
        except OSError:
            return True
        try:
            return not plain.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            plain.detach()
