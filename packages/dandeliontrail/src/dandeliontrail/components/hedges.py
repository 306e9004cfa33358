"""Hedged attempts for repeatable requests whose server is silent.

A silent server may still answer, so its attempt is cancelled only once the
hedge produces output.  Until then the request has two attempts, each counted
as load on its own server.  State shared by both, such as the number of servers
reached, is kept in :mod:`.request_lifecycle`.
"""

from .. import effects
from ..decisions import work as work_module

# Maximum number of servers for a repeatable request: if one attempt in twenty
# fails, four failures in a row happen once in 160,000 requests.
MAX_ATTEMPTS = 4
# Delay before the next hedge after a server rejected one.  It doubles with
# each further rejection during the same silence.
REJECTED_BACKOFF_SECONDS = 0.25


class Hedges:
    """Requests, replaces and drops hedged attempts."""

    __slots__ = ("_policy", "_ends")

    def __init__(self, policy, ends):
        self._policy = policy
        self._ends = ends

    def seek(self, request, not_before):
        """Ask the policy for a second server, if one more is allowed.

        The policy does not place the hedge before ``not_before``.
        """
        work = request.work
        if request.seeking_hedge or request.hedge is not None:
            return
        limit = work.max_attempts or MAX_ATTEMPTS
        if not work.repeatable or request.attempts_begun >= limit:
            return
        if self._ends.is_blocked(work, not_before):
            return
        work.excluded_servers.add(request.server)
        work.rejected_by.discard(request.server)
        request.seeking_hedge = True
        self._policy.seek(work, not_before)

    def drop(self, request, now):
        """Drop the hedge and return it, or ``None`` if none was sent.

        A pending search for a second server is cancelled too.
        """
        self._stop_seeking(request)
        request.hedges_rejected = 0
        hedge, request.hedge = request.hedge, None
        if hedge is not None:
            self._report_end(request, hedge.server, now, wasted=True)
        return hedge

    def withdraw(self, request, now):
        """Drop the hedge by the reducer's own decision; return the effects."""
        hedge = self.drop(request, now)
        if hedge is None:
            return []
        return [effects.Withdraw(request.work.request_id, hedge.number)]

    def promote(self, request, now):
        """Keep only the hedge, since it produced output first.

        Returns the silent server, whose attempt is to be cancelled.
        """
        silent_server = request.server
        request.promote_hedge()
        self._report_end(
            request, silent_server, now, failed=True, overtaken=True
        )
        return silent_server

    def continue_with_hedge(self, request):
        """Promote the hedge after the first attempt ended.

        Returns whether there was one; otherwise the search for it stops.
        """
        if request.hedge is not None:
            request.promote_hedge()
            return True
        self._stop_seeking(request)
        return False

    def not_begun(self, request, event, now):
        """Handle a hedge that did not begin, and look for another server.

        The rejecting server is tried again only once no other one is left.
        """
        if not event.gone:
            request.work.rejected_by.add(request.hedge.server)
        pause = 0.0
        if event.server_said:
            backoff_factor = 2.0**request.hedges_rejected
            pause = max(
                event.retry_after, REJECTED_BACKOFF_SECONDS * backoff_factor
            )
        request.mark_hedge_not_begun()
        self._seek_next(
            request,
            now,
            pause,
            **end_of(event),
        )

    def failed(self, request, event, now):
        """Handle a failed hedge, and look for another server."""
        self._ends.record_failed_attempt(request.hedge, event, now)
        self._seek_next(request, now)

    def _stop_seeking(self, request):
        if request.seeking_hedge:
            request.seeking_hedge = False
            self._policy.stop_seeking(request.work.request_id)

    def _seek_next(self, request, now, pause=0.0, **details):
        hedge, request.hedge = request.hedge, None
        request.work.excluded_servers.add(hedge.server)
        self._report_end(request, hedge.server, now, failed=True, **details)
        self.seek(request, now + pause)

    def _report_end(self, request, server, now, **details):
        ended = work_module.AttemptEnd(
            request.work.request_id, server, **details
        )
        self._policy.ended(ended, now)


def end_of(not_begun):
    """Return what an ``events.NotBegun`` says of the end of its attempt.

    These are fields of :class:`.work.AttemptEnd`.
    """
    return {
        "refused": not_begun.server_said,
        "unreachable": not (not_begun.server_said or not_begun.rests),
        "withheld": not_begun.rests,
        "gone": not_begun.gone,
        "path_failure": not_begun.path_failure,
    }
