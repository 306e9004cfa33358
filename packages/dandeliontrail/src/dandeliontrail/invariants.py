"""Assertions that stay enabled in production.

A violation is counted under the invariant's name before the error is raised.
It fails only the request at hand, so the metrics of the surviving instance
still show it.
"""

import collections

from . import errors

broken = collections.Counter()


def check(holds, name, detail=""):
    """Raise :class:`errors.InvariantBroken` unless ``holds`` is true.

    >>> check(1 + 1 == 2, "sums", "arithmetic")
    """
    if holds:
        return
    broken[name] += 1
    raise errors.InvariantBroken(
        f"Invariant {name} does not hold: {detail}.",
        "report it with the log lines around it; restart the instance if it"
        " repeats",
    )
