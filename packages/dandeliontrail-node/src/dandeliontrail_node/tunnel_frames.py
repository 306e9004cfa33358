"""Frames in which a peer passes on the bytes of a server in a tunnel.

An answer without a length ends with its connection.  A tunnel may end for
other reasons, such as the end of the peer's process, after which the kernel
closes its connections as after a whole answer.  So a frame of no bytes says
that the server has ended its connection; a tunnel that ends without one has
cut the answer short.

>>> decoder = FrameDecoder()
>>> decoder.feed(encode(b"an answer") + encode(b""))
b'an answer'
>>> decoder.ended
True
"""

import struct

_HEADER = struct.Struct("!I")


class FrameError(ConnectionError):
    """The peer sent bytes after the end of the server's connection."""


def encode(data):
    """Return the frame of ``data``; that of ``b""`` ends the connection."""
    return _HEADER.pack(len(data)) + data


class FrameDecoder:
    """Returns the server's bytes from the frames of a tunnel.

    ``ended`` is true once the peer has said that the server ended its
    connection.
    """

    __slots__ = ("ended", "_header", "_left")

    def __init__(self):
        self.ended = False
        self._header = b""
        # Bytes of the present frame that have not arrived.
        self._left = 0

    def feed(self, data):
        """Return the server's bytes in ``data``, which may be none.

        Raises :class:`FrameError`.
        """
        parts = []
        rest = memoryview(data)
        while rest:
            if self.ended:
                raise FrameError("the peer sent more than the server's bytes")
            if self._left:
                parts.append(rest[: self._left])
                rest = rest[self._left :]
                self._left -= len(parts[-1])
            else:
                rest = self._feed_header(rest)
        return b"".join(parts)

    def _feed_header(self, rest):
        """Read on in a frame's header; return the bytes after it."""
        missing = _HEADER.size - len(self._header)
        self._header += rest[:missing]
        if len(self._header) == _HEADER.size:
            (self._left,) = _HEADER.unpack(self._header)
            self._header = b""
            self.ended = not self._left
        return rest[missing:]
