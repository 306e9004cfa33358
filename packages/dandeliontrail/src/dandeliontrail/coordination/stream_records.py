"""At which software version streams began, as instances tell one another.

A caller that resumes a stream names the request that brought its first
event, at any instance.  The key of a stream is a hash of that id with the
organisation and the route, so that equal ids of two organisations differ.
"""

import collections
import hashlib
import heapq

import msgspec

KEY_BYTES = 9
MAX_ID_CHARACTERS = 128
# Some ten times the streams of a relay at 10,000 streams a second.
MAX_STREAMS = 500_000
MAX_COUNTED_VERSIONS = 1024


def key_of(organisation, route, request_id):
    """Return the key of a stream, or ``None`` if the id is malformed."""
    if not 0 < len(request_id) <= MAX_ID_CHARACTERS:
        return None
    if not (request_id.isascii() and request_id.isprintable()):
        return None
    text = "\0".join((organisation, route, request_id))
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()


class StreamRecord(msgspec.Struct, array_like=True):
    """The version at which a stream began, as sent between instances.

    ``age`` is the time since the first event, ``remaining`` for how long the
    stream may still be resumed, both in seconds.
    """

    key: str
    service: str
    version: str
    age: float
    remaining: float


class StreamRecords(msgspec.Struct, tag="streams", omit_defaults=True):
    """Records to hold or, with ``forward``, to pass on to their holders."""

    records: list[StreamRecord]
    forward: bool = False


class StreamQueries(msgspec.Struct, tag="stream_queries"):
    """Asks for the records of streams by their keys."""

    keys: list[str]


class StreamAnswers(msgspec.Struct, tag="stream_answers"):
    """The records that were asked for, and the keys without a record."""

    records: list[StreamRecord]
    unknown: list[str]


class StreamCounts:
    """How many streams had their first event from which version.

    ``begun`` counts them by service and version, an answer once for each of
    its attempts with events; ``resumed`` counts those that callers resumed,
    by where their version was known from.
    """

    __slots__ = ("begun", "resumed")

    def __init__(self):
        self.begun = collections.Counter()
        self.resumed = collections.Counter()

    def record_begun(self, service, version):
        """Count a stream, while there are not too many versions."""
        key = (service, version)
        if key in self.begun or len(self.begun) < MAX_COUNTED_VERSIONS:
            self.begun[key] += 1


MESSAGES = (StreamRecords, StreamQueries, StreamAnswers)


class HeldStream:
    """The version of a stream; ``began`` and ``expires`` are local times.

    ``ambiguous`` is true if two versions were told for one key.
    """

    __slots__ = ("service", "version", "began", "expires", "ambiguous")

    def __init__(self, service, version, began, expires):
        self.service = service
        self.version = version
        self.began = began
        self.expires = expires
        self.ambiguous = False


class StreamTable:
    """The streams that an instance knows, each until it has expired.

    ``dropped`` counts those that were dropped for want of room.
    """

    __slots__ = ("dropped", "_streams", "_expiries", "_max_streams")

    def __init__(self, max_streams=MAX_STREAMS):
        self.dropped = 0
        self._streams = {}
        self._expiries = []
        self._max_streams = max_streams

    def __len__(self):
        return len(self._streams)

    def put(self, record, now):
        """Hold a record, or extend the time for which it is held."""
        expires = now + record.remaining
        held = self._streams.get(record.key)
        if held is None:
            held = HeldStream(
                record.service, record.version, now - record.age, expires
            )
            self._streams[record.key] = held
        elif (held.service, held.version) != (record.service, record.version):
            held.ambiguous = True
        if expires >= held.expires:
            held.expires = expires
            heapq.heappush(self._expiries, (expires, record.key))
        while len(self._streams) > self._max_streams:
            self.dropped += self._drop_first()

    def find(self, key, now):
        """Return the :class:`HeldStream` of a key, or ``None``."""
        held = self._streams.get(key)
        if held is None or held.ambiguous or held.expires < now:
            return None
        return held

    def record_of(self, key, now):
        """Return the record of a key to send to others, or ``None``."""
        held = self.find(key, now)
        if held is None:
            return None
        return StreamRecord(
            key,
            held.service,
            held.version,
            round(now - held.began, 1),
            round(held.expires - now, 1),
        )

    def expire(self, now):
        """Drop the streams that can no longer be resumed."""
        while self._expiries and self._expiries[0][0] < now:
            self._drop_first()

    def _drop_first(self):
        """Drop the entry that expires first; return how many were dropped."""
        expires, key = heapq.heappop(self._expiries)
        held = self._streams.get(key)
        if held is None or held.expires > expires:
            return 0
        del self._streams[key]
        return 1
