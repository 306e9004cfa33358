"""Events of operators' reads and writes, and of the log on disk."""

import msgspec

from ..coordination import quorum_log_voters as voters
from ..resources import changes
from ..resources import revisions


class WriteSubmitted(msgspec.Struct):
    """An operator's change; ``write_id`` correlates it with its answer."""

    write_id: str
    change: changes.Change


class RevisionSubmitted(msgspec.Struct):
    """A complete, validated configuration revision.

    ``write_id`` correlates it with its answer.
    """

    write_id: str
    revision: revisions.Revision


class ReadSubmitted(msgspec.Struct):
    """An operator's linearizable read.

    It is answered in the same way as a write, as soon as this instance has
    applied everything that was accepted before the read.
    """

    read_id: str


class LogSynced(msgspec.Struct):
    """The write ``ticket`` and all earlier ones are synced to disk."""

    ticket: int


class StorageFailed(msgspec.Struct):
    """A write or sync failed; the contents of the disk are unknown."""

    detail: str


class VoterChangeAsked(msgspec.Struct):
    """An operator's request to add or remove a keeper (a log replica)."""

    request_id: str
    action: voters.VoterAction
    name: str


class InForceAsked(msgspec.Struct):
    """An operator's query for the instances that are at ``version``."""

    version: int
