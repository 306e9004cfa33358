"""What this instance knows of backend servers.

Records are ordered by ``(epoch, sequence)``.  Leases are counted on this
instance's own monotonic clock, from when the record was heard, so that a
skewed clock elsewhere cannot prolong them.
"""

import dataclasses

import msgspec

from ..resources import announcements

# A server that leaves or falls silent gets no new work after this long at
# the most, whatever lease it asked for itself.
LONGEST_LEASE = 3.0


class ServerRecord(msgspec.Struct):
    """An announcement on its way between instances, ``age`` seconds old."""

    announcement: announcements.Announcement
    age: float = 0.0


class ServerRecords(msgspec.Struct, tag="servers"):
    """Records of backend servers that the sender holds."""

    records: list[ServerRecord]


@dataclasses.dataclass(slots=True)
class Server:
    """One backend server as it is seen from here.

    ``expires`` and ``heard`` are on this instance's clock.
    """

    announcement: announcements.Announcement
    heard: float
    expires: float

    def serves(self, now):
        """Tell whether new work may go to it."""
        return now < self.expires and not self.announcement.leaving


class ServerRegistry:
    """All backend servers heard of, by name."""

    __slots__ = ("servers",)

    def __init__(self):
        self.servers = {}

    def learn(self, announcement, age, now):
        """Take in a record and return whether it was news."""
        held = self.servers.get(announcement.backend_server)
        if held and announcement.order() <= held.announcement.order():
            return False
        lease = min(announcement.lease, LONGEST_LEASE)
        if held is None:
            held = Server(announcement, 0.0, 0.0)
            self.servers[announcement.backend_server] = held
        # The object is kept, since the directory's lists point to it.
        held.announcement = announcement
        held.heard = now - age
        held.expires = now - age + lease
        return True

    def serving(self, now):
        """Return the servers that may get new work."""
        return [item for item in self.servers.values() if item.serves(now)]

    def forget(self, now, after):
        """Drop servers that expired more than ``after`` seconds ago."""
        gone = [
            name
            for name, item in self.servers.items()
            if item.expires + after < now
        ]
        for name in gone:
            del self.servers[name]
        return gone
