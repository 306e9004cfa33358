"""A retry budget that all instances share, and lend to one another.

When servers fail, each request may become two or three attempts; without a
bound, retries keep a service down that would have recovered.  The bound holds
for a service over all instances: in any window, attempts beyond the first of
each request stay below a ratio of the requests plus a fixed slack.

Each instance has a part of its own: a ratio of the requests that it received,
and a share of the slack.  The parts add up to no more than the bound, so each
is spent without asking.  An instance whose part is used up borrows from the
others (escrow transactions; O'Neil, "The Escrow Transactional Method", 1986):
what is lent counts as spent at the lender at once, and lapses at the borrower
soon after it asked, so that no token is used twice, whatever message is lost
and whatever process ends.

A retry counts from its dispatch until a window after the last moment at which
an attempt of its request may have arrived: what a network partition holds back
arrives when it ends (:mod:`.unsettled_repeats`).
"""

import collections

import msgspec

# The fraction of the ratio that is used.  The requests of one window may be
# retried in the next one, in which other instances get the requests.
RATIO_FRACTION = 0.5
# The fraction of the slack that is shared out.  The rest is for instances
# that are cut off while others join.
SLACK_FRACTION = 0.9
# How long a loan may be used, in seconds from the moment that it was asked
# for; the answer comes within a few hundredths.
LOAN_SECONDS = 1.5
# The fraction of what it has left that an instance lends at a time.
LENT_FRACTION = 0.5
# A budget that was used up counts as usable again with this many retries
# left: with one it would change with each request.
MIN_TOKENS_TO_RECOVER = 2.0
# Sums of parts of tokens are rounded.
TOLERANCE = 1e-6


