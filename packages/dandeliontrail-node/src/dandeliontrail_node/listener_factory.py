"""The external interface of an instance, besides its peer listener."""

import abc
import contextlib
import enum
import typing

import msgspec

from dandeliontrail.decisions import held_bytes

from . import drain as drain_module
from . import engine_client
from . import host as host_module
from . import settings


class ListenerUse(enum.Enum):
    """What a listener is for; its part of the connections depends on it.

    The names are those of ``client_limits.ClientLimits``.
    """

    CLIENTS = "clients"
    FURTHER = "further"
    PEERS = "peers"
    STATUS = "status"


class Listener(msgspec.Struct):
    """An address and the WSGI application that serves it.

    ``limits`` are its own limits on clients; the settings apply by default.
    """

    name: str
    address: str
    app: typing.Any
    limits: settings.LimitSettings | None = None
    use: ListenerUse = ListenerUse.CLIENTS


class InstanceParts(msgspec.Struct):
    """The parts of an instance that its listeners use.

    ``stack`` is closed with the instance; ``on_term`` starts its drain.
    ``account`` has the bytes that it holds for clients.
    """

    cfg: settings.Settings
    host: host_module.Host
    engines: engine_client.PooledEngineClient
    drain: drain_module.DrainState
    logger: typing.Any
    on_term: typing.Callable
    stack: contextlib.ExitStack
    account: held_bytes.HeldBytes


class ListenerFactory(abc.ABC):
    """Builds the listeners of an instance and chooses its policy."""

    @abc.abstractmethod
    def listeners(self, parts):
        """Return the :class:`Listener` objects, except the peer listener."""

    def reducer_options(self):
        """Return keyword arguments for ``dandeliontrail.new_reducer``."""
        return {}

    def reloadable(self):
        """Return the objects whose ``reload()`` is to be called on SIGHUP."""
        return []

    def reloaded(self, host):
        """Apply other settings that may have changed, after a reload."""
