"""The component that knows the other instances."""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import membership
from ..coordination import messages


class Members(interfaces.Component):
    """Greets every known address once a second."""

    def __init__(self, state):
        self._state = state
        self._next_hello = 0.0

    def handlers(self):
        """Return the handlers of membership events and messages."""
        return {
            events.Started: self._started,
            messages.Hello: self._hello,
        }

    def tick(self, now):
        """Send the greetings that are due."""
        if now < self._next_hello:
            return []
        self._next_hello = now + membership.HELLO_INTERVAL
        addresses = self._state.members.addresses()
        hello = messages.Hello(addresses, self._state.store.version)
        own = self._state.identity.address
        return [
            effects.SendPeer(address, hello)
            for address in addresses
            if address != own
        ]

    def _started(self, event, now):
        self._state.identity.address = event.address
        return []

    def _hello(self, source, message, now):
        members = self._state.members
        member = members.hear(source, now)
        member.applied = message.applied
        members.seeds.update(message.addresses)
        members.seeds.discard(self._state.identity.address)
        return []
