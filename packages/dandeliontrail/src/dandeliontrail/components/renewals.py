"""The component that keeps the leases of backend servers renewed.

A server announces itself every second to some instance, and all instances
must learn of it within its lease of three seconds.  In a full mesh, each
instance sends the others, once per second, the renewals of the servers that
announced themselves to it.

With relays, an instance sends renewals to one relay of its failure domain
five times per second.  The two relays of a domain exchange them as often.
Once per second, half a second apart, each of them *vouches* to all its links
for all running servers of the domain with a single digest.  The age of a
lease just before its renewal is then at most 2.4 s, below the lease of 3 s:
1 s between announcements, 0.4 s until both relays know, 0.5 s until a vouch
is sent to the other domains, and 0.5 s until one is sent to their instances.
"""

from .. import effects
from .. import interfaces
from ..coordination import dissemination
from ..coordination import servers
from ..coordination import vouches

# How long an instance batches renewals before it sends them to a relay, and a
# relay before it sends them to the other relays.
BATCH_INTERVAL_SECONDS = 0.2
VOUCH_INTERVAL_SECONDS = 1.0


class Renewals(interfaces.Component):
    """Forwards renewals of leases to the other instances."""

    def __init__(self, state, policy):
        self._state = state
        self._registry = state.registry
        self._policy = policy
        self._renewed = {}
        self._next_batch = 0.0
        self._next_vouch = 0.0
        self._other_relay_vouched_at = None

    def handlers(self):
        """Return the handlers of renewals and vouches from other instances."""
        return {
            servers.Renewals: self._handle_renewals,
            vouches.Vouches: self._handle_vouches,
        }

    def note(self, name, source=""):
        """Record that a lease was renewed, here or at instance ``source``."""
        self._renewed[name] = source

    def tick(self, now):
        """Send the renewals and vouches that are due."""
        members = self._state.members
        if members.full_mesh():
            if not members.heartbeat_now:
                return []
            out = self._send_to_all(now)
        elif members.is_relay():
            return self._send_as_relay(now)
        elif now < self._next_batch:
            return []
        else:
            self._next_batch = now + BATCH_INTERVAL_SECONDS
            out = self._send_to_relay(now)
        self._renewed.clear()
        return out

    def _send_to_all(self, now):
        """Send each link the renewals announced here.

        One random link gets the renewals of all servers known here, so that
        leases are renewed even between two instances that cannot reach each
        other directly.
        """
        links = self._state.members.links()
        if not links:
            return []
        full_receiver = self._state.rng.choice(links)
        out = []
        for member in links:
            all_servers = self._registry.servers
            names = all_servers if member is full_receiver else self._renewed
            out.extend(self._send(member, names, now))
        return out

    def _send_to_relay(self, now):
        domain = self._state.identity.failure_domain
        relays = self._state.members.relays_of(domain)
        if not relays or not self._renewed:
            return []
        chosen = self._state.rng.choice(relays)
        return self._send(chosen, self._renewed, now)

    def _send_as_relay(self, now):
        out = []
        if now >= self._next_batch:
            self._next_batch = now + BATCH_INTERVAL_SECONDS
            out.extend(self._send_to_relays(now))
            self._renewed.clear()
        if now >= self._next_vouch:
            self._next_vouch = self._next_vouch_time(now)
            out.extend(self._send_vouches(now))
        return out

    def _next_vouch_time(self, now):
        """Return when to vouch next.

        The second relay of a domain vouches half a second after the first.
        It times this from when it receives the first one's vouch, since
        their clocks are not synchronised.
        """
        heard_at = self._other_relay_vouched_at
        if heard_at is None or now - heard_at > VOUCH_INTERVAL_SECONDS * 1.5:
            return now + VOUCH_INTERVAL_SECONDS
        if self._state.members.is_first_relay():
            return now + VOUCH_INTERVAL_SECONDS
        return heard_at + VOUCH_INTERVAL_SECONDS * 1.5

    def _send_to_relays(self, now):
        """Send renewals to the relays of each server's failure domain."""
        by_domain = {}
        for name, source in self._renewed.items():
            server = self._registry.servers.get(name)
            if server:
                domain = server.announcement.failure_domain
                by_domain.setdefault(domain, {})[name] = source
        out = []
        for domain, names in by_domain.items():
            for member in self._state.members.relays_of(domain):
                out.extend(self._send(member, names, now))
        return out

    def _send_vouches(self, now):
        """Send vouches to all links.

        Links in this failure domain get the vouches for all domains, other
        links only the one for this domain.
        """
        domain = self._state.identity.failure_domain
        by_domain = {
            name: self._registry.vouch(name, now)
            for name, running in self._registry.running_by_domain.items()
            if running.servers
        }
        complete = vouches.Vouches(list(by_domain.values()))
        own = vouches.Vouches(
            [by_domain[domain]] if domain in by_domain else []
        )
        out = []
        for member in self._state.members.links():
            same_domain = member.failure_domain == domain
            message = complete if same_domain else own
            if message.vouches:
                out.append(effects.SendPeer(member.address, message))
        return out

    def _send(self, member, names, now):
        """Return the effect that sends the renewals of live servers.

        Servers whose renewal came from ``member`` itself are left out.
        """
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
        server = self._registry.servers.get(name)
        return server is not None and server.expires > now

    def _handle_renewals(self, source, message, now):
        delay = self._state.members.delay(source, now)
        relay = self._state.members.is_relay()
        want = []
        for renewal in message.renewals:
            name = renewal.backend_server
            renewed = self._registry.renew(renewal, renewal.age + delay, now)
            if renewed is None:
                want.append(name)
            elif renewed:
                self._policy.observe(self._registry.servers[name], now)
                if relay and self._is_not_relay(source):
                    self.note(name, source.instance)
        if not want:
            return []
        request = dissemination.SyncWant(dissemination.Table.SERVERS, want)
        return [effects.SendPeer(source.address, request)]

    def _is_not_relay(self, source):
        """Return whether ``source`` is not a relay of its failure domain."""
        relays = self._state.members.relays_of(source.failure_domain)
        return all(item.instance != source.instance for item in relays)

    def _handle_vouches(self, source, message, now):
        delay = self._state.members.delay(source, now)
        domain = self._state.identity.failure_domain
        if source.failure_domain == domain:
            self._other_relay_vouched_at = now
        for vouch in message.vouches:
            self._registry.apply_vouch(vouch, delay, now)
        return []
