"""The member table: known instances, their locations and reachability.

The table is a state-based CRDT.  The records of an instance are totally
ordered by ``(incarnation, refutations, standing)`` and the greatest one wins,
so records may arrive duplicated, late and in any order (Das, Gupta and
Motivala, "SWIM", 2002; Dadgar, Phillips and Currey, "Lifeguard", 2017).  An
instance starts from a few seed addresses and discovers the rest from other
instances.
"""

import msgspec

from .. import invariants
from . import digests
from . import domain_silence
from . import member_links
from . import member_records
from . import pauses

Change = member_records.Change
MemberRecord = member_records.MemberRecord
Reach = member_records.Reach
Standing = member_records.Standing
# Seconds between two heartbeats on each link.
HEARTBEAT_INTERVAL_SECONDS = 1.0
# A linked instance counts as unreachable after 3.5 missed heartbeats.  One
# second earlier, other instances are asked to probe it.
SILENT_AFTER_SECONDS = 3.5
PROBE_AFTER_SECONDS = 2.5
# How long a suspected instance has to refute the suspicion.  An update
# reaches everyone in well under a second, so this allows for the loss of a
# few messages.
SUSPICION_SECONDS = 3.0
# Upper bound of the local health score (0 is healthy), as in Lifeguard.  The
# timeouts of an instance are multiplied by one plus its score.
MAX_HEALTH_SCORE = 4
# How long a relay's report of silent failure domains stays valid: two query
# intervals of an idle instance, see ``components.server_loads``.
SILENCE_REPORT_SECONDS = 1.0
# Upper bound of the lowest one-way latency between any two instances, also
# in different regions.
BASE_LATENCY_SECONDS = 0.05
# Failed instances are retried for a day, since a partition may last long.
# Instances that left are remembered while stale records of them may still
# be in flight.
FAILED_RETENTION_SECONDS = 24 * 3600.0
LEFT_RETENTION_SECONDS = 600.0


