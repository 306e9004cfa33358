"""The request rates that backend servers name, as all instances hold them.

A server in need names in its answers how many requests a second it takes from
all instances together.  The instance that reads such an answer tells the
others.  Answers overtake each other and reach instances whose clocks have
nothing in common, so neither their order nor a time tells which is the newest.
A record therefore has a version.  An instance raises it where an answer
contradicts the record that it holds, and of two records with one version the
lower limit wins: a mistake towards the higher one would overload the server,
a mistake towards the lower one is corrected by the next answer.
"""

import re

import msgspec

from . import digests

# Limits are short decimal numbers; longer texts are no limits.
MAX_LIMIT_CHARACTERS = 32
# A limit that only refusals name is dropped after this many seconds in which
# answers came and no refusal.  An answer alone does not contradict a refusal.
REFUSED_LIMIT_SECONDS = 10.0
NO_LIMIT = float("inf")

_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


class BadLimit(ValueError):
    """An answer names a limit that cannot be read."""


def parse(texts):
    """Return the limit that an answer names, in requests per second.

    ``texts`` are the values of all its fields that name one; without any, the
    result is ``None``.  Raises :class:`BadLimit` unless there is exactly one
    value and it is a decimal number of at least 0.

    >>> parse(["2.9"])
    2.9
    """
    if not texts:
        return None
    if len(texts) > 1:
        raise BadLimit(f"{len(texts)} values; name the limit once")
    text = texts[0].strip()
    if len(text) > MAX_LIMIT_CHARACTERS or not _DECIMAL.fullmatch(text):
        raise BadLimit(
            f"{text[:MAX_LIMIT_CHARACTERS]!r} is no decimal number of at"
            " least 0; name requests per second"
        )
    return float(text)


def parse_brittle(texts):
    """Return how many requests a second a brittle server may turn away.

    ``texts`` are the values of all fields of an answer that say so; without
    any, the result is ``None``.  Raises :class:`BadLimit` unless there is
    exactly one value and it is a whole number of at least 0.

    >>> parse_brittle(["2"])
    2
    """
    found = parse(texts)
    if found is None:
        return None
    if found != int(found):
        raise BadLimit(f"{texts[0]!r} is no whole number of refusals")
    return int(found)


class LimitRecord(msgspec.Struct, array_like=True, frozen=True):
    """What one incarnation of a server last named.

    ``limit`` is in requests per second, ``None`` if the server no longer
    names one.  ``refused`` is true if only refusals have named it.
    ``brittle`` is how many requests a second it may turn away before it falls
    over, ``None`` if it does not say so: then it gets no more requests at a
    time than it has places for.
    """

    server: str
    epoch: int
    version: int
    limit: float | None
    refused: bool = False
    brittle: int | None = None

    @property
    def is_named(self):
        """Whether the server names anything."""
        return self.limit is not None or self.brittle is not None

    def order(self):
        """Return the sort key; the record with the greatest one wins."""
        limit = NO_LIMIT if self.limit is None else self.limit
        brittle = NO_LIMIT if self.brittle is None else self.brittle
        return (self.epoch, self.version, -limit, not self.refused, -brittle)


class LimitRecords(msgspec.Struct, tag="limit_records"):
    """Records from the sender's table of limits."""

    records: list[LimitRecord]


class Reading(msgspec.Struct):
    """What one answer of a server says of its limit.

    ``sent_at`` is when the request was sent; ``limit`` and ``brittle`` are
    what the answer names, ``None`` without it.  ``refused`` is true if the
    server did not run the request.
    """

    server: str
    epoch: int
    limit: float | None
    sent_at: float
    refused: bool = False
    brittle: int | None = None

    @property
    def is_named(self):
        """Whether the answer names anything."""
        return self.limit is not None or self.brittle is not None


class HeldLimit(msgspec.Struct):
    """A record, and when it was learned and last confirmed here."""

    record: LimitRecord
    learned_at: float
    confirmed_at: float


