"""Log replication on a follower.

An acknowledgement is sent only once the acknowledged entries are on disk.
"""

from .. import invariants
from . import quorum_log_core as core_module
from . import quorum_log_messages as messages

Role = core_module.Role


class Follower:
    """Processes the append requests of a leader."""

    def __init__(self, core, election, freshness):
        self._core = core
        self._election = election
        self._freshness = freshness

    def handle_append(self, source, message, now):
        """Process an append request, which may be a mere heartbeat."""
        core = self._core
        if not core.has_disk or core.halted:
            return
        if message.term < core.term:
            self._reply(source, message, False, 0)
            return
        if message.term > core.term:
            core.step_down(message.term)
        invariants.check(
            core.role is not Role.LEADER,
            "one-leader-a-term",
            f"{core.name} and {source.instance} both lead term {message.term}",
        )
        core.reset_role()
        core.accept_leader(source.instance, now)
        self._election.reset_timeout(now)
        self._append_entries(source, message, now)

    def _append_entries(self, source, message, now):
        core = self._core
        self._freshness.record_heard(
            message.confirmed_ago, message.commit, now
        )
        log = core.log
        previous = message.previous_index
        core.check_committed(previous, message.previous_term)
        if previous > core.commit and (
            log.term_at(previous) != message.previous_term
        ):
            # The leader retries from an earlier index: the end of this log
            # or the entry before the mismatch, but not before the commit
            # index, up to which the logs agree.
            retry_from = min(log.last_index, previous - 1)
            self._reply(source, message, False, max(retry_from, core.commit))
            return
        for entry in message.entries:
            if entry.index <= core.commit:
                core.check_committed(entry.index, entry.term)
                continue
            if log.term_at(entry.index) != entry.term:
                core.append(entry)
        match = previous + len(message.entries)
        match = max(match, core.commit)
        core.advance_commit(min(message.commit, match))
        self._reply(source, message, True, match)

    def _reply(self, source, message, agreed, match):
        core = self._core
        reply = messages.AppendReply(
            core.log_id,
            core.folder,
            core.term,
            agreed,
            match,
            message.round,
            core.leaving,
            True,
        )
        core.send_synced(source.instance, reply)
