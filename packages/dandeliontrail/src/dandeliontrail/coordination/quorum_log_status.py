"""What an instance tells people of its replica."""

import msgspec

from . import quorum_log_entries as entries


class LogStatus(msgspec.Struct):
    """How a replica stands; ages in seconds, -1 for never."""

    role: str
    term: int
    leader: str
    applied: int
    confirmed_ago: float
    stale: bool
    ready: bool
    in_memory: bool
    disk_failed: bool
    voters: list[entries.Voter]
    missing_founders: list[str]
