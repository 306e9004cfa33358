"""Judges from the server's side whether a limit was kept.

A server that names a limit gets, in any ``WINDOW_SECONDS`` and from all
instances together, at most ``ALLOWED_FACTOR`` times what the limit allows and
``ALLOWED_EXTRA`` requests.
"""

import bisect

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
