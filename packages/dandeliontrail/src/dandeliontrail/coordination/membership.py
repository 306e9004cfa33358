"""Which other instances there are, where, and whether they can be reached.

The member table is a join of records: each instance's record is ordered by
``(incarnation, refutations, standing)`` and the greater wins, so that
records may arrive repeated, late and in any order (Das, Gupta and Motivala,
"SWIM", 2002; Dadgar, Phillips and Currey, "Lifeguard", 2017).  An instance
starts from a few seed addresses and learns the rest from other instances.
"""

import msgspec

from .. import invariants
from . import digests
from . import domain_silence
from . import links
from . import member_records

Change = member_records.Change
MemberRecord = member_records.MemberRecord
Reach = member_records.Reach
Standing = member_records.Standing
# Heartbeats go out once a second on each link.
HEARTBEAT_INTERVAL = 1.0
# Three missed heartbeats and a half make a linked instance silent; others
# are asked whether they can reach it a second sooner.
SILENT_AFTER = 3.5
PROBE_AFTER = 2.5
# Above a full mesh, relays that missed a heartbeat are replaced.
RELAY_SILENT_AFTER = 1.6
# How long a suspected instance has to refute.  News takes well under a
# second, so this allows for a few lost messages.
SUSPICION_SECONDS = 3.0
# A slow instance multiplies its patience by up to this.
WORST_HEALTH = 4
# A tick this late means that this process, not its peers, stood still.
LATE_TICK = 0.5
# For so long after a pause, what is read may have waited through it.
PAUSE_ECHO = 1.0
# What a relay said of silent domains counts for so long: two of the questions
# of an instance that has no work, see ``components.server_loads``.
TOLD_SECONDS = 1.0
# The fastest message between two instances, regions apart, takes less.
HOP_SECONDS = 0.05
# Failed instances are tried again for a day, since a partition may be
# long; those that left are remembered while old news may be on its way.
KEEP_FAILED = 24 * 3600.0
KEEP_LEFT = 600.0


