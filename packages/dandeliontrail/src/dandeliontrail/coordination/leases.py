"""Leases with fencing tokens for exclusive actions.

An exclusive action is an order to an engine or a call to the platform.
There is one lease for the orders of each failure domain and one for the
calls to the platform; what a lease covers is its *subject*.  At any time a
lease has at most one holder, which the quorum log decides:
:class:`LeaseTable` is a state machine that every instance applies entry by
entry.  The fencing token of a holder is the log position at which it took
over, so each new holder has a greater one.

The log has no clock, so the table holds no times.  The duration of a lease
is measured twice, each time on the monotonic clock of the instance concerned:

* the holder measures it from *before* it sent its request, so the time that
  the log takes to answer shortens its own lease and not its successor's wait;
* a successor measures it from when it learnt of its own grant, which is later
  than the request for any grant of its predecessor.

Hence the predecessor has stopped before the successor starts, whatever
their clocks show, as long as the rates of the clocks differ by less than
:data:`MAX_CLOCK_RATE_ERROR`.  This is the argument of Gray and Cheriton
("Leases", SOSP 1989).  In addition, fencing tokens as in Burrows ("The Chubby
lock service", OSDI 2006) protect the engines that check them.
"""

import msgspec

from .. import invariants

# Duration of a grant, in seconds.  A shorter lease is taken over sooner after
# its holder fails; a longer one needs fewer renewals.  Loading a model takes
# minutes, so half a minute without a lease holder costs little.
LEASE_SECONDS = 20.0
# Timeout of an order, in seconds.  After it the connection is reset, which
# also discards what the kernel has not sent yet.
MAX_ORDER_SECONDS = 5.0
# Upper bound of the relative difference in rate of two monotonic clocks.
# Crystal oscillators stay within a hundredth of it.
MAX_CLOCK_RATE_ERROR = 0.01
# A holder with work to do renews its lease when less than this fraction of it
# is left.
RENEW_BELOW_FRACTION = 0.5


class LeaseTerms(msgspec.Struct, frozen=True):
    """The parameters of the leases of one kind of subject, in seconds.

    ``lease`` is the duration of a grant and ``longest_call`` the timeout of
    an order or call made under it.  ``turn`` protects receivers that see
    only the sequence of calls: it is the least time between two calls of one
    instance with a call of another in between.  ``by_keepers`` means that
    only keepers hold the lease.  A keeper's leases end with the log that it
    stores, so the first holder in a log has no predecessor.
    """

    lease: float = LEASE_SECONDS
    longest_call: float = MAX_ORDER_SECONDS
    turn: float = 0.0
    by_keepers: bool = False

    def wait(self):
        """Return how long a new holder waits before it acts, in seconds.

        By then the last call of its predecessor is over.  Let the wait be
        ``lease + longest_call + x``.  An instance that regains the lease
        after another one acted was granted it at least ``wait - lease``
        after that one's grant, so it acts at least ``longest_call + 2 * x``
        after its own previous call.
        """
        extra_wait = max(0.0, self.turn - self.longest_call) / 2.0
        seconds = self.lease + self.longest_call + extra_wait
        return seconds * (1.0 + MAX_CLOCK_RATE_ERROR)


ORDER_TERMS = LeaseTerms()


class LeaseRequest(msgspec.Struct, tag="lease"):
    """A log entry: ``holder`` requests or renews the lease of a subject.

    The subject is serialised as ``failure_domain``.

    ``replaces`` is the fencing token that the requester believes to be the
    current one (a compare-and-swap): of several requests to replace the same
    holder, the log grants the first and refuses the rest.  ``incarnation``
    distinguishes a restarted holder, which no longer knows which orders it
    had in flight, from its earlier process.
    """

    subject: str = msgspec.field(name="failure_domain")
    holder: str
    incarnation: int
    replaces: int


class Holding(msgspec.Struct):
    """The holder of a subject's lease, as decided by the log."""

    holder: str = ""
    incarnation: int = 0
    fencing: int = 0


class LeaseResult(msgspec.Struct):
    """The result of applying a lease request.

    ``holding`` is the holder after this entry; ``taken_over`` tells whether
    this entry changed it.
    """

    granted: bool
    taken_over: bool
    holding: Holding


