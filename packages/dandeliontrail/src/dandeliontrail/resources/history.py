"""The recent changes of the declared objects, for watches and rollbacks.

The history is part of the replicated state: every instance keeps the same
changes, and checkpoints contain them, so a watch can be resumed at another
instance or after a restart without missing a change.
"""

import collections

import msgspec

from .. import errors
from . import specs

# At 2,100 changes per day the history covers half a day if the changes are
# small.  The bound in bytes limits the memory use at each of 530 instances
# if a folder with 1,600 organisations is applied repeatedly.
MAX_HISTORY_CHANGES = 1024
MAX_HISTORY_BYTES = 2 * 1024 * 1024


class HistoryGone(errors.DandeliontrailError):
    """The requested version is older than the retained changes."""


# Replaces the spec of an object that does not exist.
ABSENT = b"null"


class Step(msgspec.Struct):
    """The effect of a change on one object.

    ``before`` and ``after`` have the spec as JSON, or ``ABSENT``.
    """

    kind: specs.Kind
    name: str
    before: msgspec.Raw
    after: msgspec.Raw

    def size(self):
        """Return the approximate memory use of the step in bytes."""
        return 64 + len(bytes(self.before)) + len(bytes(self.after))


class HistoryItem(msgspec.Struct):
    """One accepted change."""

    version: int
    author: str
    operation_id: str
    steps: list[Step]

    def size(self):
        """Return the approximate memory use of the item in bytes."""
        return 128 + sum(step.size() for step in self.steps)


class History:
    """The accepted changes after version ``floor``, oldest first."""

    __slots__ = ("floor", "items", "_bytes")

    def __init__(self, floor=0, items=()):
        self.floor = floor
        self.items = collections.deque(items)
        self._bytes = sum(item.size() for item in self.items)

    def add(self, item):
        """Append the newest change; remove the oldest above the bounds."""
        self.items.append(item)
        self._bytes += item.size()
        while len(self.items) > MAX_HISTORY_CHANGES or (
            self._bytes > MAX_HISTORY_BYTES and len(self.items) > 1
        ):
            dropped = self.items.popleft()
            self._bytes -= dropped.size()
            self.floor = dropped.version

    def since(self, version):
        """Return the changes after ``version``, oldest first.

        Raises :class:`HistoryGone` if some of them have been removed.
        """
        if version < self.floor:
            raise HistoryGone(
                f"Version {version} is older than the retained changes, which"
                f" begin after {self.floor}.",
                "list the objects again and go on from the version of the"
                " listing",
            )
        changes = []
        for item in reversed(self.items):
            if item.version <= version:
                break
            changes.append(item)
        changes.reverse()
        return changes

    def specs_at(self, version):
        """Return the specs at ``version`` of all objects changed since.

        The result maps kind and name to the JSON of the spec or ``ABSENT``.
        Raises :class:`HistoryGone` as :meth:`since` does.
        """
        earlier_specs = {}
        for item in self.since(version):
            for step in item.steps:
                earlier_specs.setdefault(
                    (step.kind, step.name), bytes(step.before)
                )
        return earlier_specs
