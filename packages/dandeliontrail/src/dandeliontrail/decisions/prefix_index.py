"""Which engine has which prompt prefix in its cache, as far as one knows.

Engines publish cache events late and with gaps, so the index holds guesses,
each with a confidence.  It is made for 250 engines with some thousands of
prefixes each, in 16 MB: a table of fixed size, in which an entry can only
sit in one small set and the oldest of the set makes room.  A dictionary
would hold a tenth of the entries in the same memory and has no bound.

The harm it prevents is prompt work done twice, and the harm it must not do
is to send a request past an idle engine to one whose cache has long lost
the prefix.  That is why a gap lowers trust in what is held.
"""

import array
import zlib

import msgspec

# Entries of a set share one place in the table; eight keep the chance low
# that one hot set loses entries while others stand empty.
WAYS = 8
# The table starts small and doubles as engines come, up to a limit: ten
# engines of today take half a megabyte, 250 take eight.
FIRST_ENTRIES = 1 << 15
DEFAULT_ENTRIES = 1 << 19
ENTRIES_PER_ENGINE = 2048
KEY_BITS = 64
KEY_MASK = (1 << KEY_BITS) - 1
# Multiplier of Fibonacci hashing (Knuth, TAOCP 3, 6.4): spreads the keys of
# one engine's prefixes over all sets.
SPREAD = 0x9E3779B97F4A7C15
# An engine of which nothing is known holds about this many prefixes; it
# says how fast new events make up for lost ones.
ASSUMED_HELD = 256
# Below this trust a guess costs more by misplacing than it saves.
LEAST_TRUST = 0.05


class Expected(msgspec.Struct, frozen=True):
    """Prompt tokens that an engine need not compute, and how sure it is."""

    tokens: int = 0
    confidence: float = 0.0

    @property
    def saved(self):
        """Return the tokens that are saved on average."""
        return self.tokens * self.confidence


NOTHING_EXPECTED = Expected()


class _Feed(msgspec.Struct):
    """How well the events of one engine are followed.

    ``salt`` is part of every key of the engine: a new one makes all its
    entries unreachable at once, as a restart does with a cache.
    """

    epoch: int
    salt: int
    next_sequence: int = 0
    held: int = 0
    trust: float = 1.0


