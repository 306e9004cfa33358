"""When each failure domain was last heard, and which have fallen silent.

Silence is judged by the usual gap between two volleys of a domain's
messages, so it adapts to how many instances speak there and how often.
"""

# A failure domain has fallen silent once nothing was heard of any instance
# there for so many times the usual gap between two volleys of its messages,
# and for so long at least.  After a while the silence tells nothing more:
# instances may all be down where servers are not.
SILENT_GAPS = 3.0
LEAST_SILENCE = 0.3
MOST_SILENCE = 3.0
# Messages closer together than this are one volley: at each heartbeat all
# instances of a domain speak within a tick, and counted one by one they make
# the usual gap so small that calm domains are taken for silent.
VOLLEY_SECONDS = 0.05
# Until two volleys were heard: heartbeats are a second apart.
FIRST_GAP = 1.0
# Weight of the newest gap in the usual one.
GAP_WEIGHT = 0.1


class HeardDomains:
    """The failure domains of which any instance was ever heard.

    >>> heard = HeardDomains()
    >>> for step in range(20):
    ...     heard.note("a", step * 0.1)
    ...     heard.note("b", step * 0.1)
    >>> heard.note("b", 3.0)
    >>> heard.has_fallen_silent("a", 3.0)
    True
    """

    __slots__ = ("_last", "_volleys", "_gaps")

    def __init__(self):
        self._last = {}
        self._volleys = {}
        self._gaps = {}

    def __iter__(self):
        """Yield the names of the domains."""
        return iter(self._last)

    def note(self, domain, now):
        """Take note of a message of an instance there."""
        self._last[domain] = now
        before = self._volleys.setdefault(domain, now)
        gap = now - before
        if gap < VOLLEY_SECONDS:
            return
        self._volleys[domain] = now
        usual = self._gaps.get(domain, gap)
        self._gaps[domain] = usual + GAP_WEIGHT * (gap - usual)

    def when(self, domain):
        """Return when a domain was last heard, ``None`` for never."""
        return self._last.get(domain)

    def any_after(self, moment, but=""):
        """Tell whether any domain was heard after ``moment``, save one."""
        return any(
            heard > moment for name, heard in self._last.items() if name != but
        )

    def has_fallen_silent(self, domain, now):
        """Tell whether a domain has just fallen silent, and others have not.

        Where nobody is heard, the fault is with this instance.
        """
        heard = self._last.get(domain)
        if heard is None:
            return False
        usual = self._gaps.get(domain, FIRST_GAP)
        allowed = max(LEAST_SILENCE, SILENT_GAPS * usual)
        if not allowed < now - heard < MOST_SILENCE:
            return False
        return self.any_after(heard + allowed / 2, domain)

    def shift(self, seconds):
        """Excuse all for a time in which this process stood still.

        The pause is no gap of theirs either.
        """
        for moments in (self._last, self._volleys):
            for domain in moments:
                moments[domain] += seconds
