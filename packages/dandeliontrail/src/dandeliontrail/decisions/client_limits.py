"""How much of an instance's memory and descriptors its clients may use.

Both are derived from what the instance has, so that limits on each client
never add up to more than that.
"""

import msgspec

from . import held_bytes
from . import tunnel_admission

MEBIBYTE = 1024 * 1024
# The program with its state: the least that an instance runs in.
PROGRAM_BYTES = 64 * MEBIBYTE
# The fraction of the rest that requests and answers may hold.  The other
# part is for connections, and for memory that the allocator cannot reuse.
HELD_FRACTION = 0.5
# What the kernel may hold of a connection that is not read.
RECEIVE_BUFFER_BYTES = 32 * 1024
# A connection with its greenlet, its buffer and a head of the usual size.
CONNECTION_BYTES = 16 * 1024 + RECEIVE_BUFFER_BYTES
# The fractions of the connections for the main listener, for each further one
# that is used less, and for other instances.  The rest is for connections to
# servers and instances, and for files.
CLIENT_FRACTION = 0.4
FURTHER_FRACTION = 0.1
PEER_FRACTION = 0.2
USED_FRACTION = CLIENT_FRACTION + 2 * FURTHER_FRACTION + PEER_FRACTION
# Balancers and monitoring have a connection or two each.
STATUS_FRACTION = 0.02
MAX_STATUS_CONNECTIONS = 64
MIN_CONNECTIONS = 4
# The largest answer, of 8 MiB, still finds room.
MIN_MEMORY_BYTES = 96 * MEBIBYTE
MIN_DESCRIPTORS = 64


class ClientLimits(msgspec.Struct, frozen=True):
    """``held_bytes`` of all clients; connections of each kind of listener.

    ``clients`` is for the main listener, ``further`` for others that serve
    requests, ``peers`` for that of other instances, ``status`` for those that
    only tell how the instance is.  ``tunnels`` bounds the connections of
    ``peers`` that carry other instances' requests.
    """

    held_bytes: int
    clients: int
    further: int
    peers: int
    status: int
    tunnels: int

    def largest_body(self):
        """Return how large a body may be that is served in calm, in bytes."""
        return int(
            self.held_bytes
            * held_bytes.LARGE_FRACTIONS[held_bytes.Stage.REQUEST]
        )


def derive(memory_bytes, descriptors):
    """Return the :class:`ClientLimits` of an instance.

    ``memory_bytes`` is what its process may use, ``descriptors`` how many it
    may have open.

    >>> derive(160 * MEBIBYTE, 2875).held_bytes // MEBIBYTE
    48
    >>> derive(160 * MEBIBYTE, 2875).clients
    512
    """
    spare = max(0, memory_bytes - PROGRAM_BYTES)
    held = int(spare * HELD_FRACTION)
    in_memory = (spare - held) // CONNECTION_BYTES
    total = min(descriptors, int(in_memory / USED_FRACTION))
    peers = _at_least(total * PEER_FRACTION)
    return ClientLimits(
        held_bytes=held,
        clients=_at_least(total * CLIENT_FRACTION),
        further=_at_least(total * FURTHER_FRACTION),
        peers=peers,
        status=min(MAX_STATUS_CONNECTIONS, _at_least(total * STATUS_FRACTION)),
        tunnels=min(tunnel_admission.MAX_TUNNELS, peers // 2),
    )


def _at_least(count):
    return max(MIN_CONNECTIONS, int(count))
