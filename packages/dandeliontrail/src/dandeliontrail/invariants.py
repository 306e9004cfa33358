"""Assertions that stay on in production.

A broken invariant is counted under its name before it is raised, so that an
instance which survives one (each request fails alone) shows it in its
metrics.
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
