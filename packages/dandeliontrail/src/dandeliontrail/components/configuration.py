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
from ..coordination import quorum_log_machine as machine
from ..resources import changes

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


class Configuration(interfaces.Component):
    """Proposes operators' writes and answers with their results."""

    def __init__(self, state):
        self._state = state
        applier = ChangeApplier(state.store, state.directory)
        state.log.register(changes.Change, applier)

    def handlers(self):
        """Return the handlers of writes, of the disk and of the log."""
        return {
            events.WriteSubmitted: self._write,
            events.LogSynced: self._synced,
            events.StorageFailed: self._storage_failed,
            **self._state.log.handlers(),
        }

    def tick(self, now):
        """Keep the log going."""
        return self._state.log.tick(now)

    def _write(self, event, now):
        def settled(found, now):
            result = UNSETTLED.get(found.kind, found.result)
            return [effects.WriteAnswered(event.write_id, result)]

        change = event.change
        operation_id = change.operation_id or event.write_id
        return self._state.log.propose(change, operation_id, now, settled)

    def _synced(self, event, now):
        return self._state.log.synced(event.ticket, now)

    def _storage_failed(self, event, now):
        return self._state.log.storage_failed(event.detail, now)
