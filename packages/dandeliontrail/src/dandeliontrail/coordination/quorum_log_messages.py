"""Messages of the quorum log.

``log_id`` names the log, so that instances of two systems which reach one
another by mistake do not mix their logs.  ``folder`` names the sender's
data folder and is empty on instances without a disk.
"""

import msgspec

from . import quorum_log_entries as entries


class VoteRequest(msgspec.Struct, tag="vote_request"):
    """Asks for a vote; with ``pre`` only whether it would be given."""

    log_id: str
    folder: str
    term: int
    pre: bool
    last_index: int
    last_term: int


class VoteReply(msgspec.Struct, tag="vote_reply"):
    """Answers a vote request of the same ``term`` and ``pre``."""

    log_id: str
    folder: str
    term: int
    pre: bool
    granted: bool


class AppendRequest(msgspec.Struct, tag="append_request"):
    """Entries from the leader; without any it is a heartbeat.

    ``confirmed_ago`` is how many seconds ago the leader last heard from a
    majority, negative where it never did.
    """

    log_id: str
    term: int
    previous_index: int
    previous_term: int
    entries: list[entries.LogEntry]
    commit: int
    round: int
    confirmed_ago: float = -1.0


class AppendReply(msgspec.Struct, tag="append_reply"):
    """What the sender holds, synced, up to ``match``.

    Without ``agreed``, ``match`` is where the leader should try next.
    """

    log_id: str
    folder: str
    term: int
    agreed: bool
    match: int
    round: int


class Progress(msgspec.Struct, tag="progress"):
    """How far the sender is.

    ``confirmed_ago`` is how many seconds ago it had all that was committed,
    as far as it heard, and ``proven_ago`` as far as is certain; both are
    negative for never.  ``leader`` is empty where the sender does not hear
    one itself.  With ``asks`` it wants an answer, which has the same
    ``ask``.
    """

    log_id: str
    applied: int
    confirmed_ago: float
    proven_ago: float = -1.0
    leader: str = ""
    asks: bool = False
    ask: int = 0


class Fetch(msgspec.Struct, tag="fetch"):
    """Asks for the committed entries after ``after``."""

    log_id: str
    after: int


class Committed(msgspec.Struct, tag="committed"):
    """Committed entries, without gaps."""

    log_id: str
    entries: list[entries.LogEntry]


class CheckpointSent(msgspec.Struct, tag="checkpoint"):
    """The state at some version, for whoever is too far behind."""

    log_id: str
    checkpoint: msgspec.Raw


class Propose(msgspec.Struct, tag="propose"):
    """Asks the leader to append ``body`` under ``proposal_id``."""

    log_id: str
    proposal_id: str
    body: entries.Body


class KeeperHello(msgspec.Struct, tag="keeper_hello"):
    """An instance with a disk shows its folder and the log it is part of.

    ``log_id`` is empty while it is part of none.
    """

    folder: str
    log_id: str
    founders: list[entries.Voter] = []


ALL = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    Progress,
    Fetch,
    Committed,
    CheckpointSent,
    Propose,
    KeeperHello,
)
