"""Queues a request for another server after its attempt failed, or refuses it.

Nothing here runs the policy: the request component does so afterwards.
"""

import heapq

from .. import sentinels
from . import blocked_requests
from ..decisions import directory
from . import hedges

ENDS_SERVERS = blocked_requests.ENDS_SERVERS
# Delay before a request that a busy server rejected is retried.  Without it
# the request would be resent as fast as the server can reject it.
RETRY_PAUSE_SECONDS = 0.25
# Number of servers that may reject a routed request before it is refused.
MAX_REJECTIONS = 3
# How many peers, and for how long, a request asks for a tunnel.  A peer that
# knows to be cut off as well refuses within a round trip.
MAX_PATH_FAILURES = 8
PATH_SEARCH_SECONDS = 1.0
# Retry-After when servers rejected or failed a routed request: answers take a
# few tenths of a second each, so by then some will have finished.
BUSY_RETRY_SECONDS = 0.5


class RequestRetries:
    """Decides about further attempts; its methods return effects."""

    __slots__ = ("_state", "_policy", "_ends", "_endings", "_delayed")

    def __init__(self, state, policy, ends, endings):
        self._state = state
        self._policy = policy
        self._ends = ends
        self._endings = endings
        self._delayed = []

    def retry(self, request, now, begun=False):
        """Queue a request for another server, or refuse it.

        If the failed attempt may have ``begun``, the retry counts against the
        retry budget of the policy.
        """
        request.work.excluded_servers.add(request.server)
        if self._ends.is_blocked(request.work, now):
            return self._endings.refuse(request, ENDS_SERVERS, now)
        if request.dispatches >= hedges.MAX_ATTEMPTS:
            nothing = sentinels.Nothing(sentinels.Reason.NO_SERVER, 1.0)
            return self._endings.refuse(request, nothing, now)
        if self._avoids_all_servers(request.work):
            # One of them may have recovered by then.
            request.work.excluded_servers.clear()
            self.schedule(request, RETRY_PAUSE_SECONDS, now)
            return []
        if not begun:
            self._policy.requeue(request.work, now)
        else:
            queued = self._policy.retry(request.work, now)
            if not queued:
                return self._endings.refuse(request, queued, now)
        return []

    def retry_through_peer(self, request, now):
        """Queue a request again for which a peer opened no tunnel.

        Its server stays eligible, since another peer may reach it.
        """
        work = request.work
        if self._ends.is_blocked(work, now):
            return self._endings.refuse(request, ENDS_SERVERS, now)
        work.note_path_failure(now)
        searched = now - work.path_search_began
        if (
            work.path_failures >= MAX_PATH_FAILURES
            or searched >= PATH_SEARCH_SECONDS
        ):
            nothing = sentinels.Nothing(sentinels.Reason.NO_SERVER, 1.0)
            return self._endings.refuse(request, nothing, now)
        self._policy.requeue(work, now)
        return []

    def retry_routed(self, request, now, reached_server):
        """Queue a routed request for another server, or refuse it.

        ``reached_server`` tells whether the last attempt reached its server;
        if so, the retry counts against the retry budget.  The route's
        ``max_attempts`` bounds attempts that may have run, and
        ``MAX_REJECTIONS`` those that servers rejected.  Attempts whose server
        was unreachable count against neither.
        """
        work = request.work
        if not self._rests(request.server, now):
            work.excluded_servers.add(request.server)
        if self._ends.is_blocked(work, now):
            return self._endings.refuse(request, ENDS_SERVERS, now)
        rejected = request.servers_reached - request.attempts_begun
        if (
            request.attempts_begun >= work.max_attempts
            or rejected >= MAX_REJECTIONS
        ):
            return self._refuse_after_failures(request, now)
        if not reached_server:
            self._policy.requeue(work, now)
        else:
            queued = self._policy.retry(work, now)
            if not queued:
                return self._endings.refuse(request, queued, now)
        return []

    def _rests(self, name, now):
        """Return whether a server rests; it may take the work afterwards."""
        server = self._state.directory.server(name)
        return server is not None and server.rests(now)

    def _refuse_after_failures(self, request, now):
        nothing = sentinels.Nothing(
            sentinels.Reason.SERVER_FAILED
            if request.attempts_begun
            else sentinels.Reason.ALL_BUSY,
            BUSY_RETRY_SECONDS,
        )
        return self._endings.refuse(request, nothing, now)

    def _avoids_all_servers(self, work):
        servers = directory.eligible_for(self._state.directory, work)
        names = {item.announcement.backend_server for item in servers}
        return names <= work.excluded_servers

    def schedule(self, request, seconds, now):
        """Have a request queued again after ``seconds``."""
        due = min(now + seconds, request.work.deadline)
        heapq.heappush(self._delayed, (due, request.work.request_id))

    def due(self, now):
        """Return the ids of the delayed requests that are due."""
        found = []
        while self._delayed and self._delayed[0][0] <= now:
            found.append(heapq.heappop(self._delayed)[1])
        return found
