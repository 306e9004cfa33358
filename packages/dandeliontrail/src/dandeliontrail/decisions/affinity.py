"""Which model engine takes a request, by the prompt parts it may hold.

Most of a long prompt is shared with other prompts, and an engine that has
read a shared part keeps it for a while.  Reading 13,000 tokens anew takes an
engine 0.2 s, in which all streams beside it stand still.  So requests go to
an engine that holds their shared parts, unless it has clearly more to do
than another.  Parts that nobody has read yet go where there is room, and
where that is alike everywhere, in the order of a hash that every instance
computes alike, so that two instances seldom send one part to two engines.

Streams whose events must follow one another closely suffer from any prompt
that is read beside them.  They get a part of the engines to themselves, and
the long prompts the rest.  The part grows where close streams are most of the
work, or many of the engines are lost, and the long prompts leave room for it.
"""

import hashlib
import math

# The part of a service's engines that streams with the shortest pauses get
# usually, and the most that they get: their prompts are short, so a few
# engines serve many of them, and each one is missing where the long prompts
# are kept.
CLOSE_PART = 0.2
MOST_CLOSE_PART = 0.5
# An engine is kept for so many close streams, in parts of its slots.  More,
# and their own prompts, read beside them, make their pauses long; then they
# last longer too, and another engine is kept.
CLOSE_SLOTS_PART = 0.5
# A kept engine is given back once one fewer would be filled to this part.
GIVE_BACK_PART = 0.8
# No more than the usual part is kept while the others have so many prompt
# tokens to read each: long prompts would wait for what close streams gain.
PRESSED_TOKENS = 8000.0
# How often the number is looked at, and over how many seconds the streams are
# averaged: long prompts that move are read again.
RESIZE_INTERVAL = 0.5
RESIZE_SECONDS = 3.0
# Routes whose longest pause is within this factor of the shortest count as
# close.
CLOSE_FACTOR = 1.25
# What one running request adds to the cost of an engine, in prompt tokens:
# its share in the time of a step, over a second or so.
TOKENS_PER_RUNNING = 150.0
# What an engine that always fails would cost beyond its load: more than any
# prompt, so that it gets next to nothing.
TOKENS_PER_FAILURE = 20_000.0
# Long prompts that share a part choose among so many engines, the first two
# in the order of a hash.  With all engines to choose from, many instances that
# hear of one another's work late send each part to whichever engine seemed
# idle last, and all engines read the same parts again
# (``tests.common.prompt_world`` plays it).
HOMES = 2
# An engine that lacks shared parts counts as having so many times their
# tokens to do.  It is taken where the one that holds them is more than a
# second of reading behind: less, and both soon hold and read the same.
ANEW_FACTOR = 10.0
# What one place further in the order of the hash costs, so that instances
# that know of no holder yet agree on one.
PLACE_TOKENS = 300.0
# What it costs a close stream to leave the engines kept for it: the prompts
# of eight others.
LEAVE_TOKENS = 12_000.0
# What the way to another failure domain costs, in prompt tokens: 20 to 60 ms
# of an engine's reading, so that it decides between engines that have about
# as much to do.  The bytes of answers between domains are dear, and a cut
# that comes between takes the answer.
AWAY_TOKENS = 3_000.0
# What it costs to be sent to an engine whose slots are all taken: as much as
# to leave the engines kept for close streams, and a step more for each
# request that waits there before.  Made for a burst of close streams, which
# fill the engines kept for them while the others have half of their slots
# free.
FULL_TOKENS = 12_000.0
TOKENS_PER_WAITING = 1_000.0


def full_cost(running, slots):
    """Return what the wait for a slot costs, in prompt tokens."""
    waiting = running + 1 - slots
    if waiting <= 0:
        return 0.0
    return FULL_TOKENS + waiting * TOKENS_PER_WAITING


def rank(key, names):
    """Return ``names`` in the order in which they take work for ``key``.

    A name more or less moves only the keys that it is first for (Thaler and
    Ravishankar, "Using name-based mappings to increase hit rates", 1998).
    """

    def weight(name):
        text = f"{key} {name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(names, key=weight)


def shared_key(parts):
    """Return what the prompts that share most have in common, or ''."""
    if len(parts) < 2:
        return ""
    return parts[-2][0]


class Groups:
    """Divides the engines of one service between close and other streams.

    >>> groups = Groups()
    >>> groups.follow("s", [f"e{number}" for number in range(20)])
    >>> len(groups.members(close=False))
    16
    >>> for second in range(60):
    ...     groups.resize(lambda name: 40, lambda name: 0, 64, float(second))
    >>> len(groups.members(close=False))
    10
    """

    __slots__ = (
        "_names",
        "_order",
        "_kept",
        "_count",
        "_under_way",
        "_next_resize",
        "_ranks",
    )

    def __init__(self):
        self._names = None
        self._order = []
        self._kept = frozenset()
        self._count = None
        self._under_way = None
        self._next_resize = 0.0
        self._ranks = {}

    def follow(self, service, names):
        """Take note of the engines there are."""
        if names == self._names:
            return
        self._names = names
        self._order = rank(service, names)
        if self._count is None and len(names) > 1:
            self._count = self._usual()
        self._divide()

    def _divide(self):
        kept = 0
        if len(self._order) > 1:
            kept = min(self._count, self._most())
        self._kept = frozenset(self._order[:kept])
        self._ranks = {}

    def resize(self, running, unread, slots, now):
        """Keep as many engines as the close streams under way need.

        ``running`` and ``unread`` tell how many requests an engine has, and
        how many prompt tokens to read, by its name; ``slots`` is how many
        requests it may run.  More engines are kept at once, down to the
        usual part they are given back one after the other.
        """
        if now < self._next_resize or not self._kept:
            return
        self._next_resize = now + RESIZE_INTERVAL
        count = len(self._kept)
        room = slots * CLOSE_SLOTS_PART
        if self._under_way is None:
            self._under_way = count * room
        under_way = sum(running(name) for name in self._kept)
        weight = RESIZE_INTERVAL / RESIZE_SECONDS
        self._under_way += weight * (under_way - self._under_way)
        if self._under_way > count * room:
            if not self._pressed(unread):
                self._count = math.ceil(self._under_way / room)
        elif self._under_way < (count - 1) * room * GIVE_BACK_PART:
            self._count = count - 1
        self._count = min(max(self._count, self._usual()), self._most())
        if self._count != count:
            self._divide()

    def _usual(self):
        return max(1, round(len(self._order) * CLOSE_PART))

    def _most(self):
        return max(1, int(len(self._order) * MOST_CLOSE_PART))

    def _pressed(self, unread):
        """Tell whether the engines of long prompts have much to read."""
        others = self.members(close=False)
        to_read = sum(unread(name) for name in others)
        return to_read > PRESSED_TOKENS * len(others)

    def members(self, close):
        """Return the engines of a group.

        Close streams may go to all engines: their cost leads them to their
        own part while it has room.
        """
        if close:
            return self._order
        return [name for name in self._order if name not in self._kept]

    def is_kept(self, name):
        """Tell whether an engine is kept for close streams."""
        return name in self._kept

    def ranked(self, key, close):
        """Return the engines of a group in the order for ``key``."""
        held = self._ranks.get((key, close))
        if held is None:
            held = rank(key, self.members(close))
            if len(self._ranks) > 4096:
                self._ranks.clear()
            self._ranks[(key, close)] = held
        return held


def is_close(pause, shortest):
    """Tell whether a stream with ``pause`` is among the closest."""
    return 0 < pause <= shortest * CLOSE_FACTOR
