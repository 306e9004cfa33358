"""An index of which engine probably has which prompt prefix cached.

Engines publish cache events late and with gaps, so the index holds estimates,
each with a confidence.  It is designed for 250 engines with a few thousand
prefixes each, in 16 MB: a set-associative table of bounded size, in which a
new entry evicts the oldest one of its set.  A dictionary would hold a tenth
of the entries in the same memory and has no bound.

The index prevents prompts from being prefilled twice.  It must not send a
request past an idle engine to one that evicted the prefix long ago, so a gap
in the events lowers the trust in all entries of the engine.
"""

import array
import zlib

import msgspec

# Entries per set (the associativity); with eight it is unlikely that one full
# set evicts entries while others are empty.
WAYS = 8
# The table starts with the first size and doubles as engines are added, up to
# the second: ten engines take half a megabyte, 250 take eight.
INITIAL_ENTRIES = 1 << 15
DEFAULT_MAX_ENTRIES = 1 << 19
ENTRIES_PER_ENGINE = 2048
KEY_BITS = 64
KEY_MASK = (1 << KEY_BITS) - 1
# Multiplier of Fibonacci hashing (Knuth, TAOCP 3, 6.4): spreads the keys of
# one engine's prefixes over all sets.
FIBONACCI_MULTIPLIER = 0x9E3779B97F4A7C15
# An engine is assumed to cache at least this many prefixes, which determines
# how much a lost event lowers the trust and a new one restores it.
MIN_CACHED_PREFIXES = 256
# Below this trust, wrong estimates cost more by bad placement than right ones
# save.
MIN_TRUST = 0.05


class ExpectedHit(msgspec.Struct, frozen=True):
    """Prompt tokens that an engine probably has cached.

    ``confidence`` is the probability of it, from 0 to 1.
    """

    tokens: int = 0
    confidence: float = 0.0

    @property
    def saved(self):
        """The expected number of tokens saved."""
        return self.tokens * self.confidence


NO_HIT = ExpectedHit()


class _EventFeed(msgspec.Struct):
    """The state of one engine's stream of cache events.

    ``salt`` is part of every key of the engine: a new one invalidates all its
    entries at once, as after a restart.  ``next_sequence`` is the sequence
    number expected next, ``entries`` the number of the engine's entries,
    ``trust`` the confidence in them, from 0 to 1.
    """

    epoch: int
    salt: int
    next_sequence: int = 0
    entries: int = 0
    trust: float = 1.0


