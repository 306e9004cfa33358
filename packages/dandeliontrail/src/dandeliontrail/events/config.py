"""Events that change the declared objects, and those of their disk."""

import msgspec

from ..coordination import quorum_log_voters as voters
from ..resources import changes
from ..resources import revisions


class WriteSubmitted(msgspec.Struct):
    """An operator's change; ``write_id`` pairs it with its answer."""

    write_id: str
    change: changes.Change


class RevisionSubmitted(msgspec.Struct):
    """A whole configuration, checked; ``write_id`` pairs the answer."""

    write_id: str
    revision: revisions.Revision


class ReadSubmitted(msgspec.Struct):
    """An operator's read that must not be stale.

    It is answered like a write, once this instance has all that was
    accepted before.
    """

    read_id: str


class LogSynced(msgspec.Struct):
    """The write ``ticket`` and all before it are synced."""

    ticket: int


class StorageFailed(msgspec.Struct):
    """A write or sync failed; what the disk holds is not known."""

    detail: str


class VoterChangeAsked(msgspec.Struct):
    """An operator wants a keeper added or removed."""

    request_id: str
    action: voters.VoterAction
    name: str


class InForceAsked(msgspec.Struct):
    """An operator wants to know which instances are at ``version``."""

    version: int
