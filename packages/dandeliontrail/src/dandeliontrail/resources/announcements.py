"""What a backend server says of itself, as it crosses the wire."""

import typing

import msgspec


class Model(msgspec.Struct):
    """One model, or an adapter over one, that an engine has loaded."""

    name: str
    version: str = ""
    adapters: list[str] = []


class Load(msgspec.Struct):
    """An engine's own view of its load, ``measured_ms_ago`` old."""

    running: int = 0
    waiting: int = 0
    kv_used: int = 0
    measured_ms_ago: float = 0.0


class Announcement(msgspec.Struct):
    """One announcement; ``(epoch, sequence)`` orders those of a server.

    ``lease`` is in seconds: how long the server may be taken for alive
    without hearing from it again.  A ``spot`` server may be taken away by
    the platform at short notice.
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

    def order(self):
        """Return the pair by which a newer announcement is told."""
        return (self.epoch, self.sequence)


class CacheEvent(msgspec.Struct):
    """One change of an engine's prefix cache.

    ``kind`` is ``stored``, ``removed`` or ``cleared``.
    """

    kind: typing.Literal["stored", "removed", "cleared"]
    prefix_hash: str = ""
    tokens: int = 0


class CacheEvents(msgspec.Struct, tag="cache_events"):
    """A batch of cache events, in the order of their sequence numbers.

    They come late, repeated and with gaps; ``first_sequence`` is that of
    the first event here.
    """

    backend_server: str
    epoch: int
    first_sequence: int
    events: list[CacheEvent]
