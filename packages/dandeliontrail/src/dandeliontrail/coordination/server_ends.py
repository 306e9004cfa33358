"""Requests in progress at backend servers that crashed or otherwise ended.

A request that crashes every server that runs it is retried by its caller
with another id and at another instance, and reaches new servers each time.
So the instances share which requests each ended server had not answered yet,
identified by fingerprint (:mod:`.fingerprints`).  Merging is monotonic, so
records may arrive late, repeatedly or out of order; a request that any
server completed is cleared, and that takes precedence over all ends.

The cause may also be a part of the prompt that many requests share, so the
parts of these requests have records too.  A part that a server answered on is
not cleared for good, but sound at that time and for that software version.

:mod:`..decisions.crash_suspects` decides which requests to block, and
:mod:`..decisions.crash_parts` which parts.

    >>> table = EndsTable()
    >>> table.record_end("f1", ("s1", 0), 0.0, 0.0)
    True
    >>> table.record_end("f1", ("s1", 0), 0.1, 0.1)
    False
    >>> table.clear("f1", 0.2, 0.2)
    True
    >>> table.record_end("f1", ("s2", 0), 0.3, 0.3)
    False
"""

import math

import msgspec

from . import digests

# Retention of a record after its last end, in seconds, with one end and with
# several.  The first covers many retries by the caller; the second prevents
# a request that is sent every few minutes from crashing three servers each
# time.
ONE_END_RETENTION_SECONDS = 300.0
SEVERAL_ENDS_RETENTION_SECONDS = 3600.0
# Bounds on memory, at about half a kilobyte per record, and on the ends in
# a record, which is somewhat more than any decision needs.  The records with
# the oldest last end are evicted first.
MAX_RECORDS = 4096
MAX_ENDS_PER_RECORD = 24
# A changed record enters the digest that is compared with other instances
# after this delay: until then the change is on its way to them as a message.
SETTLE_SECONDS = 1.5


# An answer on a part is news if it is later by so much than the last known.
MIN_SOUND_STEP_SECONDS = 1.0


class End(msgspec.Struct, array_like=True):
    """The end of a server process, ``age`` seconds ago.

    ``epoch`` identifies the incarnation of ``server``.
    """

    server: str
    epoch: int
    age: float
    software_version: str = ""


class Sound(msgspec.Struct, array_like=True):
    """A server answered on a part of a prompt, ``age`` seconds ago."""

    software_version: str
    age: float


class EndsRecord(msgspec.Struct, omit_defaults=True):
    """The ends known for one request or part.

    ``age`` is that of the last change.  ``served`` is for requests, ``sound``
    for parts.
    """

    fingerprint: str
    age: float
    ends: list[End] = []
    served: bool = False
    sound: list[Sound] = []


class EndsRecords(msgspec.Struct, tag="server_ends"):
    """Message with records that the receiver is missing."""

    records: list[EndsRecord]


class EndedServer(msgspec.Struct, array_like=True):
    """A server that ended ``age`` seconds ago.

    ``fingerprints`` are those of its open requests and of their parts.
    """

    server: str
    epoch: int
    age: float
    fingerprints: list[str]
    software_version: str = ""


class SoundPart(msgspec.Struct, array_like=True):
    """A part that servers of a version answered on, ``age`` seconds ago."""

    fingerprint: str
    software_version: str
    age: float


class EndedServers(msgspec.Struct, tag="ended_servers"):
    """Message with servers that ended, and what is not to blame.

    ``served`` are requests that were completed, ``sound`` parts of prompts.
    """

    ended: list[EndedServer]
    served: list[str] = []
    sound: list[SoundPart] = []


MESSAGES = (EndsRecords, EndedServers)


class CrashSuspect:
    """A request, or a part of prompts, that may have crashed servers.

    ``ends`` maps the server incarnations that ended while they ran it to the
    time of the end, ``versions`` to the software version that they ran if
    that is known, and ``last`` is the time of the last change.  ``served`` is
    true if some server completed the request; ``sound`` maps the software
    versions whose servers answered on the part to when they last did.
    """

    __slots__ = ("ends", "versions", "served", "sound", "last")

    def __init__(self, now):
        self.ends = {}
        self.versions = {}
        self.served = False
        self.sound = {}
        self.last = now

    def content(self):
        """Return the value of the record in the digest.

        It is equal at all instances that hold the same record.  If there
        are more ends than are kept, which ones are kept depends on the
        order of arrival, so they don't enter into it.
        """
        if self.served:
            return "served"
        ends = (
            "many"
            if len(self.ends) >= MAX_ENDS_PER_RECORD
            else sorted(self.ends)
        )
        return [ends, sorted(self.sound)] if self.sound else ends

    def retention_seconds(self):
        """Return the retention after the last change, in seconds."""
        return retention_seconds(len(self.ends))


