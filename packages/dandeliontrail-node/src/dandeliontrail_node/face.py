"""What an instance shows to the outside, beside its peer listener."""

import abc
import contextlib
import typing

import msgspec

from . import drain as drain_module
from . import engine_client
from . import host as host_module
from . import settings


class Listener(msgspec.Struct):
    """One address and the WSGI application that answers there.

    ``limits`` are its own bounds on callers, else those of the settings.
    """

    name: str
    address: str
    app: typing.Any
    limits: settings.LimitSettings | None = None


class Inner(msgspec.Struct):
    """What listeners need of the instance that they belong to.

    ``stack`` closes with the instance; ``on_term`` starts its drain.
    """

    cfg: settings.Settings
    host: host_module.Host
    engines: engine_client.PooledEngineClient
    drain: drain_module.Drain
    logger: typing.Any
    on_term: typing.Callable
    stack: contextlib.ExitStack


class Face(abc.ABC):
    """Builds the listeners of an instance and chooses its policy."""

    @abc.abstractmethod
    def listeners(self, inner):
        """Return the :class:`Listener` objects beside that for peers."""

    def reducer_options(self):
        """Return keyword arguments for ``dandeliontrail.new_reducer``."""
        return {}

    def reloadable(self):
        """Return what has a ``reload()`` to be called on SIGHUP."""
        return []

    def reloaded(self, host):
        """Bring into force what else may have changed in the settings."""
