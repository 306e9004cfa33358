"""Sums over the rows of the usage ledger, updated as the rows change.

The limits of organisations are checked for every request, so reading a sum
must be a dictionary look-up and not a scan over the rows of all instances.
"""

from .. import invariants
from . import usage

NO_USAGE = usage.Totals()


class UsageTotals:
    """Totals by each combination of key fields that is queried.

    ``daily`` has the totals by :class:`usage.UsageKey`.  A key that was never
    counted has no entry, which means the same as no usage.
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

    def replace(self, removed, added):
        """Subtract the counts ``removed`` and add ``added``, as a whole.

        Both have pairs of a key and its counts.  Raises
        ``errors.InvariantBroken`` if a sum would fall below zero; then, and
        after any other exception, nothing has changed.

        >>> totals = UsageTotals()
        >>> key = usage.UsageKey("2026-03-14", "lab", "lookup")
        >>> totals.replace([], [(key, usage.Totals(requests=2))])
        >>> totals.of_organisation("lab").requests
        2
        """
        new_tables = [{} for _ in self._tables()]
        for key, change in _changes(removed, added):
            for (table, entry), new in zip(self._entries_of(key), new_tables):
                before = new.get(entry) or table.get(entry, NO_USAGE)
                new[entry] = before.plus(change)
        for new in new_tables:
            for entry, totals in new.items():
                invariants.check(
                    min(totals.counts()) >= 0,
                    "usage_sums_are_not_negative",
                    str(entry),
                )
        for table, new in zip(self._tables(), new_tables):
            table.update(new)

    def _tables(self):
        """Return the tables in the order of :meth:`_entries_of`."""
        return (
            self.daily,
            self._by_class,
            self._by_organisation,
            self._by_day,
        )

    def _entries_of(self, key):
        organisation = key.organisation
        return (
            (self.daily, key),
            (self._by_class, (organisation, key.class_name)),
            (self._by_organisation, organisation),
            (self._by_day, (organisation, key.day)),
        )


def _changes(removed, added):
    """Return pairs of a key and by how much its counts change, if they do."""
    changes = {}
    for key, amount in removed:
        changes[key] = changes.get(key, NO_USAGE).minus(amount)
    for key, amount in added:
        changes[key] = changes.get(key, NO_USAGE).plus(amount)
    return [(key, item) for key, item in changes.items() if any(item.counts())]