class Membership:
    """The other instances by name, and the seed addresses.

    ``changes`` holds the member changes between the last two ticks, which
    the other components read in their own tick.  All times, unless stated
    otherwise, are seconds on this instance's monotonic clock.
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
        "_reported_silent",
        "_domain_activity",
        "_pauses",
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
        self._links = member_links.MemberLinks(identity, self.members)
        self._reported_silent = {}
        self._domain_activity = domain_silence.DomainActivity()
        self._pauses = pauses.PauseDetector()

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
        """Return the record of an instance to send to others, or ``None``."""
        if instance == self._identity.instance:
            return self.own_record()
        member = self.members.get(instance)
        return member.record if member else None

    def note_own(self):
        """Update the entry of this instance in the table digest."""
        own = self.own_record()
        self.digest.put(own.instance, own.order())

    def hear(self, sender, now):
        """Record that a message arrived directly from ``sender``.

        Returns the sender's member entry, which is created or replaced if
        the message is from a newer incarnation.
        """
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
        held.probed_at = None
        self._domain_activity.note(held.failure_domain, now)
        self._update_min_offset(held, sender, now)
        return held

    def _update_min_offset(self, member, sender, now):
        member.offset = min(member.offset, now - sender.clock)

    def delay(self, sender, now):
        """Return an upper bound of a message's transit time, in seconds.

        Both clocks are monotonic but have unrelated origins.  The smallest
        difference seen between them belongs to the fastest message; any
        excess of a later message is delay in a queue, in the network or by a
        pause of either process.  Without this, a message that waited two
        seconds in a socket would extend a lease by two seconds too much.
        The clocks cannot show the latency of the fastest message itself, so
        a fixed allowance is added for it.  After a pause of this process
        even the first message of a sender, which has no earlier message to
        compare with, may have been queued for the length of the pause.
        """
        member = self.members.get(sender.instance)
        if member is None:
            return 0.0
        least = min(member.offset, member.offset_before)
        late = now - sender.clock - least
        return BASE_LATENCY_SECONDS + max(0.0, late, self.waited(now))

    def learn(self, record, now):
        """Merge a record and return whether it changed the table."""
        held = self.members.get(record.instance)
        if record.instance == self._identity.instance:
            return False
        if held is None:
            self._add_member(record, now)
            return True
        if record.order() <= held.record.order():
            return False
        self._replace_record(held, record, now)
        return True

    def _add_member(self, record, now):
        member = member_records.Member(record, now, now)
        self.members[record.instance] = member
        self.digest.put(record.instance, record.order())
        self._links.invalidate()
        if not member.gone():
            self._record_change(record.instance, Change.JOINED)

    def _replace_record(self, held, record, now):
        before = held.record
        invariants.check(
            record.order() > before.order(),
            "member_record_never_displaced_by_older",
            record.instance,
        )
        held.record = record
        held.since = now
        held.probed_at = None
        if record.incarnation != before.incarnation:
            held.offset = float("inf")
            held.offset_before = float("inf")
            held.applied = 0
            held.heard = now
        self.digest.put(record.instance, record.order())
        self._links.invalidate()
        self._record_change(record.instance, _change_between(before, record))

    def _record_change(self, instance, change):
        self._next_changes.append(
            member_records.MemberChange(instance, change)
        )

    def turn_changes(self):
        """Publish the changes since the last call as ``changes``."""
        self.changes = self._next_changes
        self._next_changes = []

    def mark(self, member, standing, now):
        """Set the standing of a member and return its current record."""
        record = msgspec.structs.replace(member.record, standing=standing)
        self.learn(record, now)
        return member.record

    def contradicts(self, record):
        """Return whether a record about this instance must be refuted."""
        own = self.own_record()
        return record.instance == own.instance and record.order() > own.order()

    def refute(self, record):
        """Supersede a wrong record about this instance.

        If the record has a greater incarnation than this process, the wall
        clock was set back between two starts.  The incarnation is raised so
        that this start counts as the newer one.
        """
        own = self._identity
        if record.incarnation > own.incarnation:
            own.incarnation = record.incarnation + 1
            own.refutations = 0
        else:
            own.refutations = record.refutations + 1
        self.note_own()

    def alive(self, now):
        """Return the members that are believed to be reachable."""
        return [item for item in self.members.values() if reached(item, now)]

    def address_of(self, instance):
        """Return the peer address of an instance, or ''."""
        member = self.members.get(instance)
        return member.address if member else ""

    def addresses(self):
        """Return the addresses of all known members and all seeds."""
        known = {item.address for item in self.members.values()}
        return sorted(known | self.seeds)

    def links(self):
        """Return the members that this instance exchanges heartbeats with."""
        return self._links.linked()

    def note_silent(self, now):
        """Exclude silent members from relay duty before they are failed."""
        self._links.note_silent(now)

    def full_mesh(self):
        """Return whether every instance is linked to every other."""
        return self._links.full_mesh()

    def is_relay(self):
        """Return whether this instance is a relay of its failure domain."""
        return self._links.is_relay()

    def is_first_relay(self):
        """Return whether this instance is the first relay of its domain."""
        return self._links.is_first_relay()

    def relays_of(self, domain):
        """Return the other members that are relays of a failure domain."""
        return self._links.relays_of(domain)

    def relayed_domains(self):
        """Return the failure domains that have relays."""
        return self._links.relayed_domains()

    def silent_relays_of(self, domain):
        """Return the names of a domain's members that are silent."""
        return self._links.silent_relays_of(domain)

    def is_relay_of(self, member):
        """Return whether a member is a relay of its failure domain."""
        return self._links.is_relay_of(member)

    def spread_to(self, source=""):
        """Return the links to forward an update to; see ``MemberLinks``."""
        return self._links.spread_to(source)

    def patience(self):
        """Return the factor that extends this instance's timeouts."""
        return 1.0 + self.health

    def hears_anybody(self, now):
        """Return whether any other instance was heard recently."""
        return self._domain_activity.any_after(self._recent_threshold(now))

    def heard_since(self, moment):
        """Return whether any other instance was heard after ``moment``."""
        return self._domain_activity.any_after(moment)

    def heard_from(self, domain):
        """Return when an instance of ``domain`` was last heard directly.

        Returns ``None`` if no instance there was ever heard, and wherever
        relays are used, since most instances are then heard through relays
        only.
        """
        if not self.full_mesh():
            return None
        return self._domain_activity.when(domain)

    def has_fallen_silent(self, domain, now):
        """Return whether a domain recently fell silent while others did not.

        If this instance hears nobody at all, its own network is at fault.
        Where relays are used, only relays hear other domains, and they
        report silent domains to their own domain.  Without these reports,
        each of the 39 instances of a domain lost one or two requests in each
        partition, over connections that had been opened before it.
        """
        if not self.full_mesh() and not self.is_relay():
            return now < self._reported_silent.get(domain, float("-inf"))
        return self._domain_activity.has_fallen_silent(domain, now)

    def note_told_silent(self, domains, now):
        """Record which domains a relay of the own domain reports silent."""
        until = now + SILENCE_REPORT_SECONDS
        self._reported_silent = {domain: until for domain in domains}

    def silent_domains(self, now):
        """Return the failure domains that recently fell silent."""
        return {
            domain
            for domain in {*self._domain_activity, *self._reported_silent}
            if self.has_fallen_silent(domain, now)
        }

    def hears_other_domain(self, now):
        """Return whether any instance of another domain was heard recently.

        An instance that is linked only to the relays of its domain relies on
        what they report.
        """
        domain = self._identity.failure_domain
        if not self.full_mesh() and not self.is_relay():
            return any(
                item.hears_other_domains and reached(item, now)
                for item in self.relays_of(domain)
            )
        return self._domain_activity.any_after(
            self._recent_threshold(now), domain
        )

    def _recent_threshold(self, now):
        """Return the time after which a message counts as recent."""
        return now - SILENT_AFTER_SECONDS * self.patience()

    def hears_majority(self, now):
        """Return whether more than half of all instances are reachable.

        Every known instance that has not left counts, including this one.
        An instance that hears from no other one has no majority, whatever
        its table contains.
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
        """Return how much of the deployment this instance can hear."""
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
        """Move all timestamps forward by the length of a local pause.

        Otherwise, the other instances would seem silent for the time in
        which this process was paused.
        """
        for member in self.members.values():
            member.heard += seconds
            member.since += seconds
            if member.probed_at is not None:
                member.probed_at += seconds
        self._domain_activity.shift(seconds)

    def note_tick(self, now):
        """Record a tick and return for how long this process was paused."""
        return self._pauses.note_tick(now)

    def waited(self, now):
        """Return how old data may be that was just read from a socket."""
        return self._pauses.waited(now)

    def turn_offsets(self):
        """Start a new period for the minimum clock offsets.

        Clocks drift, and the monotonic clock of a suspended host stops.
        With a minimum of all time, every later message from that host would
        look late and would never renew a lease.  The peer link drops a
        message after a few seconds, so the fastest message of a whole period
        has hardly been delayed.
        """
        for member in self.members.values():
            member.offset_before = member.offset
            member.offset = float("inf")

    def forget(self, now):
        """Remove failed and left members after their retention time."""
        for name in [
            name
            for name, item in self.members.items()
            if item.gone() and now - item.since > _retention_seconds(item)
        ]:
            del self.members[name]
            self.digest.drop(name)
            self._links.invalidate()


def _retention_seconds(member):
    return (
        LEFT_RETENTION_SECONDS
        if member.standing is Standing.LEFT
        else FAILED_RETENTION_SECONDS
    )


def reached(member, now):
    """Return whether a member is believed to be reachable."""
    # Runs for all members a few times a second.
    if member.record.standing in member_records.GONE:
        return False
    return not member.linked or now - member.heard < SILENT_AFTER_SECONDS


def _change_between(before, record):
    if record.standing is Standing.SUSPECT:
        return Change.SUSPECTED
    if record.standing is Standing.FAILED:
        return Change.FAILED
    if record.standing is Standing.LEFT:
        return Change.LEFT
    if record.incarnation != before.incarnation:
        return Change.RESTARTED
    return Change.RETURNED
