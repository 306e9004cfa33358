"""Ordered numbers of backend servers, as replicated in the quorum log.

An order is logged before it is sent to the platform, so that the next lease
holder continues from the last order and doesn't start from nothing.
"""

import collections

import msgspec


class Group(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The servers of one service and kind in one failure domain.

    The kinds are regular and ``spot`` servers; the latter cost less and may
    be withdrawn by the platform all at once.
    """

    service: str
    failure_domain: str
    spot: bool


def count(announcements):
    """Return the number of announced servers by :class:`Group`."""
    return collections.Counter(
        Group(item.service, item.failure_domain, item.spot)
        for item in announcements
    )


class CountOrder(msgspec.Struct, tag="server_count"):
    """A log entry that orders ``count`` servers in a group.

    ``needed`` is the number of servers that the group's failure domain needs
    of both kinds together; later orders are based on it.
    """

    group: Group
    count: int
    needed: int


class CountResult(msgspec.Struct):
    """The log position of an order."""

    version: int


class OrderedCounts:
    """The last order of each group; a pure function of the log.

    ``orders`` and ``versions`` have the order and its log position by group.
    """

    __slots__ = ("orders", "versions")

    def __init__(self):
        self.orders = {}
        self.versions = {}

    def apply(self, version, order):
        """Apply the order at position ``version`` of the log."""
        self.orders[order.group] = order
        self.versions[order.group] = version
        return CountResult(version)

    def last(self, group):
        """Return the last order of a group, or ``None``."""
        return self.orders.get(group)

    def domains(self, service):
        """Return the failure domains with an order for ``service``.

        Only orders for regular servers are considered.
        """
        return {
            group.failure_domain
            for group in self.orders
            if group.service == service and not group.spot
        }

    def snapshot(self):
        """Return the state for a checkpoint."""
        return [
            (self.versions[group], order)
            for group, order in self.orders.items()
        ]

    def restore(self, state):
        """Replace the state by that of a checkpoint."""
        self.orders = {}
        self.versions = {}
        for version, order in msgspec.convert(
            state, list[tuple[int, CountOrder]]
        ):
            self.apply(version, order)
