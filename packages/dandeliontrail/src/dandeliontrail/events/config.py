"""Events that change the declared objects, and those of their disk."""

import dataclasses

from ..coordination import quorum_log_voters as voters
from ..resources import changes
from ..resources import revisions


@dataclasses.dataclass(slots=True)
class WriteSubmitted:
    """An operator's change; ``write_id`` pairs it with its answer."""

    write_id: str
    change: changes.Change


@dataclasses.dataclass(slots=True)
class RevisionSubmitted:
    """A whole configuration, checked; ``write_id`` pairs the answer."""

    write_id: str
    revision: revisions.Revision


@dataclasses.dataclass(slots=True)
class ReadSubmitted:
    """An operator's read that must not be stale.

    It is answered like a write, once this instance has all that was
    accepted before.
    """

    read_id: str


@dataclasses.dataclass(slots=True)
class LogSynced:
    """The write ``ticket`` and all before it are synced."""

    ticket: int


@dataclasses.dataclass(slots=True)
class StorageFailed:
    """A write or sync failed; what the disk holds is not known."""

    detail: str


@dataclasses.dataclass(slots=True)
class VoterChangeAsked:
    """An operator wants a keeper added or removed."""

    request_id: str
    action: voters.VoterAction
    name: str


@dataclasses.dataclass(slots=True)
class InForceAsked:
    """An operator wants to know which instances are at ``version``."""

    version: int
