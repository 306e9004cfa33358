"""Effects that keep usage on the disk of a keeper."""

import msgspec

from ..coordination import usage


class AppendUsage(msgspec.Struct):
    """Add what changed to the journal of usage on the disk."""

    entries: list


class ReplaceUsage(msgspec.Struct):
    """Put a snapshot of all usage in place of the journal so far."""

    snapshot: usage.LedgerSnapshot
