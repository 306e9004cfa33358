"""Bounds on what one answer of a backend server may cost.

A faulty server may send without end, as fast as it is read.  Each part of an
answer has a bound, so that the connection is closed soon: the head with the
interim answers before it, the framing of the body (sizes and extensions of
chunks, trailers), the body, and what belongs to another request.  Events are
bounded by :mod:`.events_splitter`, and what all bodies hold together by the
account of the instance (``dandeliontrail.decisions.held_bytes``).
"""

# Heads are below 4 KB; servers and proxies commonly take up to 64 KB.
MAX_HEAD_BYTES = 64 * 1024
MAX_HEADERS = 256
MAX_INTERIM_ANSWERS = 16
# Framing that is allowed in any case, and in addition for each byte of the
# body: a chunk of one byte has five bytes of framing, eleven with a long size.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_PER_BODY_BYTE = 12
# Late answers to earlier requests on one connection.
MAX_STALE_BYTES = 1024 * 1024
# Whole answers are buffered, since they may be retried.  Real ones are below
# 1 MB.
MAX_BODY_BYTES = 8 * 1024 * 1024
# What all bodies of unknown length together may hold beyond a free part of
# each, while they are read: many without end would push out all others.
FREE_BODY_BYTES = 256 * 1024
MAX_HELD_BYTES = 16 * 1024 * 1024


class TooLarge(ValueError):
    """A part of an answer is larger than its bound."""


class HeldBytes:
    """The bytes that bodies of unknown length hold beyond a free part."""

    __slots__ = ("total",)

    def __init__(self):
        self.total = 0


class BodyHold:
    """What the body of one answer holds; a context manager.

    >>> held = HeldBytes()
    >>> with BodyHold(held) as hold:
    ...     hold.resize(FREE_BODY_BYTES + 5)
    ...     held.total
    5
    >>> held.total
    0
    """

    __slots__ = ("_held", "_size")

    def __init__(self, held):
        self._held = held
        self._size = 0

    def resize(self, size):
        """Hold ``size`` bytes; raises :class:`TooLarge` beyond a bound."""
        beyond = max(0, size - FREE_BODY_BYTES)
        self._held.total += beyond - self._size
        self._size = beyond
        if size > MAX_BODY_BYTES:
            raise TooLarge("the body of the answer is too long")
        if beyond and self._held.total > MAX_HELD_BYTES:
            raise TooLarge("the bodies of all answers are too long")

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._held.total -= self._size
        self._size = 0
