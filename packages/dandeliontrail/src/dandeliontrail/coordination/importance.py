"""Priorities of messages when the byte budget of a link is exhausted.

In a burst, or after a partition has healed, more messages may be due than
the byte budget allows.  A message that stops work on a leaving server or
renews a lease must not wait behind one that only improves decisions.  So
load reports are dropped first, then messages whose content anti-entropy
repairs later.
"""

import enum

import msgspec

from . import dissemination
from . import servers
from . import usage


class Importance(enum.IntEnum):
    """Message priorities; a message with a lower value is kept longer."""

    ALWAYS = 0
    REPAIRED = 1


# If one of these is lost, a later comparison of digests repairs the loss.
_REPAIRED_BY_ANTI_ENTROPY = (
    dissemination.SyncBuckets,
    dissemination.SyncKeys,
    dissemination.SyncWant,
    usage.UsageRows,
    usage.UsageHave,
    usage.UsageCheckpoint,
)


def of(message):
    """Return the importance of a message.

    A message of a type that is not listed here is sent even if the byte
    budget is exhausted.
    """
    if isinstance(message, _REPAIRED_BY_ANTI_ENTROPY):
        return Importance.REPAIRED
    return Importance.ALWAYS


def without_load(message):
    """Return a message without its load reports."""
    if not isinstance(message, servers.Renewals):
        return message
    return servers.Renewals(
        [
            msgspec.structs.replace(renewal, load=[])
            for renewal in message.renewals
        ]
    )
