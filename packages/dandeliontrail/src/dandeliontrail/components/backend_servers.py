"""The component that knows the backend servers."""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import servers
from ..decisions import directory


class BackendServers(interfaces.Component):
    """Takes in announcements and passes them on to the other instances.

    What changes a server's record goes out at once; all other announcements
    are handed to :class:`.renewals.Renewals`.
    """

    def __init__(self, state, policy, renewals):
        self._state = state
        self._policy = policy
        self._renewals = renewals

    def handlers(self):
        """Return the handlers of server events and messages."""
        return {
            events.Announced: self._announced,
            servers.ServerRecords: self._records,
        }

    def tick(self, now):
        """Forget servers that have been gone for long."""
        for name in self._state.registry.forget(now):
            self._policy.forget_server(name)
            self._state.directory.invalidate()
        return []

    def _announced(self, event, now):
        announcement = event.announcement
        name = announcement.backend_server
        held = self._state.registry.servers.get(name)
        content = held.content if held else None
        if not self._learn(announcement, 0.0, now):
            return []
        if self._state.registry.servers[name].content == content:
            self._renewals.note(name)
            return []
        return self._spread([name], now)

    def _spread(self, names, now, source=""):
        registry = self._state.registry
        records = [registry.record_of(name, now) for name in names]
        message = servers.ServerRecords(records)
        return [
            effects.SendPeer(member.address, message)
            for member in self._state.members.spread_to(source)
        ]

    def _records(self, source, message, now):
        delay = self._state.members.delay(source, now)
        changed = []
        for record in message.records:
            name = record.announcement.backend_server
            held = self._state.registry.servers.get(name)
            content = held.content if held else None
            if not self._learn(record.announcement, record.age + delay, now):
                continue
            if self._state.registry.servers[name].content != content:
                changed.append(name)
        if not changed:
            return []
        return self._spread(changed, now, source.instance)

    def _learn(self, announcement, age, now):
        registry = self._state.registry
        held = registry.servers.get(announcement.backend_server)
        before = directory.signature(held.announcement) if held else None
        if not registry.learn(announcement, age, now):
            return False
        server = registry.servers[announcement.backend_server]
        if before != directory.signature(server.announcement):
            self._state.directory.invalidate()
        self._policy.observe(server, now)
        return True
