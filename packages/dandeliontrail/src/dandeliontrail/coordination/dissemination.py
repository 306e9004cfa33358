"""Messages for anti-entropy between replicated tables, and for probes.

An update is sent at once over all links of an instance (*sync then
broadcast* in the notes "scalable secure scuttlebutt"), and each instance to
which it is new forwards it.  Messages may be lost, so once a second the two
ends of each link compare digests.  Where these differ, they narrow the
difference down: to buckets, then keys, then records.  Unlike the version
vectors of those notes, this costs only one number a second while nothing
changes; docs/design/membership.md has measurements of both.
"""

import enum

import msgspec

# Tables up to this number of entries are compared by key without comparing
# buckets first, which saves a round trip and costs about a kilobyte at most.
MAX_SMALL_TABLE_ENTRIES = 32
# Maximum number of keys that one message compares or sends, so that the repair
# after a long partition is spread over several seconds.
MAX_KEYS_PER_MESSAGE = 256


class Table(enum.Enum):
    """The replicated tables."""

    MEMBERS = "members"
    SERVERS = "servers"
    ENDS = "ends"
    LIMITS = "limits"


class SyncBuckets(msgspec.Struct, tag="sync_buckets"):
    """The hashes of the sender's buckets of one table."""

    table: Table
    hashes: list[int]


class SyncKeys(msgspec.Struct, tag="sync_keys"):
    """The hashes of the sender's entries in ``buckets``, by key."""

    table: Table
    buckets: list[int]
    hashes: dict[str, int]


class SyncWant(msgspec.Struct, tag="sync_want"):
    """Requests the records of some keys."""

    table: Table
    keys: list[str]


class Probe(msgspec.Struct, tag="probe"):
    """Asks, on behalf of ``origin``, whether ``target`` is reachable."""

    target: str
    origin: str


class ProbeAnswer(msgspec.Struct, tag="probe_answer"):
    """The answer of ``target`` to a probe of ``origin``.

    It is returned through the instance that forwarded the probe.
    """

    target: str
    origin: str
