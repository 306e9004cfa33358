"""A part of something shared, moved by what late reports show.

All instances see the same room in the same report, and would together fill
it many times over.  So each starts from an even share, which it can hold to
without any report; what a report shows to be free, or too much, moves the
shares of those that use theirs, each by its part of it.
"""

# All instances act on the same report, whose effect shows in the next but
# one: with a half of what is missing and above the loop swings, which the
# bench shows as missed first tokens.
GAIN = 0.25
# Shares leak back to the even one, so that an instance that took much does
# not keep it for ever.
LEAK = 0.05


def part(own, total, instances):
    """Return the part of what is missing that is this instance's to take.

    It is its part of the present use, and never less than an even one, so
    that one instance which gets all the demand may use nearly all.  Over
    all instances the parts add up to two at most.
    """
    even = 1.0 / instances
    return max(even, own / total) if total > 0 else even


def moved(quota, even, missing, using):
    """Return the next quota.

    ``missing`` is this instance's part of what is free, negative where
    there is too much; ``using`` tells that it uses its quota, without which
    a quota does not grow: it would grow for as long as there is no demand.
    """
    if missing < 0.0 or using:
        quota += GAIN * missing
    quota += LEAK * (even - quota)
    return max(even / 2.0, quota)
