"""When the counts of a window of usage become final, and are reported.

A part of the duties component.  Guards: a window that is reported twice with
different counts (the log decides each window once, and only then is it sent,
as often as it takes), and a window that is late for want of one instance.
"""

from .. import effects
from ..coordination import member_records
from ..coordination import usage_windows
from . import duties_state
from . import duty_part

# A window is decided once everybody told all of it, and no sooner than this
# after its end, by when the last tellings of a calm moment have come.
SETTLING = 0.3
# Instances that are cut off, or gone, are waited for this part of the time
# in which a window is due; the rest is for its way to the platform.
WAITING_PART = 0.7
FAILED = member_records.Standing.FAILED
LEFT = member_records.Standing.LEFT


class WindowDecisions(duty_part.DutyPart):
    """Adds up what instances told, and has the log decide it."""

    def __init__(self, state, propose):
        self._state = state
        self._log = state.log
        self._duties = state.duties
        self._options = state.duties.options
        self._propose = propose
        self._reported = usage_windows.ReportedWindows()
        self._deciding = False
        self._next_call = {}
        self._taken = set()

    def told(self, report):
        """Take in what an instance told."""
        self._reported.merge(report)

    def tick(self, now):
        """Propose the counts of the next window that is complete."""
        clock = self._duties.clock
        if not self._options.reports_usage or not clock.known:
            return []
        if self._deciding:
            return []
        moment = clock.at(now)
        decided = self._duties.decided
        self._tell_itself(moment)
        self._reported.settle(-1 if decided.last is None else decided.last)
        window = self._next_window(moment)
        end = (window + 1) * self._options.window
        ended_ago = moment - end
        if ended_ago < SETTLING:
            return []
        untold = self._untold(end, now)
        if untold and ended_ago < self._options.late * WAITING_PART:
            return []
        return self._decide(window, ended_ago, untold, now)

    def _decide(self, window, ended_ago, untold, now):
        counts = self._reported.sums(window)
        self._deciding = True
        decision = usage_windows.WindowDecision(
            window, counts, self._taken_through(window)
        )
        fields = {
            "window": window,
            "requests": sum(counts.values()),
            "organisations": len(counts),
            "ended_ago": round(ended_ago, 2),
            "untold": untold[:8],
        }
        return [
            effects.Log("info", "usage window decided", fields),
            *self._propose(decision, now, self._settled),
        ]

    def _settled(self, settled, now):
        self._deciding = False
        return []

    def _tell_itself(self, moment):
        """Take in what began here, where a keeper serves callers too."""
        windows = self._duties.counter.open_windows()
        if not windows:
            return
        own = self._state.identity
        self.told(duties_state.report_of(own, moment, windows))

    def _next_window(self, moment):
        last = self._duties.decided.last
        if last is not None:
            return last + 1
        present = self._duties.counter.window_at(moment)
        earliest = self._reported.earliest()
        return present if earliest is None else min(present, earliest)

    def _untold(self, moment, now):
        """Return who may have counted before a moment and has not told.

        Keepers serve no callers.  An instance that is taken for failed may
        be cut off and count on, or it was killed and starts again; after a
        while it is gone, or what it counts is late in any case.
        """
        keepers = self._log.voter_names()
        return [
            name
            for name, member in self._state.members.members.items()
            if name not in keepers
            and member.standing is not LEFT
            and not self._is_gone(member, now)
            and not self._reported.told_through(name, moment)
        ]

    def _is_gone(self, member, now):
        lately = now - member.since < self._options.late
        return member.standing is FAILED and not lately

    def _taken_through(self, window):
        """Return the last window of those taken without a gap."""
        decided = self._duties.decided
        through = window - 1 if decided.taken is None else decided.taken
        while through + 1 in self._taken:
            through += 1
        self._taken = {item for item in self._taken if item > through}
        return through

    # -- reporting --------------------------------------------------------

    def next(self, now):
        """Return the report that is due, the oldest first."""
        counts = self._duties.decided.counts
        for window in sorted(counts):
            due = self._next_call.get(window, 0.0)
            if window not in self._taken and now >= due:
                return effects.ReportUsage(window, counts[window])
        return None

    def took(self, call, now):
        """Take note that the platform has a report."""
        self._taken.add(call.window)
        self._next_call.pop(call.window, None)

    def put_off(self, call, until):
        """Report a window again at ``until``, with the same counts."""
        self._next_call[call.window] = until

    def fields(self, call):
        """Return what the log says of a report."""
        return {"window": call.window, "requests": sum(call.counts.values())}
