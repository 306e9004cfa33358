"""The component that calls the platform, on one keeper at a time.

The calls to the platform are its *duties*.  Only the keeper that holds the
lease for them makes them; the quorum log decides which keeper that is
(:mod:`..coordination.leases`).  A holder keeps the lease as long as it is
heard from; otherwise the leader of the log takes over.  The lease is renewed
only when there is a call to make, so that an idle system writes nothing to
the log.

It guards against these failures:

- Two holders that contradict each other or alternate: the lease, the wait of
  a new holder and the fencing number prevent it.
- A lost call: it is repeated.
- A platform that only some keepers can reach: the lease is handed over.

Which calls are made, and when, is decided by the schedulers in
:mod:`.window_decisions` and :mod:`.server_orders`.
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

# A call without an answer is repeated after this time.
NO_ANSWER_RETRY_SECONDS = 0.5
# A refused call is repeated after this time.  The platform may accept it
# later, for example once servers of a kind are available again.
REFUSED_RETRY_SECONDS = 2.0
# After this time without any answer, the lease is handed to another keeper,
# which may be able to reach the platform.
HAND_OVER_AFTER_SECONDS = 3.0
# The leader takes over from a holder that was not heard from for this long.
# A healthy keeper sends at least two heartbeats per second.
HOLDER_SILENT_AFTER_SECONDS = 2.0
LEFT = member_records.Standing.LEFT
Answer = events.DutyAnswer


class Duties(interfaces.Component):
    """Holds the lease and makes the calls that its schedulers request."""

    def __init__(self, state):
        self._state = state
        self._log = state.log
        self._options = state.duties.options
        self._lease = state.duties.lease
        self._proposer = proposer.Proposer(state, "duties")
        self._propose = self._proposer.propose
        self._call_in_flight = False
        self._unanswered_since = None
        self._logged_fencing = None
        self._leader_since = None
        self._windows = window_decisions.WindowDecisions(state, self._propose)
        self._servers = server_orders.ServerOrders(state, self._propose)
        # Usage reports have a deadline, so they go first.
        self._schedulers = {
            effects.ReportUsage: self._windows,
            effects.SetServerCount: self._servers,
        }
        duties_state.register(state.log, state.duties)

    def handlers(self):
        """Return the handlers of usage reports and platform answers."""
        return {
            events.DutyAnswered: self._handle_answer,
            usage_windows.WindowReport: self._handle_window_report,
        }

    def tick(self, now):
        """Make the calls that are due if this instance should make them."""
        self._servers.record_running(now)
        own = self._state.identity.instance
        if not self._options.any or not self._is_keeper(own):
            return []
        self._windows.record_keepers()
        self._track_leadership(now)
        out = self._log_new_holder()
        if not self._should_act(now):
            return out
        if not self._is_holder():
            return out + self._renew_lease(now)
        for scheduler in self._schedulers.values():
            out.extend(scheduler.tick(now))
        call = self._next_call(now)
        if call is not None:
            out.extend(self._renew_lease(now))
            if self._may_call(now):
                out.append(self._start_call(call))
        return out

    def _handle_window_report(self, source, message, now):
        if self._is_holder():
            self._windows.add_report(message)
        return []

    # -- the holder -------------------------------------------------------

    def _is_keeper(self, name):
        return name in self._log.voter_names()

    def _current_holding(self):
        return self._state.orders.leases.holding(duties_state.SUBJECT)

    def _is_holder(self):
        """Return whether this incarnation of this instance holds the lease."""
        own = self._state.identity
        holding = self._current_holding()
        return (
            holding.holder == own.instance
            and holding.incarnation == own.incarnation
        )

    def _should_act(self, now):
        """Return whether this instance should act or ask for the lease."""
        if self._log.stale(now) or not self._log.ready:
            return False
        own = self._state.identity.instance
        holder = self._current_holding().holder
        if holder == own:
            return True
        return self._leader_since is not None and self._is_lost(holder, now)

    def _track_leadership(self, now):
        own = self._state.identity.instance
        if self._log.leader(now) != own:
            self._leader_since = None
        elif self._leader_since is None:
            self._leader_since = now

    def _is_lost(self, holder, now):
        """Return whether the leader should replace a holder.

        This is so when the holder is no longer a keeper or is silent.  A
        former keeper may be healthy, but does not act.  Keepers hear from
        one another through the log's messages, which go only between the
        leader and each other keeper.  A new leader has therefore not heard
        from the holder yet, and counts silence from its own election.
        """
        member = self._state.members.members.get(holder)
        if member is None or member.standing is LEFT:
            return True
        if not self._is_keeper(holder):
            return True
        heard = max(member.heard, self._leader_since)
        return now - heard >= HOLDER_SILENT_AFTER_SECONDS

    def _log_new_holder(self):
        """Log a change of holder and give up a superseded lease."""
        holding = self._current_holding()
        self._lease.superseded(holding)
        if holding.fencing == self._logged_fencing:
            return []
        self._logged_fencing = holding.fencing
        fields = {
            "holder": holding.holder,
            "fencing": holding.fencing,
            "own": self._is_holder(),
        }
        return [effects.Log("info", "platform duties are held", fields)]

    def _renew_lease(self, now):
        return self._proposer.renew(
            self._lease,
            self._current_holding(),
            now,
            self._handle_lease_result,
        )

    def _handle_lease_result(self, settled, now):
        self._lease.answered(settled.result, now)
        return []

    def _may_call(self, now):
        return not self._call_in_flight and self._lease.may_order(
            self._options.checks_fencing, now
        )

    # -- calls ------------------------------------------------------------

    def _next_call(self, now):
        """Return the call that is due, or ``None``."""
        for scheduler in self._schedulers.values():
            call = scheduler.next_call(now)
            if call is not None:
                return call
        return None

    def _start_call(self, call):
        self._call_in_flight = True
        return effects.PerformDuty(call, self._lease.grant.fencing)

    def _handle_answer(self, event, now):
        self._call_in_flight = False
        call = event.call
        scheduler = self._schedulers[type(call)]
        fields = {
            "fencing": event.fencing,
            "answer": event.answer.value,
            "detail": event.detail,
            **scheduler.log_fields(call),
        }
        if event.answer is Answer.TAKEN:
            self._unanswered_since = None
            scheduler.record_accepted(call, now)
            return [effects.Log("info", "platform called", fields)]
        if event.answer is Answer.REFUSED:
            self._unanswered_since = None
            scheduler.retry_at(call, now + REFUSED_RETRY_SECONDS)
            return [effects.Log("warning", "platform refused a call", fields)]
        scheduler.retry_at(call, now + NO_ANSWER_RETRY_SECONDS)
        out = [effects.Log("warning", "platform not reached", fields)]
        if event.answer is Answer.NO_ANSWER:
            out.extend(self._hand_over_if_unreachable(now))
        return out

    def _hand_over_if_unreachable(self, now):
        """Hand the lease over after ``HAND_OVER_AFTER_SECONDS`` unanswered."""
        if self._unanswered_since is None:
            self._unanswered_since = now
        if now - self._unanswered_since < HAND_OVER_AFTER_SECONDS:
            return []
        self._unanswered_since = None
        successor = self._choose_successor(now)
        if successor is None or not self._is_holder():
            return []
        request = leases.LeaseRequest(
            duties_state.SUBJECT,
            successor.instance,
            successor.incarnation,
            self._current_holding().fencing,
        )
        fields = {"to": successor.instance, "fencing": request.replaces}
        return [
            effects.Log("warning", "platform duties handed over", fields),
            *self._propose(request, now, _no_effects),
        ]

    def _choose_successor(self, now):
        """Return a live keeper, preferably in another failure domain."""
        keepers = self._log.voter_names()
        candidates = [
            member
            for member in self._state.members.alive(now)
            if member.instance in keepers
        ]
        domain = self._state.identity.failure_domain
        candidates.sort(key=lambda item: item.failure_domain == domain)
        return candidates[0] if candidates else None


def _no_effects(settled, now):
    return []
