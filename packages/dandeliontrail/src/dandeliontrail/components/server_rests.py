"""The component that leaves servers alone that have asked for rest.

It marks their records (:attr:`..coordination.servers.Server.rests_until`),
which all policies read.  The rest is asked of the instance whose connection
the request came over, so a peer that opened a tunnel is told.
"""

import msgspec

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import server_rests
from . import logged_once

# Instances that were asked at once come back within this many seconds of one
# another.
SPREAD_SECONDS = 0.3


class _Rest(msgspec.Struct):
    """A rest of one ``start`` of a server, first asked for at ``since``."""

    start: tuple
    since: float
    until: float


class ServerRests(interfaces.Component):
    """Maintains the rests that servers asked this instance for."""

    def __init__(self, state, policy):
        self._state = state
        self._policy = policy
        self._rests = {}
        self._logged_bad = logged_once.LoggedOnce()

    def handlers(self):
        """Return the handlers of answers and of what peers were told."""
        return {
            events.RestAsked: self._handle_asked,
            server_rests.ServerRest: self._handle_told,
        }

    def tick(self, now):
        """End the rests that are over."""
        out = []
        for name, rest in list(self._rests.items()):
            server = self._state.registry.servers.get(name)
            if now < rest.until and _is_same_start(server, rest):
                if server is not None:
                    # The record may have been dropped and learned again.
                    server.rests_until = rest.until
                continue
            del self._rests[name]
            fields = {
                "backend_server": name,
                "seconds": round(now - rest.since, 3),
                "important": True,
            }
            text = "backend server has rested"
            out.append(effects.Log("info", text, fields))
        return out

    def _handle_asked(self, event, now):
        try:
            seconds = server_rests.parse(event.texts)
        except server_rests.BadRest as exc:
            return self._report_bad(event, exc)
        if not seconds:
            return []
        if not event.peer_address:
            return self._begin(event, seconds, "answer", now)
        message = server_rests.ServerRest(
            event.backend_server, event.epoch, seconds
        )
        # The peer, which is told later, refuses tunnels until its rest ends.
        out = self._begin(event, seconds + 2 * SPREAD_SECONDS, "answer", now)
        return [effects.SendPeer(event.peer_address, message), *out]

    def _handle_told(self, source, message, now):
        if not 0.0 < message.seconds <= server_rests.MAX_REST_SECONDS:
            return []
        event = events.RestAsked(message.server, message.epoch, [])
        return self._begin(event, message.seconds, source.instance, now)

    def _begin(self, event, seconds, source, now):
        """Begin or extend a rest; a shorter one ends nothing."""
        name = event.backend_server
        server = self._state.registry.servers.get(name)
        if server is None or server.announcement.epoch != event.epoch:
            return []
        spread = self._state.rng.uniform(0.0, SPREAD_SECONDS)
        until = now + seconds + spread
        rest = self._rests.get(name)
        if rest is not None and until <= rest.until + SPREAD_SECONDS:
            rest.until = max(rest.until, until)
            server.rests_until = max(server.rests_until, until)
            return []
        since = now if rest is None else rest.since
        start = server.announcement.start()
        self._rests[name] = _Rest(start, since, until)
        server.rests_until = max(server.rests_until, until)
        self._policy.rest_began(name)
        fields = {
            "backend_server": name,
            "service": server.announcement.service,
            "seconds": round(until - now, 3),
            "source": source,
            "for_request": event.request_id,
            "important": True,
        }
        return [effects.Log("info", "backend server rests", fields)]

    def _report_bad(self, event, exc):
        """Log, once for each start of a server, a time it cannot mean."""
        start = (event.backend_server, event.epoch)
        if not self._logged_bad.is_first(start):
            return []
        fields = {
            "backend_server": event.backend_server,
            "detail": str(exc),
            "important": True,
        }
        text = "backend server's rest ignored"
        return [effects.Log("warning", text, fields)]


def _is_same_start(server, rest):
    """Return whether no other start of a server than the resting is known."""
    return server is None or server.announcement.start() == rest.start
