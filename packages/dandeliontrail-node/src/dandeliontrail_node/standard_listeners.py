"""The listeners of the standard HTTP interface."""

from . import http_library
from . import listener_factory
from . import tokens
from .listeners import backend_servers
from .listeners import callers
from .listeners import drain_request
from .listeners import operators


class StandardListeners(listener_factory.ListenerFactory):
    """One listener each for callers, backend servers and operators."""

    def __init__(self):
        self._authenticators = {}

    def listeners(self, parts):
        """Return the three listeners."""
        http_library.load_client()
        credentials = parts.cfg.credentials
        for name, path in (
            ("operators", credentials.operator_tokens_file),
            ("backend_servers", credentials.backend_tokens_file),
        ):
            self._authenticators[name] = tokens.new_authenticator(
                path, name in credentials.open
            )
        operators_authenticator = self._authenticators["operators"]
        apps = {
            "callers": callers.CallersApp(
                parts.host, parts.engines, parts.cfg.limits, parts.drain
            ),
            "backend_servers": backend_servers.BackendServersApp(
                parts.host, self._authenticators["backend_servers"]
            ),
            "operators": drain_request.DrainRequests(
                operators.OperatorsApp(parts.host, operators_authenticator),
                operators_authenticator,
                parts.on_term,
            ),
        }
        return [
            listener_factory.Listener(
                name,
                getattr(parts.cfg.listen, name),
                app,
                use=_use_of(name),
            )
            for name, app in apps.items()
        ]

    def reloadable(self):
        """Return the token files."""
        return list(self._authenticators.values())


def _use_of(name):
    if name == "callers":
        return listener_factory.ListenerUse.CLIENTS
    return listener_factory.ListenerUse.FURTHER
