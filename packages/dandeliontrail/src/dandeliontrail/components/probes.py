"""Direct and indirect probes of instances that may have failed."""

from .. import effects
from ..coordination import dissemination

# Number of other instances that probe on request: if each fails to reach a
# live member once in ten times, all three fail once in a thousand.
INDIRECT_PROBES = 3
# How long to wait for an answer, in seconds: an indirect probe takes a round
# trip over two links, each well under a second.
PROBE_TIMEOUT_SECONDS = 1.0


class Probes:
    """Sends, forwards and answers probes.

    One broken network path between two instances must not evict either.  So
    before an instance suspects another, it asks a few others to probe it over
    their own paths.
    """

    def __init__(self, state):
        self._state = state

    def ask(self, member, now):
        """Probe a silent member directly and through other instances."""
        message = dissemination.Probe(
            member.instance, self._state.identity.instance
        )
        others = [
            item
            for item in self._state.members.alive(now)
            if item.instance != member.instance
        ]
        count = min(INDIRECT_PROBES, len(others))
        targets = [member, *self._state.rng.sample(others, count)]
        return [effects.SendPeer(item.address, message) for item in targets]

    def probe(self, source, message, now):
        """Answer a probe of this instance, or forward one to its target."""
        if message.target == self._state.identity.instance:
            answer = dissemination.ProbeAnswer(message.target, message.origin)
            return [effects.SendPeer(source.address, answer)]
        if source.instance != message.origin:
            return []
        return self._forward(message.target, message)

    def answer(self, source, message, now):
        """Record an answer, or forward it to the instance that asked."""
        if message.origin != self._state.identity.instance:
            return self._forward(message.origin, message)
        member = self._state.members.members.get(message.target)
        if member:
            member.heard = now
            member.probed_at = None
            if member not in self._state.members.links():
                # It is alive but sends no heartbeats to this instance.
                member.linked = False
        return []

    def _forward(self, instance, message):
        address = self._state.members.address_of(instance)
        if not address:
            return []
        return [effects.SendPeer(address, message)]
