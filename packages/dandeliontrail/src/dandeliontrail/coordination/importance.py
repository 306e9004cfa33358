"""What a short byte budget keeps back, and what never.

Under a burst, or after a partition has healed, more may be due than the
budget of bytes allows.  What ends work on a leaving server or keeps a lease
alive must not wait behind what only improves a choice: load goes first,
then what anti-entropy will bring anyway.
"""

import enum

import msgspec

from . import dissemination
from . import servers
from . import usage


class Importance(enum.IntEnum):
    """The lower, the longer a message is kept."""

    ALWAYS = 0
    REPAIRED = 1


# Whatever loses one of these gets it through a later comparison.
_REPAIRED = (
    dissemination.SyncBuckets,
    dissemination.SyncKeys,
    dissemination.SyncWant,
    usage.UsageRows,
    usage.UsageHave,
    usage.UsageCheckpoint,
)


def of(message):
    """Return how important a message is.

    Messages that this table does not name are never kept back.
    """
    if isinstance(message, _REPAIRED):
        return Importance.REPAIRED
    return Importance.ALWAYS


def without_load(message):
    """Return a message without the load reports in it."""
    if not isinstance(message, servers.Renewals):
        return message
    return servers.Renewals(
        [
            msgspec.structs.replace(renewal, load=[])
            for renewal in message.renewals
        ]
    )
