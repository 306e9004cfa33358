"""Slots kept free for protected classes.

Made for lookups that come in bursts while reviews and summaries fill every
engine.  Without a reserve a lookup waits for some review to end, or a
review is preempted and its tokens are paid for twice.
"""

import collections
import math

WINDOW = 0.25
# A burst is remembered for this many windows: four minutes, so that the
# second burst of a morning finds the reserve that the first one asked for.
WINDOWS = 960
# Deviations above the mean count that the reserve covers; 2.6 deviations
# leave out 1 window in 200, as the goal of 99.5 in 100 allows.
DEVIATIONS = 2.6
# What the burst's size leaves out (uneven load, late reports) is learned
# from outcomes: extra slots on each server, raised by a step when a first
# token comes later than this part of its target, and lowered by the allowed
# part of a step when it does not.
NEAR_TARGET = 0.9
EXTRA_STEP = 0.25
MISSES_ALLOWED = 0.004
# What was reserved shows when running work has ended: misses of one such
# time count as one.
RISE_INTERVAL = 2.0
# An instance that starts into full load has no time to learn by missing.
FIRST_EXTRA = 2.0
MOST_EXTRA = 4.0
# No more than this part of a server stands by, or lower classes would pay
# for a burst that no reserve can hold.
MOST_PART = 0.25


class Reserve:
    """Measures bursts of protected arrivals at this instance."""

    __slots__ = (
        "extra",
        "_next_rise",
        "_counts",
        "_sum",
        "_squares",
        "_window",
        "_count",
    )

    def __init__(self):
        self.extra = FIRST_EXTRA
        self._next_rise = 0.0
        self._counts = collections.deque()
        self._sum = 0
        self._squares = 0
        self._window = None
        self._count = 0

    def arrived(self, now):
        """Count one protected request."""
        self.roll(now)
        self._count += 1

    def answered(self, work, now):
        """Learn from the first output of a protected request.

        The extra rises with each that comes near its target and falls with
        each that does not, which balances at the rate of misses allowed.
        """
        waited = (now - work.received) * 1000.0
        if waited > work.first_token_ms * NEAR_TARGET:
            if now >= self._next_rise:
                self._next_rise = now + RISE_INTERVAL
                self.extra = min(MOST_EXTRA, self.extra + EXTRA_STEP)
        else:
            fall = EXTRA_STEP * MISSES_ALLOWED
            self.extra = max(0.0, self.extra - fall)

    def roll(self, now):
        """Close the windows that have passed."""
        window = int(now / WINDOW)
        if self._window is None:
            self._window = window
        while self._window < window:
            self._close(self._count)
            self._count = 0
            self._window += 1
            if window - self._window > WINDOWS:
                self._window = window

    def _close(self, count):
        self._counts.append(count)
        self._sum += count
        self._squares += count * count
        if len(self._counts) > WINDOWS:
            gone = self._counts.popleft()
            self._sum -= gone
            self._squares -= gone * gone

    def burst(self, instances):
        """Return the size of a burst over all instances, in requests.

        Requests that come independently vary by the root of their mean,
        here and over all instances.  What varies beyond that comes from
        bursts, which reach all instances at the same time.
        """
        closed = len(self._counts)
        if not closed:
            return 0.0
        mean = self._sum / closed
        common = max(0.0, self._squares / closed - mean * mean - mean)
        variance = mean * instances + common * instances * instances
        return mean * instances + DEVIATIONS * math.sqrt(variance)


def of_server(engine, burst, extra, servers):
    """Return the slots of one server that lower classes leave free.

    What the server gives back by itself within a window need not be
    reserved: engines honour priorities, so that the next slot goes to the
    protected request.  That much may be borrowed.
    """
    if burst <= 0.0:
        return 0.0
    given_back = engine.limit / engine.service_seconds * WINDOW
    wanted = max(0.0, burst / max(1, servers) - given_back) + extra
    return min(wanted, engine.limit * MOST_PART)


def protected(work):
    """Tell whether a class is one that has to be answered at once."""
    return work.first_token_ms is not None and not work.sheddable
