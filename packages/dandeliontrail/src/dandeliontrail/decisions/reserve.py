"""Slots reserved for protected request classes.

Lookups come in bursts while reviews and summaries fill every engine. Without a
reserve a lookup waits until a review ends, or a review is preempted and its
tokens are computed and paid for twice.
"""

import collections
import math

WINDOW_SECONDS = 0.25
# Number of windows that are remembered. They cover four minutes, so that the
# second burst of a morning finds the slots reserved because of the first.
MAX_WINDOWS = 960
# The reserve covers counts up to this many standard deviations above the mean.
# 2.6 deviations leave out 1 window in 200, as the goal of 99.5 % allows.
DEVIATIONS = 2.6
# The size of a burst leaves out uneven load and late reports. Extra slots on
# each server make up for these. They rise by a step when a first token takes
# longer than ``NEAR_TARGET_SHARE`` of its target, and fall by the allowed
# share of a step when it does not.
NEAR_TARGET_SHARE = 0.9
EXTRA_STEP_SLOTS = 0.25
ALLOWED_MISS_SHARE = 0.004
# A larger reserve takes effect only when running work has ended, so that all
# misses within this time count as one.
MIN_RISE_INTERVAL_SECONDS = 2.0
# Initial number of extra slots: an instance that starts under full load has no
# time to learn from misses.
INITIAL_EXTRA_SLOTS = 2.0
MAX_EXTRA_SLOTS = 4.0
# At most this share of a server is reserved. More would make the lower classes
# pay for bursts that no reserve can absorb.
MAX_RESERVED_SHARE = 0.25


class Reserve:
    """Measures bursts of protected requests at this instance.

    ``extra`` is the number of slots to reserve on each server in addition to
    those for a burst.
    """

    __slots__ = (
        "extra",
        "_next_rise",
        "_counts",
        "_sum",
        "_sum_of_squares",
        "_window",
        "_count",
    )

    def __init__(self):
        self.extra = INITIAL_EXTRA_SLOTS
        self._next_rise = 0.0
        self._counts = collections.deque()
        self._sum = 0
        self._sum_of_squares = 0
        self._window = None
        self._count = 0

    def arrived(self, now):
        """Count one protected request."""
        self.close_windows(now)
        self._count += 1

    def answered(self, work, now):
        """Learn from the first output of a protected request.

        ``extra`` rises when a first output comes near its target and falls
        slightly when it does not, which balances at the allowed share of
        misses.
        """
        waited = (now - work.received) * 1000.0
        if waited > work.first_token_ms * NEAR_TARGET_SHARE:
            if now >= self._next_rise:
                self._next_rise = now + MIN_RISE_INTERVAL_SECONDS
                self.extra = min(
                    MAX_EXTRA_SLOTS, self.extra + EXTRA_STEP_SLOTS
                )
        else:
            fall = EXTRA_STEP_SLOTS * ALLOWED_MISS_SHARE
            self.extra = max(0.0, self.extra - fall)

    def close_windows(self, now):
        """Close the counting windows that have passed."""
        window = int(now / WINDOW_SECONDS)
        if self._window is None:
            self._window = window
        while self._window < window:
            self._record_window(self._count)
            self._count = 0
            self._window += 1
            if window - self._window > MAX_WINDOWS:
                self._window = window

    def _record_window(self, count):
        self._counts.append(count)
        self._sum += count
        self._sum_of_squares += count * count
        if len(self._counts) > MAX_WINDOWS:
            oldest = self._counts.popleft()
            self._sum -= oldest
            self._sum_of_squares -= oldest * oldest

    def burst(self, instances):
        """Return the size of a burst over all instances, in requests.

        Independent arrivals have a variance equal to their mean, at one
        instance and over all of them. Any variance beyond that is attributed
        to bursts, which reach all instances at the same time.
        """
        windows = len(self._counts)
        if not windows:
            return 0.0
        mean = self._sum / windows
        common = max(0.0, self._sum_of_squares / windows - mean * mean - mean)
        variance = mean * instances + common * instances * instances
        return mean * instances + DEVIATIONS * math.sqrt(variance)


def reserved_slots(engine, burst, extra, servers):
    """Return how many slots of one server unprotected classes leave free.

    Slots that the server frees within one window need not be reserved: engines
    honour priority, so that the next free slot goes to the protected request.
    """
    if burst <= 0.0:
        return 0.0
    freed_slots = engine.limit / engine.service_seconds * WINDOW_SECONDS
    wanted = max(0.0, burst / max(1, servers) - freed_slots) + extra
    return min(wanted, engine.limit * MAX_RESERVED_SHARE)


def is_protected(work):
    """Return whether work is protected, so that it has to start promptly."""
    return work.first_token_ms is not None and not work.sheddable
