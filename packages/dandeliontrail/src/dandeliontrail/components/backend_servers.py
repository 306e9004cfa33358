"""The component that maintains the registry of backend servers."""

import msgspec

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import servers
from ..decisions import directory
from . import departures
from . import logged_once


# What a server that leaves says in its answers.
LEAVING = "1"
MAX_LOGGED_CHARACTERS = 32


class BackendServers(interfaces.Component):
    """Applies announcements and forwards them to the other instances.

    An announcement that changes a server's record is forwarded as a record;
    all others only renew a lease and are passed to
    :class:`.renewals.Renewals`.
    """

    def __init__(self, state, policy, renewals, departures):
        self._state = state
        self._policy = policy
        self._renewals = renewals
        self._departures = departures
        self._batched_names = {}
        self._pending_effects = []
        self._logged_bad = logged_once.LoggedOnce()

    def handlers(self):
        """Return the handlers of announcements and of server records."""
        return {
            events.Announced: self._handle_announced,
            events.LeavingSaid: self._handle_leaving,
            servers.ServerRecords: self._handle_records,
        }

    def tick(self, now):
        """Forward the batched records and remove servers gone for long."""
        out, self._pending_effects = self._pending_effects, []
        for name in self._state.registry.remove_expired(now):
            self._policy.forget_server(name)
            self._state.directory.invalidate()
            fields = {"backend_server": name}
            out.append(effects.Log("info", "backend server forgotten", fields))
        gathered = self._batched_names
        self._batched_names = {}
        for source, names in gathered.items():
            out.extend(self._send_records(names, now, source))
        return out

    def _handle_announced(self, event, now):
        announcement = event.announcement
        name = announcement.backend_server
        before = self._content_hash(name)
        age = self._state.members.waited(now)
        is_new = self._learn(announcement, age, now)
        if event.write_id:
            return self._confirm(event, now)
        if not is_new:
            return []
        if self._content_hash(name) == before:
            self._renewals.note(name)
            return []
        return self._forward([name], now)

    def _confirm(self, event, now):
        """Have the departure that an event announced confirmed by another."""
        name = event.announcement.backend_server
        server = self._state.registry.servers.get(name)
        if server is None or not server.announcement.leaving:
            # Another start of the server is known, which has not left.
            return [effects.WriteAnswered(event.write_id, departures.ACCEPTED)]
        record = self._state.registry.record_of(name, now)
        return self._departures.begin(event.write_id, record, now)

    def _handle_leaving(self, event, now):
        """Take a server for leaving that says so in an answer.

        The other instances are told: it may not reach those that it announces
        itself to, or may go on to announce that it is ready.
        """
        name = event.backend_server
        server = self._state.registry.servers.get(name)
        if server is None or server.announcement.epoch != event.epoch:
            return []
        if event.texts != [LEAVING]:
            return self._report_bad(event)
        if server.announcement.leaving:
            return []
        self._state.registry.note_left(server.announcement)
        leaving = msgspec.structs.replace(server.announcement, leaving=True)
        self._learn(leaving, 0.0, now)
        fields = {
            "backend_server": name,
            "service": leaving.service,
            "for_request": event.request_id,
            "important": True,
        }
        line = effects.Log(
            "info", "backend server said that it leaves", fields
        )
        return [line, *self._forward([name], now)]

    def _report_bad(self, event):
        if not self._logged_bad.is_first((event.backend_server, event.epoch)):
            return []
        fields = {
            "backend_server": event.backend_server,
            "detail": f"{event.texts[0][:MAX_LOGGED_CHARACTERS]!r} is not"
            f" {LEAVING!r}",
            "important": True,
        }
        text = "backend server's leaving ignored"
        return [effects.Log("warning", text, fields)]

    def _handle_records(self, source, message, now):
        delay = self._state.members.delay(source, now)
        changed = []
        for record in message.records:
            name = record.announcement.backend_server
            before = self._content_hash(name)
            if not self._learn(record.announcement, record.age + delay, now):
                continue
            if self._content_hash(name) != before:
                changed.append(name)
        return self._forward(changed, now, source.instance)

    def _content_hash(self, name):
        current = self._state.registry.servers.get(name)
        return current.content_hash if current else None

    def _forward(self, names, now, source=""):
        """Send records of leaving servers at once, others at the next tick.

        After a full restart, the records of thousands of servers change
        within a second.  Batching sends a few messages instead of thousands.
        """
        registry = self._state.registry
        leaving = [
            name
            for name in names
            if registry.servers[name].announcement.leaving
        ]
        others = [name for name in names if name not in leaving]
        if others:
            self._batched_names.setdefault(source, []).extend(others)
        return self._send_records(leaving, now, source) if leaving else []

    def _send_records(self, names, now, source=""):
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
        previous = registry.servers.get(announcement.backend_server)
        before = (
            directory.signature(previous.announcement) if previous else None
        )
        start = previous.announcement.start() if previous else None
        if not registry.learn(announcement, age, now):
            return False
        server = registry.servers[announcement.backend_server]
        if before != directory.signature(server.announcement):
            self._state.directory.invalidate()
            self._pending_effects.append(
                _log_effect(server.announcement, previous is None, age)
            )
        if start != server.announcement.start():
            # The process that used this address before has ended.  A request
            # sent on an idle connection to it may or may not have run, so
            # these connections are dropped.
            url = server.announcement.url
            self._pending_effects.append(effects.DropConnections(url))
        self._policy.observe(server, now)
        return True


def _log_effect(announcement, is_new, age):
    """Return the log effect for a server that is new, changed or leaving."""
    if announcement.leaving:
        text = "backend server leaves"
    elif is_new:
        text = "backend server known"
    else:
        text = "backend server changed"
    fields = {
        "backend_server": announcement.backend_server,
        "service": announcement.service,
        "software_version": announcement.software_version,
        "url": announcement.url,
        "server_domain": announcement.failure_domain,
        "sequence": announcement.sequence,
        "age": round(age, 3),
    }
    return effects.Log("info", text, fields)
