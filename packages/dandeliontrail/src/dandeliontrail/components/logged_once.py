"""Remembers what was logged, so that each fault of a server is logged once."""

import collections

# How many starts of servers are remembered.
MAX_REMEMBERED = 4096


class LoggedOnce:
    """The starts of servers about which a line was logged.

    >>> logged = LoggedOnce()
    >>> [logged.is_first(("s1", 1)) for _ in range(2)]
    [True, False]
    """

    __slots__ = ("_starts",)

    def __init__(self):
        self._starts = collections.OrderedDict()

    def is_first(self, start):
        """Return whether nothing was logged about a start; remember it."""
        if start in self._starts:
            return False
        self._starts[start] = None
        if len(self._starts) > MAX_REMEMBERED:
            self._starts.popitem(last=False)
        return True
