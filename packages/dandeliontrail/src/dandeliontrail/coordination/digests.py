"""Digests by which two instances find out where their tables differ.

A table that seldom changes must cost next to nothing to compare, although
it is compared every second: 2,500 keys with their versions would be above
60 KB, the budget of 15 seconds.  So the keys are spread over buckets, each
bucket and the whole are the exclusive or of their entries' hashes, and a
comparison starts from one number: equal tables stop there.
"""

import hashlib
import zlib

# Two tables of 2,500 entries that differ in one meet in a bucket of forty.
BUCKETS = 64
# Numbers in JSON are exact up to 53 bits.
HASH_BYTES = 6


def hash_of(data):
    """Return a number of 48 bits that stands for the bytes ``data``."""
    digest = hashlib.blake2b(data, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def bucket_of(key):
    """Return the bucket that ``key`` falls into, the same everywhere."""
    return zlib.crc32(key.encode()) % BUCKETS


class TableDigest:
    """The hashes of a table's entries, kept up entry by entry.

    >>> one, two = TableDigest(), TableDigest()
    >>> one.put("a", 7), one.put("b", 9)
    (None, None)
    >>> two.put("b", 9), two.put("a", 7)
    (None, None)
    >>> one.root == two.root
    True
    """

    __slots__ = ("root", "buckets", "_entries")

    def __init__(self):
        self.root = 0
        self.buckets = [0] * BUCKETS
        self._entries = [{} for _ in range(BUCKETS)]

    def __len__(self):
        return sum(len(entries) for entries in self._entries)

    def put(self, key, value):
        """Set the hash of an entry."""
        index = bucket_of(key)
        mixed = hash_of(f"{key}/{value}".encode())
        before = self._entries[index].get(key, 0)
        self._entries[index][key] = mixed
        self._mix(index, before ^ mixed)

    def drop(self, key):
        """Take an entry out, if it is there."""
        index = bucket_of(key)
        self._mix(index, self._entries[index].pop(key, 0))

    def _mix(self, index, change):
        self.buckets[index] ^= change
        self.root ^= change

    def keys(self):
        """Return the keys of all entries."""
        return [key for entries in self._entries for key in entries]

    def differing(self, buckets):
        """Return the indices of the buckets that differ from ``buckets``."""
        return [
            index
            for index, (own, other) in enumerate(zip(self.buckets, buckets))
            if own != other
        ]

    def entries(self, indices):
        """Return the hashes by key of the entries in some buckets."""
        out = {}
        for index in indices:
            out.update(self._entries[index])
        return out
