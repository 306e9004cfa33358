"""The registry of backend servers, with a lease for each of them.

Records are ordered by ``(epoch, sequence)``; within an epoch, a record with
``leaving`` set wins over one without, whatever its sequence.  Leases are
measured on this instance's own monotonic clock, from the time at which any
instance first received the announcement.  Each hop adds the time that the
record spent there to its age, so neither clock skew nor a slow path extends
a lease.
"""

import collections

import msgspec

from .. import invariants
from . import digests
from ..resources import announcements
from . import vouches

# Upper bound on a lease in seconds, whatever lease the server announces:
# after this time at most, a server that shut down or stopped announcing
# itself gets no new work.
MAX_LEASE_SECONDS = 3.0
# Expired records are kept for this long, up to this number, so that an older
# announcement that is still in transit cannot revive the server.
EXPIRED_RETENTION_SECONDS = 60.0
MAX_EXPIRED_RECORDS = 10_000


class ServerRecord(msgspec.Struct):
    """An announcement sent between instances; ``age`` is in seconds."""

    announcement: announcements.Announcement
    age: float = 0.0


class ServerRecords(msgspec.Struct, tag="servers", omit_defaults=True):
    """Message with complete records of backend servers.

    If ``receipt`` is not 0, the receiver answers with it once it has them.
    """

    records: list[ServerRecord]
    receipt: int = 0


class RecordsReceived(msgspec.Struct, tag="servers_received"):
    """Answer to the :class:`ServerRecords` with this ``receipt``."""

    receipt: int


class Renewal(msgspec.Struct, array_like=True):
    """A compact announcement in which only sequence and load changed.

    ``content`` is a hash of all other fields: a receiver that missed a
    change sees the difference and requests the complete record instead of
    renewing a stale one.  ``load`` has the values of a load report in field
    order, or is empty if the sender's byte budget did not allow for it.
    ``age`` is in seconds.
    """

    backend_server: str
    epoch: int
    sequence: int
    content: int
    age: float
    load: list[float]


class Renewals(msgspec.Struct, tag="renewals"):
    """Message with lease renewals and load reports."""

    renewals: list[Renewal]


class Server(msgspec.Struct):
    """A backend server as known to this instance.

    ``expires`` and ``heard_at`` are times on this instance's monotonic clock;
    ``heard_at`` is when any instance first received the announcement.
    ``content_hash`` covers the announcement without sequence and load,
    ``lease`` the duration of the lease in seconds.  Until ``rests_until`` this
    start of the server wants no work from this instance.
    """

    announcement: announcements.Announcement
    heard_at: float
    expires: float
    content_hash: int = 0
    lease: float = MAX_LEASE_SECONDS
    rests_until: float = float("-inf")

    def serves(self, now):
        """Return whether the server runs and does not leave."""
        return now < self.expires and not self.announcement.leaving

    def rests(self, now):
        """Return whether the server wants no work from this instance."""
        return now < self.rests_until

    def takes_work(self, now):
        """Return whether the server may get new work."""
        return self.serves(now) and not self.rests(now)

    def load_age(self, now):
        """Return the age of the server's load report in seconds."""
        measured = self.announcement.load.measured_ms_ago / 1000.0
        return max(0.0, now - self.heard_at) + measured


