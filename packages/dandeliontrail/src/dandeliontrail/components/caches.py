"""The component that follows the engines' prefix caches."""

from .. import effects
from .. import events
from .. import interfaces
from ..resources import announcements


class Caches(interfaces.Component):
    """Feeds the prefix index and passes cache events on.

    An engine publishes to whichever instance the balancer picks, so that
    each batch goes on to the other instances of the engine's own failure
    domain: those are the ones that mostly place work there.
    """

    def __init__(self, state):
        self._state = state

    def handlers(self):
        """Return the handlers of cache events."""
        return {
            events.CacheChanged: self._changed,
            announcements.CacheEvents: self._from_peer,
        }

    def _changed(self, event, now):
        batch = event.batch
        self._state.orders.prefixes.apply(batch.backend_server, batch)
        server = self._state.registry.servers.get(batch.backend_server)
        domain = server.announcement.failure_domain if server else ""
        return [
            effects.SendPeer(member.address, batch)
            for member in self._state.members.alive(now)
            if member.failure_domain == domain
        ]

    def _from_peer(self, source, batch, now):
        self._state.orders.prefixes.apply(batch.backend_server, batch)
        return []