class LimitTable:
    """The limits of all servers, with a digest for anti-entropy.

    ``named`` is the number of servers that name a limit at present.
    """

    __slots__ = ("held", "named", "digest")

    def __init__(self):
        self.held = {}
        self.named = 0
        self.digest = digests.TableDigest()

    def limit_of(self, server):
        """Return the limit of a server in requests per second, or ``None``."""
        held = self.held.get(server)
        return held.record.limit if held else None

    def brittle_of(self, server):
        """Return how much a server may turn away a second, or ``None``."""
        held = self.held.get(server)
        return held.record.brittle if held else None

    def is_named(self, server):
        """Return whether a server names a limit or that it is brittle."""
        held = self.held.get(server)
        return held is not None and held.record.is_named

    def presume_brittle(self, server, epoch, brittle, now):
        """Take a server that has just started for as brittle as others.

        Its first answer says whether it is.
        """
        if server not in self.held:
            record = LimitRecord(server, epoch, 0, None, False, brittle)
            self._put(record, now)

    def read(self, reading, now):
        """Apply an answer that arrived at ``now``.

        Returns the new record if the answer changed it, else ``None``.
        """
        held = self.held.get(reading.server)
        if held is not None and reading.epoch < held.record.epoch:
            return None
        if held is None or reading.epoch > held.record.epoch:
            if not reading.is_named:
                return None
            return self._put(_first_record(reading), now)
        if _changes_brittle(reading, held):
            return self._put(_next_record(held.record, reading), now)
        if reading.limit is not None and reading.limit == held.record.limit:
            held.confirmed_at = now
            if reading.refused or not held.record.refused:
                return None
        elif not _contradicts(reading, held, now):
            return None
        return self._put(_next_record(held.record, reading), now)

    def learn(self, record, now):
        """Merge another instance's record; return whether it was newer."""
        held = self.held.get(record.server)
        if held is not None and record.order() <= held.record.order():
            return False
        self._put(record, now)
        return True

    def remove(self, server):
        """Drop the record of a server, if there is one."""
        held = self.held.pop(server, None)
        if held is not None:
            self.named -= held.record.is_named
            self.digest.drop(server)

    def records_of(self, servers):
        """Return the records of those servers that have one."""
        return [
            self.held[server].record
            for server in servers
            if server in self.held
        ]

    def _put(self, record, now):
        before = self.is_named(record.server)
        self.held[record.server] = HeldLimit(record, now, now)
        self.named += record.is_named - before
        self.digest.put(record.server, record.order())
        return record


def _contradicts(reading, held, now):
    """Return whether an answer shows that a record has to be replaced.

    The answer to a request that was sent before the record was learned may be
    older than the record.
    """
    record = held.record
    may_be_older = reading.sent_at < held.learned_at
    if reading.limit is None:
        if record.limit is None or may_be_older:
            return False
        waits_for_refusal = record.refused and not reading.refused
        return not waits_for_refusal or (
            now - held.confirmed_at >= REFUSED_LIMIT_SECONDS
        )
    is_lower = record.limit is None or reading.limit < record.limit
    return is_lower or not may_be_older


def _changes_brittle(reading, held):
    """Return whether an answer says something else of a brittle server.

    Of one that may be older than the record only what is stricter is taken.
    """
    before = held.record.brittle
    if reading.brittle == before:
        return False
    is_stricter = reading.brittle is not None and (
        before is None or reading.brittle < before
    )
    return is_stricter or reading.sent_at >= held.learned_at


def _first_record(reading):
    return LimitRecord(
        reading.server,
        reading.epoch,
        1,
        reading.limit,
        reading.refused and reading.limit is not None,
        reading.brittle,
    )


def _next_record(record, reading):
    return LimitRecord(
        reading.server,
        reading.epoch,
        record.version + 1,
        reading.limit,
        reading.refused and reading.limit is not None,
        reading.brittle,
    )
