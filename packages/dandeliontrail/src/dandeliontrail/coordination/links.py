"""Which other instances an instance keeps in touch with.

Up to ``FULL_MESH`` instances every pair is linked: nine instances need
eight links each, news arrives in one hop, and no instance has a part that
others depend on.

Above it that costs too much: at 530 instances and 2,500 backend servers,
renewals of leases alone would be above 100 KB a second for each instance,
whichever way they are flooded (docs/design/membership.md has the figures).
So each failure domain has two *relays*, the first of its instances in the
order of hashed names that are not silent.  Instances are linked to the
relays of their domain, and all relays to each other.  Every instance works
this out from its own member table; where tables differ for a moment, there
are more links than needed, not fewer.
"""

import msgspec

from . import digests

# A full mesh costs one request a second on each pair: at 16 instances that
# is 15 requests a second each, about what one request in flight costs.
FULL_MESH = 16
# One may fail before the others notice; more would cost each instance more
# and 23 instances at most may be set aside at ten failure domains.
RELAYS = 2


class Links(msgspec.Struct):
    """The links of one instance, by name; no relays in a full mesh.

    ``relays`` has the names of the relays by failure domain.
    """

    names: set
    relays: dict
    is_relay: bool


def place(name):
    """Return where a name stands in the order, the same everywhere."""
    return (digests.hash_of(name.encode()), name)


def choose(own, domain, domain_of, silent=()):
    """Return the links of the instance ``own`` in ``domain``.

    ``domain_of`` has the failure domain of every other instance by name;
    those in ``silent`` stay linked but are no relays.
    """
    if len(domain_of) < FULL_MESH:
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
    for name in sorted(domain_of, key=place):
        by_domain.setdefault(domain_of[name], []).append(name)
    return {
        domain: ([name for name in names if name not in silent] or names)[
            :RELAYS
        ]
        for domain, names in by_domain.items()
    }
