"""The component that has the paths to backend servers checked."""

import enum

from .. import effects
from .. import events
from .. import interfaces
from . import request_lifecycle

# Phases in which a request has an attempt that a lost path interrupts.
_AT_SERVER = request_lifecycle.AWAITING_OUTPUT | {
    request_lifecycle.Phase.STREAMING
}


class Reach(enum.Enum):
    """How many of the servers that serve an instance reaches directly."""

    ALL = "all"
    SOME = "some"
    NONE = "none"


def _reach_of(unreachable, serving):
    if not unreachable:
        return Reach.ALL
    return Reach.NONE if unreachable == serving else Reach.SOME


class ServerPaths(interfaces.Component):
    """Requests the checks that the policy wants, and applies their results.

    ``lives`` maps request ids to the open requests.
    """

    def __init__(self, state, policy, lives):
        self._state = state
        self._policy = policy
        self._lives = lives
        self._logged_reach = Reach.ALL

    def handlers(self):
        """Return the handler of the results of checks."""
        return {events.PathChecked: self._handle_checked}

    def tick(self, now):
        """Return the checks that are due, and report a change of reach."""
        return self._due_checks(now) + self._report_reach(now)

    def _report_reach(self, now):
        """Log whether this instance reaches all, some or no servers."""
        lost = self._policy.lost_servers()
        if not lost and self._logged_reach is Reach.ALL:
            return []
        servers = self._state.registry.servers.values()
        serving = [
            item.announcement.backend_server
            for item in servers
            if item.serves(now)
        ]
        unreachable = [name for name in lost if name in serving]
        reach = _reach_of(len(unreachable), len(serving))
        if reach is self._logged_reach:
            return []
        self._logged_reach = reach
        fields = {
            "reach": reach.value,
            "unreachable": len(unreachable),
            "servers": len(serving),
            "important": True,
        }
        level = "info" if reach is Reach.ALL else "warning"
        return [effects.Log(level, "reach of backend servers", fields)]

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
