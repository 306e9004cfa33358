"""The component that shares out the retry budget of all instances.

It has the log record how many instances there are, gives the policy's budget
its share of the slack and exchanges loans.  The rules are in
:mod:`..decisions.retry_budget`.
"""

import msgspec

from .. import effects
from .. import interfaces
from ..coordination import instance_counts
from ..coordination import retry_loans
from ..decisions import retry_budget
from . import orders_state
from . import proposer

# A retry waits for loans for three ticks and then goes to other instances in
# each: this many at a time reach all of a small system.
MAX_LENDERS_PER_TICK = 4
# The log gets at most one count in this time, as when all instances start.
PROPOSAL_INTERVAL_SECONDS = 1.0


class _Asked(msgspec.Struct):
    """An ask made at ``at``; ``lenders`` have not answered it yet."""

    at: float
    lenders: set[str]


class RetryLoans(interfaces.Component):
    """Maintains this instance's share and asks for loans.

    ``budget`` is ``None`` where the policy shares none with the others;
    ``first_start`` tells that no instance has run before, so that no
    predecessor of this one can have spent its share.
    """

    def __init__(self, state, budget, first_start):
        self._state = state
        self._budget = budget
        self._counts = state.instance_counts
        self._may_share_at = float("-inf") if first_start else None
        self._proposer = proposer.Proposer(state, "instances")
        self._is_proposing = False
        self._next_proposal = float("-inf")
        self._asks = 0
        self._asked = {}
        state.log.register(
            instance_counts.InstanceCount,
            orders_state.TableApplier(
                self._counts, instance_counts.InstanceCountResult
            ),
        )

    def handlers(self):
        """Return the handlers of the other instances' asks and loans."""
        return {
            retry_loans.RetryLoanAsk: self._handle_ask,
            retry_loans.RetryLoan: self._handle_loan,
        }

    def tick(self, now):
        """Update the share, ask for loans and record the instances."""
        if self._budget is None:
            return []
        out = self._record_count(now)
        self._update_share(now)
        self._budget.can_borrow = bool(self._state.members.links())
        out.extend(self._ask(now))
        out.extend(self._log_effects(now))
        return out

    # -- shares -------------------------------------------------------------

    def _update_share(self, now):
        if self._may_share_at is None:
            self._may_share_at = now + self._budget.quiet_seconds
        largest = self._counts.largest
        self._budget.share = (
            1.0 / largest if largest and now >= self._may_share_at else 0.0
        )

    def _record_count(self, now):
        """Have the log record more instances than it knows of."""
        log = self._state.log
        own = self._state.identity.instance
        if self._is_proposing or now < self._next_proposal:
            return []
        if not log.ready or log.leader(now) != own:
            return []
        count = 1 + len(self._state.members.alive(now))
        if count <= self._counts.largest:
            return []
        self._is_proposing = True
        self._next_proposal = now + PROPOSAL_INTERVAL_SECONDS

        def settled(result, settled_at):
            self._is_proposing = False
            return []

        entry = instance_counts.InstanceCount(count)
        return [
            effects.Log("info", "instance count", {"count": count}),
            *self._proposer.propose(entry, now, settled),
        ]

    # -- loans --------------------------------------------------------------

    def _ask(self, now):
        self._forget_asked(now)
        out = []
        for service, tokens in self._budget.take_wanted(now).items():
            out.extend(self._ask_for(service, tokens, now))
        return out

    def _ask_for(self, service, tokens, now):
        """Ask some linked instances for a part each."""
        links = self._state.members.links()
        count = min(MAX_LENDERS_PER_TICK, len(links))
        lenders = self._state.rng.sample(links, count)
        self._asks += 1
        ask_id = f"{self._state.identity.incarnation}/{self._asks}"
        names = {lender.instance for lender in lenders}
        self._asked[ask_id] = _Asked(now, names)
        message = retry_loans.RetryLoanAsk(
            service, ask_id, tokens / max(1, count)
        )
        return [
            effects.SendPeer(lender.address, message) for lender in lenders
        ]

    def _forget_asked(self, now):
        since = now - retry_budget.LOAN_SECONDS
        self._asked = {
            ask_id: asked
            for ask_id, asked in self._asked.items()
            if asked.at > since
        }

    def _handle_ask(self, source, message, now):
        if self._budget is None:
            return []
        tokens = self._budget.lend(message.service, message.tokens, now)
        if not tokens:
            return []
        loan = retry_loans.RetryLoan(message.service, message.ask_id, tokens)
        return [effects.SendPeer(source.address, loan)]

    def _handle_loan(self, source, message, now):
        asked = self._asked.get(message.ask_id)
        if asked is None or source.instance not in asked.lenders:
            return []
        # A message that is delivered twice must not count twice.
        asked.lenders.remove(source.instance)
        self._budget.borrow(message.service, message.tokens, asked.at, now)
        return []

    def _log_effects(self, now):
        return [
            effects.Log(
                "warning",
                "retry budget used up"
                if is_used_up
                else "retry budget usable again",
                {
                    "service": service,
                    "share": round(self._budget.share, 4),
                    "available": round(
                        self._budget.available(service, now), 2
                    ),
                    "unsettled": self._budget.unsettled(service),
                    "instances": self._counts.largest,
                    "important": True,
                },
            )
            for service, is_used_up in self._budget.take_changes(now).items()
        ]
