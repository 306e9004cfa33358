"""Messages between instances.

Every message is a tagged struct, so that one codec reads them all and a
message of a newer release is told from a broken one.  To add one, define
the struct with a tag of its own where its mechanism lives and add it to
``ALL`` in :mod:`dandeliontrail.coordination.codec`.
"""

import msgspec


class Sender(msgspec.Struct):
    """Who sent an envelope; ``incarnation`` grows with each start."""

    instance: str
    address: str
    failure_domain: str
    region: str
    incarnation: int


class Hello(msgspec.Struct, tag="hello"):
    """I am here, and these are the addresses that I know."""

    addresses: list[str] = []
    applied: int = 0
