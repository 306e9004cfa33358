"""Replication, the follower's side: taking in what a leader sends.

An acknowledgement leaves only once what it acknowledges is on the disk.
"""

from .. import invariants
from . import quorum_log_core as core_module
from . import quorum_log_messages as messages

Role = core_module.Role


class Following:
    """The follower's side."""

    def __init__(self, core, elections, freshness):
        self._core = core
        self._election = elections
        self._freshness = freshness

    def request(self, source, message, now):
        """Take in entries or a heartbeat."""
        core = self._core
        if not core.disk or core.halted:
            return
        if message.term < core.term:
            self._reply(source, message, False, 0)
            return
        if message.term > core.term:
            core.step_down(message.term)
        invariants.check(
            core.role is not Role.LEADER,
            "one-leader-a-term",
            f"{core.name} and {source.instance} in term {message.term}",
        )
        core.rest()
        core.follow(source.instance, now)
        self._election.restart(now)
        self._take(source, message, now)

    def _take(self, source, message, now):
        core = self._core
        self._freshness.hear(message.confirmed_ago, message.commit, now)
        log = core.log
        previous = message.previous_index
        core.check_committed(previous, message.previous_term)
        if previous > core.commit and (
            log.term_at(previous) != message.previous_term
        ):
            # The leader tries again further back: where this log ends, or
            # one before; what is committed agrees for certain.
            hint = min(log.last_index, previous - 1)
            self._reply(source, message, False, max(hint, core.commit))
            return
        for entry in message.entries:
            if entry.index <= core.commit:
                core.check_committed(entry.index, entry.term)
                continue
            if log.term_at(entry.index) != entry.term:
                core.append(entry)
        match = previous + len(message.entries)
        match = max(match, core.commit)
        core.advance(min(message.commit, match))
        self._reply(source, message, True, match)

    def _reply(self, source, message, agreed, match):
        core = self._core
        reply = messages.AppendReply(
            core.log_id, core.folder, core.term, agreed, match, message.round
        )
        core.send_synced(source.instance, reply)
