"""Judges from the server's side whether a limit was kept.

A server that names a limit gets, in any ``WINDOW_SECONDS`` and from all
instances together, at most ``ALLOWED_FACTOR`` times what the limit allows and
``ALLOWED_EXTRA`` requests.
"""

import bisect
import collections

WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# For this long after a server first named its limit nothing is judged.
CONTACT_SECONDS = 3.0


def allowed(limit):
    """Return how many requests a limit allows in any window."""
    return int(ALLOWED_FACTOR * limit * WINDOW_SECONDS) + ALLOWED_EXTRA


def worst_window(arrivals, since=float("-inf")):
    """Return the most requests that arrived in any window from ``since``."""
    times = sorted(at for at in arrivals if at >= since)
    return max(
        (
            bisect.bisect_left(times, at + WINDOW_SECONDS) - first
            for first, at in enumerate(times)
        ),
        default=0,
    )


def share_used(arrivals, limit, since, until):
    """Return the share of a limit that was used from ``since`` on."""
    count = sum(since <= at < until for at in arrivals)
    return count / (limit * (until - since))


class RunningJudge:
    """Judges each request when it arrives at a server.

    Only windows in which the server named one limit all the time count, from
    ``CONTACT_SECONDS`` after it first named it.
    """

    def __init__(self):
        self.limit = None
        self.worst_share = 0.0
        self._since = 0.0
        self._arrivals = collections.deque()

    def name(self, limit, now):
        """Record that the server names ``limit`` from now on, or none."""
        self.limit = limit
        self._since = now + CONTACT_SECONDS

    def arrived(self, now):
        """Record a request; return what broke the limit, or ''."""
        arrivals = self._arrivals
        arrivals.append(now)
        while arrivals[0] <= now - WINDOW_SECONDS:
            arrivals.popleft()
        if self.limit is None or now - WINDOW_SECONDS < self._since:
            return ""
        bound = allowed(self.limit)
        self.worst_share = max(self.worst_share, len(arrivals) / bound)
        if len(arrivals) <= bound:
            return ""
        return (
            f"{len(arrivals)} requests in {WINDOW_SECONDS:g} s at a limit of"
            f" {self.limit:g}; allowed {bound}"
        )
