"""The component that knows the backend servers."""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import dissemination
from ..coordination import servers
from ..decisions import directory


class BackendServers(interfaces.Component):
    """Takes in announcements and passes them on to the other instances.

    What changes a server's record goes out at once.  Renewals of leases,
    which are all but a few announcements, gather until the next heartbeat
    and go along with it.
    """

    def __init__(self, state, policy):
        self._state = state
        self._policy = policy
        self._renewed = {}

    def handlers(self):
        """Return the handlers of server events and messages."""
        return {
            events.Announced: self._announced,
            servers.ServerRecords: self._records,
            servers.Renewals: self._renewals,
        }

    def tick(self, now):
        """Pass on renewals and forget servers that have been gone long."""
        for name in self._state.registry.forget(now):
            self._policy.forget_server(name)
            self._state.directory.invalidate()
        if not self._state.members.heartbeat_now:
            return []
        return self._pass_on_renewals(now)

    def _pass_on_renewals(self, now):
        """Tell each link of the leases that were renewed.

        In a full mesh each link hears of those announced to this instance,
        and one link in turn of all that this one holds, so that a lease is
        renewed even between two instances without a path of their own.
        Above it everything must pass over the few links there are.
        """
        links = self._state.members.links()
        if not links:
            self._renewed.clear()
            return []
        whole = self._state.rng.choice(links).instance
        registry = self._state.registry
        out = []
        for member in links:
            names = [
                name
                for name, source in self._renewed.items()
                if source != member.instance
            ]
            if member.instance == whole:
                names = list(registry.servers)
            renewals = [
                registry.renewal_of(name, now)
                for name in names
                if name in registry.servers
                and registry.servers[name].expires > now
            ]
            if renewals:
                message = servers.Renewals(renewals)
                out.append(effects.SendPeer(member.address, message))
        self._renewed.clear()
        return out

    def _announced(self, event, now):
        announcement = event.announcement
        name = announcement.backend_server
        held = self._state.registry.servers.get(name)
        content = held.content if held else None
        if not self._learn(announcement, 0.0, now):
            return []
        if self._state.registry.servers[name].content == content:
            self._renewed[name] = ""
            return []
        return self._spread([name], now)

    def _spread(self, names, now, but=""):
        registry = self._state.registry
        records = [registry.record_of(name, now) for name in names]
        message = servers.ServerRecords(records)
        return [
            effects.SendPeer(member.address, message)
            for member in self._state.members.links()
            if member.instance != but
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

    def _renewals(self, source, message, now):
        members = self._state.members
        delay = members.delay(source, now)
        relay = len(members.links()) < len(members.members)
        want = []
        for renewal in message.renewals:
            name = renewal.backend_server
            age = renewal.age + delay
            news = self._state.registry.renew(renewal, age, now)
            if news is None:
                want.append(name)
            elif news:
                self._policy.observe(self._state.registry.servers[name], now)
                if relay:
                    self._renewed[name] = source.instance
        if not want:
            return []
        asked = dissemination.SyncWant(dissemination.Table.SERVERS, want)
        return [effects.SendPeer(source.address, asked)]

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
