"""One account of the bytes that an instance holds for its clients.

A limit for each request bounds no sum: sixty bodies inside the limit take
sixty times as much.  So whatever is held for a client is taken from one
account before it is read, and given back once it is gone.

Large holds may use a part of the account only, so that small requests always
find room.  The later the stage, the more room there is: a server has worked
on an answer already, and what was begun should be finished first.

When there is no room, those that hold most for the least progress are cut:
bodies that come too slowly, then answers that their callers do not take.  A
whole request is never cut.  If nobody is slow, whoever asks finds no room, so
that the others proceed and soon give back what they hold.

>>> account = HeldBytes(capacity=1024 * 1024)
>>> hold = account.open(Stage.BODY)
>>> hold.resize(400_000, now=0.0)
True
>>> account.open(Stage.BODY).resize(400_000, now=0.0)
False
>>> hold.close()
>>> account.total
0
"""

import enum

from .. import invariants

# A hold of this size or less may use the whole account; most requests are
# far smaller.
SMALL_BYTES = 64 * 1024
# Progress counts half as much after each of these spans.
HALF_LIFE_SECONDS = 0.5
# A hold may be cut if its recent progress is below this fraction of it: 1.7 s
# after its last byte, or at a rate below 0.14 of it a second.
SLOW_FRACTION = 0.1


class Stage(enum.Enum):
    """What is held.

    ``BODY`` is a body that is being read, ``REQUEST`` a whole one until its
    request has ended; ``ANSWER`` is an answer that is being read from a
    server, ``DELIVERY`` one that its caller takes; ``PEER`` is a message of
    another instance that is being read.
    """

    BODY = "body"
    REQUEST = "request"
    ANSWER = "answer"
    DELIVERY = "delivery"
    PEER = "peer"


# The fraction of the account up to which a large hold may grow.
LARGE_FRACTIONS = {
    Stage.BODY: 0.5,
    Stage.REQUEST: 0.5,
    Stage.ANSWER: 0.75,
    Stage.DELIVERY: 0.75,
    Stage.PEER: 0.875,
}
# Who may be cut: for a large body, and for all else.
_BODY_VICTIMS = (Stage.BODY,)
_VICTIMS = (Stage.BODY, Stage.PEER, Stage.DELIVERY)
# Whose growth is progress.
_READ_STAGES = (Stage.BODY, Stage.PEER)


class Hold:
    """What one client's request holds in one stage.

    ``on_cut`` is called without arguments if the hold is cut.  It holds
    nothing from then on.
    """

    __slots__ = (
        "_account",
        "on_cut",
        "_recent",
        "_noted_at",
        "stage",
        "size",
        "is_cut",
    )

    def __init__(self, account, stage, on_cut):
        self._account = account
        self.on_cut = on_cut
        self._recent = 0.0
        self._noted_at = 0.0
        self.stage = stage
        self.size = 0
        self.is_cut = False

    def resize(self, size, now):
        """Hold ``size`` bytes in all; return whether there is room.

        Without room nothing changes.  ``now`` is in seconds.  What a body
        grows by counts as its progress.
        """
        return self._account.resize(self, size, now)

    def note_progress(self, size, now):
        """Record that ``size`` more bytes came, or were taken."""
        self._recent = self.recent(now) + size
        self._noted_at = now

    def recent(self, now):
        """Return the progress in bytes, older ones counted less."""
        spans = max(0.0, now - self._noted_at) / HALF_LIFE_SECONDS
        return self._recent * 0.5**spans

    def enter(self, stage):
        """Go on to another stage with what is held."""
        self._account.enter(self, stage)

    def cut(self):
        """Give everything back, and have its owner end it."""
        self.close()
        self.is_cut = True
        if self.on_cut is not None:
            self.on_cut()

    def close(self):
        """Give back everything; may be called again."""
        self._account.close(self)


class HeldBytes:
    """The account; ``capacity`` is in bytes.

    ``cuts`` counts the holds that were cut, by :class:`Stage`.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.total = 0
        self.by_stage = dict.fromkeys(Stage, 0)
        self.cuts = dict.fromkeys(Stage, 0)
        # Large ones, and small ones that have grown at least once.
        self._holds = set()

    def open(self, stage, on_cut=None):
        """Return a new :class:`Hold` of nothing."""
        return Hold(self, stage, on_cut)

    def resize(self, hold, size, now):
        """See :meth:`Hold.resize`."""
        invariants.check(not hold.is_cut, "a-cut-hold-takes-nothing", size)
        more = size - hold.size
        if more > 0 and not self._has_room(hold, size, now):
            return False
        self._add(hold, more)
        if more > 0 and hold.stage in _READ_STAGES:
            hold.note_progress(more, now)
        return True

    def enter(self, hold, stage):
        """See :meth:`Hold.enter`."""
        self.by_stage[hold.stage] -= hold.size
        hold.stage = stage
        self.by_stage[stage] += hold.size

    def close(self, hold):
        """See :meth:`Hold.close`."""
        self._add(hold, -hold.size)

    def _add(self, hold, more):
        hold.size += more
        self.total += more
        self.by_stage[hold.stage] += more
        if hold.size:
            self._holds.add(hold)
        else:
            self._holds.discard(hold)
        invariants.check(
            0 <= self.total <= self.capacity,
            "held-bytes-stay-within-the-account",
            self.total,
        )

    def limit_of(self, stage, size):
        """Return up to how many bytes in all a hold of ``size`` may grow."""
        if size <= SMALL_BYTES:
            return self.capacity
        return int(self.capacity * LARGE_FRACTIONS[stage])

    def _has_room(self, hold, size, now):
        """Return whether a hold may grow, once slow ones are cut for it."""
        limit = self.limit_of(hold.stage, size)
        if size > limit:
            return False
        excess = self.total + size - hold.size - limit
        if excess > 0:
            for victim in self._victims(hold, size, excess, now):
                self.cuts[victim.stage] += 1
                victim.cut()
        return self.total + size - hold.size <= limit

    def _victims(self, hold, size, excess, now):
        """Return slow holds that free ``excess``, none if they cannot."""
        is_large_body = hold.stage is Stage.BODY and size > SMALL_BYTES
        stages = _BODY_VICTIMS if is_large_body else _VICTIMS
        slow = [
            item
            for item in self._holds
            if item is not hold
            and item.stage in stages
            and item.recent(now) < SLOW_FRACTION * item.size
        ]
        slow.sort(key=lambda item: (stages.index(item.stage), -item.size))
        victims = []
        for item in slow:
            victims.append(item)
            excess -= item.size
            if excess <= 0:
                return victims
        return []
