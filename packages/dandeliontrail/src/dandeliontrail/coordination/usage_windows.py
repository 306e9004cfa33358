"""Requests started by each organisation, by time window.

An instance that serves callers counts the requests that were started
(:class:`WindowCounter`) and reports the counts to the instance that holds
the lease for the platform's duties, which adds up all reports
(:class:`ReportedWindows`).  The counts of a window become final through the
quorum log (:class:`DecidedWindows`): the first of several proposals for a
window is accepted, so two lease holders can never report different counts
for the same window.

Window ``k`` begins ``k`` times the window length after the Unix epoch.
"""

import math

import msgspec

from .. import invariants
from . import usage

# Number of decided windows kept until the platform has accepted them; more
# accumulate only if the platform has been unreachable for hours.
MAX_DECIDED_WINDOWS = 2048
# Number of windows that an instance keeps while none can be decided.
MAX_OPEN_WINDOWS = 720


class WindowUse(msgspec.Struct, array_like=True):
    """Number of requests started in a window, by organisation."""

    window: int
    counts: dict[str, int]


class WindowReport(msgspec.Struct, tag="window_report"):
    """Message with the counts of one incarnation of an instance.

    The counts of a window never decrease, so the greater of two is the later
    one.  ``through`` is a wall-clock time in seconds: all requests started
    before it have been counted.  ``partial`` is true if only the windows that
    changed since the last report are in it.
    """

    publisher: usage.Publisher
    through: float
    windows: list[WindowUse]
    partial: bool = False


class WindowDecision(msgspec.Struct, tag="window_decision"):
    """A log entry with the final counts of a window.

    The platform has accepted all windows up to ``taken``.
    """

    window: int
    counts: dict[str, int]
    taken: int


class WindowResult(msgspec.Struct):
    """Result of a log entry: whether it decided its window."""

    decided: bool


class WindowCounter:
    """An instance's own counts, kept until their windows are decided.

    ``seconds`` is the length of a window.
    """

    __slots__ = ("seconds", "_open", "_changed")

    def __init__(self, seconds):
        self.seconds = seconds
        self._open = {}
        self._changed = set()

    def window_at(self, wall_time):
        """Return the number of the window that contains a wall-clock time."""
        return math.floor(wall_time / self.seconds)

    def count(self, organisation, wall_time):
        """Count a request that was started at a wall-clock time."""
        window = self.window_at(wall_time)
        counts = self._open.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + 1
        self._changed.add(window)
        while len(self._open) > MAX_OPEN_WINDOWS:
            self._drop(min(self._open))

    def changed(self):
        """Return the windows whose counts changed since the last call."""
        changed = self._window_uses(self._changed)
        self._changed.clear()
        return changed

    def open_windows(self):
        """Return all windows that are not decided yet."""
        self._changed.clear()
        return self._window_uses(self._open)

    def remove_decided(self, through):
        """Remove all windows up to ``through``, which have been decided.

        Returns how many requests are in those of these windows that changed
        after the last report of this instance.
        """
        settled = [item for item in self._open if item <= through]
        unreported = sum(
            sum(self._open[item].values())
            for item in settled
            if item in self._changed
        )
        for window in settled:
            self._drop(window)
        return unreported

    def _drop(self, window):
        del self._open[window]
        self._changed.discard(window)

    def _window_uses(self, windows):
        return [
            WindowUse(item, dict(self._open[item])) for item in sorted(windows)
        ]


class _Reported(msgspec.Struct):
    """The merged reports of one publisher.

    ``through`` is minus infinity until the first complete report.
    """

    windows: dict
    through: float = float("-inf")


class ReportedWindows:
    """The reports of all instances, as added up by the lease holder."""

    __slots__ = ("_publishers",)

    def __init__(self):
        self._publishers = {}

    def merge(self, report):
        """Merge a report, which may be late or a duplicate.

        The windows that a partial report leaves out may have been reported to
        the former holder only, so the first report that counts is complete.
        """
        reported = self._publishers.get(report.publisher)
        if reported is None:
            reported = _Reported({})
            self._publishers[report.publisher] = reported
        if not report.partial or reported.through > float("-inf"):
            reported.through = max(reported.through, report.through)
        for use in report.windows:
            counts = reported.windows.setdefault(use.window, {})
            for organisation, count in use.counts.items():
                counts[organisation] = max(counts.get(organisation, 0), count)

    def sums(self, window):
        """Return the total counts of a window by organisation."""
        total = {}
        for reported in self._publishers.values():
            for organisation, count in reported.windows.get(
                window, {}
            ).items():
                total[organisation] = total.get(organisation, 0) + count
        return total

    def earliest(self):
        """Return the first window that was reported, or ``None``."""
        windows = [
            window
            for reported in self._publishers.values()
            for window in reported.windows
        ]
        return min(windows, default=None)

    def has_reported_until(self, instance, wall_time):
        """Return whether an instance reported all counts before a time."""
        return any(
            reported.through >= wall_time
            for publisher, reported in self._publishers.items()
            if publisher.instance == instance
        )

    def remove_decided(self, through):
        """Remove all windows up to ``through``, which have been decided.

        Also removes superseded publishers without any other window.
        """
        for publisher, reported in list(self._publishers.items()):
            reported.windows = {
                window: counts
                for window, counts in reported.windows.items()
                if window > through
            }
            if not reported.windows and self._is_superseded(publisher):
                del self._publishers[publisher]

    def _is_superseded(self, publisher):
        return any(
            item.instance == publisher.instance
            and item.incarnation > publisher.incarnation
            for item in self._publishers
        )


class DecidedWindows:
    """The final counts of windows; a pure function of the log.

    ``last`` is the window decided last, and ``taken`` the last one that the
    platform has accepted.
    """

    __slots__ = ("last", "taken", "counts")

    def __init__(self):
        self.last = None
        self.taken = None
        self.counts = {}

    def apply(self, version, decision):
        """Apply the decision at position ``version`` of the log.

        Windows are decided in sequence.  A second proposal for a decided
        window is rejected.
        """
        if self.last is not None and decision.window != self.last + 1:
            return WindowResult(False)
        invariants.check(
            decision.window not in self.counts,
            "a-window-is-decided-once",
            f"{decision.window} at {version}",
        )
        self.last = decision.window
        self.counts[decision.window] = decision.counts
        self._record_accepted(decision.taken)
        while len(self.counts) > MAX_DECIDED_WINDOWS:
            del self.counts[min(self.counts)]
        return WindowResult(True)

    def _record_accepted(self, taken):
        if self.taken is not None:
            taken = max(self.taken, taken)
        self.taken = taken
        for window in [item for item in self.counts if item <= taken]:
            del self.counts[window]

    def snapshot(self):
        """Return the state for a checkpoint."""
        return {
            "last": self.last,
            "taken": self.taken,
            "counts": {
                str(key): counts for key, counts in self.counts.items()
            },
        }

    def restore(self, state):
        """Replace the state by that of a checkpoint."""
        self.last = state["last"]
        self.taken = state["taken"]
        self.counts = {int(key): val for key, val in state["counts"].items()}
