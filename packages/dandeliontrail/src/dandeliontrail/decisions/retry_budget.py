"""A retry budget for the whole cluster that needs no coordination.

When servers fail, each request may become two or three attempts; without a
bound, retries keep a service down that would have recovered.  The bound holds
for a service over all instances: in any window, attempts beyond the first of
each request stay below a ratio of the requests plus a fixed slack.  Each
instance may use an equal share of the slack and the ratio of its own
requests, so the sum keeps the bound whatever the other instances do.
"""

import collections

import msgspec

# Only this fraction of the bound is used: requests in the window are counted
# where they arrive, and windows slide.
USED_FRACTION = 0.8


class RetryLimits(msgspec.Struct, frozen=True):
    """The bound: ``ratio`` of the requests plus ``slack``.

    It holds in any ``window``, in seconds.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window: float = 10.0


class _SlidingWindow:
    """The times of events within the window."""

    __slots__ = ("_times",)

    def __init__(self):
        self._times = collections.deque()

    def add(self, now):
        self._times.append(now)

    def count_since(self, since):
        while self._times and self._times[0] < since:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Counts requests and retries by service.

    >>> budget = RetryBudget(RetryLimits(ratio=0.0, slack=2.5, window=10.0))
    >>> [budget.spend("s", 1, 0.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, limits):
        self._limits = limits
        self._requests = collections.defaultdict(_SlidingWindow)
        self._retries = collections.defaultdict(_SlidingWindow)
        self._max_instances = 1

    def record_request(self, service, now):
        """Count a request."""
        self._requests[service].add(now)

    def allows(self, service, instances, now):
        """Return whether another retry is within the budget.

        The slack is divided by the largest number of ``instances`` ever seen:
        those that are not seen at present may still be at work.
        """
        self._max_instances = max(self._max_instances, instances)
        limits = self._limits
        since = now - limits.window
        requests = self._requests[service].count_since(since)
        allowed = USED_FRACTION * (
            limits.ratio * requests + limits.slack / self._max_instances
        )
        return self._retries[service].count_since(since) + 1 <= allowed

    def spend(self, service, instances, now):
        """Count a retry and return true, or false if the budget is used up."""
        if not self.allows(service, instances, now):
            return False
        self._retries[service].add(now)
        return True