class ServerRegistry:
    """All known backend servers by name, with digests for anti-entropy.

    ``digest`` covers the servers whose lease has not expired;
    ``running_by_domain`` maps failure domains to the servers there that accept
    work.
    """

    __slots__ = (
        "servers",
        "digest",
        "running_by_domain",
        "longest_lease",
        "_left",
        "_lapsed",
        "_next_lapse",
    )

    def __init__(self, longest_lease=MAX_LEASE_SECONDS):
        self.longest_lease = longest_lease
        self.servers = {}
        self.digest = digests.TableDigest()
        self.running_by_domain = {}
        self._left = collections.OrderedDict()
        self._lapsed = {}
        self._next_lapse = 0.0

    def _lease_seconds(self, announcement):
        """Return the duration of the lease of an announcement, in seconds."""
        return min(announcement.lease, self.longest_lease)

    def note_left(self, announcement):
        """Note that a start of a server told this instance that it leaves.

        That holds whatever its announcements say, also once its record has
        been removed.
        """
        self._left[_start_of(announcement)] = None
        if len(self._left) > MAX_EXPIRED_RECORDS:
            self._left.popitem(last=False)

    def learn(self, announcement, age, now):
        """Merge a record of ``age`` seconds; return whether it was new."""
        name = announcement.backend_server
        if _start_of(announcement) in self._left:
            announcement = msgspec.structs.replace(announcement, leaving=True)
        server = self.servers.get(name)
        lease = self._lease_seconds(announcement)
        if server is None:
            if age >= lease and not announcement.leaving:
                return False
            server = Server(announcement, now - age, now - age + lease)
            self.servers[name] = server
        elif supersedes(announcement, server.announcement):
            self._replace(server, announcement, now - age)
        else:
            return self._renew_from_copy(server, announcement, now - age)
        server.content_hash = content_hash(server.announcement)
        self._index(server)
        return True

    def _renew_from_copy(self, server, announcement, heard):
        """Renew a lease from a copy of the current record that is younger.

        Relays renew leases without sending sequence numbers, so two
        instances may hold the same announcement with different ages.
        """
        if announcement.epoch != server.announcement.epoch:
            return False
        if server.announcement.leaving or heard <= server.heard_at:
            return False
        if content_hash(announcement) != server.content_hash:
            return False
        server.heard_at = heard
        server.expires = heard + self._lease_seconds(server.announcement)
        self._index(server)
        return True

    def _index(self, server):
        """Enter a server in the digests and in the expiry bookkeeping."""
        announcement = server.announcement
        name = announcement.backend_server
        server.lease = self._lease_seconds(announcement)
        self._lapsed.pop(name, None)
        self._next_lapse = min(self._next_lapse, server.expires)
        self.digest.put(name, server.content_hash)
        running_servers = self.running_by_domain.setdefault(
            announcement.failure_domain, vouches.RunningServers()
        )
        if announcement.leaving:
            running_servers.drop(name)
        else:
            running_servers.put(name, server)

    def _remove_from_digests(self, name):
        domain = self.servers[name].announcement.failure_domain
        self.digest.drop(name)
        self.running_by_domain[domain].drop(name)

    def _replace(self, server, announcement, heard):
        before = server.announcement
        if before.order() > announcement.order():
            # A "leaving" announcement that arrived late.  The highest
            # sequence is kept, or a record with a sequence between the two
            # would be accepted as new.
            announcement = msgspec.structs.replace(
                announcement, sequence=before.sequence
            )
            heard = server.heard_at
        elif before.epoch == announcement.epoch:
            # A relay may have renewed the lease after that announcement.
            heard = max(heard, server.heard_at)
        if before.start() != announcement.start():
            server.rests_until = float("-inf")
        if before.failure_domain != announcement.failure_domain:
            self._remove_from_digests(announcement.backend_server)
        # Updated in place, since the lists of the directory refer to it.
        server.announcement = announcement
        server.heard_at = heard
        server.expires = heard + self._lease_seconds(announcement)
        _check_record_order(before, announcement)

    def renew(self, renewal, age, now):
        """Apply a renewal of ``age`` seconds; return whether it was new.

        Returns ``None`` if the complete record must be fetched first.
        """
        server = self.servers.get(renewal.backend_server)
        if server is None:
            return None if age < self.longest_lease else False
        before = server.announcement
        order = (renewal.epoch, renewal.sequence)
        if order <= before.order() or _has_left(before, renewal.epoch):
            return False
        if (
            renewal.epoch != before.epoch
            or renewal.content != server.content_hash
        ):
            return None
        load = _decode_load(renewal) or _aged_load(
            before.load, now - server.heard_at
        )
        server.announcement = msgspec.structs.replace(
            before, sequence=renewal.sequence, load=load
        )
        server.heard_at = now - age
        server.expires = server.heard_at + self._lease_seconds(before)
        self._index(server)
        _check_record_order(before, server.announcement)
        return True

    def vouch(self, domain, now):
        """Return a vouch that renews all running servers of a domain."""
        return self.running_by_domain[domain].vouch(domain, now)

    def apply_vouch(self, vouch, delay, now):
        """Apply a vouch of a relay; return whether it was accepted.

        ``delay`` is the time in seconds that it took to get here.
        """
        running_servers = self.running_by_domain.get(vouch.failure_domain)
        return running_servers is not None and running_servers.renew(
            vouch, delay, now
        )

    def renewal_of(self, name, now):
        """Return a renewal of a server's lease to send to other instances."""
        server = self.servers[name]
        announcement = server.announcement
        load = announcement.load
        return Renewal(
            name,
            announcement.epoch,
            announcement.sequence,
            server.content_hash,
            round(max(0.0, now - server.heard_at), 3),
            [load.running, load.waiting, load.kv_used, load.measured_ms_ago],
        )

    def record_of(self, name, now):
        """Return a server's complete record to send to other instances."""
        server = self.servers[name]
        age = round(max(0.0, now - server.heard_at), 3)
        return ServerRecord(server.announcement, age)

    def serving(self, now):
        """Return all servers that may get new work."""
        return [item for item in self.servers.values() if item.serves(now)]

    def remove_expired(self, now, after=EXPIRED_RETENTION_SECONDS):
        """Remove servers whose lease expired over ``after`` seconds ago.

        Returns their names.  Expired servers are removed from the digests
        at once, since instances remove the records at different times.
        Leases are only ever extended, so no lease can have expired before
        the earliest expiry that the previous scan found.
        """
        if now < self._next_lapse:
            return []
        for name, server in self.servers.items():
            if server.expires < now and name not in self._lapsed:
                self._lapsed[name] = server.expires
                self._remove_from_digests(name)
        expiries = [
            server.expires
            for name, server in self.servers.items()
            if name not in self._lapsed
        ]
        self._next_lapse = min(expiries, default=now + 1.0)
        if self._lapsed:
            self._next_lapse = min(self._next_lapse, now + 1.0)
        return self._remove_expired(now - after)

    def _remove_expired(self, before):
        surplus = len(self._lapsed) - MAX_EXPIRED_RECORDS
        removed = [
            name
            for rank, (name, expires) in enumerate(self._lapsed.items())
            if rank < surplus or expires < before
        ]
        for name in removed:
            del self.servers[name]
            del self._lapsed[name]
        return removed


