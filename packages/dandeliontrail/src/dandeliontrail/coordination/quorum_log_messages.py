"""Messages of the quorum log.

``log_id`` identifies the log, so that the logs of two systems whose instances
reach each other by mistake are not mixed.  ``folder`` identifies the sender's
data folder and is empty on instances without a disk.
"""

import msgspec

from . import quorum_log_entries as entries


class VoteRequest(msgspec.Struct, tag="vote_request"):
    """Requests a vote or, with ``pre``, a pre-vote that is not recorded.

    ``voter`` is the data folder of the keeper that is asked.  With
    ``transfer`` the leader itself has asked the sender to campaign.
    """

    log_id: str
    folder: str
    term: int
    pre: bool
    last_index: int
    last_term: int
    voter: str = ""
    transfer: bool = False


class VoteReply(msgspec.Struct, tag="vote_reply"):
    """Answers a vote request with the same ``pre``.

    ``term`` is that of the request if the vote is granted, else the sender's
    current term.
    """

    log_id: str
    folder: str
    term: int
    pre: bool
    granted: bool


class AppendRequest(msgspec.Struct, tag="append_request"):
    """Entries from the leader; without any, it is a heartbeat.

    ``confirmed_ago`` is the time in seconds since a majority last confirmed
    the leadership, negative if none has yet.  ``round`` numbers the leader's
    broadcasts and is returned in the reply.
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
    """Acknowledges the entries up to ``match``, which are on disk.

    Without ``agreed``, the logs do not match at the previous index and
    ``match`` is the index from which the leader should retry.  ``leaving`` is
    true if the sender shuts down, and ``joint`` if it knows joint sets of
    voters, which releases before them took for plain ones.
    """

    log_id: str
    folder: str
    term: int
    agreed: bool
    match: int
    round: int
    leaving: bool = False
    joint: bool = False


class CampaignNow(msgspec.Struct, tag="campaign_now"):
    """The leader of ``term`` asks the receiver to lead in its place."""

    log_id: str
    term: int


class Progress(msgspec.Struct, tag="progress"):
    """The sender's progress in the log.

    ``confirmed_ago`` is the time in seconds since the sender last had all
    committed entries, as far as it has heard; ``proven_ago`` is the guaranteed
    bound (see :mod:`.quorum_log_freshness`).  Both are negative if unknown.
    ``leader`` is empty unless the sender hears the leader itself.  With
    ``asks`` the sender requests the receiver's progress in return, and the
    reply carries the same ``ask``.
    """

    log_id: str
    applied: int
    confirmed_ago: float
    proven_ago: float = -1.0
    leader: str = ""
    asks: bool = False
    ask: int = 0


class Fetch(msgspec.Struct, tag="fetch"):
    """Requests the committed entries after index ``after``."""

    log_id: str
    after: int


class Committed(msgspec.Struct, tag="committed"):
    """Consecutive committed entries."""

    log_id: str
    entries: list[entries.LogEntry]


class CheckpointSent(msgspec.Struct, tag="checkpoint"):
    """A checkpoint for an instance that is too far behind."""

    log_id: str
    checkpoint: msgspec.Raw


class Propose(msgspec.Struct, tag="propose"):
    """Asks the leader to append ``body`` under ``proposal_id``."""

    log_id: str
    proposal_id: str
    body: entries.Body


class KeeperHello(msgspec.Struct, tag="keeper_hello"):
    """Announces the sender's data folder and the log it belongs to.

    Only instances with a disk send it.  ``log_id`` is empty until the sender
    belongs to a log.  A sender that shuts down is ``leaving``.
    """

    folder: str
    log_id: str
    founders: list[entries.Voter] = []
    leaving: bool = False


ALL = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    CampaignNow,
    Progress,
    Fetch,
    Committed,
    CheckpointSent,
    Propose,
    KeeperHello,
)
