"""Which mechanisms of the policy are on.

All are, in the product.  The policy bench turns off one at a time, which
shows what each is worth; what is worth nothing gets removed.
"""

import msgspec


class Options(msgspec.Struct):
    """One switch for each mechanism."""

    reserve: bool = True
    ramp: bool = True
    minimum_shares: bool = True
    fairness: bool = True
    early_refusal: bool = True
    fresh_first: bool = True
    aged_reports: bool = True
    shared_room: bool = True
    slow_servers: bool = True
    learned_limits: bool = True


def without(name):
    """Return the options with one mechanism off.

    >>> without("reserve").reserve
    False
    """
    return msgspec.structs.replace(Options(), **{name: False})
