"""How many backend servers were ordered, by the log.

An order is written down before it is given, so that whoever holds the duty
next goes on from the last order and not from nothing.
"""

import collections

import msgspec


class Group(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The servers of one service and kind in one failure domain.

    ``spot`` servers cost less and may be taken away all at once.
    """

    service: str
    failure_domain: str
    spot: bool


def count(announcements):
    """Return how many servers there are, by :class:`Group`."""
    return collections.Counter(
        Group(item.service, item.failure_domain, item.spot)
        for item in announcements
    )


class CountOrder(msgspec.Struct, tag="server_count"):
    """A log entry: ``count`` servers are wanted in a group.

    ``needed`` is how many the group's failure domain needs of both kinds
    together, by which later orders go.
    """

    group: Group
    count: int
    needed: int


class CountResult(msgspec.Struct):
    """The position at which an order stands."""

    version: int


class OrderedCounts:
    """The last order of each group; a pure function of the log."""

    __slots__ = ("orders", "versions")

    def __init__(self):
        self.orders = {}
        self.versions = {}

    def apply(self, version, order):
        """Apply the order that the log has at ``version``."""
        self.orders[order.group] = order
        self.versions[order.group] = version
        return CountResult(version)

    def last(self, group):
        """Return the last order of a group, or ``None``."""
        return self.orders.get(group)

    def domains(self, service):
        """Return the failure domains whose servers of ``service`` are known.

        That is those for which regular servers were ordered.
        """
        return {
            group.failure_domain
            for group in self.orders
            if group.service == service and not group.spot
        }

    def snapshot(self):
        """Return the state for a checkpoint."""
        return [
            (self.versions[key], held) for key, held in self.orders.items()
        ]

    def restore(self, found):
        """Take over the state of a checkpoint."""
        self.orders = {}
        self.versions = {}
        for version, held in msgspec.convert(
            found, list[tuple[int, CountOrder]]
        ):
            self.apply(version, held)
