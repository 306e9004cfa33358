"""Records of instances, as they are held and as they cross the wire."""

import enum

import msgspec


class Standing(enum.Enum):
    """What is known of an instance, the stronger claim later."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    FAILED = "failed"
    LEFT = "left"


_RANK = {standing: rank for rank, standing in enumerate(Standing)}


class MemberRecord(msgspec.Struct, array_like=True):
    """What one instance tells others about an instance."""

    instance: str
    address: str
    failure_domain: str
    region: str
    incarnation: int
    refutations: int = 0
    standing: Standing = Standing.ALIVE

    def order(self):
        """Return the key by which the greater record wins."""
        rank = _RANK[self.standing]
        return (self.incarnation, self.refutations, rank)


class MemberRecords(msgspec.Struct, tag="members"):
    """Records of instances that the sender holds."""

    records: list[MemberRecord]


GONE = (Standing.FAILED, Standing.LEFT)


class Member(msgspec.Struct):
    """Another instance as it is seen from here.

    ``heard`` is when it was last heard directly, ``since`` when its
    standing last changed, both on this instance's clock.  ``outside`` is
    whether it says that it hears other failure domains.  ``linked`` tells
    whether it sends heartbeats here.  ``offset`` is the least difference
    seen between this clock and its own in this period, ``offset_before``
    that of the period before.  ``agreed`` is when its table of finished
    usage was last the same as ours.
    """

    record: MemberRecord
    heard: float
    since: float
    applied: int = 0
    linked: bool = False
    probed: float | None = None
    offset: float = float("inf")
    offset_before: float = float("inf")
    agreed: float = float("-inf")
    outside: bool = False

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
        """The failure domain it runs in."""
        return self.record.failure_domain

    @property
    def region(self):
        """The region it runs in."""
        return self.record.region

    @property
    def incarnation(self):
        """A number that grows with each of its starts."""
        return self.record.incarnation

    @property
    def standing(self):
        """What is known of it."""
        return self.record.standing

    def gone(self):
        """Tell whether it has left or is taken for failed."""
        return self.record.standing in GONE


class Change(enum.Enum):
    """What happened to a member, for other components to see."""

    JOINED = "joined"
    RESTARTED = "restarted"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"
    RETURNED = "returned"


class Reach(enum.Enum):
    """How far an instance hears; the widest is not told apart further."""

    NOBODY = "nobody"
    OWN_DOMAIN = "own_failure_domain"
    MINORITY = "minority"
    ALL = "majority"


class MemberChange(msgspec.Struct):
    """One change to the member table."""

    instance: str
    change: Change
