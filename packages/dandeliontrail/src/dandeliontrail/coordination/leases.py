"""Who may act alone: give orders to engines, or call the platform.

There is one lease for the orders of each failure domain and one for the
calls to the platform; what a lease is for is its *subject*.  One instance
holds it at a time.  The quorum log decides who: :class:`LeaseTable` is
applied entry by entry on every instance, and the fencing number of a holder
is the log position at which it took over, so that it grows with every holder.

The log has no clock, so the table knows no time.  Time is counted twice, by
those who need it, each on its own monotonic clock:

* the holder counts its lease from *before* it asked.  Whatever the log took
  to answer is lost to the holder, never to its successor;
* a successor counts from when it learnt of its own grant, which is after
  every grant of its predecessor was asked for.

Hence the predecessor has stopped before the successor starts, whatever
their clocks show, as long as they run at rates that differ by less than
:data:`CLOCK_ERROR`.  This is the argument of Gray and Cheriton ("Leases",
SOSP 1989) with the fencing number of Burrows ("The Chubby lock service",
OSDI 2006) on top, for the engines that look at it.
"""

import msgspec

from .. import invariants

# How long a grant lasts, in seconds.  A shorter lease finds a new holder
# sooner after a loss; a longer one asks less often.  Loading a model takes
# minutes, so that half a minute without an order giver costs little.
LEASE = 20.0
# An order is under way for this long at most; then its connection is reset,
# which also drops what the kernel has not sent yet.
LONGEST_ORDER = 5.0
# Two monotonic clocks differ in rate by less than this part: crystal
# oscillators stay within a hundredth of it.
CLOCK_ERROR = 0.01
# A holder with work to do asks again when this part of its lease is left.
RENEW_BELOW = 0.5


class LeaseTerms(msgspec.Struct, frozen=True):
    """What holds for the leases of one kind of subject, in seconds.

    ``lease`` is how long a grant lasts and ``longest_call`` how long what it
    allows may be under way.  ``turn`` guards those who look at nothing but
    the order of calls: within so long, nobody acts, is followed by another
    and acts again.  ``by_keepers`` tells that only keepers hold the lease:
    they end with the log that they keep, so that the first holder by a log
    follows nobody.
    """

    lease: float = LEASE
    longest_call: float = LONGEST_ORDER
    turn: float = 0.0
    by_keepers: bool = False

    def wait(self):
        """Return how long a new holder waits before it acts.

        Its predecessor's last call is over by then.  With a wait of lease,
        call and ``x`` an instance that acts again after another was granted
        the lease at least wait less lease after that one, hence acts at
        least call and twice ``x`` after its own last call.
        """
        spare = max(0.0, self.turn - self.longest_call) / 2.0
        seconds = self.lease + self.longest_call + spare
        return seconds * (1.0 + CLOCK_ERROR)


ORDER_TERMS = LeaseTerms()


class LeaseRequest(msgspec.Struct, tag="lease"):
    """A log entry: ``holder`` asks for the lease of a subject.

    Its subject is written as ``failure_domain``.

    ``replaces`` is the fencing number that it takes for the present one:
    of several that ask to replace the same holder, the log grants the
    first and refuses the rest.  ``incarnation`` tells a restarted holder,
    which no longer knows what it had under way, from the one before.
    """

    subject: str = msgspec.field(name="failure_domain")
    holder: str
    incarnation: int
    replaces: int


class Holding(msgspec.Struct):
    """Who holds the lease of a subject, by the log."""

    holder: str = ""
    incarnation: int = 0
    fencing: int = 0


class LeaseResult(msgspec.Struct):
    """What the log said to a request.

    ``holding`` is the one in force after it, ``taken_over`` whether it
    changed hands with this entry.
    """

    granted: bool
    taken_over: bool
    holding: Holding


