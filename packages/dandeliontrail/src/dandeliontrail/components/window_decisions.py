"""Decides when the counts of a usage window are final, and reports them.

This is a scheduler of the duties component.  It guards against a window that
is reported twice with different counts, and against a window that is late
because one instance has not reported.  The quorum log decides each window
exactly once; only then is it sent, and repeated until the platform accepts
it.
"""

from .. import effects
from . import call_scheduler
from ..coordination import member_records
from ..coordination import usage_windows
from . import duties_state

# A window is decided once all instances have reported it completely, but not
# before this time after its end.  Without failures, the last reports have
# arrived by then.
SETTLING_SECONDS = 0.3
# Partitioned or lost instances are waited for during this fraction of the
# time in which a window is due.  The rest is for sending it to the platform.
WAITING_FRACTION = 0.7
# Instances report all their undecided windows to a new holder within this
# time, also through relays.  A holder that takes over late waits for them:
# its predecessor's last call must be over before it may call anyway.
FIRST_REPORTS_SECONDS = 2.0
FAILED = member_records.Standing.FAILED
LEFT = member_records.Standing.LEFT


class WindowDecisions(call_scheduler.CallScheduler):
    """Adds up the reports of instances and has the log decide the sums."""

    def __init__(self, state, propose):
        self._state = state
        self._log = state.log
        self._duties = state.duties
        self._options = state.duties.options
        self._propose = propose
        self._reports = usage_windows.ReportedWindows()
        self._fencing = 0
        self._holder_since = 0.0
        # All that vote or voted on the log, as far as members know them.
        self._keepers = set()
        self._proposal_pending = False
        self._not_before = {}
        self._accepted_windows = set()

    def add_report(self, report):
        """Add the report of an instance."""
        self._reports.merge(report)

    def record_keepers(self):
        """Record who votes on the log, also while this is not the holder.

        A keeper that was replaced serves no callers either, and is probably
        gone: its reports must not be waited for.
        """
        self._keepers.intersection_update(self._state.members.members)
        self._keepers.update(self._log.voter_names())
        self._keepers.update(self._log.former_voter_names())

    def tick(self, now):
        """Propose the counts of the next window that is complete."""
        self._note_takeover(now)
        clock = self._duties.clock
        if not self._options.reports_usage or not clock.known:
            return []
        if self._proposal_pending:
            return []
        moment = clock.at(now)
        decided = self._duties.decided
        self._add_own_report(moment)
        self._reports.remove_decided(
            -1 if decided.last is None else decided.last
        )
        window = self._next_window(moment)
        end = (window + 1) * self._options.window
        ended_ago = moment - end
        if ended_ago < SETTLING_SECONDS:
            return []
        unreported = self._unreported_instances(end, now)
        if unreported and self._may_wait(ended_ago, now):
            return []
        return self._decide(window, ended_ago, unreported, now)

    def _note_takeover(self, now):
        """Record since when this incarnation holds the lease."""
        subject = duties_state.SUBJECT
        fencing = self._state.orders.leases.holding(subject).fencing
        if fencing != self._fencing:
            self._fencing = fencing
            self._holder_since = now

    def _may_wait(self, ended_ago, now):
        if ended_ago < self._options.late * WAITING_FRACTION:
            return True
        return now - self._holder_since < FIRST_REPORTS_SECONDS

    def _decide(self, window, ended_ago, unreported, now):
        counts = self._reports.sums(window)
        self._proposal_pending = True
        decision = usage_windows.WindowDecision(
            window, counts, self._accepted_through(window)
        )
        fields = {
            "window": window,
            "requests": sum(counts.values()),
            "organisations": len(counts),
            "ended_ago": round(ended_ago, 2),
            "untold": unreported[:8],
        }
        return [
            effects.Log("info", "usage window decided", fields),
            *self._propose(decision, now, self._handle_settled),
        ]

    def _handle_settled(self, settled, now):
        self._proposal_pending = False
        return []

    def _add_own_report(self, moment):
        """Add this keeper's own counts, in case it also serves callers."""
        windows = self._duties.counter.open_windows()
        if not windows:
            return
        own = self._state.identity
        self.add_report(duties_state.report_of(own, moment, windows))

    def _next_window(self, moment):
        last = self._duties.decided.last
        if last is not None:
            return last + 1
        present = self._duties.counter.window_at(moment)
        earliest = self._reports.earliest()
        return present if earliest is None else min(present, earliest)

    def _unreported_instances(self, moment, now):
        """Return the instances whose reports up to a moment are missing.

        Keepers serve no callers.  An instance considered failed may be
        partitioned and still be counting, or may have been killed and be
        starting again.  After the time in which a window is due it is
        ignored: it is lost, or its counts would be late in any case.
        """
        return [
            name
            for name, member in self._state.members.members.items()
            if name not in self._keepers
            and member.standing is not LEFT
            and not self._is_lost(member, now)
            and not self._reports.has_reported_until(name, moment)
        ]

    def _is_lost(self, member, now):
        is_recent = now - member.since < self._options.late
        return member.standing is FAILED and not is_recent

    def _accepted_through(self, window):
        """Return the last window up to which the platform has all windows."""
        decided = self._duties.decided
        through = window - 1 if decided.taken is None else decided.taken
        while through + 1 in self._accepted_windows:
            through += 1
        self._accepted_windows = {
            item for item in self._accepted_windows if item > through
        }
        return through

    # -- reporting --------------------------------------------------------

    def next_call(self, now):
        """Return the report that is due, the oldest first."""
        counts = self._duties.decided.counts
        for window in sorted(counts):
            due = self._not_before.get(window, 0.0)
            if window not in self._accepted_windows and now >= due:
                return effects.ReportUsage(window, counts[window])
        return None

    def record_accepted(self, call, now):
        """Record that the platform accepted a report."""
        self._accepted_windows.add(call.window)
        self._not_before.pop(call.window, None)

    def retry_at(self, call, until):
        """Have a window reported again, with the same counts, at ``until``."""
        self._not_before[call.window] = until

    def log_fields(self, call):
        """Return the fields that a log line about a report contains."""
        return {"window": call.window, "requests": sum(call.counts.values())}
