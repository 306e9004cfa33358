"""Sums over the rows of the usage ledger, updated as the rows change.

The limits of organisations are checked for every request, so reading a sum
must be a dictionary look-up and not a scan over the rows of all instances.
"""

from . import usage

NO_USAGE = usage.Totals()


class UsageTotals:
    """Totals by each combination of key fields that is queried.

    ``daily`` has the totals by :class:`usage.UsageKey`.
    """

    __slots__ = ("daily", "_by_class", "_by_organisation", "_by_day")

    def __init__(self):
        self.daily = {}
        self._by_class = {}
        self._by_organisation = {}
        self._by_day = {}

    def of_class(self, organisation, class_name):
        """Return the totals of an organisation in a class over all days."""
        return self._by_class.get((organisation, class_name), NO_USAGE)

    def of_organisation(self, organisation):
        """Return the totals of an organisation over all classes and days."""
        return self._by_organisation.get(organisation, NO_USAGE)

    def of_day(self, organisation, day):
        """Return the totals of an organisation on a day over all classes."""
        return self._by_day.get((organisation, day), NO_USAGE)

    def add(self, key, amount):
        """Add counts to all sums that include a key."""
        for table, entry in self._entries_of(key):
            table.setdefault(entry, usage.Totals()).add(amount)

    def subtract(self, key, amount):
        """Subtract counts that were added for a key."""
        for table, entry in self._entries_of(key):
            table[entry] = table[entry].minus(amount)

    def _entries_of(self, key):
        organisation = key.organisation
        return (
            (self.daily, key),
            (self._by_class, (organisation, key.class_name)),
            (self._by_organisation, organisation),
            (self._by_day, (organisation, key.day)),
        )
