"""How a request ends without a whole answer, and what must hear of it."""

from .. import effects
from . import answers
from ..coordination import claim_entries
from ..decisions import work as work_module
from . import life

Stand = claim_entries.Stand


class Endings:
    """Ends requests: their policy, claims and servers are told.

    ``lives`` are those under way, by request.
    """

    __slots__ = ("_state", "_policy", "_claims", "_hedges", "_lives")

    def __init__(self, state, policy, claimer, hedges, lives):
        self._state = state
        self._policy = policy
        self._claims = claimer
        self._hedges = hedges
        self._lives = lives

    def refuse(self, held, nothing, now, grounds=None):
        """End a request without an answer, as what may have begun says."""
        begun = held.begun > 0
        held.move(life.Phase.UNKNOWN if begun else life.Phase.NOT_RUN)
        work = held.work
        self._lives.pop(work.request_id, None)
        return [
            answers.refusal(work.request_id, nothing, begun=begun),
            self._decision(held, nothing.reason.value, now, grounds),
            *self.end_claim(held, now),
        ]

    def end_claim(self, held, now, answer=None):
        """Tell the claim how the request ended, where it has one.

        A key may be run anew where nothing ran, or where running again
        does no harm.
        """
        if not held.claimed:
            return []
        if held.phase is life.Phase.COMPLETE:
            stand = Stand.HELD
        elif held.phase is life.Phase.UNKNOWN and not held.work.repeatable:
            stand = Stand.UNKNOWN
        else:
            stand = Stand.NOT_RUN
        return self._claims.ended(held.work.request_id, stand, answer, now)

    def stop(self, held, reason, now):
        """Drop a request, wherever it is."""
        request_id = held.work.request_id
        del self._lives[request_id]
        hedge = self._hedges.drop(held, now)
        out = self.cancel(held, hedge.server) if hedge else []
        out.append(effects.Abandon(request_id))
        out.append(self._decision(held, reason, now))
        if held.phase is life.Phase.CLAIMING:
            return out + self._claims.forget(request_id, now)
        if held.phase is life.Phase.QUEUED:
            self._policy.withdraw(request_id)
        else:
            self.release(held, now, wasted=True)
            out.extend(self.cancel(held, held.server))
        begun = held.begun > 0
        held.move(life.Phase.UNKNOWN if begun else life.Phase.NOT_RUN)
        return out + self.end_claim(held, now)

    def release(self, held, now, **how):
        """Tell the policy how the present attempt ended."""
        ended = work_module.Ended(held.work.request_id, held.server, **how)
        self._policy.ended(ended, now)

    def cancel(self, held, name):
        """Have a server stop; routed requests end with their connection."""
        server = self._state.directory.server(name)
        if server is None or held.work.routed:
            return []
        url = server.announcement.url
        return [effects.Cancel(held.work.request_id, url)]

    def _decision(self, held, reason, now, grounds=None):
        inputs = answers.inputs_of(self._state, grounds, held.work, now)
        return answers.decision(held.work, reason, held.server, **inputs)
