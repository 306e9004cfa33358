"""Sums over the rows of the usage ledger, kept up as the rows change.

Limits of organisations are checked on every request, so a sum must cost a
look-up and not a walk over the rows of all instances.
"""

from . import usage

NOTHING = usage.Totals()


class UsageTotals:
    """Totals by each combination that somebody asks for.

    ``daily`` has them by :class:`usage.UsageKey`.
    """

    __slots__ = ("daily", "_by_class", "_by_organisation", "_by_day")

    def __init__(self):
        self.daily = {}
        self._by_class = {}
        self._by_organisation = {}
        self._by_day = {}

    def of_class(self, organisation, class_name):
        """Return the totals of an organisation in a class, all days."""
        return self._by_class.get((organisation, class_name), NOTHING)

    def of_organisation(self, organisation):
        """Return the totals of an organisation, all classes and days."""
        return self._by_organisation.get(organisation, NOTHING)

    def of_day(self, organisation, day):
        """Return the totals of an organisation on a day, all classes."""
        return self._by_day.get((organisation, day), NOTHING)

    def add(self, key, counted):
        """Add what was counted for a key."""
        for table, place in self._places(key):
            table.setdefault(place, usage.Totals()).add(counted)

    def take(self, key, counted):
        """Take away what was added for a key."""
        for table, place in self._places(key):
            table[place] = table[place].less(counted)

    def _places(self, key):
        organisation = key.organisation
        return (
            (self.daily, key),
            (self._by_class, (organisation, key.class_name)),
            (self._by_organisation, organisation),
            (self._by_day, (organisation, key.day)),
        )
