"""What organisations were recently granted at one engine, in prompt tokens.

Usage is halved every two seconds.  All amounts decay alike, so their order
changes only when one is charged: amounts are kept in tokens of a common base
time, and comparing two of them computes no power.
"""

HALF_LIFE_SECONDS = 2.0
# The base time is moved after this long, before the factor 2 ** 20 costs
# precision.
REBASE_SECONDS = 40.0
# Nothing is left after this many; without a bound, the factor would overflow
# after half an hour without a grant.
MAX_HALVINGS = 100.0
# Smaller amounts are forgotten when the base time is moved.
MIN_TOKENS = 1.0


class DecayedUsage:
    """Decayed tokens by organisation.

    >>> usage = DecayedUsage(0.0)
    >>> usage.charge("a", 1_000, 0.0)
    >>> usage.tokens("a", 4.0)
    250.0
    """

    __slots__ = ("_scaled", "_base")

    def __init__(self, now):
        self._scaled = {}
        self._base = now

    def charge(self, organisation, tokens, now):
        """Add tokens that were granted now."""
        if now - self._base > REBASE_SECONDS:
            self._rebase(now)
        amount = tokens * self._factor(now)
        self._scaled[organisation] = self.scaled(organisation) + amount

    def refund(self, organisation, tokens, charged_at, now):
        """Take back tokens that were charged and not used."""
        age = now - charged_at
        left = tokens * 0.5 ** (age / HALF_LIFE_SECONDS) * self._factor(now)
        rest = max(0.0, self.scaled(organisation) - left)
        self._scaled[organisation] = rest

    def scaled(self, organisation):
        """Return the usage in a unit that is the same for all."""
        return self._scaled.get(organisation, 0.0)

    def tokens(self, organisation, now):
        """Return the usage in tokens."""
        return self.scaled(organisation) / self._factor(now)

    def _factor(self, now):
        halvings = (now - self._base) / HALF_LIFE_SECONDS
        return 2.0 ** min(MAX_HALVINGS, halvings)

    def _rebase(self, now):
        factor = self._factor(now)
        self._scaled = {
            organisation: amount / factor
            for organisation, amount in self._scaled.items()
            if amount >= MIN_TOKENS * factor
        }
        self._base = now
