"""The component that tells the other instances of work at servers.

In a full mesh each instance tells all others.  Above that it tells a relay
of its failure domain; a relay tells the other relays the sum of its domain
and the instances of its domain the sum of all, so that each instance sends
and hears a few messages a second however many there are.
"""

from .. import effects
from .. import interfaces
from ..coordination import server_loads

# What changed little is said this often, so that it does not expire.  Said
# at each change, it took as much processor time as the requests themselves.
REPEAT_INTERVAL = 0.5
# Instances that have not said anything of their own are told this often
# only: they may have begun to serve, or never will.
OTHERS_INTERVAL = 3.0
# Between two messages through relays: with 23 instances in a domain a relay
# sends 115 messages a second, and a load is two such steps old at the most.
# Played without sockets at 90 instances, loads of 0.27 s in place of 0.4 s
# had 0.70 of the longest prompts on time in place of 0.65.
RELAY_INTERVAL = 0.2


class ServerLoads(interfaces.Component):
    """Sends this instance's loads and takes in those of the others."""

    def __init__(self, state, policy):
        self._state = state
        self._policy = policy
        self._speakers = {}
        self._sent = []
        self._reads = []
        # From other domains, for the own one alone: passed on to relays, two
        # of these would tell each other the same for ever.
        self._reads_from_outside = []
        self._next_repeat = 0.0
        self._next_others = 0.0
        self._next_relayed = 0.0

    def handlers(self):
        """Return the handler of the others' loads."""
        return {server_loads.ServerLoads: self._heard}

    def tick(self, now):
        """Send what changed, ten times a second at the most."""
        self._state.loads.expire(now)
        self._reads.extend(self._policy.take_reads())
        if not self._state.members.full_mesh():
            return self._through_relays(now)
        loads = self._policy.own_loads()
        if not loads and not self._sent and not self._reads:
            return []
        matters = self._reads or server_loads.differ(loads, self._sent)
        if not matters and now < self._next_repeat:
            return []
        self._sent = loads
        self._next_repeat = now + REPEAT_INTERVAL
        message = server_loads.ServerLoads(loads, self._take_reads())
        return [
            effects.SendPeer(member.address, message)
            for member in self._receivers(now)
        ]

    def _take_reads(self):
        reads, self._reads = self._reads, []
        return reads

    def _receivers(self, now):
        alive = self._state.members.alive(now)
        if now >= self._next_others:
            self._next_others = now + OTHERS_INTERVAL
            return alive
        return [item for item in alive if item.instance in self._speakers]

    def _through_relays(self, now):
        if now < self._next_relayed:
            return []
        self._next_relayed = now + RELAY_INTERVAL
        if self._sums_up():
            return self._as_relay()
        loads = self._policy.own_loads()
        if not loads and not self._sent and not self._reads:
            return []
        self._sent = loads
        relays = self._state.members.relays_of(
            self._state.identity.failure_domain
        )
        message = server_loads.ServerLoads(loads, self._take_reads())
        return [effects.SendPeer(item.address, message) for item in relays[:1]]

    def _sums_up(self):
        """Tell whether this instance is the one that sums up its domain.

        The second relay stands by: two sums would count each load twice.
        """
        members = self._state.members
        return not members.full_mesh() and (
            members.is_relay() and members.is_first_relay()
        )

    def _as_relay(self):
        """Tell the other domains the sum of this one, and this one all."""
        own = self._state.identity
        domain, whole = self._state.loads.sums_of(
            self._policy.own_loads(), own.failure_domain
        )
        reads = self._take_reads()
        from_outside, self._reads_from_outside = self._reads_from_outside, []
        outer = server_loads.ServerLoads(domain, reads, own.failure_domain)
        inner = server_loads.ServerLoads(
            whole, reads + from_outside, server_loads.ALL
        )
        return [
            effects.SendPeer(
                member.address,
                inner
                if member.failure_domain == own.failure_domain
                else outer,
            )
            for member in self._state.members.links()
        ]

    def _heard(self, source, message, now):
        loads = message.loads
        if message.of == server_loads.ALL:
            if self._sums_up():
                # From another that takes itself for the first relay.
                return []
            loads = server_loads.without(loads, self._sent)
        self._speakers[source.instance] = now
        name = message.of or source.instance
        self._state.loads.take(name, source.failure_domain, loads, now)
        self._policy.heard_reads(message.reads, now)
        if self._sums_up():
            inside = self._state.identity.failure_domain
            if source.failure_domain == inside:
                self._reads.extend(message.reads)
            else:
                self._reads_from_outside.extend(message.reads)
        return []
