"""Changes to the declared objects and their results, as logged and sent.

A change is atomic: all its operations take effect at one version or none
does.  These types cross the wire and the disk, so a field is only ever
added, with a default.
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
    take effect: zero demands that it does not exist, ``None`` demands
    nothing.
    """

    verb: Verb
    kind: str
    name: str
    spec: msgspec.Raw = msgspec.Raw(b"{}")
    if_match: int | None = None


class Change(msgspec.Struct, tag="change"):
    """What an operator asked for, under an ``operation_id`` of its own."""

    operation_id: str
    operations: list[Operation]
    author: str = ""


class ResultKind(enum.Enum):
    """How a change ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not_found"
    NO_QUORUM = "no_quorum"
    UNKNOWN = "unknown"


class Result(msgspec.Struct):
    """The answer to a change.

    ``version`` is the log position of the change where it was accepted and
    the present version of the object where it conflicts.
    """

    kind: ResultKind
    version: int = 0
    field: str = ""
    message: str = ""
    remedy: str = ""
