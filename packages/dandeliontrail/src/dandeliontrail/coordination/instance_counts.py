"""How many instances there are, as decided by the quorum log.

What all instances share out among themselves must not depend on whom an
instance sees at the moment: one that has just started sees itself alone.  The
leader has the log record the largest number that it saw, so an instance knows
it as soon as it knows the configuration.
"""

import msgspec


class InstanceCount(msgspec.Struct, tag="instance_count"):
    """A log entry with the number of instances that the leader saw."""

    count: int


class InstanceCountResult(msgspec.Struct):
    """The log position of a count."""

    version: int


class InstanceCounts:
    """The largest count so far; a pure function of the log.

    It never decreases: instances that are cut off may come back.

    >>> counts = InstanceCounts()
    >>> for count in (3, 12, 9):
    ...     _ = counts.apply(1, InstanceCount(count))
    >>> counts.largest
    12
    """

    __slots__ = ("largest",)

    def __init__(self):
        self.largest = 0

    def apply(self, position, entry):
        """Apply the entry at ``position`` of the log."""
        self.largest = max(self.largest, entry.count)
        return InstanceCountResult(position)

    def snapshot(self):
        """Return the state for a checkpoint."""
        return self.largest

    def restore(self, state):
        """Replace the state by that of a checkpoint."""
        self.largest = msgspec.convert(state, int)