class Membership:
    """The members by name, and the seeds to start from.

    ``changes`` holds what happened between the last two ticks, for the
    other components to read in their own tick.
    """

    __slots__ = (
        "members",
        "seeds",
        "changes",
        "_next_changes",
        "digest",
        "health",
        "heartbeat_now",
        "_identity",
        "_links",
        "_linked_members",
        "_silent",
        "_told_silent",
        "_heard",
        "_last_tick",
        "_pause",
        "_pause_ended",
    )

    def __init__(self, identity, seeds):
        self.members = {}
        self.seeds = set(seeds)
        self.changes = []
        self._next_changes = []
        self.digest = digests.TableDigest()
        self.health = 0
        self.heartbeat_now = False
        self._identity = identity
        self._links = None
        self._linked_members = []
        self._silent = set()
        self._told_silent = {}
        self._heard = domain_silence.HeardDomains()
        self._last_tick = None
        self._pause = 0.0
        self._pause_ended = float("-inf")

    def own_record(self, standing=Standing.ALIVE):
        """Return this instance's record of itself."""
        own = self._identity
        return MemberRecord(
            own.instance,
            own.address,
            own.failure_domain,
            own.region,
            own.incarnation,
            own.refutations,
            standing,
        )

    def record_of(self, instance):
        """Return the record to pass on about an instance, or ``None``."""
        if instance == self._identity.instance:
            return self.own_record()
        member = self.members.get(instance)
        return member.record if member else None

    def note_own(self):
        """Bring this instance's own entry of the digest up to date."""
        own = self.own_record()
        self.digest.put(own.instance, own.order())

    def hear(self, sender, now):
        """Take note of a message that came directly from ``sender``."""
        held = self.members.get(sender.instance)
        if held is None or sender.incarnation > held.incarnation:
            record = MemberRecord(
                sender.instance,
                sender.address,
                sender.failure_domain,
                sender.region,
                sender.incarnation,
            )
            self.learn(record, now)
            held = self.members[sender.instance]
        if sender.incarnation < held.incarnation:
            return held
        held.heard = now
        held.probed = None
        self._heard.note(held.failure_domain, now)
        self._note_offset(held, sender, now)
        return held

    def _note_offset(self, member, sender, now):
        member.offset = min(member.offset, now - sender.clock)

    def delay(self, sender, now):
        """Return for how many seconds a message was under way at most.

        Both clocks are monotonic but have nothing in common.  Their
        difference is least for the fastest message so far; what a later one
        is above that, it was delayed, in a queue, on the way or because
        either end stood still.  So a message that waited two seconds in a
        socket cannot grant two seconds more of a lease.  What the fastest
        one took cannot be told from the clocks and is allowed for.  After a
        pause of this process even the first message of a sender, with which
        there is nothing to compare, may have waited through it.
        """
        member = self.members.get(sender.instance)
        if member is None:
            return 0.0
        least = min(member.offset, member.offset_before)
        late = now - sender.clock - least
        return HOP_SECONDS + max(0.0, late, self.waited(now))

    def learn(self, record, now):
        """Take in a record and return whether it was news."""
        held = self.members.get(record.instance)
        if record.instance == self._identity.instance:
            return False
        if held is None:
            self._add(record, now)
            return True
        if record.order() <= held.record.order():
            return False
        self._replace(held, record, now)
        return True

    def _add(self, record, now):
        member = member_records.Member(record, now, now)
        self.members[record.instance] = member
        self.digest.put(record.instance, record.order())
        self._links = None
        if not member.gone():
            self._note(record.instance, Change.JOINED)

    def _replace(self, held, record, now):
        before = held.record
        invariants.check(
            record.order() > before.order(),
            "member_record_never_displaced_by_older",
            record.instance,
        )
        held.record = record
        held.since = now
        held.probed = None
        if record.incarnation != before.incarnation:
            held.offset = float("inf")
            held.offset_before = float("inf")
            held.applied = 0
            held.heard = now
        self.digest.put(record.instance, record.order())
        self._links = None
        self._note(record.instance, _change(before, record))

    def _note(self, instance, change):
        self._next_changes.append(
            member_records.MemberChange(instance, change)
        )

    def turn_changes(self):
        """Let the changes since the last call be read in this tick."""
        self.changes = self._next_changes
        self._next_changes = []

    def mark(self, member, standing, now):
        """Give a member a new standing and return its record."""
        record = msgspec.structs.replace(member.record, standing=standing)
        self.learn(record, now)
        return member.record

    def contradicts(self, record):
        """Tell whether a record about this instance must be refuted."""
        own = self.own_record()
        return record.instance == own.instance and record.order() > own.order()

    def refute(self, record):
        """Outbid a record that is wrong about this instance.

        A greater incarnation than our own means that the wall clock was set
        back between two starts: this start must count as the newer.
        """
        own = self._identity
        if record.incarnation > own.incarnation:
            own.incarnation = record.incarnation + 1
            own.refutations = 0
        else:
            own.refutations = record.refutations + 1
        self.note_own()

    def alive(self, now):
        """Return the members that can be reached, as far as is known."""
        return [item for item in self.members.values() if reached(item, now)]

    def address_of(self, instance):
        """Return the peer address of an instance, or ''."""
        member = self.members.get(instance)
        return member.address if member else ""

    def addresses(self):
        """Return every address at which an instance may be."""
        known = {item.address for item in self.members.values()}
        return sorted(known | self.seeds)

    def links(self):
        """Return the members that this instance keeps in touch with."""
        if self._links is None:
            self._choose_links()
        return self._linked_members

    def _choose_links(self):
        own = self._identity
        domain_of = {
            name: item.failure_domain
            for name, item in self.members.items()
            if not item.gone()
        }
        self._links = links.choose(
            own.instance, own.failure_domain, domain_of, self._silent
        )
        self._linked_members = [
            self.members[name] for name in sorted(self._links.names)
        ]

    def note_silent(self, now):
        """Take silent members for no relays, sooner than for failed.

        A lease has 3 s, and 2.4 s of these may be used up by the way of a
        renewal; to take on a relay too many for a moment costs little.
        """
        if self.full_mesh():
            return
        silent = {
            name
            for name, item in self.members.items()
            if item.linked and now - item.heard > RELAY_SILENT_AFTER
        }
        if silent != self._silent:
            self._silent = silent
            self._links = None

    def full_mesh(self):
        """Tell whether every instance is linked to every other."""
        self.links()
        return not self._links.relays

    def is_relay(self):
        """Tell whether this instance is a relay of its failure domain."""
        self.links()
        return self._links.is_relay

    def is_first_relay(self):
        """Tell whether this instance is the first relay of its domain."""
        self.links()
        own = self._identity
        return self._links.relays[own.failure_domain][0] == own.instance

    def relays_of(self, domain):
        """Return the other members that are relays of a failure domain."""
        self.links()
        names = self._links.relays.get(domain, ())
        return [self.members[name] for name in names if name in self.members]

    def relayed_domains(self):
        """Return the failure domains that have relays."""
        self.links()
        return list(self._links.relays)

    def silent_relays_of(self, domain):
        """Return who of a domain is no relay for being silent, by name."""
        return sorted(
            name
            for name in self._silent & self.members.keys()
            if self.members[name].failure_domain == domain
        )

    def is_relay_of(self, member):
        """Tell whether a member is a relay of its failure domain."""
        return member in self.relays_of(member.failure_domain)

    def spread_to(self, source=""):
        """Return the links to pass on news to that came from ``source``.

        In a full mesh to all others, whatever the source: two of them may
        have no path to each other.  From a relay of its own domain an
        instance has it last.  A relay tells its domain, and other relays
        only what comes from its own domain.
        """
        out = [item for item in self.links() if item.instance != source]
        if not source or self.full_mesh():
            return out
        domain = self._identity.failure_domain
        sender = self.members[source]
        if self.is_relay():
            if sender.failure_domain == domain:
                return out
            return [item for item in out if item.failure_domain == domain]
        if sender in self.relays_of(domain):
            return []
        return out

    def patience(self):
        """Return the factor by which a slow instance waits longer."""
        return 1.0 + self.health

    def hears_anybody(self, now):
        """Tell whether any other instance was heard lately."""
        return self._heard.any_after(self._hearing_since(now))

    def heard_since(self, moment):
        """Tell whether any other instance was heard after ``moment``."""
        return self._heard.any_after(moment)

    def heard_from(self, domain):
        """Return when an instance of ``domain`` was last heard directly.

        It is ``None`` above a full mesh, where most are heard of through
        relays alone, and while none of them was ever heard.
        """
        if not self.full_mesh():
            return None
        return self._heard.when(domain)

    def has_fallen_silent(self, domain, now):
        """Tell whether a domain has just fallen silent, and others have not.

        Where this instance hears nobody, the fault is with itself.  Above a
        full mesh only relays hear other domains, and tell their own: without
        their word each of 39 instances of a domain lost a request or two in
        each cut, over connections that were open since before.
        """
        if not self.full_mesh() and not self.is_relay():
            return now < self._told_silent.get(domain, float("-inf"))
        return self._heard.has_fallen_silent(domain, now)

    def note_told_silent(self, domains, now):
        """Take in which domains a relay of the own domain finds silent."""
        until = now + TOLD_SECONDS
        self._told_silent = {domain: until for domain in domains}

    def silent_domains(self, now):
        """Return the failure domains that have just fallen silent."""
        return {
            domain
            for domain in {*self._heard, *self._told_silent}
            if self.has_fallen_silent(domain, now)
        }

    def hears_other_domain(self, now):
        """Tell whether anybody outside this failure domain was heard.

        An instance that is linked to its relays alone goes by their word.
        """
        domain = self._identity.failure_domain
        if not self.full_mesh() and not self.is_relay():
            return any(
                item.outside and reached(item, now)
                for item in self.relays_of(domain)
            )
        return self._heard.any_after(self._hearing_since(now), domain)

    def _hearing_since(self, now):
        """Return since when whoever was heard counts as heard lately."""
        return now - SILENT_AFTER * self.patience()

    def hears_majority(self, now):
        """Tell whether more than half of all instances are reached.

        All that are known and have not left count, this one included; an
        instance that hears nobody has no majority, whatever it remembers.
        """
        counted = [
            item
            for item in self.members.values()
            if item.standing is not Standing.LEFT
        ]
        if counted and not self.hears_anybody(now):
            return False
        reachable = 1 + sum(1 for item in counted if reached(item, now))
        return 2 * reachable > len(counted) + 1

    def reach(self, now):
        """Return how far this instance hears."""
        domain = self._identity.failure_domain
        others = [
            item
            for item in self.members.values()
            if item.standing is not Standing.LEFT
        ]
        if others and not self.hears_anybody(now):
            return Reach.NOBODY
        if all(item.failure_domain == domain for item in others):
            return Reach.ALL
        if not self.hears_other_domain(now):
            return Reach.OWN_DOMAIN
        return Reach.ALL if self.hears_majority(now) else Reach.MINORITY

    def shift(self, seconds):
        """Excuse all others for a time in which this process stood still."""
        for member in self.members.values():
            member.heard += seconds
            member.since += seconds
            if member.probed is not None:
                member.probed += seconds
        self._heard.shift(seconds)

    def note_tick(self, now):
        """Note that this process runs; return for how long it stood still.

        Zero where the last tick is as long ago as it should be.
        """
        late = now - self._last_tick if self._last_tick is not None else 0.0
        self._last_tick = now
        if late <= LATE_TICK:
            return 0.0
        self._pause = late
        self._pause_ended = now
        return late

    def waited(self, now):
        """Return for how long something just read may have waited here.

        After a pause of this process, what is read from its sockets may be
        as old as the pause was long, and a backend server that has fallen
        silent since would be taken for alive.
        """
        if self._last_tick is None:
            return 0.0
        if now - self._last_tick > LATE_TICK:
            return now - self._last_tick
        if now - self._pause_ended < PAUSE_ECHO:
            return self._pause
        return 0.0

    def turn_offsets(self):
        """Begin a new period in which least offsets are looked for.

        Clocks drift apart, and the monotonic clock of a machine that is
        suspended stands still: from then on every message of it would look
        late for good, and renew no lease.  The link gives up a message
        after a few seconds, so that the fastest of a whole period has
        hardly been delayed.
        """
        for member in self.members.values():
            member.offset_before = member.offset
            member.offset = float("inf")

    def forget(self, now):
        """Drop members that have been gone for long."""
        for name in [
            name
            for name, item in self.members.items()
            if item.gone() and now - item.since > _keep(item)
        ]:
            del self.members[name]
            self.digest.drop(name)
            self._links = None


def _keep(member):
    return KEEP_LEFT if member.standing is Standing.LEFT else KEEP_FAILED


def reached(member, now):
    """Tell whether a member can be reached, as far as is known."""
    if member.gone():
        return False
    return not member.linked or now - member.heard < SILENT_AFTER


def _change(before, record):
    if record.standing is Standing.SUSPECT:
        return Change.SUSPECTED
    if record.standing is Standing.FAILED:
        return Change.FAILED
    if record.standing is Standing.LEFT:
        return Change.LEFT
    if record.incarnation != before.incarnation:
        return Change.RESTARTED
    return Change.RETURNED
