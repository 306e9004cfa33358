"""The component that calls the platform, on one keeper at a time.

Who that is, the quorum log decides (:mod:`..coordination.leases`): a keeper
that holds the lease keeps it while it is heard of, and after it the leader
of the log takes over.  The lease is renewed only where there is something to
do, so that an idle system writes nothing to the log.

Guards: two holders that act against each other or by turns (the lease, its
wait and its fencing number), a window that is reported twice with different
counts (the log decides each window once, and only then is it sent), a call
that was lost (repeated, as it was decided), a platform that only some
keepers reach (the lease is handed over).
"""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import leases
from ..coordination import member_records
from ..coordination import usage
from ..coordination import usage_windows
from . import duties_state
from . import server_orders

# A window is decided once everybody told all of it, and no sooner than this
# after its end, by when the last tellings of a calm moment have come.
SETTLING = 0.3
# Instances that are cut off, or gone, are waited for this part of the time
# in which a window is due; the rest is for its way to the platform.
WAITING_PART = 0.7
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
    """Holds the lease, decides windows and makes the calls."""

    def __init__(self, state):
        self._state = state
        self._log = state.log
        self._duties = state.duties
        self._options = state.duties.options
        self._lease = state.duties.lease
        self._reported = usage_windows.ReportedWindows()
        self._proposals = 0
        self._deciding = False
        self._calling = None
        self._next_call = {}
        self._taken = set()
        self._unanswered_since = None
        self._seen = None
        self._leads_since = None
        self._servers = server_orders.ServerOrders(state, self._propose)
        duties_state.register(state.log, state.duties)

    def handlers(self):
        """Return the handlers of reports and of the platform's answers."""
        return {
            events.DutyAnswered: self._answered,
            usage_windows.WindowReport: self._told,
        }

    def tick(self, now):
        """Do what is due, where this instance is the one to do it."""
        if not self._options.any or not self._is_keeper():
            return []
        self._note_leading(now)
        out = self._follow_holding()
        if not self._is_ours(now):
            return out
        if self._holds():
            out.extend(self._decide(now))
            out.extend(self._order_servers(now))
        call = self._next(now)
        if call is not None or not self._holds():
            out.extend(self._renew(now))
        if call is not None and self._may_call(now):
            out.append(self._perform(call))
        return out

    # -- who acts ---------------------------------------------------------

    def _is_keeper(self):
        own = self._state.identity.instance
        return any(item.name == own for item in self._log.voters)

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
        """Tell whether a holder is not heard of, as the leader knows it.

        Keepers hear of one another through the log's messages, which go
        between the leader and each other one: who has just begun to lead
        has heard nothing of the holder yet.
        """
        member = self._state.members.members.get(holder)
        if member is None or member.standing is LEFT:
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
        if self._lease.asking() or not self._lease.renewal_due(now):
            return []
        request = self._lease.ask(self._holding(), now)
        return self._propose(request, now, self._leased)

    def _leased(self, settled, now):
        self._lease.answered(settled.result, now)
        return []

    def _propose(self, entry, now, settled):
        own = self._state.identity
        self._proposals += 1
        proposal_id = (
            f"duties/{own.instance}/{own.incarnation}/{self._proposals}"
        )
        return self._log.propose(entry, proposal_id, now, settled)

    def _may_call(self, now):
        return self._calling is None and self._lease.may_order(
            self._options.checks_fencing, now
        )

    # -- windows of usage -------------------------------------------------

    def _told(self, source, message, now):
        if self._holds():
            self._reported.merge(message)
        return []

    def _decide(self, now):
        """Propose the counts of the next window that is complete."""
        clock = self._duties.clock
        if self._deciding or not self._options.reports_usage:
            return []
        if not clock.known:
            return []
        decided = self._duties.decided
        self._tell_itself(clock.at(now))
        self._reported.settle(-1 if decided.last is None else decided.last)
        window = self._next_window(clock.at(now))
        ended = clock.at(now) - (window + 1) * self._options.window
        if ended < SETTLING:
            return []
        untold = self._untold((window + 1) * self._options.window)
        if untold and ended < self._options.late * WAITING_PART:
            return []
        counts = self._reported.sums(window)
        self._deciding = True
        decision = usage_windows.WindowDecision(
            window, counts, self._taken_through(window)
        )
        fields = {
            "window": window,
            "requests": sum(counts.values()),
            "organisations": len(counts),
            "ended_ago": round(ended, 2),
            "untold": untold[:8],
        }
        return [
            effects.Log("info", "usage window decided", fields),
            *self._propose(decision, now, self._window_settled),
        ]

    def _tell_itself(self, moment):
        """Take in what began here, where a keeper serves callers too."""
        windows = self._duties.counter.open_windows()
        if not windows:
            return
        own = self._state.identity
        publisher = usage.Publisher(own.instance, own.incarnation)
        self._reported.merge(
            usage_windows.WindowReport(publisher, moment, windows)
        )

    def _next_window(self, moment):
        last = self._duties.decided.last
        if last is not None:
            return last + 1
        present = self._duties.counter.window_at(moment)
        earliest = self._reported.earliest()
        return present if earliest is None else min(present, earliest)

    def _untold(self, moment):
        """Return who may have counted before a moment and has not told.

        Keepers serve no callers.  An instance that is taken for failed may
        be cut off and count on, or it was killed and starts again.
        """
        keepers = {item.name for item in self._log.voters}
        return [
            name
            for name, member in self._state.members.members.items()
            if name not in keepers
            and member.standing is not LEFT
            and not self._reported.told_through(name, moment)
        ]

    def _window_settled(self, settled, now):
        self._deciding = False
        return []

    def _taken_through(self, window):
        """Return the last window of those taken without a gap."""
        decided = self._duties.decided
        through = window - 1 if decided.taken is None else decided.taken
        while through + 1 in self._taken:
            through += 1
        self._taken = {item for item in self._taken if item > through}
        return through

    def _order_servers(self, now):
        if not self._options.orders_servers:
            return []
        return self._servers.tick(now)

    # -- calls ------------------------------------------------------------

    def _next(self, now):
        """Return the call that is due, or ``None``."""
        if not self._holds():
            return None
        for window in sorted(self._duties.decided.counts):
            if window in self._taken:
                continue
            if now >= self._next_call.get(window, 0.0):
                counts = self._duties.decided.counts[window]
                return effects.ReportUsage(window, counts)
        return self._servers.next(now)

    def _perform(self, call):
        self._calling = call
        return effects.PerformDuty(call, self._lease.grant.fencing)

    def _answered(self, event, now):
        self._calling = None
        call = event.call
        fields = {
            "fencing": event.fencing,
            "answer": event.answer.value,
            "detail": event.detail,
            **_told_of(call),
        }
        if event.answer is Answer.TAKEN:
            self._unanswered_since = None
            self._took(call, now)
            return [effects.Log("info", "platform called", fields)]
        if event.answer is Answer.REFUSED:
            self._unanswered_since = None
            self._put_off(call, now + REFUSED_REPEAT_AFTER)
            return [effects.Log("warning", "platform refused a call", fields)]
        self._put_off(call, now + REPEAT_AFTER)
        out = [effects.Log("warning", "platform not reached", fields)]
        if event.answer is Answer.NO_ANSWER:
            out.extend(self._note_unanswered(now))
        return out

    def _took(self, call, now):
        if isinstance(call, effects.SetServerCount):
            self._servers.took(call, now)
            return
        self._taken.add(call.window)
        self._next_call.pop(call.window, None)

    def _put_off(self, call, until):
        if isinstance(call, effects.SetServerCount):
            self._servers.put_off(call, until)
            return
        self._next_call[call.window] = until

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
        keepers = {item.name for item in self._log.voters}
        found = [
            member
            for member in self._state.members.alive(now)
            if member.instance in keepers
        ]
        domain = self._state.identity.failure_domain
        found.sort(key=lambda item: item.failure_domain == domain)
        return found[0] if found else None


def _told_of(call):
    """Return the fields of the log line about a call."""
    if isinstance(call, effects.SetServerCount):
        group = call.group
        return {
            "service": group.service,
            "failure_domain": group.failure_domain,
            "spot": group.spot,
            "count": call.count,
        }
    return {"window": call.window, "requests": sum(call.counts.values())}


def _no_effects(settled, now):
    return []
