"""Which other instances an instance keeps in touch with.

Up to ``FULL_MESH`` instances every pair is linked: nine instances need
eight links each and news arrives in one hop.  Above it, each instance has
links to its neighbours on two rings, both of which all instances compute
alike from their members:

- the ring of its failure domain, in the order of hashed names, at distance
  one and at about the square root of its length, each way;
- the ring of all instances, at distance one each way, whose neighbours are
  mostly in other failure domains.

The rings alone connect everybody, which a random choice of as many links
does only with high probability; and since distances count both ways, a
link has the same two ends seen from each.  The long links keep the number
of hops low.  See docs/design/membership.md for both measured.
"""

import math

from . import digests

# A full mesh costs one request a second on each pair: at 16 instances that
# is 15 requests a second each, about what one request in flight costs.
FULL_MESH = 16


def place(name):
    """Return where a name stands on a ring, the same everywhere."""
    return (digests.hash_of(name.encode()), name)


def choose(own, domain, domain_of):
    """Return the names of the instances to keep in touch with.

    ``domain_of`` has the failure domain of every other instance by name.
    """
    if len(domain_of) < FULL_MESH:
        return set(domain_of)
    near = [name for name, value in domain_of.items() if value == domain]
    chosen = _at_distances(own, near, _near_distances(len(near) + 1))
    return chosen | _at_distances(own, list(domain_of), (1,))


def _near_distances(length):
    return (1, max(2, math.isqrt(length)))


def _at_distances(own, others, distances):
    ring = sorted([*others, own], key=place)
    index = ring.index(own)
    chosen = set()
    for distance in distances:
        chosen.add(ring[(index + distance) % len(ring)])
        chosen.add(ring[(index - distance) % len(ring)])
    chosen.discard(own)
    return chosen
