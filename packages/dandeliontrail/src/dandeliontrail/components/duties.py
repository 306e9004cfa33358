"""The component that calls the platform, on one keeper at a time.

Who that is, the quorum log decides (:mod:`..coordination.leases`): a keeper
that holds the lease keeps it while it is heard of, and after it the leader
of the log takes over.  The lease is renewed only where there is something to
do, so that an idle system writes nothing to the log.

Guards: two holders that act against each other or by turns (the lease, its
wait and its fencing number), a call that was lost (made again), a platform
that only some keepers reach (the lease is handed over).  What is called, and
when, is for the parts: :mod:`.window_decisions` and :mod:`.server_orders`.
"""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import leases
from ..coordination import member_records
from ..coordination import usage_windows
from . import duties_state
from . import proposer
from . import server_orders
from . import window_decisions

# A call without an answer is made again after this long.
REPEAT_AFTER = 0.5
# What the platform refuses may be had later: servers of a kind of which there
# are none at the moment.
REFUSED_REPEAT_AFTER = 2.0
# After so long without any answer another keeper may reach the platform.
HAND_OVER_AFTER = 3.0
# The leader takes over from a holder that was not heard of for this long.
# Two heartbeats a second and more come from a keeper that is well.
HOLDER_SILENT_AFTER = 2.0
LEFT = member_records.Standing.LEFT
Answer = events.DutyAnswer


class Duties(interfaces.Component):
    """Holds the lease and makes the calls of its parts."""

    def __init__(self, state):
        self._state = state
        self._log = state.log
        self._options = state.duties.options
        self._lease = state.duties.lease
        self._proposer = proposer.Proposer(state, "duties")
        self._propose = self._proposer.propose
        self._calling = False
        self._unanswered_since = None
        self._seen = None
        self._leads_since = None
        self._windows = window_decisions.WindowDecisions(state, self._propose)
        self._servers = server_orders.ServerOrders(state, self._propose)
        # Reports have a time by which they are due, so they go first.
        self._parts = {
            effects.ReportUsage: self._windows,
            effects.SetServerCount: self._servers,
        }
        duties_state.register(state.log, state.duties)

    def handlers(self):
        """Return the handlers of reports and of the platform's answers."""
        return {
            events.DutyAnswered: self._answered,
            usage_windows.WindowReport: self._told,
        }

    def tick(self, now):
        """Do what is due, where this instance is the one to do it."""
        self._servers.lives(now)
        own = self._state.identity.instance
        if not self._options.any or not self._is_keeper(own):
            return []
        self._note_leading(now)
        out = self._follow_holding()
        if not self._is_ours(now):
            return out
        if not self._holds():
            return out + self._renew(now)
        for part in self._parts.values():
            out.extend(part.tick(now))
        call = self._next(now)
        if call is not None:
            out.extend(self._renew(now))
            if self._may_call(now):
                out.append(self._perform(call))
        return out

    def _told(self, source, message, now):
        if self._holds():
            self._windows.told(message)
        return []

    # -- who acts ---------------------------------------------------------

    def _is_keeper(self, name):
        return name in self._log.voter_names()

    def _holding(self):
        return self._state.orders.leases.holding(duties_state.SUBJECT)

    def _holds(self):
        """Tell whether the log names this start of this instance."""
        own = self._state.identity
        holding = self._holding()
        return (
            holding.holder == own.instance
            and holding.incarnation == own.incarnation
        )

    def _is_ours(self, now):
        """Tell whether this instance should act, or ask to."""
        if self._log.stale(now) or not self._log.ready:
            return False
        own = self._state.identity.instance
        holder = self._holding().holder
        if holder == own:
            return True
        return self._leads_since is not None and self._is_gone(holder, now)

    def _note_leading(self, now):
        own = self._state.identity.instance
        if self._log.leader(now) != own:
            self._leads_since = None
        elif self._leads_since is None:
            self._leads_since = now

    def _is_gone(self, holder, now):
        """Tell whether a holder is no keeper or not heard of by the leader.

        One that is a keeper no more may be well, and does not act.  Keepers
        hear of one another through the log's messages, which go between the
        leader and each other one: who has just begun to lead has heard
        nothing of the holder yet.
        """
        member = self._state.members.members.get(holder)
        if member is None or member.standing is LEFT:
            return True
        if not self._is_keeper(holder):
            return True
        heard = max(member.heard, self._leads_since)
        return now - heard >= HOLDER_SILENT_AFTER

    def _follow_holding(self):
        """Log a new holder, and drop what only the one before may do."""
        holding = self._holding()
        self._lease.superseded(holding)
        if holding.fencing == self._seen:
            return []
        self._seen = holding.fencing
        fields = {
            "holder": holding.holder,
            "fencing": holding.fencing,
            "own": self._holds(),
        }
        return [effects.Log("info", "platform duties are held", fields)]

    def _renew(self, now):
        return self._proposer.renew(
            self._lease, self._holding(), now, self._leased
        )

    def _leased(self, settled, now):
        self._lease.answered(settled.result, now)
        return []

    def _may_call(self, now):
        return not self._calling and self._lease.may_order(
            self._options.checks_fencing, now
        )

    # -- calls ------------------------------------------------------------

    def _next(self, now):
        """Return the call that is due, or ``None``."""
        for part in self._parts.values():
            call = part.next(now)
            if call is not None:
                return call
        return None

    def _perform(self, call):
        self._calling = True
        return effects.PerformDuty(call, self._lease.grant.fencing)

    def _answered(self, event, now):
        self._calling = False
        call = event.call
        part = self._parts[type(call)]
        fields = {
            "fencing": event.fencing,
            "answer": event.answer.value,
            "detail": event.detail,
            **part.fields(call),
        }
        if event.answer is Answer.TAKEN:
            self._unanswered_since = None
            part.took(call, now)
            return [effects.Log("info", "platform called", fields)]
        if event.answer is Answer.REFUSED:
            self._unanswered_since = None
            part.put_off(call, now + REFUSED_REPEAT_AFTER)
            return [effects.Log("warning", "platform refused a call", fields)]
        part.put_off(call, now + REPEAT_AFTER)
        out = [effects.Log("warning", "platform not reached", fields)]
        if event.answer is Answer.NO_ANSWER:
            out.extend(self._note_unanswered(now))
        return out

    def _note_unanswered(self, now):
        """Hand the lease to another keeper after a while without answers."""
        if self._unanswered_since is None:
            self._unanswered_since = now
        if now - self._unanswered_since < HAND_OVER_AFTER:
            return []
        self._unanswered_since = None
        successor = self._successor(now)
        if successor is None or not self._holds():
            return []
        request = leases.LeaseRequest(
            duties_state.SUBJECT,
            successor.instance,
            successor.incarnation,
            self._holding().fencing,
        )
        fields = {"to": successor.instance, "fencing": request.replaces}
        return [
            effects.Log("warning", "platform duties handed over", fields),
            *self._propose(request, now, _no_effects),
        ]

    def _successor(self, now):
        """Return a keeper in another failure domain, if there is any."""
        keepers = self._log.voter_names()
        found = [
            member
            for member in self._state.members.alive(now)
            if member.instance in keepers
        ]
        domain = self._state.identity.failure_domain
        found.sort(key=lambda item: item.failure_domain == domain)
        return found[0] if found else None


def _no_effects(settled, now):
    return []
