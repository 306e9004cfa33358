"""The component that applies whole configurations (revisions).

A :class:`..resources.revisions.Revision` is one entry of the quorum log.
The applier keeps the one with the highest number.  A revision with a lower
or equal number is accepted without effect: an operator who resends one after
a lost answer gets the same answer again, and cannot restore a configuration
that has been superseded.
"""

import hashlib
import typing

import msgspec

from .. import effects
from .. import events
from .. import interfaces
from .. import invariants
from ..coordination import quorum_log_machine as machine
from ..decisions import routing
from ..resources import changes
from ..resources import revisions


class RoutingOptions(msgspec.Struct, frozen=True):
    """How routes and keys are read, and how old they may be, in seconds.

    The age is the time since the state was last proven to be current.

    ``key_proof`` is the greatest age at which an API key is accepted: a
    revoked key stops working within this time, also at a partitioned
    instance.  ``None`` accepts any age.

    ``refusal_proof`` is the greatest age at which a key or a route is
    reported not to exist: an instance that missed a change must not refuse
    permanently what the other instances accept.

    ``document_needs_key`` tells from the document of a revision whether
    requests need a key, for revisions of releases that don't tell.
    """

    key_proof: float | None = None
    refusal_proof: float = 2.0
    document_needs_key: typing.Callable | None = None


class RoutingState:
    """The routing table of the revision in force, or ``None`` for none."""

    __slots__ = ("table", "options")

    def __init__(self, options=RoutingOptions()):
        self.table = None
        self.options = options

    @property
    def number(self):
        """The number of the revision in force, or -1 for none."""
        return self.table.revision.number if self.table else -1

    def replace(self, revision):
        """Put a revision with a higher number into force.

        Checks the invariant that the number only grows.
        """
        invariants.check(
            revision.number > self.number,
            "revision-in-force-never-reverts",
            f"{revision.number} after {self.number}",
        )
        self.table = routing.RoutingTable(
            revision, self.options.document_needs_key
        )


# An instance reports that it is not ready once the age of its state exceeds
# this fraction of ``key_proof``.  The load balancer checks every second and
# acts on the second failed check, so traffic moves to other instances before
# keys are refused here.
READY_FRACTION = 0.5


def can_serve(state, now):
    """Return whether this instance is ready for new callers.

    This guards against an instance, or a whole failure domain, that is
    partitioned from the keepers.  Callers can still reach it, and would be
    refused for as long as the partition lasts although other instances
    could serve them.
    """
    if not state.log.ready or state.routing.table is None:
        return False
    bound = state.routing.options.key_proof
    if bound is None or not state.routing.table.keyed:
        return True
    ago = state.log.proven_ago(now)
    return ago is not None and ago <= bound * READY_FRACTION


class RevisionApplier(machine.Applier):
    """Applies revisions in log order, deterministically on each instance."""

    result_type = changes.Result

    def __init__(self, state):
        self._state = state

    def apply(self, version, entry):
        """Keep the revision with the highest number."""
        if entry.number > self._state.number:
            self._state.replace(entry)
        return changes.Result(changes.ResultKind.ACCEPTED, version)

    def dump(self):
        """Return the revision in force as JSON."""
        table = self._state.table
        return msgspec.json.encode(table.revision if table else None)

    def prepare(self, state):
        """Read a revision, to be used unless a newer one is in force."""
        revision = msgspec.json.decode(state, type=revisions.Revision | None)

        def install():
            if revision is not None and revision.number > self._state.number:
                self._state.replace(revision)

        return install


class Revisions(interfaces.Component):
    """Proposes revisions to the quorum log and logs which is in force."""

    def __init__(self, state, answer_callback):
        self._state = state
        self._answer_callback = answer_callback
        self._logged_number = -1
        self._logged_proven = None
        state.log.register(revisions.Revision, RevisionApplier(state.routing))

    def handlers(self):
        """Return the handler of revisions submitted by operators."""
        return {events.RevisionSubmitted: self._handle_submitted}

    def tick(self, now):
        """Log changes of the revision in force and of its proven age."""
        out = self._log_proof_changes(now)
        number = self._state.routing.number
        if number == self._logged_number:
            return out
        self._logged_number = number
        fields = {
            "revision": number,
            "log_position": self._state.log.applied,
            "routes": len(self._state.routing.table.revision.routes),
            "proven_ago": _rounded_or_none(self._state.log.proven_ago(now)),
        }
        return [*out, effects.Log("info", "revision in force", fields)]

    def _log_proof_changes(self, now):
        """Log when the state becomes too old, or recent enough, for keys."""
        bound = self._state.routing.options.key_proof
        if bound is None:
            return []
        ago = self._state.log.proven_ago(now)
        proven = ago is not None and ago <= bound
        if proven == self._logged_proven or (
            self._logged_proven is None and not proven
        ):
            return []
        self._logged_proven = proven
        fields = {"proven_ago": _rounded_or_none(ago), "bound": bound}
        if proven:
            return [effects.Log("info", "keys are proven recent", fields)]
        text = "keys are not proven recent: requests with keys are refused"
        return [effects.Log("warning", text, fields)]

    def _handle_submitted(self, event, now):
        """Propose a revision under an id derived from its content.

        Two operators may submit different content under the same number.
        With an id made of the number alone, the second would be taken for a
        resend of the first.
        """
        revision = event.revision
        digest = hashlib.sha256(revision.document.encode()).hexdigest()[:16]
        proposal_id = f"revision/{revision.number}/{digest}"
        settled = self._answer_callback(event.write_id)
        return self._state.log.propose(revision, proposal_id, now, settled)


def _rounded_or_none(seconds):
    return None if seconds is None else round(seconds, 3)
