"""Rate limits and daily quotas of organisations, without coordination.

They stop an organisation that sends far more than agreed, through whichever
instances its load balancer picks. Each instance admits at its own share of the
limit. The shares start equal and follow the usage that the ledger replicates
about once a second (see :mod:`quota`), so no request waits for another
instance.

Overshoot is bounded. While demand is steady the shares add up to the limit.
When demand that came through one instance comes through all of them, the
shares add up to at most twice the limit and shrink by a quarter of the excess
per second, with usage known two to three seconds late: in all, seven seconds'
worth of the limit. In addition each instance may admit one request too many,
because a bucket that is not empty admits a request of unknown length.

In a partition each side knows its own usage only. With ``k`` sides the rate is
at most ``k`` times the limit, and the tokens used in the day at most ``k``
times what was left when the partition began. To guarantee the limit, each side
would have to refuse requests that it has capacity for.
"""

import msgspec

from .. import sentinels
from . import quota

# A bucket holds this many seconds of its rate, so that short bursts pass.
BURST_SECONDS = 1.0
# A daily quota is reset at midnight UTC, a time that is not known here, so
# that the suggested delay is a fixed one.
DAILY_RETRY_AFTER_SECONDS = 3600.0
MAX_RETRY_AFTER_SECONDS = 60.0
# Weight of the newest second in the exponential average of usage rates.
RATE_SMOOTHING = 0.3


class Bucket:
    """A token bucket that holds this instance's share of one limit.

    ``limit`` is the limit of all instances together and ``rate`` this
    instance's share of it, both per second. ``level`` may fall below zero;
    nothing is admitted until it is positive again.
    """

    __slots__ = (
        "limit",
        "rate",
        "level",
        "_refilled_at",
        "_own_usage",
        "_own_rate",
        "_other_rate",
        "_other_usage",
    )

    def __init__(self, limit, instances, now):
        self.limit = limit
        self.rate = limit / instances
        self.level = self._capacity()
        self._refilled_at = now
        self._own_usage = 0.0
        self._own_rate = 0.0
        self._other_rate = 0.0
        self._other_usage = None

    def _capacity(self):
        return max(1.0, self.rate * BURST_SECONDS)

    def wait_seconds(self, now):
        """Return the seconds until it admits work, 0 if it does now."""
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self.level = min(self._capacity(), self.level + elapsed * self.rate)
        if self.level > 0.0:
            return 0.0
        return max(0.1, -self.level / self.rate)

    def take(self, amount):
        """Subtract admitted usage; a negative amount is a refund."""
        self.level -= amount
        self._own_usage += amount

    def refresh(self, limit, other_usage, instances, seconds):
        """Adjust the share to the usage of the last ``seconds``.

        ``other_usage`` is the total usage at the other instances so far.
        """
        other_added = other_usage - (self._other_usage or other_usage)
        self._other_usage = other_usage
        self._own_rate += RATE_SMOOTHING * (
            self._own_usage / seconds - self._own_rate
        )
        self._other_rate += RATE_SMOOTHING * (
            other_added / seconds - self._other_rate
        )
        self._own_usage = 0.0
        self.limit = limit
        total_rate = self._own_rate + self._other_rate
        share = quota.capacity_share(self._own_rate, total_rate, instances)
        missing = (limit - total_rate) * share
        using = self._own_rate > 0.8 * self.rate
        adjusted = quota.adjusted_quota(
            self.rate, limit / instances, missing, using
        )
        self.rate = min(limit, adjusted)


class _LimitScope(msgspec.Struct):
    """The buckets of an organisation, or of an organisation in a class."""

    organisation: str
    class_name: str
    limits: object
    requests: Bucket | None = None
    tokens: Bucket | None = None


class Limiter:
    """Admits work within the limits that it carries."""

    def __init__(self, view):
        self._view = view
        self._scopes = {}
        self._outstanding_tokens = {}
        self._charged = {}
        self._refreshed_at = 0.0
        self._instances = 1

    def admit(self, work, now):
        """Return ``work``, or a ``Nothing`` with a retry delay."""
        wait = 0.0
        for scope in self._scopes_for(work, now):
            for bucket in (scope.requests, scope.tokens):
                if bucket is not None:
                    wait = max(wait, bucket.wait_seconds(now))
        if wait:
            return _over_limit(min(MAX_RETRY_AFTER_SECONDS, wait))
        if self._over_daily_quota(work):
            return _over_limit(DAILY_RETRY_AFTER_SECONDS)
        return work

    def charge(self, work, tokens, now):
        """Charge admitted work for the tokens it is expected to use."""
        if work.limits is None and work.class_limits is None:
            return
        self._charged[work.request_id] = tokens
        for scope in self._scopes_for(work, now):
            if scope.requests is not None:
                scope.requests.take(1)
            if scope.tokens is not None:
                scope.tokens.take(tokens)
        if _daily_quota(work) is not None:
            organisation = work.organisation
            outstanding = self._outstanding_tokens.get(organisation, 0.0)
            self._outstanding_tokens[organisation] = outstanding + tokens

    def settle(self, work, used, now):
        """Correct the charge once the tokens used are known."""
        expected = self._charged.pop(work.request_id, None)
        if expected is None:
            return
        for scope in self._scopes_for(work, now):
            if scope.tokens is not None:
                scope.tokens.take(used - expected)
        if _daily_quota(work) is not None:
            self._outstanding_tokens[work.organisation] -= expected

    def refresh(self, now):
        """Adjust all shares to the ledger; called about once a second."""
        seconds = max(0.1, now - self._refreshed_at)
        self._refreshed_at = now
        self._instances = self._view.instances(now)
        for scope in self._scopes.values():
            used = self._view.usage_elsewhere(
                scope.organisation, scope.class_name
            )
            limits = scope.limits
            if scope.requests is not None:
                scope.requests.refresh(
                    limits.requests_per_second,
                    used.requests,
                    self._instances,
                    seconds,
                )
            if scope.tokens is not None:
                scope.tokens.refresh(
                    limits.tokens_per_second,
                    used.prompt + used.output,
                    self._instances,
                    seconds,
                )

    def _over_daily_quota(self, work):
        daily_quota = _daily_quota(work)
        if daily_quota is None:
            return False
        used = self._view.tokens_today(work.organisation)
        return (
            used + self._outstanding_tokens.get(work.organisation, 0.0)
            >= daily_quota
        )

    def _scopes_for(self, work, now):
        scopes = []
        for limits, class_name in (
            (work.limits, ""),
            (work.class_limits, work.class_name),
        ):
            if limits is not None and _has_rates(limits):
                scopes.append(self._scope(work, limits, class_name, now))
        return scopes

    def _scope(self, work, limits, class_name, now):
        key = (work.organisation, class_name)
        scope = self._scopes.get(key)
        # A changed declaration is a different object with different limits; an
        # equal one keeps its buckets.
        if scope is None or scope.limits != limits:
            scope = _LimitScope(work.organisation, class_name, limits)
            scope.requests = self._bucket(limits.requests_per_second, now)
            scope.tokens = self._bucket(limits.tokens_per_second, now)
            self._scopes[key] = scope
        return scope

    def _bucket(self, limit, now):
        if limit is None:
            return None
        return Bucket(limit, self._view.instances(now), now)


def _has_rates(limits):
    return (
        limits.requests_per_second is not None
        or limits.tokens_per_second is not None
    )


def _daily_quota(work):
    return work.limits.tokens_per_day if work.limits is not None else None


def _over_limit(wait_seconds):
    return sentinels.Nothing(
        sentinels.Reason.OVER_LIMIT, round(wait_seconds, 1)
    )
