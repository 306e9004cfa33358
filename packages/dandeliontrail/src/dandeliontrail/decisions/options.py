"""Switches for the mechanisms of the adaptive policy.

The product has all of them on. The policy bench turns them off one at a time
to measure what each contributes; those that contribute nothing are removed.
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
    """Return the options with one mechanism switched off.

    >>> without("reserve").reserve
    False
    """
    return msgspec.structs.replace(Options(), **{name: False})
