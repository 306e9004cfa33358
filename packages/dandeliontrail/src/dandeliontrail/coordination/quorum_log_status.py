"""The status of a replica, as shown to operators."""

import msgspec

from . import quorum_log_entries as entries


class LogStatus(msgspec.Struct):
    """The status of a replica; ages are in seconds, -1 if unknown."""

    role: str
    term: int
    leader: str
    applied: int
    confirmed_ago: float
    stale: bool
    ready: bool
    in_memory: bool
    keeper_stopped: bool
    voters: list[entries.Voter]
    missing_founders: list[str]
