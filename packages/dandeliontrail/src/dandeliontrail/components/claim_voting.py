"""The component that grants claims on idempotency keys, as one voter."""

from .. import effects
from .. import interfaces
from ..coordination import claim_votes
from ..coordination import claims

ASK_AGAIN_SECONDS = 0.3


class ClaimVoting(interfaces.Component):
    """This instance as a voter, where it is one.

    ``voters`` names them all, the same on every instance; without any, an
    instance is the only voter for its own requests.
    """

    def __init__(self, state, voters=()):
        self._state = state
        self.voters = tuple(voters) or (state.identity.instance,)
        self.digest = claims.voters_digest(self.voters)
        self._table = None
        self._next_recovery = 0.0

    def handlers(self):
        """Return the handlers of the messages to a voter."""
        return {
            claims.ClaimAsk: self._asked,
            claims.ClaimRelease: self._released,
            claims.RecoveryAsk: self._recovery_asked,
            claims.RecoveryTold: self._recovery_told,
        }

    def tick(self, now):
        """Ask the other voters for their claims while recovering."""
        table = self._table_at(now)
        if table is None or now < self._next_recovery:
            return []
        self._next_recovery = now + ASK_AGAIN_SECONDS
        out = []
        for name in table.to_ask(now):
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
        """Tell whether this instance is a voter and grants claims."""
        table = self._table_at(now)
        return table is not None and table.ready(now)

    def vote(self, source, ask, now):
        """Return the vote on a claim; none where this is no voter."""
        table = self._table_at(now)
        if table is None:
            return claims.ClaimVote(ask.key, ask.claim)
        return table.vote(ask, source, now)

    def release(self, message, now):
        """Forget a claim that was given up."""
        table = self._table_at(now)
        if table is not None:
            table.release(message)

    def _table_at(self, now):
        """Return this voter's memory, ``None`` where this is no voter.

        It is made on the first event, when what a disk held is loaded.
        """
        name = self._state.identity.instance
        if self._table is None and name in self.voters:
            blank = not self._state.log.resumed
            self._table = claim_votes.VoterTable(name, self.voters, now, blank)
        return self._table

    def _asked(self, source, message, now):
        vote = self.vote(source, message, now)
        return [effects.SendPeer(source.address, vote)]

    def _released(self, source, message, now):
        self.release(message, now)
        return []

    def _recovery_asked(self, source, message, now):
        table = self._table_at(now)
        if table is None or message.voters != self.digest:
            return []
        told = table.tell(message, now)
        return [effects.SendPeer(source.address, told)]

    def _recovery_told(self, source, message, now):
        table = self._table_at(now)
        own = self._state.identity.incarnation
        if table is not None and message.incarnation == own:
            table.learn(source.instance, message, now)
        return []