class LeaseTable:
    """The holders of all subjects; a pure function of the log."""

    __slots__ = ("holdings",)

    def __init__(self):
        self.holdings = {}

    def holding(self, subject):
        """Return who holds the lease of a subject."""
        return self.holdings.get(subject) or Holding()

    def apply(self, version, request):
        """Apply the request that the log has at ``version``."""
        present = self.holding(request.subject)
        if _same_holder(present, request):
            return LeaseResult(True, False, present)
        if request.replaces != present.fencing:
            return LeaseResult(False, False, present)
        invariants.check(
            version > present.fencing,
            "fencing-grows",
            f"{version} after {present.fencing}",
        )
        taken = Holding(request.holder, request.incarnation, version)
        self.holdings[request.subject] = taken
        return LeaseResult(True, True, taken)

    def snapshot(self):
        """Return the state for a checkpoint."""
        return self.holdings

    def restore(self, holdings):
        """Take over the state of a checkpoint."""
        self.holdings = msgspec.convert(holdings, dict[str, Holding])


def _same_holder(present, request):
    return (
        present.fencing > 0
        and present.holder == request.holder
        and present.incarnation == request.incarnation
    )


class Grant(msgspec.Struct):
    """A lease as its holder counts it, on its own monotonic clock.

    ``valid_until`` ends it.  ``unchecked_from`` is when the first order
    may go to a server that does not check fencing numbers; those that do
    refuse the predecessor's orders by themselves.
    """

    fencing: int
    valid_until: float
    unchecked_from: float


class LeaseHolder:
    """One instance's side of a lease; the subject is its failure domain.

    Another ``subject`` may be named, with ``terms`` of its own.
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

    def ask(self, present, now):
        """Return the request to put into the log, at ``now``.

        Only one is under way at a time: the moment it was asked at is what
        the lease counts from, and must not be mistaken for another's.
        """
        self._asked_at = now
        self._replaces = present.fencing
        return LeaseRequest(
            self._subject or self._identity.failure_domain,
            self._identity.instance,
            self._identity.incarnation,
            present.fencing,
        )

    def asking(self):
        """Tell whether a request is under way."""
        return self._asked_at is not None

    def answered(self, result, now):
        """Take in the log's answer, or ``None`` where there is none.

        Without an answer the request may still be granted later; then the
        log names this instance, and the next request finds that out.
        """
        asked_at = self._asked_at
        self._asked_at = None
        if result is None or not result.granted:
            self.grant = None
            return
        valid_until = asked_at + self.terms.lease * (1.0 - CLOCK_ERROR)
        unchecked_from = self._unchecked_from(result, now)
        self.grant = Grant(result.holding.fencing, valid_until, unchecked_from)

    def _unchecked_from(self, result, now):
        held = self.grant
        if held and held.fencing == result.holding.fencing:
            return held.unchecked_from
        if self.terms.by_keepers and result.taken_over and not self._replaces:
            return now
        # A grant that is not a renewal of the one in hand may follow
        # another holder, or this instance's own earlier lease of which an
        # order is still under way.  Wait out both.
        return now + self.terms.wait()

    def superseded(self, holding):
        """Give up the lease when the log names another holder."""
        if self.grant and self.grant.fencing != holding.fencing:
            self.grant = None

    def renewal_due(self, now):
        """Tell whether a holder with work to do should ask again."""
        if self.grant is None:
            return True
        left = self.grant.valid_until - now
        return left < self.terms.lease * RENEW_BELOW

    def may_order(self, checks_fencing, now):
        """Tell whether an order, or a call, may be sent at ``now``.

        It is asked at the last moment before sending, after the connection
        stands, so that a pause of the process before it is noticed.
        """
        if self.grant is None or now >= self.grant.valid_until:
            return False
        return checks_fencing or now >= self.grant.unchecked_from

    def may_send(self, fencing, checks_fencing, now):
        """Tell whether what was decided under ``fencing`` may go out still."""
        return (
            self.grant is not None
            and self.grant.fencing == fencing
            and self.may_order(checks_fencing, now)
        )