class PrefixIndex:
    """Estimates for all engines, in a table of bounded size.

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

    def __init__(self, entries=DEFAULT_MAX_ENTRIES):
        self._most = entries
        self._feeds = {}
        self._stamp = 0
        self._salts = 0
        self._allocate(min(entries, INITIAL_ENTRIES))

    def _allocate(self, entries):
        self._sets = entries // WAYS
        size = self._sets * WAYS
        self._keys = array.array("Q", bytes(8 * size))
        self._tokens = array.array("I", bytes(4 * size))
        self._stamps = array.array("I", bytes(4 * size))

    def _add_feed(self, server, feed):
        """Add another engine; grow the table if needed."""
        self._feeds[server] = feed
        size = self._sets * WAYS
        wanted = len(self._feeds) * ENTRIES_PER_ENGINE
        if size < wanted and size < self._most:
            self._grow(min(size * 2, self._most))

    def _grow(self, entries):
        old_entries = zip(self._keys, self._tokens, self._stamps, strict=True)
        self._allocate(entries)
        for key, tokens, stamp in old_entries:
            if not key:
                continue
            slot = self._oldest_slot(key)
            self._keys[slot] = key
            self._tokens[slot] = tokens
            self._stamps[slot] = stamp

    def memory_bytes(self):
        """Return the size of the table in bytes."""
        arrays = (self._keys, self._tokens, self._stamps)
        return sum(len(item) * item.itemsize for item in arrays)

    def apply(self, server, batch):
        """Apply a batch of cache events of ``server``.

        Events that were applied before are skipped, so a repeated batch
        changes nothing; a batch of an older epoch is dropped.
        """
        feed = self._feed_of_epoch(server, batch.epoch)
        if feed is None:
            return
        end = batch.first_sequence + len(batch.events)
        if end <= feed.next_sequence:
            return
        # How many events were applied before; negative if some were lost.
        seen = feed.next_sequence - batch.first_sequence
        if feed.next_sequence:
            self._note_gap(feed, -seen)
        for event in batch.events[max(0, seen) :]:
            self._apply_event(feed, event)
        self._restore_trust(feed, len(batch.events) - max(0, seen))
        feed.next_sequence = end

    def _feed_of_epoch(self, server, epoch):
        """Return the feed of an engine, or ``None`` for an older epoch."""
        feed = self._feeds.get(server)
        if feed is None:
            feed = _EventFeed(epoch, self._new_salt())
            self._add_feed(server, feed)
        elif epoch < feed.epoch:
            return None
        elif epoch > feed.epoch:
            self._clear(feed)
            feed.epoch = epoch
            feed.next_sequence = 0
        return feed

    def _note_gap(self, feed, lost):
        """Lower the trust by what ``lost`` events may have removed.

        Each lost event is at worst the removal of one entry.
        """
        if lost <= 0:
            return
        entries = max(feed.entries, MIN_CACHED_PREFIXES)
        feed.trust *= 1.0 - min(1.0, lost / entries)
        if feed.trust < MIN_TRUST:
            self._clear(feed)

    def _restore_trust(self, feed, applied):
        """Raise the trust by the share of entries that events confirm."""
        entries = max(feed.entries, MIN_CACHED_PREFIXES)
        feed.trust += (1.0 - feed.trust) * min(1.0, applied / entries)

    def _apply_event(self, feed, event):
        if event.kind == "cleared":
            self._clear(feed)
            return
        key = _key(feed, event.prefix_hash)
        if event.kind == "stored":
            feed.entries += self._put(key, event.tokens)
        elif event.kind == "removed":
            feed.entries -= self._remove(key)

    def _clear(self, feed):
        feed.salt = self._new_salt()
        feed.entries = 0
        feed.trust = 1.0

    def _new_salt(self):
        self._salts += 1
        return (self._salts * FIBONACCI_MULTIPLIER) & KEY_MASK

    def dispatched(self, server, prefix_hash, tokens):
        """Record that a prompt with this prefix was sent to ``server``.

        The prefix counts as cached before its cache event arrives.
        """
        feed = self._feeds.get(server)
        if feed is None:
            feed = _EventFeed(0, self._new_salt())
            self._add_feed(server, feed)
        feed.entries += self._put(_key(feed, prefix_hash), tokens)

    def expected(self, server, prefix_hash):
        """Return what ``server`` probably has cached of a prefix.

        The result is an :class:`ExpectedHit`.
        """
        feed = self._feeds.get(server)
        if feed is None or not prefix_hash:
            return NO_HIT
        slot = self._find_slot(_key(feed, prefix_hash))
        if slot < 0:
            return NO_HIT
        return ExpectedHit(self._tokens[slot], feed.trust)

    def forget(self, server):
        """Drop the state of an engine that is gone."""
        self._feeds.pop(server, None)

    def _find_slot(self, key):
        """Return the slot of a key, or -1."""
        start = (key % self._sets) * WAYS
        keys = self._keys
        for slot in range(start, start + WAYS):
            if keys[slot] == key:
                return slot
        return -1

    def _put(self, key, tokens):
        """Store an entry; return 1 if it is new, else 0."""
        slot = self._find_slot(key)
        is_new = slot < 0
        if is_new:
            slot = self._oldest_slot(key)
        self._stamp = (self._stamp + 1) & 0xFFFFFFFF
        self._keys[slot] = key
        self._tokens[slot] = min(tokens, 0xFFFFFFFF)
        self._stamps[slot] = self._stamp
        return int(is_new)

    def _oldest_slot(self, key):
        """Return the slot of the oldest entry in the set of a key."""
        start = (key % self._sets) * WAYS
        stamps = self._stamps
        return min(range(start, start + WAYS), key=stamps.__getitem__)

    def _remove(self, key):
        """Remove an entry; return 1 if there was one, else 0."""
        slot = self._find_slot(key)
        if slot < 0:
            return 0
        self._keys[slot] = 0
        self._stamps[slot] = 0
        return 1


def _key(feed, prefix_hash):
    """Return the table key of a prefix at one engine; never zero.

    ``prefix_hash`` is opaque text chosen by the engine, so it is hashed
    again.  CRC-32 of the text and of its reverse is fast and spreads well
    enough for an estimate.
    """
    text = prefix_hash.encode()
    number = zlib.crc32(text) << 32 | zlib.crc32(text[::-1])
    return ((number ^ feed.salt) * FIBONACCI_MULTIPLIER & KEY_MASK) or 1
