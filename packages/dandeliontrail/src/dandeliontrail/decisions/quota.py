"""An instance's share of a common resource, adjusted by late reports.

All instances see the same free capacity in the same report and would together
overcommit it many times. So each starts from an even share, which it can keep
to without any report. Free or overcommitted capacity in a report then adjusts
the shares of the instances that use theirs, each in proportion to its usage.
"""

# Gain of the control loop. All instances act on the same report, and the
# effect shows in the next report but one. With a gain of 0.5 or more the loop
# oscillates, which the bench shows as missed first-token targets.
GAIN = 0.25
# Quotas decay towards the even share, so that an instance that took much does
# not keep it forever.
DECAY_TO_EVEN = 0.05


def capacity_share(own, total, instances):
    """Return the share of the free capacity that this instance may take.

    It is the instance's share of the present usage, and at least an even one,
    so that one instance that gets all the demand may use nearly all of the
    capacity. Over all instances the shares add up to at most two.
    """
    even = 1.0 / instances
    return max(even, own / total) if total > 0 else even


def adjusted_quota(quota, even, missing, using):
    """Return the next quota.

    ``missing`` is this instance's share of the free capacity, negative if the
    resource is overcommitted. ``using`` tells whether the instance uses its
    quota; a quota that is not used does not grow, since without demand it
    would grow without limit.
    """
    if missing < 0.0 or using:
        quota += GAIN * missing
    quota += DECAY_TO_EVEN * (even - quota)
    return max(even / 2.0, quota)
