"""What became of the requests with a key that this instance took in."""

import collections
import enum

import msgspec

from . import claims

MOST_ENTRIES = 100_000
# Answers held for resends, in bytes: one, and all together.
MOST_ANSWER_BYTES = 1024 * 1024
MOST_HELD_BYTES = 16 * 1024 * 1024


class Stand(enum.Enum):
    """How the request of a claim stands."""

    CLAIMING = "claiming"
    RUNNING = "running"
    HELD = "held"
    GONE = "gone"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"
    LOST = "lost"


PENDING = frozenset({Stand.CLAIMING, Stand.RUNNING})


class Entry(msgspec.Struct):
    """One claim of this instance's own.

    ``readers`` are the requests that wait for it: ``(address, reader)``,
    the address empty for one of this instance.
    """

    key: str
    claim: str
    digest: str
    expires: float
    stand: Stand = Stand.CLAIMING
    answer: claims.StoredAnswer | None = None
    readers: set = msgspec.field(default_factory=set)


class Entries:
    """All of them, bounded in number, in time and in bytes.

    Where the bytes run out the oldest answers go and their keys stay: a
    resend is then told that its answer is gone, and is never run again.
    """

    def __init__(self):
        self._by_claim = collections.OrderedDict()
        self._by_key = {}
        self._answers = collections.OrderedDict()
        self._bytes = 0

    def __len__(self):
        return len(self._by_claim)

    def full(self):
        """Tell whether no more keys can be remembered."""
        return len(self._by_claim) >= MOST_ENTRIES

    def add(self, key, claim, digest, now):
        """Remember a new claim and return its entry."""
        entry = Entry(key, claim, digest, now + claims.CLAIM_SECONDS)
        self._by_claim[claim] = entry
        self._by_key[key] = entry
        return entry

    def of_claim(self, claim):
        """Return the entry of a claim, or ``None``."""
        return self._by_claim.get(claim)

    def of_key(self, key):
        """Return the entry that last had a key here, or ``None``."""
        return self._by_key.get(key)

    def end(self, entry, stand, answer, now):
        """Take note of how a request ended and return who waited."""
        entry.stand = stand
        entry.expires = max(entry.expires, now + claims.CLAIM_SECONDS)
        self._by_claim.move_to_end(entry.claim)
        if stand is Stand.HELD:
            self._hold(entry, answer)
        readers, entry.readers = entry.readers, set()
        return readers

    def _hold(self, entry, answer):
        if answer is None or len(answer.body) > MOST_ANSWER_BYTES:
            entry.stand = Stand.GONE
            return
        entry.answer = answer
        self._answers[entry.claim] = entry
        self._bytes += len(answer.body)
        while self._bytes > MOST_HELD_BYTES:
            _, oldest = self._answers.popitem(last=False)
            self._drop(oldest)

    def _drop(self, entry):
        self._bytes -= len(entry.answer.body)
        entry.answer = None
        entry.stand = Stand.GONE

    def expire(self, now):
        """Forget what is older than any resend is answered for."""
        while self._by_claim:
            claim, entry = next(iter(self._by_claim.items()))
            if entry.stand in PENDING:
                # What runs is remembered for as long as it does.
                entry.expires = now + claims.CLAIM_SECONDS
                self._by_claim.move_to_end(claim)
                return
            if entry.expires > now:
                return
            self._forget(entry)

    def _forget(self, entry):
        del self._by_claim[entry.claim]
        if self._by_key.get(entry.key) is entry:
            del self._by_key[entry.key]
        if self._answers.pop(entry.claim, None):
            self._drop(entry)

    def running(self):
        """Return the entries of requests that are running."""
        return [
            entry
            for entry in self._by_claim.values()
            if entry.stand is Stand.RUNNING
        ]
