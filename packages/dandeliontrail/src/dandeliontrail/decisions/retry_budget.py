"""A budget of repeats that all instances share without talking.

When servers fail, each request may become two or three; without a bound,
retries keep a service down that would have recovered.  The bound holds for
a service over all instances: in any window, arrivals beyond the first of
each request stay below a ratio of the requests and a fixed slack.  Each
instance takes an equal part of the slack and the ratio of its own requests,
so the sum keeps the bound whatever the others do.
"""

import collections

import msgspec

# What the bound allows is used up to this part: requests in the window are
# counted where they arrive, and windows slide.
USED_PART = 0.8


class RetryLimits(msgspec.Struct, frozen=True):
    """The bound: ``ratio`` of requests plus ``slack``, in ``window`` s."""

    ratio: float = 0.2
    slack: float = 10.0
    window: float = 10.0


class _Counted:
    """Moments of one kind of thing within the window."""

    __slots__ = ("_times",)

    def __init__(self):
        self._times = collections.deque()

    def add(self, now):
        self._times.append(now)

    def within(self, since):
        while self._times and self._times[0] < since:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Counts requests and repeats by service.

    >>> budget = RetryBudget(RetryLimits(ratio=0.0, slack=2.5, window=10.0))
    >>> [budget.take("s", 1, 0.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, limits):
        self._limits = limits
        self._requests = collections.defaultdict(_Counted)
        self._repeats = collections.defaultdict(_Counted)
        self._most_instances = 1

    def request(self, service, now):
        """Count a request."""
        self._requests[service].add(now)

    def allows(self, service, instances, now):
        """Tell whether a repeat is within the budget.

        The most instances ever seen share the slack: those that cannot be
        seen at present may be at work all the same.
        """
        self._most_instances = max(self._most_instances, instances)
        limits = self._limits
        since = now - limits.window
        requests = self._requests[service].within(since)
        allowed = USED_PART * (
            limits.ratio * requests + limits.slack / self._most_instances
        )
        return self._repeats[service].within(since) + 1 <= allowed

    def take(self, service, instances, now):
        """Count a repeat and return true, unless the budget is used up."""
        if not self.allows(service, instances, now):
            return False
        self._repeats[service].add(now)
        return True
