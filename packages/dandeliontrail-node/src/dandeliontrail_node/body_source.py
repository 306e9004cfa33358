"""The body of a request, as the HTTP server reads it.

What is left of it after the response is read on for a short time only, so that
a client that is still sending sees the response.
"""

import gevent
from gevent import pywsgi

from . import client_connections
from . import request_framing

LINGER_BYTES = 1024 * 1024
LINGER_SECONDS = 2.0
LINGER_READ_BYTES = 16 * 1024
# Leaves a client that is still sending the time to look for the response.
LINGER_PAUSE_SECONDS = 0.01
READ_BYTES = 64 * 1024


class BodySource(pywsgi.Input):
    """The body of a request; an unread rest is discarded within limits."""

    __slots__ = ("handler", "chunks")

    @property
    def wire_bytes(self):
        """How many bytes of the connection were read for the body."""
        if self.chunked_input:
            return self.chunks.wire_bytes
        return self.position

    @property
    def body_bytes(self):
        """How many bytes of the body were read."""
        if self.chunked_input:
            return self.chunks.body_bytes
        return self.position

    def is_complete(self):
        """Return whether the whole body was read."""
        if self.chunked_input:
            return self.chunks.ended
        return self.position >= (self.content_length or 0)

    def length(self):
        """Return how many bytes are announced, ``None`` with chunks."""
        return None if self.chunked_input else self.content_length or 0

    def read_whole(self):
        """Return a body that is announced; raises as :meth:`read_part`.

        A body of a few kilobytes costs a third less than in parts.
        """
        self._send_100_continue()
        length = self.content_length
        data = self.rfile.read(length)
        if len(data) < length:
            self.handler.close_connection = True
            raise OSError("the connection ended before the body")
        self.position = length
        self.handler.enter(client_connections.State.SERVED)
        return data

    def read_part(self, size):
        """Return some of the next ``size`` bytes, ``b""`` at the end.

        Raises ``OSError`` if the body is broken.
        """
        if self.is_complete():
            return b""
        self._send_100_continue()
        if self.chunked_input:
            data = self._read_chunked(size)
        else:
            data = self._read_counted(size)
        if self.is_complete():
            self.handler.enter(client_connections.State.SERVED)
        return data

    def _read_chunked(self, size):
        try:
            return self.chunks.read_part(size)
        except request_framing.Malformed as exc:
            self.handler.close_connection = True
            raise OSError(str(exc))

    def _read_counted(self, size):
        data = self.rfile.read1(min(size, self.content_length - self.position))
        if not data:
            self.handler.close_connection = True
            raise OSError("the connection ended before the body")
        self.position += len(data)
        return data

    def _chunked_read(self, length=None, use_readline=False):
        """Return bytes of a chunked body; the apps read no lines of one."""
        parts = []
        while length is None or length > 0:
            part = self.read_part(READ_BYTES if length is None else length)
            if not part:
                break
            parts.append(part)
            if length is not None:
                length -= len(part)
        return b"".join(parts)

    def _discard(self):
        try:
            self._discard_bounded()
        except OSError:
            # Where the next request starts is not known.
            self.handler.close_connection = True

    def _discard_bounded(self):
        """Read on while the client may still read the response.

        Where the connection is closed anyway, framing is of no interest.
        """
        self.send_100_continue_enabled = False
        if self.is_complete():
            return
        with gevent.Timeout(LINGER_SECONDS, False):
            if self.handler.close_connection:
                self._discard_raw()
                return
            for _ in range(LINGER_BYTES // LINGER_READ_BYTES):
                if not self.read_part(LINGER_READ_BYTES):
                    return
                gevent.sleep(0)
        # The rest of the body exceeds the limits: close the connection.
        self.handler.close_connection = True

    def _discard_raw(self):
        for _ in range(LINGER_BYTES // LINGER_READ_BYTES):
            if not self.rfile.read1(LINGER_READ_BYTES):
                return
            gevent.sleep(LINGER_PAUSE_SECONDS)
