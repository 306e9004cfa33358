"""What organisations began to run in each window of the time of day.

An instance that serves callers counts what its requests began
(:class:`WindowCounter`) and tells the holder of the platform's duties, which
adds up what all of them told (:class:`ReportedWindows`).  The counts of a
window become final through the quorum log (:class:`DecidedWindows`): of
several proposals for a window the first is taken, so that two holders can
never report one window differently.

Window ``k`` begins ``k`` times the length of a window after 1970.
"""

import math

import msgspec

from .. import invariants
from . import usage

# Decided windows that the platform has not taken are kept for this many
# windows; beyond that the platform has been away for hours.
MOST_KEPT = 2048
# Windows that nobody could decide are kept for so many by those who counted.
MOST_OPEN = 720


class WindowUse(msgspec.Struct, array_like=True):
    """How many requests each organisation began in a window."""

    window: int
    counts: dict[str, int]


class WindowReport(msgspec.Struct, tag="window_report"):
    """What one incarnation of an instance counted.

    Counts of a window only grow, so the greater of two is the later one.
    ``through`` is a time of day: of what began before it, nothing is left
    to be counted.
    """

    publisher: usage.Publisher
    through: float
    windows: list[WindowUse]


class WindowDecision(msgspec.Struct, tag="window_decision"):
    """A log entry: these are the counts of a window.

    The platform has taken all windows up to ``taken``.
    """

    window: int
    counts: dict[str, int]
    taken: int


class WindowResult(msgspec.Struct):
    """Whether the entry decided its window."""

    decided: bool


class WindowCounter:
    """One instance's counts, until their windows are decided."""

    __slots__ = ("seconds", "_open", "_changed")

    def __init__(self, seconds):
        self.seconds = seconds
        self._open = {}
        self._changed = set()

    def window_at(self, moment):
        """Return the window in which a time of day lies."""
        return math.floor(moment / self.seconds)

    def count(self, organisation, moment):
        """Count a request that began at a time of day."""
        window = self.window_at(moment)
        counts = self._open.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + 1
        self._changed.add(window)
        while len(self._open) > MOST_OPEN:
            self._drop(min(self._open))

    def changed(self):
        """Return the windows counted into since this was last asked."""
        found = self._uses(self._changed)
        self._changed.clear()
        return found

    def open_windows(self):
        """Return all windows that are not decided."""
        self._changed.clear()
        return self._uses(self._open)

    def settle(self, through):
        """Forget all windows up to ``through``; return what was untold.

        That is how many requests began in these windows and were counted
        after the last word of this instance.
        """
        settled = [item for item in self._open if item <= through]
        untold = sum(
            sum(self._open[item].values())
            for item in settled
            if item in self._changed
        )
        for window in settled:
            self._drop(window)
        return untold

    def _drop(self, window):
        del self._open[window]
        self._changed.discard(window)

    def _uses(self, windows):
        return [
            WindowUse(item, dict(self._open[item])) for item in sorted(windows)
        ]


class _Reported(msgspec.Struct):
    """What one publisher told."""

    through: float
    windows: dict


class ReportedWindows:
    """What all instances told, as the holder of the duty adds it up."""

    __slots__ = ("_publishers",)

    def __init__(self):
        self._publishers = {}

    def merge(self, report):
        """Take in a report; it may be late or repeated."""
        held = self._publishers.get(report.publisher)
        if held is None:
            held = _Reported(report.through, {})
            self._publishers[report.publisher] = held
        held.through = max(held.through, report.through)
        for use in report.windows:
            counts = held.windows.setdefault(use.window, {})
            for organisation, count in use.counts.items():
                counts[organisation] = max(counts.get(organisation, 0), count)

    def sums(self, window):
        """Return what all organisations began in a window."""
        total = {}
        for held in self._publishers.values():
            for organisation, count in held.windows.get(window, {}).items():
                total[organisation] = total.get(organisation, 0) + count
        return total

    def earliest(self):
        """Return the first window that anything is told of, or ``None``."""
        windows = [
            window
            for held in self._publishers.values()
            for window in held.windows
        ]
        return min(windows, default=None)

    def told_through(self, instance, moment):
        """Tell whether an instance told all that began before a moment."""
        return any(
            held.through >= moment
            for publisher, held in self._publishers.items()
            if publisher.instance == instance
        )

    def settle(self, through):
        """Forget all windows up to ``through``, and who told nothing else."""
        for publisher, held in list(self._publishers.items()):
            held.windows = {
                window: counts
                for window, counts in held.windows.items()
                if window > through
            }
            if not held.windows and self._is_superseded(publisher):
                del self._publishers[publisher]

    def _is_superseded(self, publisher):
        return any(
            item.instance == publisher.instance
            and item.incarnation > publisher.incarnation
            for item in self._publishers
        )


class DecidedWindows:
    """The final counts of windows; a pure function of the log."""

    __slots__ = ("last", "taken", "counts")

    def __init__(self):
        self.last = None
        self.taken = None
        self.counts = {}

    def apply(self, version, decision):
        """Apply the decision that the log has at ``version``.

        Windows are decided one after the other.  One that is decided stays
        as it is, whoever proposes it again.
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
        self._note_taken(decision.taken)
        while len(self.counts) > MOST_KEPT:
            del self.counts[min(self.counts)]
        return WindowResult(True)

    def _note_taken(self, taken):
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
            "counts": {str(key): held for key, held in self.counts.items()},
        }

    def restore(self, found):
        """Take over the state of a checkpoint."""
        self.last = found["last"]
        self.taken = found["taken"]
        self.counts = {int(key): val for key, val in found["counts"].items()}
