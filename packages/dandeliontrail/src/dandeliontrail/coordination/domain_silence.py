"""Detects failure domains that have fallen silent.

The threshold derives from the usual gap between two bursts of messages from
a domain, so it adapts to the number of instances there and their rates.
"""

# A failure domain has fallen silent if nothing was heard from any instance
# there for SILENT_GAPS times the usual gap between two bursts of its messages,
# and for at least MIN_SILENCE_SECONDS.  After MAX_SILENCE_SECONDS the silence
# is no evidence any more: all instances there may be down while the backend
# servers are up.
SILENT_GAPS = 3.0
MIN_SILENCE_SECONDS = 0.3
MAX_SILENCE_SECONDS = 3.0
# Messages closer together than this belong to one burst.  At each heartbeat,
# all instances of a domain send within one tick.  If these messages were
# counted one by one, the usual gap would become so small that domains with
# little traffic would be considered silent.
BURST_SECONDS = 0.05
# The usual gap until two bursts were heard: the interval of the heartbeats.
INITIAL_GAP_SECONDS = 1.0
# Weight of the newest gap in the moving average.
GAP_WEIGHT = 0.1


class DomainActivity:
    """The failure domains heard so far, with the times of their messages.

    All times are seconds on this instance's monotonic clock.

    >>> heard = DomainActivity()
    >>> for step in range(20):
    ...     heard.note("a", step * 0.1)
    ...     heard.note("b", step * 0.1)
    >>> heard.note("b", 3.0)
    >>> heard.has_fallen_silent("a", 3.0)
    True
    """

    __slots__ = ("_last_heard", "_burst_starts", "_usual_gaps")

    def __init__(self):
        self._last_heard = {}
        self._burst_starts = {}
        self._usual_gaps = {}

    def __iter__(self):
        """Iterate over the names of the domains."""
        return iter(self._last_heard)

    def note(self, domain, now):
        """Record a message from an instance in ``domain``."""
        self._last_heard[domain] = now
        before = self._burst_starts.setdefault(domain, now)
        gap = now - before
        if gap < BURST_SECONDS:
            return
        self._burst_starts[domain] = now
        usual = self._usual_gaps.get(domain, gap)
        self._usual_gaps[domain] = usual + GAP_WEIGHT * (gap - usual)

    def when(self, domain):
        """Return when a domain was last heard, or ``None`` if never."""
        return self._last_heard.get(domain)

    def any_after(self, moment, exclude=""):
        """Return whether any domain except one was heard after ``moment``."""
        return any(
            heard > moment
            for name, heard in self._last_heard.items()
            if name != exclude
        )

    def has_fallen_silent(self, domain, now):
        """Return whether a domain recently fell silent while others did not.

        If no domain is heard, the fault is at this instance.
        """
        heard = self._last_heard.get(domain)
        if heard is None:
            return False
        usual = self._usual_gaps.get(domain, INITIAL_GAP_SECONDS)
        allowed = max(MIN_SILENCE_SECONDS, SILENT_GAPS * usual)
        if not allowed < now - heard < MAX_SILENCE_SECONDS:
            return False
        return self.any_after(heard + allowed / 2, domain)

    def shift(self, seconds):
        """Move all timestamps forward by the length of a local pause.

        Otherwise the pause would count as silence of the domains, and as a
        gap between their bursts.
        """
        for moments in (self._last_heard, self._burst_starts):
            for domain in moments:
                moments[domain] += seconds
