"""The component that tracks the prefix caches of engines."""

from .. import effects
from .. import events
from .. import interfaces
from ..resources import announcements


class Caches(interfaces.Component):
    """Updates the prefix index and forwards cache events.

    An engine sends its events to whichever instance the load balancer picks.
    Each batch is therefore forwarded to the other instances of the engine's
    failure domain, which place most of the work there.
    """

    def __init__(self, state):
        self._state = state

    def handlers(self):
        """Return the handlers of cache events, from engines and instances."""
        return {
            events.CacheChanged: self._handle_changed,
            announcements.CacheEvents: self._handle_peer_batch,
        }

    def _handle_changed(self, event, now):
        batch = event.batch
        self._state.orders.prefixes.apply(batch.backend_server, batch)
        server = self._state.registry.servers.get(batch.backend_server)
        domain = server.announcement.failure_domain if server else ""
        return [
            effects.SendPeer(member.address, batch)
            for member in self._state.members.alive(now)
            if member.failure_domain == domain
        ]

    def _handle_peer_batch(self, source, batch, now):
        self._state.orders.prefixes.apply(batch.backend_server, batch)
        return []