def retention_seconds(end_count):
    """Return the retention of a record with ``end_count`` ends, in seconds."""
    return (
        SEVERAL_ENDS_RETENTION_SECONDS
        if end_count > 1
        else ONE_END_RETENTION_SECONDS
    )


class EndsTable:
    """All suspects by fingerprint, with a digest for anti-entropy."""

    __slots__ = ("suspects", "digest", "_fingerprints", "_settling")

    def __init__(self):
        self.suspects = {}
        self.digest = digests.TableDigest()
        self._fingerprints = {}
        self._settling = {}

    def settle(self, now):
        """Add changes older than ``SETTLE_SECONDS`` to the digest."""
        settled = [
            fingerprint
            for fingerprint, since in self._settling.items()
            if now - since >= SETTLE_SECONDS
        ]
        for fingerprint in settled:
            del self._settling[fingerprint]
            suspect = self.suspects[fingerprint]
            self.digest.put(fingerprint, suspect.content())

    def fingerprints_of(self, incarnation):
        """Return the fingerprints of an ended incarnation's open requests."""
        return self._fingerprints.get(incarnation, frozenset())

    def record_end(self, fingerprint, incarnation, at, now, version=""):
        """Record an end at the time ``at``; return whether it was new."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            suspect = CrashSuspect(at)
        if suspect.served or incarnation in suspect.ends:
            return False
        if len(suspect.ends) >= MAX_ENDS_PER_RECORD:
            suspect.last = max(suspect.last, at)
            return False
        suspect.ends[incarnation] = at
        if version:
            suspect.versions[incarnation] = version
        suspect.last = max(suspect.last, at)
        self._fingerprints.setdefault(incarnation, set()).add(fingerprint)
        self._put(fingerprint, suspect, now)
        return True

    def clear(self, fingerprint, at, now):
        """Record that a suspect was completed; return whether it was new."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or suspect.served:
            return False
        self._remove_ends(fingerprint, suspect)
        suspect.served = True
        suspect.last = max(suspect.last, at)
        self._put(fingerprint, suspect, now)
        return True

    def record_sound(self, fingerprint, version, at, now):
        """Record that a server of a version answered on a suspect part.

        Returns whether that is news: many instances have answers at the same
        moment.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return False
        if at < suspect.sound.get(version, -math.inf) + MIN_SOUND_STEP_SECONDS:
            return False
        suspect.sound[version] = at
        self._put(fingerprint, suspect, now)
        return True

    def enter(self, fingerprint, at, now):
        """Add a record for a request that is not known here yet."""
        if fingerprint not in self.suspects:
            self._put(fingerprint, CrashSuspect(at), now)

    def is_forgotten(self, record, delay):
        """Return whether another instance's record is too old to merge.

        It may have been removed here already, and merging it would let
        instances pass it back and forth for ever.  ``delay`` is the time in
        seconds that it took to get here.
        """
        if record.fingerprint in self.suspects:
            return False
        return record.age + delay >= retention_seconds(len(record.ends))

    def record_of(self, fingerprint, now):
        """Return the record of a request to send to other instances."""
        suspect = self.suspects[fingerprint]
        return EndsRecord(
            fingerprint,
            _age(suspect.last, now),
            [
                End(
                    *incarnation,
                    _age(at, now),
                    suspect.versions.get(incarnation, ""),
                )
                for incarnation, at in suspect.ends.items()
            ],
            suspect.served,
            [
                Sound(version, _age(at, now))
                for version, at in suspect.sound.items()
            ],
        )

    def remove_expired(self, now):
        """Remove expired records, and the oldest if there are too many.

        Returns the fingerprints of the removed records.
        """
        suspects = self.suspects
        removed = [
            fingerprint
            for fingerprint, suspect in suspects.items()
            if now - suspect.last > suspect.retention_seconds()
        ]
        if len(suspects) - len(removed) > MAX_RECORDS:
            by_age = sorted(suspects, key=lambda item: suspects[item].last)
            removed = by_age[: len(suspects) - MAX_RECORDS]
        for fingerprint in removed:
            self._remove_ends(fingerprint, suspects.pop(fingerprint))
            self._settling.pop(fingerprint, None)
            self.digest.drop(fingerprint)
        return removed

    def _put(self, fingerprint, suspect, now):
        self.suspects[fingerprint] = suspect
        self._settling[fingerprint] = now

    def _remove_ends(self, fingerprint, suspect):
        for incarnation in suspect.ends:
            fingerprints = self._fingerprints[incarnation]
            fingerprints.discard(fingerprint)
            if not fingerprints:
                del self._fingerprints[incarnation]
        suspect.ends.clear()
        suspect.versions.clear()


def _age(at, now):
    return round(max(0.0, now - at), 3)
