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


class Start:
    """Decides once when this instance is ready."""

    def __init__(self, core, freshness, catch_up, neighbours):
        self._core = core
        self._freshness = freshness
        self._catch_up = catch_up
        self._neighbours = neighbours
        self._began = None
        self._next_ask = float("-inf")
        self._answered = set()
        self.ready = False

    def begin(self, now):
        """Take note of when the instance started."""
        if self._began is None:
            self._began = now

    def hear(self, name):
        """Take note that ``name`` said how far it is."""
        if not self.ready:
            self._answered.add(name)

    def asks(self, now):
        """Tell whether everyone should be asked how far they are."""
        if self.ready or now < self._next_ask:
            return False
        self._next_ask = now + ASK_INTERVAL
        return True

    def tick(self, now):
        """Become ready where that is right; return whether it just did."""
        self.begin(now)
        if self.ready:
            return False
        self.ready = self._current() or self._as_good_as_any(now)
        return self.ready

    def _current(self):
        """Tell whether all that was committed at the start is here."""
        return self._freshness.confirmed >= self._began

    def _as_good_as_any(self, now):
        core = self._core
        if now - self._began < CUT_OFF_AFTER or not core.log_id:
            return False
        alive = self._neighbours.alive(now)
        if not alive <= self._answered:
            return False
        return core.commit >= self._catch_up.most(alive)
