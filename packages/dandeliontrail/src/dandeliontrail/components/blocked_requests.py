"""Ends the requests that are blocked, wherever they are at that moment."""

from .. import effects
from .. import sentinels
from . import answers
from . import request_lifecycle

# Sent to callers whose request repeatedly crashed its backend servers.  A
# resend is refused too, so the delay is long: only an operator can unblock the
# request sooner.
ENDS_SERVERS = sentinels.Nothing(sentinels.Reason.ENDS_SERVERS, 60.0)


class BlockedRequests:
    """Ends blocked requests; ``lives`` are the open requests by id."""

    __slots__ = ("_policy", "_ends", "_endings", "_hedges", "_lives")

    def __init__(self, policy, ends, endings, hedges, lives):
        self._policy = policy
        self._ends = ends
        self._endings = endings
        self._hedges = hedges
        self._lives = lives

    def end_newly_blocked(self, now):
        """End unanswered requests that were blocked since the last call.

        A request is blocked when several servers crashed while running it, or
        others with a part of its prompt.  One that waits at a server is
        withdrawn before it starts there.
        """
        if not self._ends.take_changed():
            return []
        out = []
        for request in list(self._lives.values()):
            if not self._ends.is_blocked(request.work, now):
                continue
            if request.hedge is not None:
                self._ends.record_withdrawn(request.hedge, now)
            out.extend(self._hedges.withdraw(request, now))
            if request.phase is request_lifecycle.Phase.QUEUED:
                self._policy.withdraw(request.work.request_id)
                out.extend(self._endings.refuse(request, ENDS_SERVERS, now))
            elif (
                request.phase in request_lifecycle.AWAITING_OUTPUT
                and request_lifecycle.is_stoppable(request.work)
            ):
                out.extend(self._cut_off(request, now))
        return out

    def _cut_off(self, request, now):
        self.record_withdrawn(request, now)
        begun = request.attempts_begun > 0
        request_id = request.work.request_id
        refusal = answers.refusal(request_id, ENDS_SERVERS, begun=begun)
        reason = ENDS_SERVERS.reason.value
        return [effects.CutOff(refusal)] + self._endings.stop(
            request, reason, now
        )

    def record_withdrawn(self, request, now):
        """Record that no answer is awaited any more, if none has begun."""
        if request.phase in request_lifecycle.AWAITING_OUTPUT:
            self._ends.record_withdrawn(request, now)
