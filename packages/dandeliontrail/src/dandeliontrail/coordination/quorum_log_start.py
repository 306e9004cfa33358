"""When a starting instance may serve.

A diskless instance starts with nothing.  If it served from the first state
that it came by, that could be older than what its failure domain already
had: a class that was deleted would be served again.  So it waits until it
has all that was committed after it started; cut off from the majority, until
it has caught up with everyone whom it can reach.
"""

# A confirmation arrives within a heartbeat or two where there is a quorum.
# Without one, everyone reachable has been asked several times by then.
CUT_OFF_AFTER = 4.0
ASK_INTERVAL = 0.3
# The keepers are asked more often than all others, for so long after the
# start: what a majority confirmed after the start is with them first, and
# callers wait for it.
KEEPERS_INTERVAL = 0.05
KEEPERS_SECONDS = 2.0


class Start:
    """Decides once when this instance is ready."""

    def __init__(self, core, freshness, catch_up, neighbours):
        self._core = core
        self._freshness = freshness
        self._catch_up = catch_up
        self._neighbours = neighbours
        self._began = None
        self._next_ask = float("-inf")
        self._next_keepers = float("-inf")
        self._asked = {}
        self._answered = set()
        self.ready = False

    def begin(self, now):
        """Take note of when the instance started."""
        if self._began is None:
            self._began = now

    def hear(self, name, message):
        """Take in the answer of ``name`` to a question of this start."""
        asked_at = self._asked.get(message.ask)
        if self.ready or asked_at is None:
            return
        self._answered.add(name)
        self._freshness.prove(message.proven_ago, message.applied, asked_at)

    def asks(self, now):
        """Return the number of a question to everyone, or zero.

        It is drawn at random, so that an answer to an earlier start of
        this instance is not taken for one to this start.
        """
        if self.ready or now < self._next_ask:
            return 0
        self._next_ask = now + ASK_INTERVAL
        return self._new_question(now)

    def asks_keepers(self, now):
        """Return the number of a question to the keepers alone, or zero."""
        early = self._began is None or now - self._began < KEEPERS_SECONDS
        if self.ready or not early or now < self._next_keepers:
            return 0
        self._next_keepers = now + KEEPERS_INTERVAL
        return self._new_question(now)

    def _new_question(self, now):
        ask = self._core.rng.getrandbits(48) + 1
        self._asked[ask] = now
        return ask

    def tick(self, now):
        """Become ready where that is right; return whether it just did."""
        self.begin(now)
        if self.ready:
            return False
        self.ready = self._current() or self._as_good_as_any(now)
        return self.ready

    def _current(self):
        """Tell whether all that was committed at the start is here."""
        return self._freshness.proven.at >= self._began

    def _as_good_as_any(self, now):
        core = self._core
        if now - self._began < CUT_OFF_AFTER or not core.log_id:
            return False
        alive = self._neighbours.alive(now)
        if not alive <= self._answered:
            return False
        return core.commit >= self._catch_up.most(alive)
