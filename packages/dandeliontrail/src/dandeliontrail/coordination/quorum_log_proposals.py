"""Proposals that this instance has under way.

They go to the leader and are repeated until they take effect here.  A
learner first asks the keepers who leads: only a proposal that was never
sent can truthfully be called not run.
"""

import enum
import typing

import msgspec

from . import quorum_log_core as core_module
from . import quorum_log_machine as machine_module
from . import quorum_log_messages as messages

# Longer than an election, so that a failover does not show.
UNSENT_SECONDS = 4.0
SENT_SECONDS = 8.0
ASK_INTERVAL = 0.3
RESEND_INTERVAL = 1.0
# Who leads is asked anew when it was last heard this long ago.
LEADER_KNOWN_FOR = 2.0


class SettledKind(enum.Enum):
    """How a proposal ended, as far as this instance knows."""

    APPLIED = "applied"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Settled(msgspec.Struct):
    """The end of a proposal.

    ``version`` and ``result`` are set where it was applied.  After
    ``UNKNOWN`` it may yet take effect; propose it again under the same
    id to learn.
    """

    kind: SettledKind
    version: int = 0
    result: typing.Any = None


class Pending(msgspec.Struct):
    """A proposal under way and all who wait for it."""

    body: typing.Any
    since: float
    calls: list
    sent: bool = False
    next_try: float = float("-inf")


class Proposals:
    """Sends proposals to the leader until they are settled."""

    def __init__(self, core, leadership, bootstrap):
        self._core = core
        self._leadership = leadership
        self._bootstrap = bootstrap
        self._pending = {}
        self._hint = ""
        self._hint_heard = float("-inf")
        self._next_ask = float("-inf")

    def hear_leader(self, name, now):
        """Take note that ``name`` is said to lead."""
        if name:
            self._hint = name
            self._hint_heard = now

    def leader(self, now):
        """Return who leads as far as known lately, or ''."""
        core = self._core
        if core.leader and core.is_voter():
            return core.leader
        if now - self._hint_heard < LEADER_KNOWN_FOR:
            return self._hint
        return ""

    def add(self, body, proposal_id, now, call):
        """Start a proposal, or wait for the one of the same id."""
        held = self._pending.get(proposal_id)
        if held is None:
            held = Pending(body, now, [])
            self._pending[proposal_id] = held
        held.calls.append(call)
        self._try(proposal_id, held, now)

    def take_applied(self, kind, proposal_id):
        """Return ``(calls, settled)`` where a proposal took effect."""
        held = self._pending.get(proposal_id) if proposal_id else None
        if held is None or type(held.body) is not kind:
            return None
        outcome = self._core.machine.outcome_of(kind, proposal_id)
        if outcome is None:
            return None
        del self._pending[proposal_id]
        return held.calls, _applied(outcome)

    def take_known(self):
        """Return what a checkpoint settled, as by :meth:`take_applied`."""
        found = [
            self.take_applied(type(held.body), proposal_id)
            for proposal_id, held in list(self._pending.items())
        ]
        return [item for item in found if item]

    def take_expired(self, now):
        """Return ``(calls, settled)`` of proposals that took too long."""
        found = []
        for proposal_id, held in list(self._pending.items()):
            limit = SENT_SECONDS if held.sent else UNSENT_SECONDS
            if now - held.since < limit:
                continue
            kind = SettledKind.UNKNOWN if held.sent else SettledKind.NOT_RUN
            del self._pending[proposal_id]
            found.append((held.calls, Settled(kind)))
        return found

    def tick(self, now):
        """Repeat what has no answer yet."""
        for proposal_id, held in self._pending.items():
            self._try(proposal_id, held, now)

    def _try(self, proposal_id, held, now):
        core = self._core
        if core.role is core_module.Role.LEADER:
            held.sent = True
            self._leadership.append(held.body, proposal_id, now)
            return
        leader = self.leader(now)
        if not leader:
            self._ask(now)
        elif now >= held.next_try and leader != core.name:
            held.sent = True
            held.next_try = now + RESEND_INTERVAL
            core.send(
                leader,
                messages.Propose(core.log_id, proposal_id, held.body),
            )

    def _ask(self, now):
        """Ask the keepers who leads."""
        core = self._core
        if now < self._next_ask:
            return
        self._next_ask = now + ASK_INTERVAL
        names = [item.name for item in core.log.voters] or self._bootstrap
        question = messages.Progress(core.log_id, core.commit, -1.0, asks=True)
        for name in names:
            if name != core.name:
                core.send(name, question)

    def wants_leader(self):
        """Tell whether a proposal waits to be sent."""
        return any(not held.sent for held in self._pending.values())


def _applied(outcome: machine_module.Outcome):
    return Settled(SettledKind.APPLIED, outcome.version, outcome.result)
