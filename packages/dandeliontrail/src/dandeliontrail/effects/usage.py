"""Effects that keep usage on the disk of a keeper."""

import dataclasses

from ..coordination import usage


@dataclasses.dataclass(slots=True)
class AppendUsage:
    """Add what changed to the journal of usage on the disk."""

    entries: list


@dataclasses.dataclass(slots=True)
class ReplaceUsage:
    """Put a snapshot of all usage in place of the journal so far."""

    snapshot: usage.LedgerSnapshot
