"""The component that keeps the leases of backend servers renewed.

A server announces itself every second to any instance, and all instances
must know within its lease of three seconds.  In a full mesh an instance
tells all others, once a second, of those that announced themselves to it.

With relays, an instance passes renewals to one relay of its failure domain
five times a second.  The two relays of a domain tell each other as often,
and once a second, half a second apart, *vouch* to all their links for all
running servers of the domain with one number.  The age of a lease just
before it is renewed is then at most one second for the server's pace, 0.4 s
to both relays, a half until a vouch leaves for the other domains, and a
half until one reaches their instances: 2.4 s, below the lease of 3 s.
"""

from .. import effects
from .. import interfaces
from ..coordination import dissemination
from ..coordination import servers
from ..coordination import vouches

# How long an instance gathers renewals before it tells a relay, and a relay
# before it tells the others.
GATHER_INTERVAL = 0.2
VOUCH_INTERVAL = 1.0


class Renewals(interfaces.Component):
    """Passes on which leases were renewed."""

    def __init__(self, state, policy):
        self._state = state
        self._registry = state.registry
        self._policy = policy
        self._renewed = {}
        self._next_gather = 0.0
        self._next_vouch = 0.0
        self._other_vouched = None

    def handlers(self):
        """Return the handlers of renewals from other instances."""
        return {
            servers.Renewals: self._renewals,
            vouches.Vouches: self._vouches,
        }

    def note(self, name, source=""):
        """Take note that a lease was renewed, here or at ``source``."""
        self._renewed[name] = source

    def tick(self, now):
        """Pass on the renewals that are due."""
        members = self._state.members
        if members.full_mesh():
            if not members.heartbeat_now:
                return []
            out = self._to_all(now)
        elif members.is_relay():
            return self._as_relay(now)
        elif now < self._next_gather:
            return []
        else:
            self._next_gather = now + GATHER_INTERVAL
            out = self._to_a_relay(now)
        self._renewed.clear()
        return out

    def _to_all(self, now):
        """Tell each link of what was announced here.

        One link in turn hears of all that this instance holds, so that a
        lease is renewed even between two instances without a path.
        """
        links = self._state.members.links()
        if not links:
            return []
        whole = self._state.rng.choice(links)
        out = []
        for member in links:
            held = self._registry.servers
            names = held if member is whole else self._renewed
            out.extend(self._send(member, names, now))
        return out

    def _to_a_relay(self, now):
        domain = self._state.identity.failure_domain
        relays = self._state.members.relays_of(domain)
        if not relays or not self._renewed:
            return []
        chosen = self._state.rng.choice(relays)
        return self._send(chosen, self._renewed, now)

    def _as_relay(self, now):
        out = []
        if now >= self._next_gather:
            self._next_gather = now + GATHER_INTERVAL
            out.extend(self._to_other_relays(now))
            self._renewed.clear()
        if now >= self._next_vouch:
            self._next_vouch = self._vouch_time(now)
            out.extend(self._vouch_to_all(now))
        return out

    def _vouch_time(self, now):
        """Return when to vouch next.

        The second relay of a domain keeps half a second behind the first,
        by when it hears the other's word: their clocks have nothing in
        common.
        """
        other = self._other_vouched
        if other is None or now - other > VOUCH_INTERVAL * 1.5:
            return now + VOUCH_INTERVAL
        if self._state.members.is_first_relay():
            return now + VOUCH_INTERVAL
        return other + VOUCH_INTERVAL * 1.5

    def _to_other_relays(self, now):
        """Tell the relays of each server's domain what was renewed."""
        by_domain = {}
        for name, source in self._renewed.items():
            held = self._registry.servers.get(name)
            if held:
                domain = held.announcement.failure_domain
                by_domain.setdefault(domain, {})[name] = source
        out = []
        for domain, names in by_domain.items():
            for member in self._state.members.relays_of(domain):
                out.extend(self._send(member, names, now))
        return out

    def _vouch_to_all(self, now):
        """Vouch for the own domain to all, for the others to the own."""
        domain = self._state.identity.failure_domain
        given = {
            name: self._registry.vouch(name, now)
            for name, running in self._registry.running.items()
            if running.servers
        }
        whole = vouches.Vouches(list(given.values()))
        own = vouches.Vouches([given[domain]] if domain in given else [])
        out = []
        for member in self._state.members.links():
            inside = member.failure_domain == domain
            message = whole if inside else own
            if message.vouches:
                out.append(effects.SendPeer(member.address, message))
        return out

    def _send(self, member, names, now):
        """Return the message with those of ``names`` that are alive."""
        renewals = [
            self._registry.renewal_of(name, now)
            for name in names
            if self._is_alive(name, now)
            and self._renewed.get(name) != member.instance
        ]
        if not renewals:
            return []
        return [effects.SendPeer(member.address, servers.Renewals(renewals))]

    def _is_alive(self, name, now):
        held = self._registry.servers.get(name)
        return held is not None and held.expires > now

    def _renewals(self, source, message, now):
        delay = self._state.members.delay(source, now)
        relay = self._state.members.is_relay()
        want = []
        for renewal in message.renewals:
            name = renewal.backend_server
            news = self._registry.renew(renewal, renewal.age + delay, now)
            if news is None:
                want.append(name)
            elif news:
                self._policy.observe(self._registry.servers[name], now)
                if relay and self._is_from_member(source):
                    self.note(name, source.instance)
        if not want:
            return []
        asked = dissemination.SyncWant(dissemination.Table.SERVERS, want)
        return [effects.SendPeer(source.address, asked)]

    def _is_from_member(self, source):
        """Tell whether a renewal came from one that is no relay itself."""
        relays = self._state.members.relays_of(source.failure_domain)
        return all(item.instance != source.instance for item in relays)

    def _vouches(self, source, message, now):
        delay = self._state.members.delay(source, now)
        domain = self._state.identity.failure_domain
        if source.failure_domain == domain:
            self._other_vouched = now
        for vouch in message.vouches:
            self._registry.vouched(vouch, delay, now)
        return []
