"""Calls to the platform, made by only one instance at a time."""

import typing

import msgspec

from ..coordination import server_counts


class ReportUsage(msgspec.Struct):
    """Report the final counts of a usage window to the platform."""

    window: int
    counts: dict[str, int]


class SetServerCount(msgspec.Struct):
    """Order the platform to run ``count`` servers of a group.

    ``version`` is the log position of the order.
    """

    group: server_counts.Group
    count: int
    version: int


class PerformDuty(msgspec.Struct):
    """Make ``call`` with the fencing token ``fencing``.

    The executor must check the lease once more after the connection has
    been established, immediately before it sends the first byte.
    """

    call: typing.Union[ReportUsage, SetServerCount]
    fencing: int