def _decode_load(renewal):
    if len(renewal.load) != len(announcements.Load.__struct_fields__):
        return None
    *counts, measured = renewal.load
    return announcements.Load(*[int(count) for count in counts], measured)


def _aged_load(load, seconds):
    """Return a load report aged by ``seconds``.

    A renewal that carries no load keeps the previous report, aged.
    """
    measured = load.measured_ms_ago + 1000.0 * max(0.0, seconds)
    return msgspec.structs.replace(load, measured_ms_ago=measured)


def supersedes(announcement, current):
    """Return whether an announcement replaces the ``current`` one."""
    if _has_left(current, announcement.epoch):
        return announcement.leaving and announcement.order() > current.order()
    if announcement.leaving and announcement.epoch == current.epoch:
        return True
    return announcement.order() > current.order()


def content_hash(announcement):
    """Return a hash of all fields that a renewal does not carry."""
    constant = msgspec.structs.replace(
        announcement, sequence=0, load=announcements.Load()
    )
    return digests.hash_of(msgspec.json.encode(constant))


def _start_of(announcement):
    return (announcement.backend_server, *announcement.start())


def _has_left(announcement, epoch):
    return announcement.leaving and announcement.epoch == epoch


def _check_record_order(before, after):
    invariants.check(
        after.order() >= before.order(),
        "server_record_never_displaced_by_older",
        after.backend_server,
    )
    invariants.check(
        after.leaving or not _has_left(before, after.epoch),
        "leaving_wins_within_epoch",
        after.backend_server,
    )
