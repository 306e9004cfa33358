"""What this instance knows of backend servers.

Records are ordered by ``(epoch, sequence)``, and within an epoch leaving
wins over running whatever the sequence.  Leases are counted on this
instance's own monotonic clock, from when the announcement was first heard
anywhere: each hop adds the record's age, so that a skewed clock or a long
way cannot prolong them.
"""

import msgspec

from .. import invariants
from . import digests
from ..resources import announcements
from . import vouches

# A server that leaves or falls silent gets no new work after this long at
# the most, whatever lease it asked for itself.
LONGEST_LEASE = 3.0
# Lapsed records stay this long, and so many at most, so that an older
# announcement that is still on its way cannot bring the server back.
KEEP_LAPSED = 60.0
MOST_LAPSED = 10_000


class ServerRecord(msgspec.Struct):
    """An announcement on its way between instances, ``age`` seconds old."""

    announcement: announcements.Announcement
    age: float = 0.0


class ServerRecords(msgspec.Struct, tag="servers"):
    """Records of backend servers that the sender holds."""

    records: list[ServerRecord]


class Renewal(msgspec.Struct, array_like=True):
    """An announcement that changed nothing but its sequence and load.

    ``content`` stands for all the rest, so that a receiver that missed a
    change asks for the whole record in place of renewing a stale one.
    ``load`` has the fields of a load report in their order, or is empty
    where the sender was short of bytes.
    """

    backend_server: str
    epoch: int
    sequence: int
    content: int
    age: float
    load: list[float]


class Renewals(msgspec.Struct, tag="renewals"):
    """Renewed leases, with load."""

    renewals: list[Renewal]


class Server(msgspec.Struct):
    """One backend server as it is seen from here.

    ``expires`` and ``heard`` are on this instance's clock; ``heard`` is
    when the announcement was first heard by any instance.
    """

    announcement: announcements.Announcement
    heard: float
    expires: float
    content: int = 0
    lease: float = LONGEST_LEASE

    def serves(self, now):
        """Tell whether new work may go to it."""
        return now < self.expires and not self.announcement.leaving

    def load_age(self, now):
        """Return how many seconds ago its load was measured."""
        measured = self.announcement.load.measured_ms_ago / 1000.0
        return max(0.0, now - self.heard) + measured


