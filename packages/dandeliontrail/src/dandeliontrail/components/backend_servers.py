"""The component that knows the backend servers."""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import servers
from ..decisions import directory

# An expired record stays this long, so that an older announcement that is
# still on its way cannot bring the server back.
KEEP_EXPIRED = 60.0


class BackendServers(interfaces.Component):
    """Takes in announcements and passes them on to the other instances."""

    def __init__(self, state, policy):
        self._state = state
        self._policy = policy

    def handlers(self):
        """Return the handlers of server events and messages."""
        return {
            events.Announced: self._announced,
            servers.ServerRecords: self._records,
        }

    def tick(self, now):
        """Forget servers that have been gone for long."""
        for name in self._state.registry.forget(now, KEEP_EXPIRED):
            self._policy.forget_server(name)
            self._state.directory.invalidate()
        return []

    def _announced(self, event, now):
        if not self._learn(event.announcement, 0.0, now):
            return []
        record = servers.ServerRecord(event.announcement)
        message = servers.ServerRecords([record])
        return [
            effects.SendPeer(member.address, message)
            for member in self._state.members.alive(now)
        ]

    def _records(self, source, message, now):
        for record in message.records:
            self._learn(record.announcement, record.age, now)
        return []

    def _learn(self, announcement, age, now):
        registry = self._state.registry
        held = registry.servers.get(announcement.backend_server)
        before = directory.signature(held.announcement) if held else None
        if not registry.learn(announcement, age, now):
            return False
        server = registry.servers[announcement.backend_server]
        if before != directory.signature(announcement):
            self._state.directory.invalidate()
        self._policy.observe(server, now)
        return True
