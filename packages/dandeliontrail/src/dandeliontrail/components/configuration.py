"""The component that brings accepted changes into force.

It owns the instance's replica of the quorum log (see
:mod:`..coordination.quorum_log`) and the declared objects, which are what
the log's changes amount to.
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

# However many operators watch a change land, the others are asked for
# their versions this often at the most.
ASK_INTERVAL = 0.5

UNSETTLED = {
    quorum_log.SettledKind.NOT_RUN: changes.Result(
        changes.ResultKind.NO_QUORUM,
        message="No leader of the keepers can be reached; nothing was done.",
        remedy="send it again later, or through an instance that reaches a"
        " majority of keepers",
    ),
    quorum_log.SettledKind.UNKNOWN: changes.Result(
        changes.ResultKind.UNKNOWN,
        message="No answer came in time; the change may yet take effect.",
        remedy="resend with the same Operation-Id",
    ),
}


class ChangeApplier(machine.Applier):
    """Applies changes of the declared objects."""

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

    def load(self, state):
        """Take over all objects."""
        self._store.load(state)
        self._directory.invalidate()


class ReadMarkApplier(machine.Applier):
    """Applies read marks, which have no state."""

    result_type = changes.Result

    def apply(self, version, entry):
        """Return where the mark stands."""
        return changes.Result(changes.ResultKind.ACCEPTED, version)

    def dump(self):
        """Return no state."""
        return b"null"

    def load(self, state):
        """Take over nothing."""


class Configuration(interfaces.Component):
    """Proposes operators' writes and answers with their results."""

    def __init__(self, state):
        self._state = state
        applier = ChangeApplier(state.store, state.directory)
        state.log.register(changes.Change, applier)
        state.log.register(entries.ReadMark, ReadMarkApplier())
        self._log_handlers = state.log.handlers()
        self._next_ask = float("-inf")

    def handlers(self):
        """Return the handlers of writes, of the disk and of the log."""
        return {
            events.WriteSubmitted: self._write,
            events.ReadSubmitted: self._read,
            events.LogSynced: self._synced,
            events.StorageFailed: self._storage_failed,
            events.VoterChangeAsked: self._change_voter,
            events.InForceAsked: self._ask_in_force,
            **self._log_handlers,
            messages.Progress: self._progress,
        }

    def tick(self, now):
        """Keep the log going."""
        return self._state.log.tick(now)

    def _write(self, event, now):
        change = event.change
        operation_id = change.operation_id or event.write_id
        settled = answer_to(event.write_id)
        return self._state.log.propose(change, operation_id, now, settled)

    def _read(self, event, now):
        settled = answer_to(event.read_id)
        mark = entries.ReadMark()
        return self._state.log.propose(mark, event.read_id, now, settled)

    def _change_voter(self, event, now):
        return self._state.log.change_voter(
            event.action, event.name, event.request_id, now
        )

    def _ask_in_force(self, event, now):
        if now < self._next_ask:
            return []
        self._next_ask = now + ASK_INTERVAL
        question = self._state.log.question(now)
        return [
            effects.SendPeer(member.address, question)
            for member in self._state.members.alive(now)
            if member.applied < event.version
        ]

    def _progress(self, source, message, now):
        member = self._state.members.members.get(source.instance)
        if member is not None:
            member.applied = max(member.applied, message.applied)
        return self._log_handlers[messages.Progress](source, message, now)

    def _synced(self, event, now):
        return self._state.log.synced(event.ticket, now)

    def _storage_failed(self, event, now):
        return self._state.log.storage_failed(event.detail, now)


def answer_to(write_id):
    """Return the call that answers whoever waits under ``write_id``."""

    def settled(found, now):
        result = UNSETTLED.get(found.kind, found.result)
        return [effects.WriteAnswered(write_id, result)]

    return settled
