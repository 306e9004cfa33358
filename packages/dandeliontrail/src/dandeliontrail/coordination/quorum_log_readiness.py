"""Readiness: when a starting instance may serve requests.

An instance without a disk starts with an empty state.  If it served from the
first state that it received, this could be older than the state its failure
domain already had, and a deleted request class would be served again.  So it
waits until it has everything that was committed before it started or, without
contact with a majority, until it has caught up with every reachable instance.
"""

# With a quorum, a confirmation arrives within one or two heartbeats.  Without
# one, all reachable instances have been queried several times by then.
NO_QUORUM_TIMEOUT_SECONDS = 4.0
QUERY_INTERVAL_SECONDS = 0.3
# Just after the start, the keepers are queried more often than the others:
# they are the first to learn of a confirmation, and callers wait for it.
KEEPER_QUERY_INTERVAL_SECONDS = 0.05
KEEPER_QUERY_PERIOD_SECONDS = 2.0


class Readiness:
    """Decides when this instance becomes ready, which it then stays."""

    def __init__(self, core, freshness, catch_up, neighbours):
        self._core = core
        self._freshness = freshness
        self._catch_up = catch_up
        self._neighbours = neighbours
        self._started_at = None
        self._next_query_at = float("-inf")
        self._next_keeper_query_at = float("-inf")
        self._query_sent_at = {}
        self._answered_by = set()
        self.ready = False

    def record_start(self, now):
        """Record the start time at the first call."""
        if self._started_at is None:
            self._started_at = now

    def handle_answer(self, name, message):
        """Process the answer of ``name`` to a query of this start."""
        sent_at = self._query_sent_at.get(message.ask)
        if self.ready or sent_at is None:
            return
        self._answered_by.add(name)
        self._freshness.record_proven(
            message.proven_ago, message.applied, sent_at
        )

    def next_query(self, now):
        """Return the id of a query to all instances, or 0 if not due.

        The id is random, so that an answer to a query of an earlier start is
        not mistaken for one of this start.
        """
        if self.ready or now < self._next_query_at:
            return 0
        self._next_query_at = now + QUERY_INTERVAL_SECONDS
        return self._new_query(now)

    def next_keeper_query(self, now):
        """Return the id of a query to the keepers only, or 0 if not due."""
        early = (
            self._started_at is None
            or now - self._started_at < KEEPER_QUERY_PERIOD_SECONDS
        )
        if self.ready or not early or now < self._next_keeper_query_at:
            return 0
        self._next_keeper_query_at = now + KEEPER_QUERY_INTERVAL_SECONDS
        return self._new_query(now)

    def _new_query(self, now):
        query_id = self._core.rng.getrandbits(48) + 1
        self._query_sent_at[query_id] = now
        return query_id

    def tick(self, now):
        """Update the readiness; return whether it was just reached."""
        self.record_start(now)
        if self.ready:
            return False
        self.ready = self._is_current() or self._matches_reachable(now)
        return self.ready

    def _is_current(self):
        """Return whether all entries committed before the start are here."""
        return self._freshness.proven.at >= self._started_at

    def _matches_reachable(self, now):
        core = self._core
        if (
            now - self._started_at < NO_QUORUM_TIMEOUT_SECONDS
            or not core.log_id
        ):
            return False
        alive = self._neighbours.alive(now)
        if not alive <= self._answered_by:
            return False
        return core.commit >= self._catch_up.highest_applied(alive)
