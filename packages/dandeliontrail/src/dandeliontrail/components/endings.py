"""Ends requests without a complete answer, and cleans up after them."""

from .. import effects
from . import answers
from ..coordination import claim_entries
from ..decisions import work as work_module
from . import request_lifecycle

ClaimState = claim_entries.ClaimState


class Endings:
    """Ends requests and notifies the policy, the claims and the servers.

    ``lives`` maps request ids to the open requests; it is shared with the
    request component.
    """

    __slots__ = ("_state", "_policy", "_claims", "_hedges", "_lives")

    def __init__(self, state, policy, claimer, hedges, lives):
        self._state = state
        self._policy = policy
        self._claims = claimer
        self._hedges = hedges
        self._lives = lives

    def refuse(self, request, nothing, now, grounds=None):
        """Refuse a request that has no answer.

        The outcome is unknown if an attempt may have begun, else not run.
        """
        begun = request.attempts_begun > 0
        request.transition_to(
            request_lifecycle.Phase.UNKNOWN
            if begun
            else request_lifecycle.Phase.NOT_RUN
        )
        work = request.work
        self._lives.pop(work.request_id, None)
        return [
            answers.refusal(work.request_id, nothing, begun=begun),
            self._decision(request, nothing.reason.value, now, grounds),
            *self.end_claim(request, now),
        ]

    def end_claim(self, request, now, answer=None):
        """Report to the claim, if the request has one, how it ended.

        The key may be run again if nothing ran, or if the request is
        repeatable.
        """
        if not request.holds_key:
            return []
        if request.phase is request_lifecycle.Phase.COMPLETE:
            stand = ClaimState.HELD
        elif (
            request.phase is request_lifecycle.Phase.UNKNOWN
            and not request.work.repeatable
        ):
            stand = ClaimState.UNKNOWN
        else:
            stand = ClaimState.NOT_RUN
        return self._claims.ended(request.work.request_id, stand, answer, now)

    def stop(self, request, reason, now):
        """Stop a request in any phase that is not final."""
        request_id = request.work.request_id
        del self._lives[request_id]
        hedge = self._hedges.drop(request, now)
        out = self.cancel(request, hedge.server) if hedge else []
        out.append(effects.Abandon(request_id))
        out.append(self._decision(request, reason, now))
        if request.phase is request_lifecycle.Phase.CLAIMING:
            return out + self._claims.forget(request_id, now)
        if request.phase is request_lifecycle.Phase.QUEUED:
            self._policy.withdraw(request_id)
        else:
            self.report_attempt_end(request, now, wasted=True)
            out.extend(self.cancel(request, request.server))
        begun = request.attempts_begun > 0
        request.transition_to(
            request_lifecycle.Phase.UNKNOWN
            if begun
            else request_lifecycle.Phase.NOT_RUN
        )
        return out + self.end_claim(request, now)

    def fail(self, request, now):
        """End a request at which this instance failed.

        The embedder, which was told of the failure, answers it.
        """
        self._lives.pop(request.work.request_id, None)
        if request.phase not in request_lifecycle.TERMINAL:
            request.transition_to(
                request_lifecycle.Phase.UNKNOWN
                if request.attempts_begun > 0
                else request_lifecycle.Phase.NOT_RUN
            )
        return self.end_claim(request, now)

    def release(self, request, server, now):
        """Release what the policy holds of a server for a failed dispatch."""
        ended = work_module.AttemptEnd(
            request.work.request_id, server, wasted=True
        )
        self._policy.ended(ended, now)

    def report_attempt_end(self, request, now, **details):
        """Report to the policy how the current attempt ended."""
        ended = work_module.AttemptEnd(
            request.work.request_id, request.server, **details
        )
        self._policy.ended(ended, now)

    def cancel(self, request, server_name):
        """Cancel a request at a server.

        Routed requests need no message: closing the connection ends them.
        """
        server = self._state.directory.server(server_name)
        if server is None or request.work.routed:
            return []
        url = server.announcement.url
        return [effects.Cancel(request.work.request_id, url)]

    def _decision(self, request, reason, now, grounds=None):
        inputs = answers.decision_inputs(
            self._state, grounds, request.work, now
        )
        return answers.decision(request.work, reason, request.server, **inputs)
