"""What the usage ledger holds of a publisher and of an instance."""

import msgspec

from . import usage


class Row(msgspec.Struct):
    """The totals of one key, last changed at a publisher's ``version``."""

    version: int
    totals: usage.Totals


class HeldRows:
    """What is held of one publisher.

    ``version`` is up to where nothing is missing, ``ahead`` the ranges of
    versions that came before what precedes them.  ``rows`` are in the order
    of their versions as long as ``ordered`` says so.
    """

    __slots__ = ("version", "ahead", "rows", "ordered", "newest", "unsaved")

    def __init__(self):
        self.version = 0
        self.ahead = []
        self.rows = {}
        self.ordered = True
        self.newest = 0
        self.unsaved = set()

    def put_last(self, key, row):
        """Move a row that changed to the end, where the newest are."""
        self.rows.pop(key, None)
        self.rows[key] = row
        self.ordered = self.ordered and row.version >= self.newest
        self.newest = max(self.newest, row.version)

    def covers(self, since, through):
        """Take note of a range; return whether nothing is missing."""
        self.ahead.append((since, through))
        self.ahead.sort()
        while self.ahead and self.ahead[0][0] <= self.version:
            self.version = max(self.version, self.ahead.pop(0)[1])
        return not self.ahead


class Checkpoint:
    """The folded publishers of one instance, up to an incarnation."""

    __slots__ = ("through", "root", "versions", "rows")

    def __init__(self, through=-1, root=0, versions=0):
        self.through = through
        self.root = root
        self.versions = versions
        self.rows = {}
