"""Digests by which two instances find the differences of their tables.

Tables are compared every second, so comparing one that seldom changes must
cost almost nothing.  Sending 2,500 keys with their versions would take over
60 KB, which is the byte budget of 15 seconds.  So the keys are hashed into
buckets.  The digest of a bucket, and of the whole table, is the XOR of the
hashes of its entries.  A comparison starts with the one number of the whole
table and ends there if the tables are equal.
"""

import hashlib
import zlib

# If two tables of 2,500 entries differ in one entry, they compare the keys of
# one bucket, which has forty entries.
BUCKETS = 64
# 48 bits: JSON numbers are exact only up to 53 bits.
HASH_BYTES = 6


def hash_of(data):
    """Return a 48-bit hash of the bytes ``data``."""
    digest = hashlib.blake2b(data, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def bucket_of(key):
    """Return the bucket of ``key``, which is the same on every instance."""
    return zlib.crc32(key.encode()) % BUCKETS


class TableDigest:
    """The digests of a table, updated incrementally for each entry.

    ``root`` is the digest of the whole table.

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
        """Add or replace an entry."""
        index = bucket_of(key)
        entry_hash = hash_of(f"{key}/{value}".encode())
        before = self._entries[index].get(key, 0)
        self._entries[index][key] = entry_hash
        self._xor(index, before ^ entry_hash)

    def drop(self, key):
        """Remove an entry if present."""
        index = bucket_of(key)
        self._xor(index, self._entries[index].pop(key, 0))

    def _xor(self, index, change):
        self.buckets[index] ^= change
        self.root ^= change

    def keys(self):
        """Return the keys of all entries."""
        return [key for entries in self._entries for key in entries]

    def differing(self, buckets):
        """Return the indices of the buckets whose digests differ."""
        return [
            index
            for index, (own, other) in enumerate(zip(self.buckets, buckets))
            if own != other
        ]

    def entries(self, indices):
        """Return the hashes of the entries in some buckets, by key.

        Buckets that do not exist are passed over.
        """
        out = {}
        for index in indices:
            if 0 <= index < BUCKETS:
                out.update(self._entries[index])
        return out
