"""The component that tells the other instances of work at servers.

In a full mesh each instance tells all others.  Above that it tells a relay
of its failure domain, which answers with the sum of all; a relay tells the
relays of the other domains the sum of its own.  So each instance has a few
exchanges a second however many there are, and one that has nothing to do has
hardly any.  A relay that told its domain on its own accord sent 73 batches a
second at 30 idle instances, and would send 235 at 195.
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
# Between two messages through relays while there is work: a load is two such
# steps old at the most, and older ones send many instances to one engine.  An
# instance without work asks at ``REPEAT_INTERVAL``.
RELAY_INTERVAL = 0.2


class ServerLoads(interfaces.Component):
    """Sends this instance's loads and takes in those of the others."""

    def __init__(self, state, policy):
        self._state = state
        self._policy = policy
        self._speakers = {}
        self._sent = []
        self._reads = []
        # For the own domain, where this instance is its relay.
        self._read_log = server_loads.ReadLog()
        self._last_relayed = float("-inf")
        self._told_outside = False
        self._next_repeat = 0.0
        self._next_others = 0.0

    def handlers(self):
        """Return the handler of the others' loads."""
        return {server_loads.ServerLoads: self._heard}

    def tick(self, now):
        """Send what changed, ten times a second at the most."""
        self._state.loads.expire(now)
        reads = self._policy.take_reads()
        self._reads.extend(reads)
        if not self._state.members.full_mesh():
            return self._through_relays(reads, now)
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

    def _through_relays(self, reads, now):
        if self._sums_up():
            self._read_log.add(reads, self._state.identity.instance, now)
            return self._as_relay(now)
        loads = self._policy.own_loads()
        works = loads or self._sent or self._reads
        pause = RELAY_INTERVAL if works else REPEAT_INTERVAL
        if now - self._last_relayed < pause:
            return []
        self._last_relayed = now
        self._sent = loads
        relays = self._state.members.relays_of(
            self._state.identity.failure_domain
        )
        self._state.loads.told_relay_at = now
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

    def _as_relay(self, now):
        """Tell the first relays of the other domains the sum of this one."""
        if now - self._last_relayed < RELAY_INTERVAL:
            return []
        self._last_relayed = now
        members = self._state.members
        own = self._state.identity.failure_domain
        loads = self._state.loads.sum_of(self._policy.own_loads(), own)
        message = server_loads.ServerLoads(loads, self._take_reads(), own)
        works = bool(loads or message.reads)
        if not works and not self._told_outside:
            return []
        self._told_outside = works
        return [
            effects.SendPeer(item.address, message)
            for domain in members.relayed_domains()
            if domain != own
            for item in members.relays_of(domain)[:1]
        ]

    def _heard(self, source, message, now):
        loads = message.loads
        if message.of == server_loads.ALL:
            if self._sums_up():
                # From another that takes itself for the first relay.
                return []
            loads = server_loads.without(loads, self._sent)
            self._state.members.note_told_silent(message.silent, now)
        elif message.of and not self._sums_up():
            # From a relay that takes this instance for the first of its
            # domain; the sum of all, from the first, has it already.
            return []
        self._speakers[source.instance] = now
        name = message.of or source.instance
        self._state.loads.take(name, source.failure_domain, loads, now)
        self._policy.heard_reads(message.reads, now)
        return self._relayed(source, message, now) if self._sums_up() else []

    def _relayed(self, source, message, now):
        """Pass on what was read, and answer an instance of the own domain."""
        self._read_log.add(message.reads, source.instance, now)
        if source.failure_domain != self._state.identity.failure_domain:
            return []
        self._reads.extend(message.reads)
        answer = server_loads.ServerLoads(
            self._state.loads.sum_of_all(self._policy.own_loads()),
            self._read_log.news_for(source.instance, source.incarnation, now),
            server_loads.ALL,
            sorted(self._state.members.silent_domains(now)),
        )
        return [effects.SendPeer(source.address, answer)]
