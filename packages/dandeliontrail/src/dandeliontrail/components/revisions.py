"""The component that brings whole configurations into force.

A :class:`..resources.revisions.Revision` is one entry of the quorum log.
The applier keeps the one with the highest number: a lower one, or another
with the number that is held, is accepted and changes nothing, so that an
operator who resends after a lost answer gets the same answer again and
never brings back what was overtaken.
"""

import hashlib

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
    """How recent the state must be proven to be, in seconds, to act on it.

    ``key_proof`` bounds the age for accepting a key: a key that was taken
    away stops working that soon, also at an instance that is cut off;
    ``None`` accepts any age.  ``refusal_proof`` bounds it for saying that a
    key or a route does not exist: an instance that missed a change must not
    turn away for good what others accept.
    """

    key_proof: float | None = None
    refusal_proof: float = 2.0


class RoutingState:
    """The revision in force here and its table, or ``None`` for none."""

    __slots__ = ("table", "options")

    def __init__(self, options=RoutingOptions()):
        self.table = None
        self.options = options

    @property
    def number(self):
        """Return the number in force, or -1 for none."""
        return self.table.revision.number if self.table else -1

    def replace(self, revision):
        """Bring a revision with a higher number into force."""
        invariants.check(
            revision.number > self.number,
            "revision-in-force-never-reverts",
            f"{revision.number} after {self.number}",
        )
        self.table = routing.RoutingTable(revision)


# An instance says that it cannot serve once its proof has reached this part
# of the bound: the balancer asks every second and believes the second miss,
# so callers are led elsewhere before their keys are refused here.
READY_PART = 0.5


def can_serve(state, now):
    """Tell whether new callers are welcome, by what is known here.

    Made for an instance, or a whole failure domain, that is cut off from
    the keepers: its callers can still reach it, and would be refused there
    for as long as the cut lasts, while others could serve them.
    """
    if not state.log.ready or state.routing.table is None:
        return False
    bound = state.routing.options.key_proof
    if bound is None or not state.routing.table.keyed:
        return True
    ago = state.log.proven_ago(now)
    return ago is not None and ago <= bound * READY_PART


class RevisionApplier(machine.Applier):
    """Applies revisions in log order, the same way on every instance."""

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

    def load(self, state):
        """Take over a revision, unless a newer one is in force."""
        found = msgspec.json.decode(state, type=revisions.Revision | None)
        if found is not None and found.number > self._state.number:
            self._state.replace(found)


class Revisions(interfaces.Component):
    """Proposes revisions and logs which one is in force."""

    def __init__(self, state, settled_answer):
        self._state = state
        self._answer_to = settled_answer
        self._logged = -1
        self._proven = None
        state.log.register(revisions.Revision, RevisionApplier(state.routing))

    def handlers(self):
        """Return the handler of revisions from operators."""
        return {events.RevisionSubmitted: self._submitted}

    def tick(self, now):
        """Log a change of the revision in force."""
        out = self._tell_proof(now)
        number = self._state.routing.number
        if number == self._logged:
            return out
        self._logged = number
        fields = {
            "revision": number,
            "log_position": self._state.log.applied,
            "routes": len(self._state.routing.table.revision.routes),
            "proven_ago": _rounded(self._state.log.proven_ago(now)),
        }
        return [*out, effects.Log("info", "revision in force", fields)]

    def _tell_proof(self, now):
        """Log when keys begin, or cease, to be proven recent enough."""
        bound = self._state.routing.options.key_proof
        if bound is None:
            return []
        ago = self._state.log.proven_ago(now)
        proven = ago is not None and ago <= bound
        if proven == self._proven or (self._proven is None and not proven):
            return []
        self._proven = proven
        fields = {"proven_ago": _rounded(ago), "bound": bound}
        if proven:
            return [effects.Log("info", "keys are proven recent", fields)]
        text = "keys are not proven recent: requests with keys are refused"
        return [effects.Log("warning", text, fields)]

    def _submitted(self, event, now):
        """Propose a revision under an id made of its content.

        Two operators may send different content under one number, so the
        number alone would take the second for a resend of the first.
        """
        revision = event.revision
        digest = hashlib.sha256(revision.document.encode()).hexdigest()[:16]
        proposal_id = f"revision/{revision.number}/{digest}"
        settled = self._answer_to(event.write_id)
        return self._state.log.propose(revision, proposal_id, now, settled)


def _rounded(seconds):
    return None if seconds is None else round(seconds, 3)
