"""Decides about queued work that no server may take now.

Servers may be unreachable, rest, or run another software version than the work
needs.  The work waits for a while that its deadline leaves, and is refused
with the time after which it may return.
"""

import collections

from .. import sentinels
from . import version_choice
from . import work as work_module

# The Retry-After of a refusal for want of a usable server: about the time in
# which a server restarts.
NO_SERVER_RETRY_SECONDS = 1.0
# How long work waits for a server to become usable again before it is
# refused: most backoffs are over by then, and little of the work's latency
# target is used up.
NO_SERVER_WAIT_SECONDS = 0.3
# How much later callers return after a rest for each step of priority.
RETURN_STEP_SECONDS = 0.2
# Queued work is refused once less than this is left until its deadline: the
# time that a short answer takes on a lightly loaded engine.
MIN_SERVICE_SECONDS = 0.5
# Queued work is also refused once the queue ahead of it takes more than this
# fraction of its remaining time: its own answer takes time too, and the
# placement rate is only an estimate.
MAX_QUEUE_TIME_FRACTION = 0.7


class UnplaceableWork:
    """Has work wait or refuses it.

    ``usable`` are the :class:`.usable_servers.UsableServerLists` and ``queue``
    the queued work by request.  ``held_for_rest`` counts by service the
    requests that had to wait, or were refused, since servers rest.
    """

    def __init__(self, usable, queue):
        self._usable = usable
        self._queue = queue
        self.held_for_rest = collections.Counter()

    def _others(self):
        return len(self._queue) - 1

    def decide(self, work, servers, now, hedge=False):
        """Refuse work that no server may take now, or leave it queued."""
        rest = self._usable.rest_of(work, servers, now)
        if rest is not None:
            decision = self._decide_in_rest(work, rest, now, hedge)
            if decision is None or rest.is_sole_reason:
                return decision
        if work.software_version is not None and not hedge:
            return self._decide_without_version(work, servers, now)
        waited = now - max(work.received, work.held_at or 0.0)
        wait = NO_SERVER_WAIT_SECONDS
        if work.begins_stream and self._usable.exist_of_any_version(
            work, servers, now
        ):
            wait = version_choice.wait_seconds(work)
        if waited < wait and len(work.excluded_servers) < len(servers):
            return None
        return self.refusal(work, sentinels.Reason.NO_SERVER, servers)

    def _decide_in_rest(self, work, rest, now, hedge):
        """Have work wait for the end of a rest, or refuse it.

        It is refused at once, with the time until then, if too little of its
        own would be left.  The less urgent come back later.
        """
        if work.held_at is None:
            self.held_for_rest[work.service] += 1
        work.held_at = now
        wait = rest.until - now
        left = work.deadline - now - MIN_SERVICE_SECONDS
        if hedge or wait <= left * MAX_QUEUE_TIME_FRACTION:
            return None
        wait += work.priority * RETURN_STEP_SECONDS
        nothing = sentinels.Nothing(sentinels.Reason.SERVERS_REST, wait)
        grounds = work_module.DecisionInputs(
            need=work.prompt_tokens, waiting=self._others()
        )
        return work_module.Refusal(work, nothing, grounds)

    def _decide_without_version(self, work, servers, now):
        """Decide about a stream whose version no usable server runs.

        A server that is the last of its version is asked again, though an
        attempt there has failed: a reset connection is no lost server.  It
        must have announced itself since, for it may be back with other
        software under its name.
        """
        serving = version_choice.serving(work, servers, now)
        if not serving:
            return self.refusal(work, sentinels.Reason.NO_VERSION, servers)
        if work.excluded_servers.issuperset(serving):
            work.excluded_servers.difference_update(
                name
                for name, server in serving.items()
                if server.heard_at > work.queued_at
            )
        since = work.queued_at if work.is_continuing else work.received
        since = max(since, work.held_at or 0.0)
        if now - since < version_choice.wait_seconds(work):
            return None
        return self.refusal(work, sentinels.Reason.NO_SERVER, servers)

    def refusal(self, work, reason, servers):
        """Return the refusal of work for want of a server."""
        retry_after = NO_SERVER_RETRY_SECONDS
        if reason is sentinels.Reason.NO_VERSION:
            retry_after = None
        nothing = sentinels.Nothing(reason, retry_after)
        grounds = work_module.DecisionInputs(
            usable=len(servers), waiting=self._others()
        )
        return work_module.Refusal(work, nothing, grounds)