class LeaseTable:
    """The lease holders of all subjects, as a replicated state machine.

    The table is a deterministic function of the log.
    """

    __slots__ = ("holdings",)

    def __init__(self):
        self.holdings = {}

    def holding(self, subject):
        """Return the holder of a subject's lease.

        The holder is empty and its fencing token 0 if there is none.
        """
        return self.holdings.get(subject) or Holding()

    def apply(self, version, request):
        """Apply the request at log position ``version``.

        Raises ``InvariantBroken`` if the fencing token would not grow.
        """
        current = self.holding(request.subject)
        if _is_renewal(current, request):
            return LeaseResult(True, False, current)
        if request.replaces != current.fencing:
            return LeaseResult(False, False, current)
        invariants.check(
            version > current.fencing,
            "fencing-grows",
            f"{version} after {current.fencing}",
        )
        new_holding = Holding(request.holder, request.incarnation, version)
        self.holdings[request.subject] = new_holding
        return LeaseResult(True, True, new_holding)

    def snapshot(self):
        """Return the state for a checkpoint."""
        return self.holdings

    def restore(self, holdings):
        """Take over the state of a checkpoint."""
        self.holdings = msgspec.convert(holdings, dict[str, Holding])


def _is_renewal(current, request):
    return (
        current.fencing > 0
        and current.holder == request.holder
        and current.incarnation == request.incarnation
    )


class Grant(msgspec.Struct):
    """A granted lease, in times of the holder's monotonic clock.

    The lease ends at ``valid_until``.  ``unchecked_from`` is the earliest
    time of an order to a server that does not check fencing tokens; servers
    that do reject the orders of the predecessor by themselves.
    """

    fencing: int
    valid_until: float
    unchecked_from: float


class LeaseHolder:
    """The holder's side of a lease, on one instance.

    The subject is the instance's failure domain unless ``subject`` names
    another; ``terms`` are the parameters of its leases.
    """

    __slots__ = (
        "terms",
        "grant",
        "_identity",
        "_subject",
        "_asked_at",
        "_replaces",
    )

    def __init__(self, identity, subject="", terms=ORDER_TERMS):
        self.terms = terms
        self.grant = None
        self._identity = identity
        self._subject = subject
        self._asked_at = None
        self._replaces = 0

    def ask(self, current, now):
        """Return the request to append to the log at ``now``.

        Only one request may be in flight: the lease is measured from the
        time of its request, which must not be confused with another's.
        """
        self._asked_at = now
        self._replaces = current.fencing
        return LeaseRequest(
            self._subject or self._identity.failure_domain,
            self._identity.instance,
            self._identity.incarnation,
            current.fencing,
        )

    def asking(self):
        """Return whether a request is in flight."""
        return self._asked_at is not None

    def answered(self, result, now):
        """Record the result of the request, ``None`` if there is none.

        A request without a result may still be granted later.  The log then
        names this instance as the holder, which the next request detects.
        """
        asked_at = self._asked_at
        self._asked_at = None
        if result is None or not result.granted:
            self.grant = None
            return
        valid_until = asked_at + self.terms.lease * (
            1.0 - MAX_CLOCK_RATE_ERROR
        )
        unchecked_from = self._unchecked_from(result, now)
        self.grant = Grant(result.holding.fencing, valid_until, unchecked_from)

    def _unchecked_from(self, result, now):
        held = self.grant
        if held and held.fencing == result.holding.fencing:
            return held.unchecked_from
        if self.terms.by_keepers and result.taken_over and not self._replaces:
            return now
        # A grant that does not renew the current one may succeed another
        # holder, or an earlier lease of this instance whose last order is
        # still in flight.  The wait covers both cases.
        return now + self.terms.wait()

    def superseded(self, holding):
        """Drop the grant if the log names a holder with another token."""
        if self.grant and self.grant.fencing != holding.fencing:
            self.grant = None

    def renewal_due(self, now):
        """Return whether a holder with work to do should renew its lease."""
        if self.grant is None:
            return True
        left = self.grant.valid_until - now
        return left < self.terms.lease * RENEW_BELOW_FRACTION

    def may_order(self, checks_fencing, now):
        """Return whether an order or a call may be sent at ``now``.

        Check this immediately before sending, after the connection is
        established, so that an earlier pause of the process is detected.
        """
        if self.grant is None or now >= self.grant.valid_until:
            return False
        return checks_fencing or now >= self.grant.unchecked_from

    def may_send(self, fencing, checks_fencing, now):
        """Return whether an action decided under ``fencing`` may be sent."""
        return (
            self.grant is not None
            and self.grant.fencing == fencing
            and self.may_order(checks_fencing, now)
        )
