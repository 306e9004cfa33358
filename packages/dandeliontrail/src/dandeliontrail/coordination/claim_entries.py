"""The requests with idempotency keys that this instance accepted.

Each entry holds the state of a request and, after its end, the answer for
retries.
"""

import collections
import enum

import msgspec

from . import claims

MAX_ENTRIES = 100_000
# Size limits of the answers kept for retries: of one, and of all together.
MAX_ANSWER_BYTES = 1024 * 1024
MAX_HELD_ANSWER_BYTES = 16 * 1024 * 1024


class ClaimState(enum.Enum):
    """The state of the request that made a claim.

    ``HELD``: its answer is stored; ``GONE``: it ran, but its answer is not
    stored; ``NOT_RUN``: it did not run; ``UNKNOWN``: it may have run;
    ``LOST``: the instance that made the claim does not know it any more.
    """

    CLAIMING = "claiming"
    RUNNING = "running"
    HELD = "held"
    GONE = "gone"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"
    LOST = "lost"


PENDING = frozenset({ClaimState.CLAIMING, ClaimState.RUNNING})


class Entry(msgspec.Struct):
    """A claim that this instance made; ``expires`` is monotonic time.

    ``readers`` are the requests that wait for its answer, as pairs
    ``(address, reader)``; the address is empty for a request of this
    instance.
    """

    key: str
    claim: str
    digest: str
    expires: float
    stand: ClaimState = ClaimState.CLAIMING
    answer: claims.StoredAnswer | None = None
    readers: set = msgspec.field(default_factory=set)


class Entries:
    """The claims of this instance, limited in number, age and bytes.

    At the byte limit the oldest answers are evicted, but their keys are
    kept: a retry is then refused because its answer is gone, and never runs.
    """

    def __init__(self):
        self._by_claim = collections.OrderedDict()
        self._by_key = {}
        self._entries_with_answer = collections.OrderedDict()
        self._answer_bytes = 0

    def __len__(self):
        return len(self._by_claim)

    def full(self):
        """Return whether the limit of entries is reached."""
        return len(self._by_claim) >= MAX_ENTRIES

    def add(self, key, claim, digest, now):
        """Add a new claim and return its entry."""
        entry = Entry(key, claim, digest, now + claims.CLAIM_SECONDS)
        self._by_claim[claim] = entry
        self._by_key[key] = entry
        return entry

    def of_claim(self, claim):
        """Return the entry of a claim, or ``None``."""
        return self._by_claim.get(claim)

    def of_key(self, key):
        """Return the latest entry for a key, or ``None``."""
        return self._by_key.get(key)

    def end(self, entry, stand, answer, now):
        """Record how a request ended and return its waiting readers.

        An answer above the size limit is not stored, and the state of the
        entry is then ``GONE``.
        """
        entry.stand = stand
        entry.expires = max(entry.expires, now + claims.CLAIM_SECONDS)
        self._by_claim.move_to_end(entry.claim)
        if stand is ClaimState.HELD:
            self._store_answer(entry, answer)
        readers, entry.readers = entry.readers, set()
        return readers

    def _store_answer(self, entry, answer):
        if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
            entry.stand = ClaimState.GONE
            return
        entry.answer = answer
        self._entries_with_answer[entry.claim] = entry
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > MAX_HELD_ANSWER_BYTES:
            _, oldest = self._entries_with_answer.popitem(last=False)
            self._evict_answer(oldest)

    def _evict_answer(self, entry):
        self._answer_bytes -= len(entry.answer.body)
        entry.answer = None
        entry.stand = ClaimState.GONE

    def expire(self, now):
        """Remove the entries that are too old to answer retries."""
        while self._by_claim:
            claim, entry = next(iter(self._by_claim.items()))
            if entry.stand in PENDING:
                # The entry of an unfinished request does not expire.
                entry.expires = now + claims.CLAIM_SECONDS
                self._by_claim.move_to_end(claim)
                return
            if entry.expires > now:
                return
            self._remove(entry)

    def _remove(self, entry):
        del self._by_claim[entry.claim]
        if self._by_key.get(entry.key) is entry:
            del self._by_key[entry.key]
        if self._entries_with_answer.pop(entry.claim, None):
            self._evict_answer(entry)

    def running(self):
        """Return the entries of the requests in state ``RUNNING``."""
        return [
            entry
            for entry in self._by_claim.values()
            if entry.stand is ClaimState.RUNNING
        ]
