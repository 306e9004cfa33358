"""The recent changes of the declared objects, for watches and roll-backs.

It is part of the replicated state: every instance keeps the same changes,
and a checkpoint carries them, so a watch resumes on another instance or
after a restart where it left off.
"""

import collections

import msgspec

from .. import errors
from . import specs

# At 2,100 changes a day this reaches back half a day, as long as the
# changes are small; the bytes bound what a folder of 1,600 organisations,
# applied again and again, costs each of 530 nodes.
KEPT_CHANGES = 1024
KEPT_BYTES = 2 * 1024 * 1024


class HistoryGone(errors.DandeliontrailError):
    """A version was asked for that is no longer held."""


# Stands for the spec of an object that is not there.
ABSENT = b"null"


class Step(msgspec.Struct):
    """What a change did to one object, or ``ABSENT``."""

    kind: specs.Kind
    name: str
    before: msgspec.Raw
    after: msgspec.Raw

    def size(self):
        """Return about how many bytes the step costs."""
        return 64 + len(bytes(self.before)) + len(bytes(self.after))


class HistoryItem(msgspec.Struct):
    """One accepted change."""

    version: int
    author: str
    operation_id: str
    steps: list[Step]

    def size(self):
        """Return about how many bytes the item costs."""
        return 128 + sum(step.size() for step in self.steps)


class History:
    """Accepted changes after ``floor``, oldest first."""

    __slots__ = ("floor", "items", "_bytes")

    def __init__(self, floor=0, items=()):
        self.floor = floor
        self.items = collections.deque(items)
        self._bytes = sum(item.size() for item in self.items)

    def add(self, item):
        """Take in the newest change; drop the oldest beyond the bounds."""
        self.items.append(item)
        self._bytes += item.size()
        while len(self.items) > KEPT_CHANGES or (
            self._bytes > KEPT_BYTES and len(self.items) > 1
        ):
            dropped = self.items.popleft()
            self._bytes -= dropped.size()
            self.floor = dropped.version

    def since(self, version):
        """Return the changes after ``version``, oldest first.

        Raises :class:`HistoryGone` where some of them are not held.
        """
        if version < self.floor:
            raise HistoryGone(
                f"Version {version} is older than the changes held, which"
                f" begin after {self.floor}.",
                "list the objects again and go on from the version of the"
                " listing",
            )
        found = []
        for item in reversed(self.items):
            if item.version <= version:
                break
            found.append(item)
        found.reverse()
        return found

    def specs_at(self, version):
        """Return what has changed since ``version``, as it was then.

        The map goes from kind and name to the bytes of the spec.
        """
        found = {}
        for item in self.since(version):
            for step in item.steps:
                found.setdefault((step.kind, step.name), bytes(step.before))
        return found
