"""The component that knows the backend servers."""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import servers
from ..decisions import directory


class BackendServers(interfaces.Component):
    """Takes in announcements and passes them on to the other instances.

    What changes a server's record goes out as news; all other announcements
    are handed to :class:`.renewals.Renewals`.
    """

    def __init__(self, state, policy, renewals):
        self._state = state
        self._policy = policy
        self._renewals = renewals
        self._gathered = {}
        self._pending = []

    def handlers(self):
        """Return the handlers of server events and messages."""
        return {
            events.Announced: self._announced,
            servers.ServerRecords: self._records,
        }

    def tick(self, now):
        """Pass on what gathered and forget servers gone for long."""
        out, self._pending = self._pending, []
        for name in self._state.registry.forget(now):
            self._policy.forget_server(name)
            self._state.directory.invalidate()
            fields = {"backend_server": name}
            out.append(effects.Log("info", "backend server forgotten", fields))
        gathered = self._gathered
        self._gathered = {}
        for source, names in gathered.items():
            out.extend(self._spread(names, now, source))
        return out

    def _announced(self, event, now):
        announcement = event.announcement
        name = announcement.backend_server
        before = self._content(name)
        age = self._state.members.waited(now)
        if not self._learn(announcement, age, now):
            return []
        if self._content(name) == before:
            self._renewals.note(name)
            return []
        return self._pass_on([name], now)

    def _records(self, source, message, now):
        delay = self._state.members.delay(source, now)
        changed = []
        for record in message.records:
            name = record.announcement.backend_server
            before = self._content(name)
            if not self._learn(record.announcement, record.age + delay, now):
                continue
            if self._content(name) != before:
                changed.append(name)
        return self._pass_on(changed, now, source.instance)

    def _content(self, name):
        held = self._state.registry.servers.get(name)
        return held.content if held else None

    def _pass_on(self, names, now, source=""):
        """Spread at once that servers leave, all else at the next tick.

        After a full restart thousands of servers are news within a second;
        gathered, they are a few messages in place of thousands.
        """
        registry = self._state.registry
        leaving = [
            name
            for name in names
            if registry.servers[name].announcement.leaving
        ]
        others = [name for name in names if name not in leaving]
        if others:
            self._gathered.setdefault(source, []).extend(others)
        return self._spread(leaving, now, source) if leaving else []

    def _spread(self, names, now, source=""):
        registry = self._state.registry
        records = [
            registry.record_of(name, now)
            for name in dict.fromkeys(names)
            if name in registry.servers
        ]
        message = servers.ServerRecords(records)
        return [
            effects.SendPeer(member.address, message)
            for member in self._state.members.spread_to(source)
        ]

    def _learn(self, announcement, age, now):
        registry = self._state.registry
        held = registry.servers.get(announcement.backend_server)
        before = directory.signature(held.announcement) if held else None
        epoch = held.announcement.epoch if held else None
        if not registry.learn(announcement, age, now):
            return False
        server = registry.servers[announcement.backend_server]
        if before != directory.signature(server.announcement):
            self._state.directory.invalidate()
            self._pending.append(_line(server.announcement, held is None, age))
        if epoch != server.announcement.epoch:
            # Whoever was at its address before is gone: a request sent over
            # a connection that is still kept to it may or may not have run.
            url = server.announcement.url
            self._pending.append(effects.DropConnections(url))
        self._policy.observe(server, now)
        return True


def _line(announcement, is_new, age):
    """Return the log line of a change in what is known of a server."""
    if announcement.leaving:
        text = "backend server leaves"
    elif is_new:
        text = "backend server known"
    else:
        text = "backend server changed"
    fields = {
        "backend_server": announcement.backend_server,
        "service": announcement.service,
        "url": announcement.url,
        "server_domain": announcement.failure_domain,
        "sequence": announcement.sequence,
        "age": round(age, 3),
    }
    return effects.Log("info", text, fields)