class ServerRegistry:
    """All backend servers heard of, by name."""

    __slots__ = (
        "servers",
        "digest",
        "running",
        "longest_lease",
        "_lapsed",
        "_next_lapse",
    )

    def __init__(self, longest_lease=LONGEST_LEASE):
        self.longest_lease = longest_lease
        self.servers = {}
        self.digest = digests.TableDigest()
        self.running = {}
        self._lapsed = {}
        self._next_lapse = 0.0

    def _lease_of(self, announcement):
        """Return for how many seconds an announcement holds here."""
        return min(announcement.lease, self.longest_lease)

    def learn(self, announcement, age, now):
        """Take in a record and return whether it was news."""
        name = announcement.backend_server
        held = self.servers.get(name)
        lease = self._lease_of(announcement)
        if held is None:
            if age >= lease and not announcement.leaving:
                return False
            held = Server(announcement, now - age, now - age + lease)
            self.servers[name] = held
        elif newer(announcement, held.announcement):
            self._replace(held, announcement, now - age)
        else:
            return self._hear_again(held, announcement, now - age)
        held.content = content_of(held.announcement)
        self._enter(held)
        return True

    def _hear_again(self, held, announcement, heard):
        """Renew a lease by a record that is no newer but was heard later.

        Relays vouch for servers without their sequences, so that two
        instances may hold one announcement with different ages.
        """
        if announcement.epoch != held.announcement.epoch:
            return False
        if held.announcement.leaving or heard <= held.heard:
            return False
        if content_of(announcement) != held.content:
            return False
        held.heard = heard
        held.expires = heard + self._lease_of(held.announcement)
        self._enter(held)
        return True

    def _enter(self, held):
        """Keep the digests of those that have not lapsed."""
        announcement = held.announcement
        name = announcement.backend_server
        held.lease = self._lease_of(announcement)
        self._lapsed.pop(name, None)
        self._next_lapse = min(self._next_lapse, held.expires)
        self.digest.put(name, held.content)
        running = self.running.setdefault(
            announcement.failure_domain, vouches.RunningServers()
        )
        if announcement.leaving:
            running.drop(name)
        else:
            running.put(name, held)

    def _leave_digests(self, name):
        domain = self.servers[name].announcement.failure_domain
        self.digest.drop(name)
        self.running[domain].drop(name)

    def _replace(self, held, announcement, heard):
        before = held.announcement
        if before.order() > announcement.order():
            # A late word that the server leaves: the newest sequence must
            # stay, or a record between the two would pass for news.
            announcement = msgspec.structs.replace(
                announcement, sequence=before.sequence
            )
            heard = held.heard
        elif before.epoch == announcement.epoch:
            # A relay may have vouched for it since that announcement.
            heard = max(heard, held.heard)
        if before.failure_domain != announcement.failure_domain:
            self._leave_digests(announcement.backend_server)
        # The object is kept, since the directory's lists point to it.
        held.announcement = announcement
        held.heard = heard
        held.expires = heard + self._lease_of(announcement)
        _check_order(before, announcement)

    def renew(self, renewal, age, now):
        """Take in a renewal and return whether it was news.

        Returns ``None`` where the whole record is needed first.
        """
        held = self.servers.get(renewal.backend_server)
        if held is None:
            return None if age < self.longest_lease else False
        before = held.announcement
        order = (renewal.epoch, renewal.sequence)
        if order <= before.order() or _has_left(before, renewal.epoch):
            return False
        if renewal.epoch != before.epoch or renewal.content != held.content:
            return None
        load = _load_of(renewal) or _older(before.load, now - held.heard)
        held.announcement = msgspec.structs.replace(
            before, sequence=renewal.sequence, load=load
        )
        held.heard = now - age
        held.expires = held.heard + self._lease_of(before)
        self._enter(held)
        _check_order(before, held.announcement)
        return True

    def vouch(self, domain, now):
        """Return the word for all running servers of a failure domain."""
        return self.running[domain].vouch(domain, now)

    def vouched(self, vouch, delay, now):
        """Take in a relay's word; return whether it renewed anything."""
        running = self.running.get(vouch.failure_domain)
        return running is not None and running.renew(vouch, delay, now)

    def renewal_of(self, name, now):
        """Return the renewal that tells others what is held."""
        held = self.servers[name]
        announcement = held.announcement
        load = announcement.load
        return Renewal(
            name,
            announcement.epoch,
            announcement.sequence,
            held.content,
            round(max(0.0, now - held.heard), 3),
            [load.running, load.waiting, load.kv_used, load.measured_ms_ago],
        )

    def record_of(self, name, now):
        """Return the whole record that tells others what is held."""
        held = self.servers[name]
        age = round(max(0.0, now - held.heard), 3)
        return ServerRecord(held.announcement, age)

    def serving(self, now):
        """Return the servers that may get new work."""
        return [item for item in self.servers.values() if item.serves(now)]

    def forget(self, now, after=KEEP_LAPSED):
        """Drop servers that lapsed more than ``after`` seconds ago.

        Lapsed servers leave the digests at once, since instances forget
        them at different moments.  Leases only grow, so nothing can have
        lapsed before the first end of a lease seen at the last look.
        """
        if now < self._next_lapse:
            return []
        for name, held in self.servers.items():
            if held.expires < now and name not in self._lapsed:
                self._lapsed[name] = held.expires
                self._leave_digests(name)
        running = [
            held.expires
            for name, held in self.servers.items()
            if name not in self._lapsed
        ]
        self._next_lapse = min(running, default=now + 1.0)
        if self._lapsed:
            self._next_lapse = min(self._next_lapse, now + 1.0)
        return self._forget_lapsed(now - after)

    def _forget_lapsed(self, before):
        surplus = len(self._lapsed) - MOST_LAPSED
        gone = [
            name
            for rank, (name, expires) in enumerate(self._lapsed.items())
            if rank < surplus or expires < before
        ]
        for name in gone:
            del self.servers[name]
            del self._lapsed[name]
        return gone


def _load_of(renewal):
    if len(renewal.load) != len(announcements.Load.__struct_fields__):
        return None
    *counts, measured = renewal.load
    return announcements.Load(*[int(count) for count in counts], measured)


def _older(load, seconds):
    """Return a load report that a renewal without one leaves in place."""
    measured = load.measured_ms_ago + 1000.0 * max(0.0, seconds)
    return msgspec.structs.replace(load, measured_ms_ago=measured)


def newer(announcement, held):
    """Tell whether an announcement displaces the one that is held."""
    if _has_left(held, announcement.epoch):
        return announcement.leaving and announcement.order() > held.order()
    if announcement.leaving and announcement.epoch == held.epoch:
        return True
    return announcement.order() > held.order()


def content_of(announcement):
    """Return a number for all that a renewal does not carry."""
    constant = msgspec.structs.replace(
        announcement, sequence=0, load=announcements.Load()
    )
    return digests.hash_of(msgspec.json.encode(constant))


def _has_left(held, epoch):
    return held.leaving and held.epoch == epoch


def _check_order(before, after):
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
