"""The life cycle of a request as an explicit state machine.

``NOT_RUN`` can be reached only from phases in which no backend server can
have begun the request.  The transition table alone guarantees that a reported
"not run" is true; the check against it stays enabled in production.
"""

import enum

import msgspec

from .. import invariants
from ..decisions import work as work_module


class Phase(enum.Enum):
    """The phase of a request in its life cycle."""

    RECEIVED = "received"
    CLAIMING = "claiming"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    MAY_HAVE_BEGUN = "may_have_begun"
    STREAMING = "streaming"
    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


_TRANSITIONS = {
    Phase.RECEIVED: {Phase.CLAIMING, Phase.QUEUED, Phase.NOT_RUN},
    # If another request holds the key, this one ends here: with that
    # request's answer, or as unknown if its holder is lost.
    Phase.CLAIMING: {
        Phase.QUEUED,
        Phase.NOT_RUN,
        Phase.COMPLETE,
        Phase.UNKNOWN,
    },
    # UNKNOWN only after an attempt may have begun; see ``transition_to``.
    Phase.QUEUED: {Phase.DISPATCHED, Phase.NOT_RUN, Phase.UNKNOWN},
    Phase.DISPATCHED: {
        Phase.MAY_HAVE_BEGUN,
        Phase.QUEUED,
        Phase.NOT_RUN,
        Phase.UNKNOWN,
    },
    # Back to QUEUED only if the server itself reports that it did not begin,
    # or for a repeatable request, whose earlier attempt still counts as begun.
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

TERMINAL = frozenset({Phase.COMPLETE, Phase.NOT_RUN, Phase.UNKNOWN})
# Sent to a server that has not produced output yet.
AWAITING_OUTPUT = frozenset({Phase.DISPATCHED, Phase.MAY_HAVE_BEGUN})
WAITING = frozenset({Phase.RECEIVED, Phase.CLAIMING, Phase.QUEUED})


def is_stoppable(work):
    """Return whether work without a waiting caller may be stopped midway.

    Output generated only for the caller may be stopped; a non-repeatable
    operation that is half done may not.
    """
    return work.repeatable or work.streamed


class Hedge(msgspec.Struct):
    """A second attempt at a request while its first server is silent.

    ``may_have_begun`` tells whether the server may have begun the request;
    ``incarnation`` is the server's name and epoch, ``software_version`` the
    version that it announced.
    """

    work: work_module.Work
    number: int
    server: str
    incarnation: tuple
    dispatched: float
    may_have_begun: bool = False
    output_at: float = 0.0
    peer: str = ""
    software_version: str = ""


class RequestLifecycle(msgspec.Struct):
    """One request from its arrival to its outcome.

    Times are in seconds on the clock of this instance.

    - ``attempts_begun``: number of attempts that may have begun; it decreases
      only when a server reports that it did not begin.
    - ``servers_reached``: number of servers that the request reached, whether
      they ran it or not; hedges that were rejected are not included.
    - ``first_output``: time of the first output of any attempt, or zero.
    - ``holds_key``: whether its claim on the idempotency key was granted.
    - ``usage_counted``: whether it is counted in a usage window.
    - ``incarnation``: name and epoch of the current attempt's server.
    - ``output_at``: time of the current attempt's first output, or zero.
    - ``attempt``: number of the current attempt.
    - ``dispatches``: number of the latest attempt, hedges included.
    - ``seeking_hedge``: whether the policy is looking for a second server
      because the current one is silent.
    - ``hedge``: the attempt at the second server, if one was sent.
    - ``hedges_rejected``: number of servers that rejected a hedge.
    - ``peer``: the instance through which the current attempt's server is
      reached, '' for a direct path.
    - ``path_lost``: whether the path to the current attempt's server was
      found to be lost.
    - ``software_version``: the version that the server of the current attempt
      announced when the attempt was dispatched.
    """

    work: work_module.Work
    phase: Phase = Phase.RECEIVED
    attempt: int = 0
    attempts_begun: int = 0
    server: str = ""
    dispatched: float = 0.0
    first_output: float = 0.0
    holds_key: bool = False
    servers_reached: int = 0
    usage_counted: bool = False
    incarnation: tuple = ("", 0)
    output_at: float = 0.0
    dispatches: int = 0
    seeking_hedge: bool = False
    hedge: Hedge | None = None
    hedges_rejected: int = 0
    peer: str = ""
    path_lost: bool = False
    software_version: str = ""

    def transition_to(self, phase):
        """Enter ``phase``.

        Raises ``InvariantBroken`` if the transition table does not allow it,
        or if ``NOT_RUN`` or ``UNKNOWN`` would contradict ``attempts_begun``.
        """
        request_id = self.work.request_id
        invariants.check(
            phase in _TRANSITIONS[self.phase],
            "request-life",
            f"{request_id} from {self.phase.value} to {phase.value}",
        )
        invariants.check(
            phase is not Phase.NOT_RUN or self.attempts_begun == 0,
            "not-run-is-true",
            f"{request_id} has {self.attempts_begun} attempts"
            " that may have begun",
        )
        invariants.check(
            phase is not Phase.UNKNOWN
            or self.attempts_begun > 0
            or self.phase is Phase.CLAIMING,
            "unknown-only-where-something-may-have-begun",
            f"{request_id} has no attempt that may have begun",
        )
        self.phase = phase

    @property
    def ends_with_caller(self):
        """Whether the request is to be stopped when its caller leaves.

        It is not if it may have begun, and half a report or half an order is
        worse than a complete one that the caller requests again.
        """
        if self.phase in WAITING or is_stoppable(self.work):
            return True
        # A worker of the own interface may be about to send it.
        return self.work.routed and self.phase is Phase.DISPATCHED

    def has_attempt(self, number):
        """Return whether ``number`` is the current attempt or the hedge."""
        if self.hedge is not None and self.hedge.number == number:
            return True
        return self.attempt == number

    def incarnation_of(self, number):
        """Return name and epoch of the server of the attempt ``number``."""
        if self.hedge is not None and self.hedge.number == number:
            return self.hedge.incarnation
        return self.incarnation

    def dispatch(self, server, incarnation, now, peer="", software_version=""):
        """Record that the request is sent to ``server``, through ``peer``."""
        self._check_version(software_version)
        self.transition_to(Phase.DISPATCHED)
        self.dispatches += 1
        self.attempt = self.dispatches
        self.server = server
        self.incarnation = incarnation
        self.dispatched = now
        self.output_at = 0.0
        self.peer = peer
        self.path_lost = False
        self.software_version = software_version

    def dispatch_hedge(
        self, server, incarnation, now, peer="", software_version=""
    ):
        """Record that a hedge is sent to ``server``."""
        self._check_version(software_version)
        invariants.check(
            self.work.repeatable and self.hedge is None,
            "one-hedge-of-repeatable-work",
            f"{self.work.request_id} to {server}",
        )
        self.dispatches += 1
        self.seeking_hedge = False
        self.hedge = Hedge(
            self.work,
            self.dispatches,
            server,
            incarnation,
            now,
            peer=peer,
            software_version=software_version,
        )

    def _check_version(self, software_version):
        bound = self.work.software_version
        invariants.check(
            bound is None or bound == software_version,
            "a-stream-stays-at-its-software-version",
            f"{self.work.request_id} of {bound!r} at {software_version!r}",
        )

    def check_joins(self, number):
        """Check that events of an attempt may follow those that were sent.

        Raises ``InvariantBroken`` if another software version wrote these, or
        if the attempt is not known.
        """
        invariants.check(
            self.has_attempt(number),
            "events-come-from-a-known-attempt",
            f"{self.work.request_id}, attempt {number}",
        )
        if self.hedge is not None and self.hedge.number == number:
            self._check_version(self.hedge.software_version)
        else:
            self._check_version(self.software_version)

    def bind_version(self):
        """Bind the stream to the version that wrote its first event."""
        self._check_version(self.software_version)
        self.work.software_version = self.software_version
        self.work.is_continuing = True

    def promote_hedge(self):
        """Make the hedge the current attempt."""
        hedge, self.hedge = self.hedge, None
        if self.phase is not Phase.QUEUED:
            self.transition_to(Phase.QUEUED)
        self.transition_to(Phase.DISPATCHED)
        if hedge.may_have_begun:
            self.transition_to(Phase.MAY_HAVE_BEGUN)
        self.attempt = hedge.number
        self.server = hedge.server
        self.incarnation = hedge.incarnation
        self.dispatched = hedge.dispatched
        self.output_at = 0.0
        self.peer = hedge.peer
        self.path_lost = False
        self.software_version = hedge.software_version

    def mark_begun(self):
        """Record that the current attempt may have begun."""
        self.transition_to(Phase.MAY_HAVE_BEGUN)
        self._count_begun()

    def mark_hedge_begun(self):
        """Record that the hedge may have begun."""
        self.hedge.may_have_begun = True
        self._count_begun()

    def mark_hedge_not_begun(self):
        """Undo ``mark_hedge_begun`` after the server reported no start.

        The rejection does not count towards those of the request itself.
        """
        if self.hedge.may_have_begun:
            self.attempts_begun -= 1
            self.servers_reached -= 1
            self.hedges_rejected += 1

    def _count_begun(self):
        self.attempts_begun += 1
        self.servers_reached += 1
        invariants.check(
            self.work.repeatable or self.attempts_begun == 1,
            "non-repeatable-runs-at-most-once",
            f"{self.work.request_id} may have begun"
            f" {self.attempts_begun} times",
        )

    def mark_not_begun(self):
        """Requeue after the current attempt did not begin."""
        if self.phase is Phase.MAY_HAVE_BEGUN:
            self.attempts_begun -= 1
        self.transition_to(Phase.QUEUED)