class PrefixIndex:
    """Guesses for all engines, in a table of fixed size.

    >>> index = PrefixIndex(entries=64)
    >>> index.dispatched("e1", "ab12", 500)
    >>> index.expected("e1", "ab12").tokens
    500
    """

    __slots__ = (
        "_keys",
        "_tokens",
        "_stamps",
        "_sets",
        "_most",
        "_feeds",
        "_stamp",
        "_salts",
    )

    def __init__(self, entries=DEFAULT_ENTRIES):
        self._most = entries
        self._feeds = {}
        self._stamp = 0
        self._salts = 0
        self._make(min(entries, FIRST_ENTRIES))

    def _make(self, entries):
        self._sets = entries // WAYS
        size = self._sets * WAYS
        self._keys = array.array("Q", bytes(8 * size))
        self._tokens = array.array("I", bytes(4 * size))
        self._stamps = array.array("I", bytes(4 * size))

    def _follow(self, server, feed):
        """Follow another engine, in a larger table where it takes one."""
        self._feeds[server] = feed
        size = self._sets * WAYS
        wanted = len(self._feeds) * ENTRIES_PER_ENGINE
        if size < wanted and size < self._most:
            self._grow(min(size * 2, self._most))

    def _grow(self, entries):
        held = zip(self._keys, self._tokens, self._stamps, strict=True)
        self._make(entries)
        for key, tokens, stamp in held:
            if not key:
                continue
            slot = self._oldest(key)
            self._keys[slot] = key
            self._tokens[slot] = tokens
            self._stamps[slot] = stamp

    def memory_bytes(self):
        """Return the bytes that the table takes."""
        arrays = (self._keys, self._tokens, self._stamps)
        return sum(len(item) * item.itemsize for item in arrays)

    def apply(self, server, batch):
        """Take in a batch of events of ``server``.

        A batch that was seen before, in whole or in part, repeats what it
        said, which does no harm; one of an older epoch is dropped.
        """
        feed = self._feed_at(server, batch.epoch)
        if feed is None:
            return
        last = batch.first_sequence + len(batch.events)
        if last <= feed.next_sequence:
            return
        seen = feed.next_sequence - batch.first_sequence
        if feed.next_sequence:
            self._note_gap(feed, -seen)
        for event in batch.events[max(0, seen) :]:
            self._apply_event(feed, event)
        self._regain(feed, len(batch.events) - max(0, seen))
        feed.next_sequence = last

    def _feed_at(self, server, epoch):
        feed = self._feeds.get(server)
        if feed is None:
            feed = _Feed(epoch, self._new_salt())
            self._follow(server, feed)
        elif epoch < feed.epoch:
            return None
        elif epoch > feed.epoch:
            self._clear(feed)
            feed.epoch = epoch
            feed.next_sequence = 0
        return feed

    def _note_gap(self, feed, lost):
        """Lower the trust by what ``lost`` events may have removed.

        Each lost event is at worst the removal of one held entry.
        """
        if lost <= 0:
            return
        held = max(feed.held, ASSUMED_HELD)
        feed.trust *= 1.0 - min(1.0, lost / held)
        if feed.trust < LEAST_TRUST:
            self._clear(feed)

    def _regain(self, feed, seen):
        """Raise the trust as events replace what the cache held."""
        held = max(feed.held, ASSUMED_HELD)
        feed.trust += (1.0 - feed.trust) * min(1.0, seen / held)

    def _apply_event(self, feed, event):
        if event.kind == "cleared":
            self._clear(feed)
            return
        key = _key(feed, event.prefix_hash)
        if event.kind == "stored":
            feed.held += self._put(key, event.tokens)
        elif event.kind == "removed":
            feed.held -= self._remove(key)

    def _clear(self, feed):
        feed.salt = self._new_salt()
        feed.held = 0
        feed.trust = 1.0

    def _new_salt(self):
        self._salts += 1
        return (self._salts * SPREAD) & KEY_MASK

    def dispatched(self, server, prefix_hash, tokens):
        """Take note that a prompt with this prefix goes to ``server``.

        Its cache event comes late; until then this is the better guess.
        """
        feed = self._feeds.get(server)
        if feed is None:
            feed = _Feed(0, self._new_salt())
            self._follow(server, feed)
        feed.held += self._put(_key(feed, prefix_hash), tokens)

    def expected(self, server, prefix_hash):
        """Return what ``server`` is expected to have of a prefix."""
        feed = self._feeds.get(server)
        if feed is None or not prefix_hash:
            return NOTHING_EXPECTED
        slot = self._find(_key(feed, prefix_hash))
        if slot < 0:
            return NOTHING_EXPECTED
        return Expected(self._tokens[slot], feed.trust)

    def forget(self, server):
        """Drop an engine that is gone."""
        self._feeds.pop(server, None)

    def _find(self, key):
        start = (key % self._sets) * WAYS
        keys = self._keys
        for slot in range(start, start + WAYS):
            if keys[slot] == key:
                return slot
        return -1

    def _put(self, key, tokens):
        """Store an entry and return how many more there are: 0 or 1."""
        slot = self._find(key)
        added = slot < 0
        if added:
            slot = self._oldest(key)
        self._stamp = (self._stamp + 1) & 0xFFFFFFFF
        self._keys[slot] = key
        self._tokens[slot] = min(tokens, 0xFFFFFFFF)
        self._stamps[slot] = self._stamp
        return int(added)

    def _oldest(self, key):
        start = (key % self._sets) * WAYS
        stamps = self._stamps
        return min(range(start, start + WAYS), key=stamps.__getitem__)

    def _remove(self, key):
        slot = self._find(key)
        if slot < 0:
            return 0
        self._keys[slot] = 0
        self._stamps[slot] = 0
        return 1


def _key(feed, prefix_hash):
    """Return the table key of a prefix at one engine; never zero.

    A hash is opaque text of the engine's making, so it is hashed again;
    CRC-32 of both halves is quick and spreads well enough for a guess.
    """
    text = prefix_hash.encode()
    number = zlib.crc32(text) << 32 | zlib.crc32(text[::-1])
    return ((number ^ feed.salt) * SPREAD & KEY_MASK) or 1
