"""The listeners of the standard HTTP interface."""

from . import face
from . import tokens
from .listeners import backend_servers
from .listeners import callers
from .listeners import drain_request
from .listeners import operators


class StandardFace(face.Face):
    """One listener each for callers, backend servers and operators."""

    def __init__(self):
        self._authenticators = {}

    def listeners(self, inner):
        """Return the three listeners."""
        credentials = inner.cfg.credentials
        for name, path in (
            ("operators", credentials.operator_tokens_file),
            ("backend_servers", credentials.backend_tokens_file),
        ):
            self._authenticators[name] = tokens.doorkeeper(
                path, name in credentials.open
            )
        operators_authenticator = self._authenticators["operators"]
        apps = {
            "callers": callers.CallersApp(
                inner.host, inner.engines, inner.cfg.limits, inner.drain
            ),
            "backend_servers": backend_servers.BackendServersApp(
                inner.host, self._authenticators["backend_servers"]
            ),
            "operators": drain_request.DrainRequests(
                operators.OperatorsApp(inner.host, operators_authenticator),
                operators_authenticator,
                inner.on_term,
            ),
        }
        return [
            face.Listener(name, getattr(inner.cfg.listen, name), app)
            for name, app in apps.items()
        ]

    def reloadable(self):
        """Return the token files."""
        return list(self._authenticators.values())
