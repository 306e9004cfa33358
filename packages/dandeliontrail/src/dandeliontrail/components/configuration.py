"""The component that replicates and applies configuration changes.

It owns this instance's replica of the quorum log (see
:mod:`..coordination.quorum_log`) and the declared objects, which result from
applying the log's changes.
"""

import msgspec

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import quorum_log
from ..coordination import quorum_log_entries as entries
from ..coordination import quorum_log_machine as machine
from ..coordination import quorum_log_messages as messages
from ..resources import changes
from ..resources import store

# The other instances are asked for their versions at most this often, however
# many operators wait for a change to take effect.
PROGRESS_REQUEST_INTERVAL_SECONDS = 0.5

UNSETTLED_RESULTS = {
    quorum_log.SettledKind.NOT_RUN: changes.Result(
        changes.ResultKind.NO_QUORUM,
        message="No leader of the keepers is reachable; nothing was done.",
        remedy="send it again later, or through an instance that reaches a"
        " majority of keepers",
    ),
    quorum_log.SettledKind.UNKNOWN: changes.Result(
        changes.ResultKind.UNKNOWN,
        message="No answer arrived in time; the change may still take effect.",
        remedy="resend with the same Operation-Id",
    ),
}


class ChangeApplier(machine.Applier):
    """Applies log entries that change the declared objects."""

    result_type = changes.Result

    def __init__(self, store, directory):
        self._store = store
        self._directory = directory

    def apply(self, version, entry):
        """Apply one change."""
        result = self._store.apply(version, entry)
        self._directory.invalidate()
        return result

    def dump(self):
        """Return all objects as JSON."""
        return msgspec.json.encode(self._store.dump())

    def prepare(self, state):
        """Read a snapshot, which is to replace all objects."""
        loaded = store.read(state)

        def install():
            self._store.replace(loaded)
            self._directory.invalidate()

        return install


class ReadMarkApplier(machine.Applier):
    """Applies read marks, which change no state.

    An instance that has applied a read mark has all changes before it.
    """

    result_type = changes.Result

    def apply(self, version, entry):
        """Return the log position of the read mark."""
        return changes.Result(changes.ResultKind.ACCEPTED, version)

    def dump(self):
        """Return an empty snapshot."""
        return b"null"

    def prepare(self, state):
        """Ignore the snapshot: there is no state."""
        return lambda: None


class Configuration(interfaces.Component):
    """Proposes operators' reads and writes, and answers with their results."""

    def __init__(self, state):
        self._state = state
        applier = ChangeApplier(state.store, state.directory)
        state.log.register(changes.Change, applier)
        state.log.register(entries.ReadMark, ReadMarkApplier())
        self._log_handlers = state.log.handlers()
        self._next_progress_request = float("-inf")

    def handlers(self):
        """Return the handlers of operators' requests, the disk and the log."""
        return {
            events.WriteSubmitted: self._handle_write,
            events.ReadSubmitted: self._handle_read,
            events.LogSynced: self._handle_synced,
            events.StorageFailed: self._handle_storage_failed,
            events.VoterChangeAsked: self._handle_voter_change,
            events.InForceAsked: self._request_progress,
            events.ShutdownBegan: self._handle_shutdown,
            **self._log_handlers,
            messages.Progress: self._handle_progress,
        }

    def tick(self, now):
        """Advance the quorum log."""
        return self._state.log.tick(now)

    def _handle_write(self, event, now):
        change = event.change
        operation_id = change.operation_id or event.write_id
        settled = answer_callback(event.write_id)
        return self._state.log.propose(change, operation_id, now, settled)

    def _handle_read(self, event, now):
        settled = answer_callback(event.read_id)
        mark = entries.ReadMark()
        return self._state.log.propose(mark, event.read_id, now, settled)

    def _handle_voter_change(self, event, now):
        return self._state.log.change_voter(
            event.action, event.name, event.request_id, now
        )

    def _request_progress(self, event, now):
        if now < self._next_progress_request:
            return []
        self._next_progress_request = now + PROGRESS_REQUEST_INTERVAL_SECONDS
        question = self._state.log.question(now)
        return [
            effects.SendPeer(member.address, question)
            for member in self._state.members.alive(now)
            if member.applied < event.version
        ]

    def _handle_progress(self, source, message, now):
        member = self._state.members.members.get(source.instance)
        if member is not None:
            member.applied = max(member.applied, message.applied)
        return self._log_handlers[messages.Progress](source, message, now)

    def _handle_synced(self, event, now):
        return self._state.log.synced(event.ticket, now)

    def _handle_shutdown(self, event, now):
        return self._state.log.hand_over(now)

    def _handle_storage_failed(self, event, now):
        return self._state.log.storage_failed(event.detail, now)


def answer_callback(write_id):
    """Return a callback that answers the request ``write_id``."""

    def settled(outcome, now):
        result = UNSETTLED_RESULTS.get(outcome.kind, outcome.result)
        return [effects.WriteAnswered(write_id, result)]

    return settled
