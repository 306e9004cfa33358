"""Polling the keepers for a guaranteed bound on the age of the local state.

An age received in a message is too low by the transit time of the message,
and a message that sat in a socket buffer during a partition may have taken
seconds.  Some instances must refuse to act on old state: a revoked key must
stop working even on a partitioned instance.  Such an instance polls the
keepers continuously and counts the age from the time of its request.

The leader answers with the last confirmation by a majority, and the other
keepers poll the leader.  All other instances poll a keeper in their own
failure domain.  Its bound is older by the age of its own request, but still
correct.  Otherwise, with two hundred instances, the leader would receive four
hundred requests a second.  If the local keeper is slow, partitioned or down,
the leader is polled, and if the leader does not answer, any other keeper.
"""

from . import quorum_log_core as core_module

# Short enough that the age stays below the strictest limit in use, about
# 1.5 s, even if one request is lost.
QUERY_INTERVAL_SECONDS = 0.5
# Unanswered requests that are remembered.  The answer to an older one would
# give no useful bound.
MAX_PENDING_QUERIES = 16
# A local keeper polls twice a second itself, so its bound is above this only
# after a lost request, or if it does not reach the leader.
MAX_LOCAL_PROOF_AGE_SECONDS = 1.0
# The local keeper is not polled for this long if it did not answer or if its
# bound was too old: a partition between failure domains lasts some seconds.
LOCAL_KEEPER_BACKOFF_SECONDS = 3.0


class FreshnessPolling:
    """Polls keepers for their progress and records the proven age."""

    def __init__(self, core, freshness, neighbours, enabled):
        self._core = core
        self._freshness = freshness
        self._neighbours = neighbours
        self._enabled = enabled
        self._query_sent_at = {}
        self._next_query_at = float("-inf")
        self._last_answered = True
        self._local_keeper = ""
        self._local_retry_at = float("-inf")

    def next_query(self, leader, now):
        """Return the keeper to poll now as ``(name, query_id)``.

        Returns ``None`` if no poll is due or no keeper is known.
        """
        core = self._core
        if not self._enabled or now < self._next_query_at:
            return None
        if core.role is core_module.Role.LEADER or not core.log_id:
            return None
        self._next_query_at = now + QUERY_INTERVAL_SECONDS
        name = self._choose_keeper(leader, now)
        if not name:
            return None
        query_id = core.rng.getrandbits(48) + 1
        self._query_sent_at[query_id] = now
        while len(self._query_sent_at) > MAX_PENDING_QUERIES:
            del self._query_sent_at[next(iter(self._query_sent_at))]
        self._last_answered = False
        return name, query_id

    def _choose_keeper(self, leader, now):
        """Choose a local keeper, else the leader, else any keeper.

        One that did not answer the last request is passed over.
        """
        core = self._core
        names = [
            item.name for item in core.log.voters if item.name != core.name
        ]
        if self._local_keeper and not self._last_answered:
            self._avoid_local_keeper(now)
            self._last_answered = True
        self._local_keeper = (
            "" if core.is_voter() else self._pick_local_keeper(names, now)
        )
        if self._local_keeper:
            return self._local_keeper
        if leader in names and self._last_answered:
            return leader
        reachable = self._neighbours.alive(now)
        candidates = [name for name in names if name in reachable] or names
        return self._core.rng.choice(candidates) if candidates else ""

    def _pick_local_keeper(self, names, now):
        """Return a keeper of the local failure domain to poll, or ''."""
        if now < self._local_retry_at:
            return ""
        local = [name for name in names if self._neighbours.same_domain(name)]
        return self._core.rng.choice(local) if local else ""

    def _avoid_local_keeper(self, now):
        self._local_retry_at = now + LOCAL_KEEPER_BACKOFF_SECONDS

    def handle_answer(self, message):
        """Process an answer to one of the pending requests."""
        sent_at = self._query_sent_at.pop(message.ask, None)
        if sent_at is None:
            return
        self._last_answered = True
        if (
            self._local_keeper
            and not 0.0 <= message.proven_ago <= MAX_LOCAL_PROOF_AGE_SECONDS
        ):
            self._avoid_local_keeper(sent_at)
        self._freshness.record_proven(
            message.proven_ago, message.applied, sent_at
        )
