"""Effects that write usage to the disk of a keeper."""

import msgspec

from ..coordination import usage


class AppendUsage(msgspec.Struct):
    """Append changed rows and checkpoints to the usage journal on disk."""

    entries: list


class ReplaceUsage(msgspec.Struct):
    """Replace the usage on disk by a snapshot and an empty journal."""

    snapshot: usage.LedgerSnapshot
