"""Messages between instances.

Every message is a tagged struct, so that one codec decodes them all and can
tell a message of a newer release from a broken one.  To add a message, define
a struct with a unique tag in the module that implements its mechanism, and
add it to ``ALL`` in :mod:`dandeliontrail.coordination.codec`.
"""

import msgspec


class Sender(msgspec.Struct, array_like=True):
    """The sender of an envelope; ``incarnation`` grows with each start.

    ``clock`` is the time on the sender's monotonic clock, in seconds, at
    which the oldest message of the envelope was queued.  It is meaningful
    only in comparison with other messages of the sender; see
    :meth:`..coordination.membership.Membership.delay`.
    """

    instance: str
    address: str
    failure_domain: str
    region: str
    incarnation: int
    clock: float = 0.0


class Heartbeat(msgspec.Struct, tag="heartbeat", omit_defaults=True):
    """A sign of life with digests of the sender's tables.

    ``applied`` is the configuration version in force at the sender.
    ``members``, ``servers``, ``ends`` and ``limits`` are digests of the
    sender's tables of members, of backend servers, of requests during which
    servers ended and of the limits that servers name; they are equal where
    two instances have the same table.
    ``usage_version`` is the version of the usage counted since the sender's
    start, and ``usage_finished`` a digest of the usage of earlier starts.
    ``outside`` tells whether the sender hears other failure domains than its
    own.  ``last`` announces that no heartbeats follow on this link, so their
    absence is no sign of a failure.  ``ask`` requests a heartbeat in return.
    """

    applied: int = 0
    refutations: int = 0
    members: int = 0
    servers: int = 0
    usage_version: int = 0
    usage_finished: int = 0
    outside: bool = True
    last: bool = False
    ask: bool = False
    ends: int = 0
    limits: int = 0
