"""The status of a replica, as shown to operators."""

import enum

import msgspec


class VoterState(enum.Enum):
    """Whether a voter stays one while a change of voters is in progress."""

    VOTES = "votes"
    COMES_IN = "comes in"
    GOES_OUT = "goes out"


class VoterStatus(msgspec.Struct):
    """One voter; ``address`` and ``failure_domain`` are '' if unknown.

    ``answered_ago`` is how many seconds ago it last answered the leader.  It
    is -1 if the leader has not heard it yet, and on all other instances.
    """

    name: str
    folder: str
    failure_domain: str
    address: str
    state: VoterState
    answered_ago: float


class SpareStatus(msgspec.Struct):
    """A keeper that runs, does not vote and could take a vote over."""

    name: str
    folder: str
    failure_domain: str
    address: str


class LogStatus(msgspec.Struct):
    """The status of a replica; ages are in seconds, -1 if unknown.

    ``folder`` is the identity of this keeper's own data folder, '' without
    one.  ``voters_settled`` tells whether the latest change of voters is
    committed, as far as is known here.  ``losses_survived`` is how many
    further losses of voters writes survive: 0 if one more would stop them, -1
    if no majority answers or no leader is known here, and ``None`` where it
    is known on the leader only.  The same holds for ``voters_answering``.
    ``repair_waits`` tells why a voter that should be replaced is not, for
    ``repair_waits_seconds``; it is '' if nothing is to be replaced.
    ``elections_begun`` counts since the start of this process, as does
    ``voter_changes``.
    """

    role: str
    term: int
    leader: str
    applied: int
    confirmed_ago: float
    stale: bool
    ready: bool
    in_memory: bool
    folder: str
    keeper_stopped: bool
    voters: list[VoterStatus]
    voters_settled: bool
    missing_founders: list[str]
    spares: list[SpareStatus]
    voters_answering: int | None
    losses_survived: int | None
    repair_waits: str
    repair_waits_seconds: float
    elections_begun: int
    voter_changes: int
