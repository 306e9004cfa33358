"""Makes large batches between instances small on the wire.

A whole configuration with 1,400 routes is 1.1 MB as an entry of the log and
goes to every instance.  On a link of 5 Mbit/s that is 1.8 s for each, behind
which heartbeats wait; compressed it is a tenth.
"""

import zlib

# Below this the headers weigh as much as what is gained.
COMPRESS_ABOVE = 8 * 1024
# The fastest: 12 ms for a megabyte of JSON.
LEVEL = 1
ENCODING = "deflate"
# A batch may grow to this when it is unpacked; more is no batch of ours.
MOST_BYTES = 64 * 1024 * 1024


class TooLarge(ValueError):
    """The unpacked batch is beyond ``MOST_BYTES``, or is no such batch."""


def pack(body):
    """Return ``body`` and the name of its encoding, '' for none.

    >>> pack(b"short")
    (b'short', '')
    """
    if len(body) < COMPRESS_ABOVE:
        return body, ""
    return zlib.compress(body, LEVEL), ENCODING


def unpack(body, encoding):
    """Return what was packed; raises :class:`TooLarge`."""
    if encoding != ENCODING:
        return body
    unpacking = zlib.decompressobj()
    try:
        found = unpacking.decompress(body, MOST_BYTES)
    except zlib.error as exc:
        raise TooLarge(f"not compressed as it says: {exc}")
    if not unpacking.eof:
        raise TooLarge("cut short, or too large")
    return found
