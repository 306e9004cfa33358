"""Component that votes on claims of idempotency keys."""

from .. import effects
from .. import interfaces
from ..coordination import claim_votes
from ..coordination import claims

# How often the other voters are asked for their claims during recovery.
RECOVERY_RESEND_SECONDS = 0.3


class ClaimVoting(interfaces.Component):
    """The voter of this instance, if it is one.

    ``voters`` names all voters and is the same on every instance.  If it is
    empty, the instance is the only voter for its own requests.
    """

    def __init__(self, state, voters=()):
        self._state = state
        self.voters = tuple(voters) or (state.identity.instance,)
        self.digest = claims.voters_digest(self.voters)
        self._table = None
        self._next_recovery = 0.0

    def handlers(self):
        """Return the handlers of the messages sent to a voter."""
        return {
            claims.ClaimAsk: self._claim_requested,
            claims.ClaimRelease: self._claim_released,
            claims.RecoveryAsk: self._recovery_requested,
            claims.RecoveryTold: self._recovery_received,
        }

    def tick(self, now):
        """Ask the other voters for their claims while recovering."""
        table = self._table_at(now)
        if table is None or now < self._next_recovery:
            return []
        self._next_recovery = now + RECOVERY_RESEND_SECONDS
        out = []
        for name in table.voters_to_ask(now):
            address = self._state.members.address_of(name)
            ask = claims.RecoveryAsk(
                self._state.identity.incarnation,
                self.digest,
                table.page_after(name),
            )
            if address:
                out.append(effects.SendPeer(address, ask))
        return out

    def ready(self, now):
        """Return whether this instance is a voter that has recovered."""
        table = self._table_at(now)
        return table is not None and table.ready(now)

    def vote(self, source, ask, now):
        """Return the vote on a claim; it is empty if this is no voter."""
        table = self._table_at(now)
        if table is None:
            return claims.ClaimVote(ask.key, ask.claim)
        return table.vote(ask, source, now)

    def release(self, message, now):
        """Release the vote for an abandoned claim."""
        table = self._table_at(now)
        if table is not None:
            table.release(message)

    def _table_at(self, now):
        """Return the table of this voter, or ``None`` if it is no voter.

        It is created on first use, after the data on disk was loaded.
        """
        name = self._state.identity.instance
        if self._table is None and name in self.voters:
            without_history = not self._state.log.resumed
            self._table = claim_votes.VoterTable(
                name, self.voters, now, without_history
            )
        return self._table

    def _claim_requested(self, source, message, now):
        vote = self.vote(source, message, now)
        return [effects.SendPeer(source.address, vote)]

    def _claim_released(self, source, message, now):
        self.release(message, now)
        return []

    def _recovery_requested(self, source, message, now):
        table = self._table_at(now)
        if table is None or message.voters != self.digest:
            return []
        reply = table.recovery_page(message, now)
        return [effects.SendPeer(source.address, reply)]

    def _recovery_received(self, source, message, now):
        table = self._table_at(now)
        incarnation = self._state.identity.incarnation
        if table is not None and message.incarnation == incarnation:
            table.merge_page(source.instance, message, now)
        return []
