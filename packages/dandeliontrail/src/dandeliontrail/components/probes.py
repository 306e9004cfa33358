"""Asking others whether an instance can be reached."""

from .. import effects
from ..coordination import dissemination

# So many others are asked: where each would err once in ten times, all
# three do once in a thousand.
HELPERS = 3
# A probe goes there and back over two links, each well under a second.
PROBE_WAIT = 1.0


class Probes:
    """Sends, passes on and answers probes.

    One bad path between two instances must not evict either.  So before an
    instance suspects another it asks a few others to ask, whose paths are
    different ones.
    """

    def __init__(self, state):
        self._state = state

    def ask(self, member, now):
        """Ask a silent member directly and through others."""
        message = dissemination.Probe(
            member.instance, self._state.identity.instance
        )
        others = [
            item
            for item in self._state.members.alive(now)
            if item.instance != member.instance
        ]
        count = min(HELPERS, len(others))
        asked = [member, *self._state.rng.sample(others, count)]
        return [effects.SendPeer(item.address, message) for item in asked]

    def probe(self, source, message, now):
        """Answer a probe of this instance, or pass on that of another."""
        if message.target == self._state.identity.instance:
            answer = dissemination.ProbeAnswer(message.target, message.origin)
            return [effects.SendPeer(source.address, answer)]
        if source.instance != message.origin:
            return []
        return self._pass_on(message.target, message)

    def answer(self, source, message, now):
        """Take note of an answer, or pass on that to another."""
        if message.origin != self._state.identity.instance:
            return self._pass_on(message.origin, message)
        member = self._state.members.members.get(message.target)
        if member:
            member.heard = now
            member.probed = None
            if member not in self._state.members.links():
                # It is well, and just sends this instance no heartbeats.
                member.linked = False
        return []

    def _pass_on(self, instance, message):
        address = self._state.members.address_of(instance)
        if not address:
            return []
        return [effects.SendPeer(address, message)]
