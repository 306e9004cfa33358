"""Whose turn it is among organisations that wait for permits.

Answers the load of an organisation that sends many times what the others do
to limited servers.  By order of arrival it would get nearly all permits.  So
the organisation that recently used fewest goes first, and one that used more
than its share is refused sooner: it would else fill all queues, also those of
other instances, up to the longest wait that is accepted.
"""

import collections
import enum

import msgspec

# Use is forgotten by half in this time: long enough for some permits at low
# rates, short enough that a burst is not held against an organisation.
HALF_LIFE_SECONDS = 20.0
# An organisation that has not waited for this long takes no part in the turns.
ABSENT_SECONDS = 30.0
# Far above the organisations that wait for one service at a time.
MAX_ENTRIES = 4096


class Standing(enum.Enum):
    """How an organisation's use of permits compares with the mean."""

    ALONE = "alone"
    ABOVE = "above"
    BELOW = "below"


class _Use(msgspec.Struct):
    amount: float
    at: float
    seen_at: float

    def recent(self, now):
        return self.amount * 0.5 ** ((now - self.at) / HALF_LIFE_SECONDS)


class PermitTurns:
    """The recent use of permits by service and organisation.

    >>> turns = PermitTurns()
    >>> turns.record("llm", "lab", 1.0, 0.0)
    >>> turns.recent("llm", "lab", 20.0), turns.recent("llm", "dock", 20.0)
    (0.5, 0.0)
    """

    __slots__ = ("_uses",)

    def __init__(self):
        # By service, then by organisation.
        self._uses = collections.defaultdict(dict)

    def record(self, service, organisation, amount, now):
        """Count permits that an organisation has used."""
        uses = self._uses[service]
        total = self.recent(service, organisation, now) + amount
        uses.pop(organisation, None)
        uses[organisation] = _Use(total, now, now)
        if len(uses) > MAX_ENTRIES:
            del uses[next(iter(uses))]

    def wait(self, service, organisation, now):
        """Record that an organisation waits for a permit."""
        use = self._uses[service].get(organisation)
        if use is None:
            self.record(service, organisation, 0.0, now)
        else:
            use.seen_at = now

    def recent(self, service, organisation, now):
        """Return the permits used recently; older ones count for less."""
        use = self._uses[service].get(organisation)
        return use.recent(now) if use else 0.0

    def standing(self, service, organisation, now):
        """Return the :class:`Standing` of an organisation that waits."""
        uses = self._uses[service]
        if len(uses) < 2 or organisation not in uses:
            return Standing.ALONE
        total = sum(use.recent(now) for use in uses.values())
        if uses[organisation].recent(now) > total / len(uses):
            return Standing.ABOVE
        return Standing.BELOW

    def remove_old(self, now):
        """Drop the organisations that have not waited for long."""
        for service, uses in list(self._uses.items()):
            for name in [
                name
                for name, use in uses.items()
                if now - use.seen_at > ABSENT_SECONDS
            ]:
                del uses[name]
            if not uses:
                del self._uses[service]
