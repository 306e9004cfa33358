"""The component that has the paths to backend servers checked."""

from .. import effects
from .. import events
from .. import interfaces
from . import request_lifecycle

# Phases in which a request has an attempt that a lost path interrupts.
_AT_SERVER = request_lifecycle.AWAITING_OUTPUT | {
    request_lifecycle.Phase.STREAMING
}


class ServerPaths(interfaces.Component):
    """Requests the checks that the policy wants, and applies their results.

    ``lives`` maps request ids to the open requests.
    """

    def __init__(self, state, policy, lives):
        self._state = state
        self._policy = policy
        self._lives = lives

    def handlers(self):
        """Return the handler of the results of checks."""
        return {events.PathChecked: self._handle_checked}

    def tick(self, now):
        """Return the checks that are due."""
        return self._due_checks(now)

    def _due_checks(self, now):
        out = []
        for check in self._policy.due_checks(now):
            server = self._state.directory.server(check.server)
            if server is None or not server.serves(now):
                self._policy.check_dropped(check)
                continue
            announcement = server.announcement
            out.append(
                effects.CheckPath(
                    check.server,
                    announcement.epoch,
                    announcement.url,
                    check.silent_seconds,
                    check.peer,
                    self._state.members.address_of(check.peer),
                )
            )
        return out

    def _handle_checked(self, event, now):
        lost = self._policy.path_checked(event, now)
        out = self._due_checks(now)
        server = self._state.directory.server(event.backend_server)
        if not lost or server is None:
            return out
        for request in self._lives.values():
            if (
                request.server == event.backend_server
                and not request.peer
                and request.phase in _AT_SERVER
            ):
                request.path_lost = True
        # Idle connections may have lost the path too, without a sign.
        out.append(effects.DropConnections(server.announcement.url))
        return out
