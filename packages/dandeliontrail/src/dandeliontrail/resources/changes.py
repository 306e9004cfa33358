"""Changes to the declared objects and their results.

A change is atomic: all its operations take effect at one version or none
does.  These types are sent over the network and stored on disk, so fields
may only be added, and with a default.
"""

import enum

import msgspec


class Verb(enum.Enum):
    """What an operation does to one object."""

    PUT = "put"
    DELETE = "delete"


class Operation(msgspec.Struct):
    """One step of a change.

    ``if_match`` is the version that the object must have for the change to
    take effect: 0 requires that the object does not exist, and ``None``
    makes the operation unconditional.
    """

    verb: Verb
    kind: str
    name: str
    spec: msgspec.Raw = msgspec.Raw(b"{}")
    if_match: int | None = None


class Change(msgspec.Struct, tag="change"):
    """An operator's change, identified by a unique ``operation_id``."""

    operation_id: str
    operations: list[Operation]
    author: str = ""


class ResultKind(enum.Enum):
    """The outcome of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not_found"
    NO_QUORUM = "no_quorum"
    UNKNOWN = "unknown"


class Result(msgspec.Struct):
    """The result of a change.

    ``version`` is the log position of an accepted change; for a conflict it
    is the current version of the object.  ``field`` names the invalid field,
    and ``remedy`` describes how to correct the change.
    """

    kind: ResultKind
    version: int = 0
    field: str = ""
    message: str = ""
    remedy: str = ""