class RetryLimits(msgspec.Struct, frozen=True):
    """The bound: ``ratio`` of the requests plus ``slack``.

    It holds in any ``window``, in seconds.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window: float = 10.0


class RetryCounts(msgspec.Struct):
    """Retries of a service since the start, for the metrics."""

    spent: int = 0
    refused: int = 0
    borrowed: float = 0.0
    lent: float = 0.0


class _SlidingSum:
    """The sum of the amounts that were added within the window."""

    __slots__ = ("_items", "_sum")

    def __init__(self):
        self._items = collections.deque()
        self._sum = 0.0

    def add(self, amount, now):
        self._items.append((now, amount))
        self._sum += amount

    def since(self, moment):
        while self._items and self._items[0][0] < moment:
            self._sum -= self._items.popleft()[1]
        if not self._items:
            self._sum = 0.0
        return self._sum


class _Loan(msgspec.Struct):
    """Borrowed ``tokens`` that lapse at ``expires``."""

    tokens: float
    expires: float


class Repeat(msgspec.Struct, eq=False):
    """A retry that was begun and may still arrive.

    ``own`` tokens are of this instance's part and ``borrowed`` ones of loans.
    The lenders' counts cover an arrival up to ``covered_until``.
    """

    service: str
    own: float
    borrowed: float
    covered_until: float


class _Account:
    """The budget of one service at this instance."""

    __slots__ = (
        "requests",
        "spent",
        "unsettled",
        "unsettled_own",
        "borrowed_repeats",
        "lent",
        "loans",
        "wanted",
        "counts",
        "is_used_up",
    )

    def __init__(self):
        self.requests = _SlidingSum()
        self.spent = _SlidingSum()
        self.unsettled = 0
        self.unsettled_own = 0.0
        self.borrowed_repeats = set()
        self.lent = _SlidingSum()
        self.loans = []
        self.wanted = 0
        self.counts = RetryCounts()
        self.is_used_up = False

    def borrowed(self, now):
        """Return the borrowed tokens that can still be used."""
        self.loans = [loan for loan in self.loans if loan.expires > now]
        return sum(loan.tokens for loan in self.loans)

    def begin(self, service):
        """Return a :class:`Repeat`, with as much of the loans as there is."""
        repeat = Repeat(service, 1.0, 0.0, float("inf"))
        for loan in self.loans:
            used = min(loan.tokens, repeat.own)
            if used <= 0.0:
                continue
            loan.tokens -= used
            repeat.own -= used
            repeat.borrowed += used
            repeat.covered_until = min(repeat.covered_until, loan.expires)
        self.unsettled += 1
        self.unsettled_own += repeat.own
        if repeat.borrowed:
            self.borrowed_repeats.add(repeat)
        return repeat

    def settle(self, repeat, now):
        """Count a repeat, which cannot arrive after ``now``, for a window."""
        self.unsettled -= 1
        self.unsettled_own -= repeat.own
        if not self.unsettled:
            self.unsettled_own = 0.0
        self.borrowed_repeats.discard(repeat)
        self.spent.add(repeat.own + _uncovered(repeat, now), now)

    def unsettled_tokens(self, now):
        """Return the tokens of the repeats that may still arrive."""
        return self.unsettled_own + sum(
            _uncovered(repeat, now) for repeat in self.borrowed_repeats
        )


def _uncovered(repeat, now):
    """Return the borrowed tokens that no lender counts any more at ``now``."""
    return repeat.borrowed if now > repeat.covered_until else 0.0


class RetryBudget:
    """Counts requests and retries by service.

    ``share`` is this instance's share of the slack, zero as long as it may
    have none.  ``can_borrow`` tells whether there is anybody to borrow from.

    >>> budget = RetryBudget(RetryLimits(ratio=0.0, slack=3.0), share=1.0)
    >>> [budget.begin("s", 0.0) is not None for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, limits, share=0.0):
        self.share = share
        self.can_borrow = False
        self._limits = limits
        self._accounts = collections.defaultdict(_Account)
        self._changes = {}

    @property
    def quiet_seconds(self):
        """For how long a process that starts may have no share.

        By then nothing that its predecessor spent or lent counts any more.
        """
        return self._limits.window + LOAN_SECONDS

    def record_request(self, service, now):
        """Count a request."""
        self._accounts[service].requests.add(1.0, now)

    def available(self, service, now):
        """Return how many retries are left, loans included."""
        account = self._accounts[service]
        return self._own(account, now) + account.borrowed(now)

    def unsettled(self, service):
        """Return how many retries may still arrive at a server."""
        return self._accounts[service].unsettled

    def allows(self, service, now):
        """Return whether another retry is within the budget."""
        return self.available(service, now) >= 1.0 - TOLERANCE

    def begin(self, service, now):
        """Count a retry and return its :class:`Repeat`, to be settled.

        Returns ``None`` if the budget is used up.
        """
        if not self.allows(service, now):
            return None
        account = self._accounts[service]
        account.counts.spent += 1
        return account.begin(service)

    def settle(self, repeat, now):
        """Record that a repeat cannot arrive any more after ``now``."""
        self._accounts[repeat.service].settle(repeat, now)

    def refuse(self, service):
        """Count a retry that the budget does not allow."""
        account = self._accounts[service]
        account.counts.refused += 1
        if not account.is_used_up:
            account.is_used_up = self._changes[service] = True

    def _own(self, account, now):
        """Return what is left of this instance's own part."""
        limits = self._limits
        since = now - limits.window
        part = RATIO_FRACTION * limits.ratio * account.requests.since(since)
        part += SLACK_FRACTION * limits.slack * self.share
        part -= account.spent.since(since) + account.unsettled_tokens(now)
        return max(0.0, part - account.lent.since(since - LOAN_SECONDS))

    # -- loans --------------------------------------------------------------

    def want(self, service):
        """Record that a retry waits for a loan, until the next call below."""
        self._accounts[service].wanted += 1

    def take_wanted(self, now):
        """Return by service how many tokens the waiting retries lack."""
        found = {}
        for service, account in self._accounts.items():
            wanted, account.wanted = account.wanted, 0
            lacking = wanted - self.available(service, now) if wanted else 0.0
            if lacking > TOLERANCE:
                found[service] = lacking
        return found

    def lend(self, service, wanted, now):
        """Give away up to ``wanted`` tokens; return how many."""
        account = self._accounts[service]
        if account.wanted:
            return 0.0
        tokens = min(wanted, LENT_FRACTION * self._own(account, now))
        if tokens <= TOLERANCE:
            return 0.0
        account.lent.add(tokens, now)
        account.counts.lent += tokens
        return tokens

    def borrow(self, service, tokens, asked_at, now):
        """Add a loan that was asked for at ``asked_at``."""
        expires = asked_at + LOAN_SECONDS
        if tokens <= 0.0 or expires <= now:
            return
        account = self._accounts[service]
        account.loans.append(_Loan(tokens, expires))
        account.counts.borrowed += tokens

    # -- reports ------------------------------------------------------------

    def take_changes(self, now):
        """Return by service whether it is used up, where that has changed.

        It is used up once a retry was refused, and no longer once there are
        ``MIN_TOKENS_TO_RECOVER``.
        """
        changes, self._changes = self._changes, {}
        for service, account in self._accounts.items():
            if (
                account.is_used_up
                and self.available(service, now) >= MIN_TOKENS_TO_RECOVER
            ):
                account.is_used_up = changes[service] = False
        return changes

    def counts(self):
        """Return the :class:`RetryCounts` by service."""
        return {
            service: account.counts
            for service, account in self._accounts.items()
        }
