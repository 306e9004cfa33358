"""The overlay topology: which instances exchange heartbeats and updates.

Up to ``MAX_FULL_MESH`` instances, every pair is linked.  Nine instances need
eight links each, updates arrive in one hop, and no instance has a special
role that others depend on.

For more instances a full mesh costs too much: with 530 instances and 2,500
backend servers, lease renewals alone would exceed 100 KB a second for each
instance, by any way of flooding (docs/design/membership.md has the figures).
So each failure domain has two *relays*, the first two of its instances, in
the order of their hashed names, that are not silent.  Instances are linked to
the relays of their domain, and all relays to each other.  Every instance
computes this from its own member table; while tables differ, there are more
links than needed, not fewer.
"""

import msgspec

from . import digests

# A full mesh costs one request a second for each pair.  With 16 instances that
# is 15 requests a second for each, about the cost of one request in flight.
MAX_FULL_MESH = 16
# Relays of one failure domain.  With two, one may fail before the others
# notice.  More would cost each instance more, and with ten failure domains at
# most 23 instances in all may be set aside for control.
RELAYS_PER_DOMAIN = 2


class Links(msgspec.Struct):
    """The links of one instance.

    ``names`` are the instances that it is linked to.  ``relays`` has the
    names of the relays by failure domain and is empty in a full mesh.
    """

    names: set
    relays: dict
    is_relay: bool


def hash_order_key(name):
    """Return the sort key of a name, which is the same on every instance."""
    return (digests.hash_of(name.encode()), name)


def choose(own, domain, domain_of, silent=()):
    """Return the links of the instance ``own`` in ``domain``.

    ``domain_of`` maps the name of every other instance to its failure
    domain.  Instances in ``silent`` stay linked but are not made relays,
    unless all instances of their domain are silent.
    """
    if len(domain_of) < MAX_FULL_MESH:
        return Links(set(domain_of), {}, False)
    relays = _relays({**domain_of, own: domain}, silent)
    is_relay = own in relays[domain]
    names = set(relays[domain])
    if is_relay:
        names.update(*relays.values())
        names.update(
            name for name, value in domain_of.items() if value == domain
        )
    names.discard(own)
    return Links(names, relays, is_relay)


def _relays(domain_of, silent):
    by_domain = {}
    for name in sorted(domain_of, key=hash_order_key):
        by_domain.setdefault(domain_of[name], []).append(name)
    return {
        domain: ([name for name in names if name not in silent] or names)[
            :RELAYS_PER_DOMAIN
        ]
        for domain, names in by_domain.items()
    }
