"""Announcements of backend servers, in their wire format."""

import typing

import msgspec


class Model(msgspec.Struct):
    """A model that an engine has loaded, with its adapters."""

    name: str
    version: str = ""
    adapters: list[str] = []


class Load(msgspec.Struct):
    """The load of an engine as measured by the engine itself.

    ``running`` and ``waiting`` count requests, ``kv_used`` tokens of its
    key-value cache.
    """

    running: int = 0
    waiting: int = 0
    kv_used: int = 0
    measured_ms_ago: float = 0.0


class Announcement(msgspec.Struct):
    """One announcement; ``(epoch, sequence)`` orders those of a server.

    ``lease`` is in seconds: for how long the server counts as alive without
    a further announcement.  ``leaving`` announces its shutdown.  A ``spot``
    server may be withdrawn by the platform at short notice.
    ``software_version`` is the version of the server's software, not of its
    models; servers without one are taken to run the same software.
    """

    backend_server: str
    epoch: int
    sequence: int
    kind: str
    url: str
    failure_domain: str = ""
    models: list[Model] = []
    service: str = ""
    slots: int = 1
    kv_tokens: int = 0
    role: str = ""
    load: Load = msgspec.field(default_factory=Load)
    leaving: bool = False
    checks_fencing: bool = False
    lease: float = 3.0
    spot: bool = False
    software_version: str = ""

    def start(self):
        """Return what tells two starts of a server under one name apart."""
        return (self.epoch, self.software_version)

    def order(self):
        """Return the pair by which announcements are ordered."""
        return (self.epoch, self.sequence)


class CacheEvent(msgspec.Struct):
    """One change of an engine's prefix cache.

    ``kind`` is ``stored``, ``removed`` or ``cleared``.
    """

    kind: typing.Literal["stored", "removed", "cleared"]
    prefix_hash: str = ""
    tokens: int = 0


class CacheEvents(msgspec.Struct, tag="cache_events"):
    """A batch of cache events in the order of their sequence numbers.

    Batches may arrive late, repeatedly and with gaps between them;
    ``first_sequence`` is the sequence number of the first event.
    """

    backend_server: str
    epoch: int
    first_sequence: int
    events: list[CacheEvent]
