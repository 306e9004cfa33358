"""The rows of a publisher and the checkpoint of an instance in the ledger."""

import msgspec

from . import usage


class Row(msgspec.Struct):
    """The totals of one key, last changed at the publisher's ``version``."""

    version: int
    totals: usage.Totals


class PublisherRows:
    """The rows of one publisher, as far as this instance holds them.

    ``version`` is the version up to which there are no gaps, ``ahead`` has
    the version ranges received beyond a gap.  ``rows`` are in the order of
    their versions while ``ordered`` is true; ``newest`` is the highest of
    these.  ``unsaved`` has the keys changed since the last write to disk.
    """

    __slots__ = ("version", "ahead", "rows", "ordered", "newest", "unsaved")

    def __init__(self):
        self.version = 0
        self.ahead = []
        self.rows = {}
        self.ordered = True
        self.newest = 0
        self.unsaved = set()

    def move_to_end(self, key, row):
        """Move a changed row to the end, behind all older versions."""
        self.rows.pop(key, None)
        self.rows[key] = row
        self.ordered = self.ordered and row.version >= self.newest
        self.newest = max(self.newest, row.version)

    def add_range(self, since, through):
        """Record a received version range; return whether no gap is left."""
        self.ahead.append((since, through))
        self.ahead.sort()
        while self.ahead and self.ahead[0][0] <= self.version:
            self.version = max(self.version, self.ahead.pop(0)[1])
        return not self.ahead


class Checkpoint:
    """The folded publishers of one instance, up to incarnation ``through``.

    ``root`` is the XOR of their hashes, ``versions`` the sum of their
    versions.
    """

    __slots__ = ("through", "root", "versions", "rows")

    def __init__(self, through=-1, root=0, versions=0):
        self.through = through
        self.root = root
        self.versions = versions
        self.rows = {}
