"""The four listeners of the product's own interface."""

from . import face
from . import tokens
from .listeners import backend_servers
from .listeners import callers
from .listeners import drain_request
from .listeners import operators


class StandardFace(face.Face):
    """Callers, backend servers and operators, each at an address."""

    def __init__(self):
        self._doors = {}

    def listeners(self, inner):
        """Return the three listeners."""
        given = inner.cfg.credentials
        for name, path in (
            ("operators", given.operator_tokens_file),
            ("backend_servers", given.backend_tokens_file),
        ):
            self._doors[name] = tokens.doorkeeper(path, name in given.open)
        door = self._doors["operators"]
        apps = {
            "callers": callers.CallersApp(
                inner.host, inner.engines, inner.cfg.limits, inner.drain
            ),
            "backend_servers": backend_servers.BackendServersApp(
                inner.host, self._doors["backend_servers"]
            ),
            "operators": drain_request.DrainRequests(
                operators.OperatorsApp(inner.host, door), door, inner.on_term
            ),
        }
        return [
            face.Listener(name, getattr(inner.cfg.listen, name), app)
            for name, app in apps.items()
        ]

    def reloadable(self):
        """Return the token files."""
        return list(self._doors.values())
