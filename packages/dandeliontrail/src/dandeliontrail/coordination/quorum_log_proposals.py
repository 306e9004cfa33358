"""Proposals of this instance that are not settled yet.

They are sent to the leader and resent until they are applied on this
instance.  A learner first asks the keepers who the leader is, instead of
sending the proposal to all: only a proposal that was never sent can be
reported as not run.
"""

import enum
import typing

import msgspec

from . import quorum_log_core as core_module
from . import quorum_log_machine as machine_module
from . import quorum_log_messages as messages

# How long a proposal waits for a leader before it is reported as not run.  It
# is longer than an election, so that a failover causes no error.  Once sent,
# a proposal is reported as unknown after SENT_TIMEOUT_SECONDS.
UNSENT_TIMEOUT_SECONDS = 4.0
SENT_TIMEOUT_SECONDS = 8.0
LEADER_QUERY_INTERVAL_SECONDS = 0.3
RESEND_INTERVAL_SECONDS = 1.0
# A leader that was last reported longer ago than this is queried again.
LEADER_HINT_TTL_SECONDS = 2.0


class SettledKind(enum.Enum):
    """The final status of a proposal, as far as this instance knows."""

    APPLIED = "applied"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Settled(msgspec.Struct):
    """The final status of a proposal.

    ``version`` and ``result`` are set if it was applied.  After ``UNKNOWN`` it
    may still take effect; propose it again with the same id to find out.
    """

    kind: SettledKind
    version: int = 0
    result: typing.Any = None


class PendingProposal(msgspec.Struct):
    """An unsettled proposal and the callbacks that wait for it."""

    body: typing.Any
    started_at: float
    callbacks: list
    sent: bool = False
    sent_to: str = ""
    next_send_at: float = float("-inf")


class Proposals:
    """Sends proposals to the leader until they are settled."""

    def __init__(self, core, leadership, bootstrap):
        self._core = core
        self._leadership = leadership
        self._bootstrap = bootstrap
        self._pending = {}
        self._leader_hint = ""
        self._leader_hint_at = float("-inf")
        self._next_leader_query_at = float("-inf")

    def record_leader(self, name, now):
        """Record ``name``, if not empty, as the reported leader."""
        if name:
            self._leader_hint = name
            self._leader_hint_at = now

    def leader(self, now):
        """Return the name of the leader, or '' if not known recently."""
        core = self._core
        if core.leader and core.is_voter():
            return core.leader
        if now - self._leader_hint_at < LEADER_HINT_TTL_SECONDS:
            return self._leader_hint
        return ""

    def add(self, body, proposal_id, now, callback):
        """Add a proposal, or wait for a pending one with the same id."""
        pending = self._pending.get(proposal_id)
        if pending is None:
            pending = PendingProposal(body, now, [])
            self._pending[proposal_id] = pending
        pending.callbacks.append(callback)
        self._send_if_due(proposal_id, pending, now)

    def take_applied(self, kind, proposal_id):
        """Remove a proposal that was applied.

        Returns ``(callbacks, settled)``, or ``None`` if it is not pending or
        not applied.
        """
        pending = self._pending.get(proposal_id) if proposal_id else None
        if pending is None or type(pending.body) is not kind:
            return None
        outcome = self._core.machine.outcome_of(kind, proposal_id)
        if outcome is None:
            return None
        del self._pending[proposal_id]
        return pending.callbacks, _applied_result(outcome)

    def take_all_applied(self):
        """Remove all applied proposals, as by :meth:`take_applied`.

        An installed checkpoint can settle several at once.
        """
        found = [
            self.take_applied(type(pending.body), proposal_id)
            for proposal_id, pending in list(self._pending.items())
        ]
        return [item for item in found if item]

    def take_expired(self, now):
        """Remove timed-out proposals.

        Returns a list of ``(callbacks, settled)`` pairs.
        """
        found = []
        for proposal_id, pending in list(self._pending.items()):
            limit = (
                SENT_TIMEOUT_SECONDS
                if pending.sent
                else UNSENT_TIMEOUT_SECONDS
            )
            if now - pending.started_at < limit:
                continue
            kind = SettledKind.UNKNOWN if pending.sent else SettledKind.NOT_RUN
            del self._pending[proposal_id]
            found.append((pending.callbacks, Settled(kind)))
        return found

    def tick(self, now):
        """Send or resend the pending proposals that are due."""
        for proposal_id, pending in self._pending.items():
            self._send_if_due(proposal_id, pending, now)

    def _send_if_due(self, proposal_id, pending, now):
        core = self._core
        if core.role is core_module.Role.LEADER:
            pending.sent = True
            self._leadership.append(pending.body, proposal_id, now)
            return
        leader = self.leader(now)
        if not leader:
            self._query_leader(now)
        elif leader != core.name and (
            now >= pending.next_send_at or leader != pending.sent_to
        ):
            pending.sent = True
            pending.sent_to = leader
            pending.next_send_at = now + RESEND_INTERVAL_SECONDS
            core.send(
                leader,
                messages.Propose(core.log_id, proposal_id, pending.body),
            )

    def _query_leader(self, now):
        """Ask the keepers who the leader is."""
        core = self._core
        if now < self._next_leader_query_at:
            return
        self._next_leader_query_at = now + LEADER_QUERY_INTERVAL_SECONDS
        names = [item.name for item in core.log.voters] or self._bootstrap
        query = messages.Progress(core.log_id, core.commit, -1.0, asks=True)
        for name in names:
            if name != core.name:
                core.send(name, query)

    def has_unsent(self):
        """Return whether a proposal has not been sent yet."""
        return any(not pending.sent for pending in self._pending.values())


def _applied_result(outcome: machine_module.Outcome):
    return Settled(SettledKind.APPLIED, outcome.version, outcome.result)
