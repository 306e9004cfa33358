"""The component that tells the other instances of work at servers."""

from .. import effects
from .. import interfaces
from ..coordination import server_loads

# An unchanged load is repeated this often, so that it does not expire.
REPEAT_INTERVAL = 0.5
# Instances that have not said anything of their own are told this often
# only: they may have begun to serve, or never will.
OTHERS_INTERVAL = 3.0


class ServerLoads(interfaces.Component):
    """Sends this instance's loads and takes in those of the others."""

    def __init__(self, state, policy):
        self._state = state
        self._policy = policy
        self._speakers = {}
        self._sent = []
        self._next_repeat = 0.0
        self._next_others = 0.0

    def handlers(self):
        """Return the handler of the others' loads."""
        return {server_loads.ServerLoads: self._heard}

    def tick(self, now):
        """Send what changed, ten times a second at the most."""
        self._state.loads.expire(now)
        loads = self._policy.own_loads()
        reads = self._policy.take_reads()
        if not loads and not self._sent and not reads:
            return []
        if loads == self._sent and not reads and now < self._next_repeat:
            return []
        self._sent = loads
        self._next_repeat = now + REPEAT_INTERVAL
        message = server_loads.ServerLoads(loads, reads)
        return [
            effects.SendPeer(member.address, message)
            for member in self._receivers(now)
        ]

    def _receivers(self, now):
        alive = self._state.members.alive(now)
        if now >= self._next_others:
            self._next_others = now + OTHERS_INTERVAL
            return alive
        return [item for item in alive if item.instance in self._speakers]

    def _heard(self, source, message, now):
        self._speakers[source.instance] = now
        self._state.loads.take(source.instance, message.loads, now)
        self._policy.heard_reads(message.reads)
        return []
