"""Limits of organisations, shared over instances without a trip.

Made for an organisation that sends far more than agreed, through whichever
instances the balancer picks.  Each instance admits at its part of the rate;
the parts start even and follow the usage that the ledger brings about once
a second (see :mod:`quota`).

The bound on overshoot.  The parts add up to the rate while demand is
steady.  When demand that came through one instance comes through all, they
add up to twice the rate at most and come back by a quarter of the excess a
second, of which they learn two to three seconds late: seven seconds' worth
in all.  On top comes one request for each instance, since a bucket that is
not empty admits a request whose length nobody knows.  In a partition every
side knows its own usage only: with ``k`` sides the rate is at most ``k``
times the limit, and the day's tokens at most ``k`` times what was left when
it began.  To stop at the limit, each side would have to refuse what it has
capacity for.
"""

import msgspec

from .. import sentinels
from . import quota

# A bucket holds this many seconds of its rate: short bursts pass.
DEPTH_SECONDS = 1.0
# A quota of the day begins anew at midnight UTC, which is not known here.
DAY_RETRY = 3600.0
LONGEST_RETRY = 60.0
# Rates are averaged with this weight for each new second.
RATE_WEIGHT = 0.3


class Bucket:
    """This instance's part of one rate."""

    __slots__ = (
        "limit",
        "rate",
        "level",
        "_filled",
        "_here",
        "_own_rate",
        "_other_rate",
        "_elsewhere",
    )

    def __init__(self, limit, instances, now):
        self.limit = limit
        self.rate = limit / instances
        self.level = self._depth()
        self._filled = now
        self._here = 0.0
        self._own_rate = 0.0
        self._other_rate = 0.0
        self._elsewhere = None

    def _depth(self):
        return max(1.0, self.rate * DEPTH_SECONDS)

    def wait(self, now):
        """Return the seconds until it admits, zero when it does now."""
        passed = now - self._filled
        self._filled = now
        self.level = min(self._depth(), self.level + passed * self.rate)
        if self.level > 0.0:
            return 0.0
        return max(0.1, -self.level / self.rate)

    def take(self, amount):
        """Count what was admitted; a negative amount gives back."""
        self.level -= amount
        self._here += amount

    def refresh(self, limit, elsewhere, instances, seconds):
        """Move the part by the usage of the last ``seconds``."""
        others = elsewhere - (self._elsewhere or elsewhere)
        self._elsewhere = elsewhere
        self._own_rate += RATE_WEIGHT * (self._here / seconds - self._own_rate)
        self._other_rate += RATE_WEIGHT * (others / seconds - self._other_rate)
        self._here = 0.0
        self.limit = limit
        total = self._own_rate + self._other_rate
        part = quota.part(self._own_rate, total, instances)
        missing = (limit - total) * part
        using = self._own_rate > 0.8 * self.rate
        moved = quota.moved(self.rate, limit / instances, missing, using)
        self.rate = min(limit, moved)


class _Scope(msgspec.Struct):
    """The buckets of an organisation, or of an organisation in a class."""

    organisation: str
    class_name: str
    limits: object
    requests: Bucket | None = None
    tokens: Bucket | None = None


class Limiter:
    """Admits work by the limits that it carries."""

    def __init__(self, view):
        self._view = view
        self._scopes = {}
        self._outstanding = {}
        self._charged = {}
        self._refreshed = 0.0
        self._instances = 1

    def admit(self, work, now):
        """Return ``work``, or a ``Nothing`` that says when to come back."""
        longest = 0.0
        for scope in self._scopes_of(work, now):
            for bucket in (scope.requests, scope.tokens):
                if bucket is not None:
                    longest = max(longest, bucket.wait(now))
        if longest:
            return _over(min(LONGEST_RETRY, longest))
        if self._over_day(work):
            return _over(DAY_RETRY)
        return work

    def charge(self, work, tokens, now):
        """Count admitted work for the tokens that it is expected to use."""
        if work.limits is None and work.class_limits is None:
            return
        self._charged[work.request_id] = tokens
        for scope in self._scopes_of(work, now):
            if scope.requests is not None:
                scope.requests.take(1)
            if scope.tokens is not None:
                scope.tokens.take(tokens)
        if _daily(work) is not None:
            name = work.organisation
            held = self._outstanding.get(name, 0.0)
            self._outstanding[name] = held + tokens

    def settle(self, work, used, now):
        """Put right what was charged, once the tokens used are known."""
        expected = self._charged.pop(work.request_id, None)
        if expected is None:
            return
        for scope in self._scopes_of(work, now):
            if scope.tokens is not None:
                scope.tokens.take(used - expected)
        if _daily(work) is not None:
            self._outstanding[work.organisation] -= expected

    def refresh(self, now):
        """Take in what the ledger brought, about once a second."""
        seconds = max(0.1, now - self._refreshed)
        self._refreshed = now
        self._instances = self._view.instances(now)
        for scope in self._scopes.values():
            used = self._view.elsewhere(scope.organisation, scope.class_name)
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

    def _over_day(self, work):
        most = _daily(work)
        if most is None:
            return False
        used = self._view.today(work.organisation)
        return used + self._outstanding.get(work.organisation, 0.0) >= most

    def _scopes_of(self, work, now):
        found = []
        for limits, class_name in (
            (work.limits, ""),
            (work.class_limits, work.class_name),
        ):
            if limits is not None and _has_rates(limits):
                found.append(self._scope(work, limits, class_name, now))
        return found

    def _scope(self, work, limits, class_name, now):
        key = (work.organisation, class_name)
        held = self._scopes.get(key)
        # A changed declaration is another object; an equal one stays.
        if held is None or held.limits != limits:
            held = _Scope(work.organisation, class_name, limits)
            held.requests = self._bucket(limits.requests_per_second, now)
            held.tokens = self._bucket(limits.tokens_per_second, now)
            self._scopes[key] = held
        return held

    def _bucket(self, limit, now):
        if limit is None:
            return None
        return Bucket(limit, self._view.instances(now), now)


def _has_rates(limits):
    return (
        limits.requests_per_second is not None
        or limits.tokens_per_second is not None
    )


def _daily(work):
    return work.limits.tokens_per_day if work.limits is not None else None


def _over(wait):
    return sentinels.Nothing(sentinels.Reason.OVER_LIMIT, round(wait, 1))
