"""Records of instances, as stored in the member table and on the wire."""

import enum

import msgspec


class Standing(enum.Enum):
    """The status of an instance.

    At the same incarnation and refutations, a later one overrides an earlier
    one.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    FAILED = "failed"
    LEFT = "left"


_RANK = {standing: rank for rank, standing in enumerate(Standing)}


class MemberRecord(msgspec.Struct, array_like=True):
    """The information about an instance that instances exchange."""

    instance: str
    address: str
    failure_domain: str
    region: str
    incarnation: int
    refutations: int = 0
    standing: Standing = Standing.ALIVE

    def order(self):
        """Return the sort key; the record with the greatest one wins."""
        rank = _RANK[self.standing]
        return (self.incarnation, self.refutations, rank)


class MemberRecords(msgspec.Struct, tag="members"):
    """Member records from the sender's table."""

    records: list[MemberRecord]


GONE = (Standing.FAILED, Standing.LEFT)


class Member(msgspec.Struct):
    """The local view of another instance.

    ``heard`` is when it was last heard directly and ``since`` when its record
    last changed, both on this instance's monotonic clock.  ``applied`` is the
    configuration version in force there.  ``hears_other_domains`` tells
    whether it reports that it hears other failure domains, ``linked`` whether
    it sends heartbeats to this instance.  ``probed_at`` is when others were
    asked to probe it, ``None`` if they were not.  ``offset`` is the smallest
    difference between this clock and its own in the current period,
    ``offset_before`` that in the previous one.  ``usage_agreed_at`` is when
    its table of finished usage last equalled the local one.
    """

    record: MemberRecord
    heard: float
    since: float
    applied: int = 0
    linked: bool = False
    probed_at: float | None = None
    offset: float = float("inf")
    offset_before: float = float("inf")
    usage_agreed_at: float = float("-inf")
    hears_other_domains: bool = False

    @property
    def instance(self):
        """The name of the instance."""
        return self.record.instance

    @property
    def address(self):
        """The address of its peer listener."""
        return self.record.address

    @property
    def failure_domain(self):
        """The failure domain that it runs in."""
        return self.record.failure_domain

    @property
    def region(self):
        """The region that it runs in."""
        return self.record.region

    @property
    def incarnation(self):
        """A number that grows with each of its starts."""
        return self.record.incarnation

    @property
    def standing(self):
        """Its status, as far as known."""
        return self.record.standing

    def gone(self):
        """Return whether it has left or is considered failed."""
        return self.record.standing in GONE


class Change(enum.Enum):
    """The kinds of member changes that are reported to other components."""

    JOINED = "joined"
    RESTARTED = "restarted"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"
    RETURNED = "returned"


class Reach(enum.Enum):
    """How much of the deployment an instance can hear.

    ``ALL`` means any majority of the instances, not only all of them.
    """

    NOBODY = "nobody"
    OWN_DOMAIN = "own_failure_domain"
    MINORITY = "minority"
    ALL = "majority"


class MemberChange(msgspec.Struct):
    """A change to the member table."""

    instance: str
    change: Change
