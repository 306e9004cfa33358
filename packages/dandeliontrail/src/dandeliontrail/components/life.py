"""The life of a request as an explicit state machine.

``NOT_RUN`` can be reached only from phases in which no backend server can
have begun.  That single table is what makes the word "not run" true; the
check on it stays on in production.
"""

import enum

import msgspec

from .. import invariants
from ..decisions import work as work_module


class Phase(enum.Enum):
    """Where a request is in its life."""

    RECEIVED = "received"
    CLAIMING = "claiming"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    MAY_HAVE_BEGUN = "may_have_begun"
    STREAMING = "streaming"
    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


_NEXT = {
    Phase.RECEIVED: {Phase.CLAIMING, Phase.QUEUED, Phase.NOT_RUN},
    # Another claim on the key may turn out to hold it: then the request
    # ends here, with that one's answer, or as unknown where it is lost.
    Phase.CLAIMING: {
        Phase.QUEUED,
        Phase.NOT_RUN,
        Phase.COMPLETE,
        Phase.UNKNOWN,
    },
    # Unknown only after an attempt that may have begun; see ``move``.
    Phase.QUEUED: {Phase.DISPATCHED, Phase.NOT_RUN, Phase.UNKNOWN},
    Phase.DISPATCHED: {
        Phase.MAY_HAVE_BEGUN,
        Phase.QUEUED,
        Phase.NOT_RUN,
        Phase.UNKNOWN,
    },
    # Back to QUEUED only on the server's own word that it did not begin, or
    # for a repeatable request, whose earlier attempt then counts as begun.
    Phase.MAY_HAVE_BEGUN: {
        Phase.STREAMING,
        Phase.QUEUED,
        Phase.COMPLETE,
        Phase.UNKNOWN,
    },
    Phase.STREAMING: {Phase.COMPLETE, Phase.QUEUED, Phase.UNKNOWN},
    Phase.COMPLETE: set(),
    Phase.NOT_RUN: set(),
    Phase.UNKNOWN: set(),
}

ENDED = frozenset({Phase.COMPLETE, Phase.NOT_RUN, Phase.UNKNOWN})
# Sent to a server, and nothing of an answer has come.
AT_A_SERVER = frozenset({Phase.DISPATCHED, Phase.MAY_HAVE_BEGUN})
WAITING = frozenset({Phase.RECEIVED, Phase.CLAIMING, Phase.QUEUED})


class Hedge(msgspec.Struct):
    """An attempt beside one whose server is silent.

    ``began`` tells that it may have begun, ``incarnation`` is the server's
    name and epoch.
    """

    work: work_module.Work
    number: int
    server: str
    incarnation: tuple
    dispatched: float
    began: bool = False
    output_at: float = 0.0


class Life(msgspec.Struct):
    """One request from its arrival to its outcome.

    ``begun`` counts the attempts that may have begun; it never falls but
    by the server's own word.  ``arrivals`` counts the servers that it
    reached, whether they ran it or not, but for hedges that did not.
    ``first_output`` is zero until there is one.  ``claimed`` tells that the
    right to run its idempotency key was granted, ``counted`` that it is in a
    window of usage.
    ``incarnation`` is the server's name and epoch, ``output_at`` when the
    present attempt had its first output, zero until then.  ``attempt`` is the
    number of the present attempt, ``dispatches`` that of the latest one;
    ``seeking`` tells that a server is sought beside a silent one, ``hedge`` is
    the attempt there, and ``hedges_rejected`` how many servers turned such an
    attempt away.
    """

    work: work_module.Work
    phase: Phase = Phase.RECEIVED
    attempt: int = 0
    begun: int = 0
    server: str = ""
    dispatched: float = 0.0
    first_output: float = 0.0
    claimed: bool = False
    arrivals: int = 0
    counted: bool = False
    incarnation: tuple = ("", 0)
    output_at: float = 0.0
    dispatches: int = 0
    seeking: bool = False
    hedge: Hedge | None = None
    hedges_rejected: int = 0

    def move(self, phase):
        """Enter ``phase``, which the table must allow."""
        request_id = self.work.request_id
        invariants.check(
            phase in _NEXT[self.phase],
            "request-life",
            f"{request_id} from {self.phase.value} to {phase.value}",
        )
        invariants.check(
            phase is not Phase.NOT_RUN or self.begun == 0,
            "not-run-is-true",
            f"{request_id} has {self.begun} attempts that may have begun",
        )
        invariants.check(
            phase is not Phase.UNKNOWN
            or self.begun > 0
            or self.phase is Phase.CLAIMING,
            "unknown-only-where-something-may-have-begun",
            f"{request_id} has no attempt that may have begun",
        )
        self.phase = phase

    def has_attempt(self, number):
        """Tell whether an attempt is the present one, or the hedge."""
        if self.hedge is not None and self.hedge.number == number:
            return True
        return self.attempt == number

    def dispatch(self, server, incarnation, now):
        """Take note of the server that the request is given to."""
        self.move(Phase.DISPATCHED)
        self.dispatches += 1
        self.attempt = self.dispatches
        self.server = server
        self.incarnation = incarnation
        self.dispatched = now
        self.output_at = 0.0

    def dispatch_hedge(self, server, incarnation, now):
        """Take note of the server that is asked beside the silent one."""
        invariants.check(
            self.work.repeatable and self.hedge is None,
            "one-hedge-of-repeatable-work",
            f"{self.work.request_id} to {server}",
        )
        self.dispatches += 1
        self.seeking = False
        self.hedge = Hedge(
            self.work, self.dispatches, server, incarnation, now
        )

    def take_over(self):
        """Make the hedge the present attempt."""
        hedge, self.hedge = self.hedge, None
        if self.phase is not Phase.QUEUED:
            self.move(Phase.QUEUED)
        self.move(Phase.DISPATCHED)
        if hedge.began:
            self.move(Phase.MAY_HAVE_BEGUN)
        self.attempt = hedge.number
        self.server = hedge.server
        self.incarnation = hedge.incarnation
        self.dispatched = hedge.dispatched
        self.output_at = 0.0

    def begin(self):
        """Take note that the present attempt may have begun."""
        self.move(Phase.MAY_HAVE_BEGUN)
        self._count_begun()

    def begin_hedge(self):
        """Take note that the hedge may have begun."""
        self.hedge.began = True
        self._count_begun()

    def unbegin_hedge(self):
        """Take back the hedge on the server's own word.

        It leaves no mark on how often the request itself was turned away.
        """
        if self.hedge.began:
            self.begun -= 1
            self.arrivals -= 1
            self.hedges_rejected += 1

    def _count_begun(self):
        self.begun += 1
        self.arrivals += 1
        invariants.check(
            self.work.repeatable or self.begun == 1,
            "non-repeatable-runs-at-most-once",
            f"{self.work.request_id} begins for the {self.begun}. time",
        )

    def unbegin(self):
        """Take back the present attempt on the server's own word."""
        if self.phase is Phase.MAY_HAVE_BEGUN:
            self.begun -= 1
        self.move(Phase.QUEUED)
