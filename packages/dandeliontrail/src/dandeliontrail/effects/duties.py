"""Effects that go to the platform, from one instance at a time."""

import typing

import msgspec

from ..coordination import server_counts


class ReportUsage(msgspec.Struct):
    """Tell the platform the final counts of a window."""

    window: int
    counts: dict[str, int]


class SetServerCount(msgspec.Struct):
    """Have the platform keep so many servers of a group.

    ``version`` is the log position of the order.
    """

    group: server_counts.Group
    count: int
    version: int


class PerformDuty(msgspec.Struct):
    """Make ``call`` under the fencing number ``fencing``.

    Whoever carries it out asks the lease once more after the connection
    stands, right before the first byte.
    """

    call: typing.Union[ReportUsage, SetServerCount]
    fencing: int
