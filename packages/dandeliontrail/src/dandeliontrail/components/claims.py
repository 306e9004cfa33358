"""The component that gets and gives claims on idempotency keys.

It is both sides: a voter, where this instance is one, and the holder or
reader of claims for the requests that this instance took in.  What it finds
out about a request goes to its ``listener``, the request component.
"""

import abc
import dataclasses

from .. import effects
from .. import interfaces
from .. import sentinels
from ..coordination import claim_entries
from ..coordination import claim_votes
from ..coordination import claims
from ..coordination import messages

Stand = claim_entries.Stand

ASK_AGAIN_SECONDS = 0.3
FOLLOW_SECONDS = 1.0
# A holder that does not answer for so long is down or cut off.
FOLLOW_SILENT_SECONDS = 10.0
# Two requests that split the votes try again at different moments.
PAUSE_SECONDS = 0.3
RENEW_SECONDS = claims.CLAIM_SECONDS / 3
RETRY_AFTER = 2.0


class Listener(abc.ABC):
    """Learns what came of a request's claim; each returns effects."""

    @abc.abstractmethod
    def claim_granted(self, request_id, now):
        """The request, and no other, may run its key."""

    @abc.abstractmethod
    def claim_unneeded(self, request_id, now):
        """No claim can be had, and the request may be repeated anyway."""

    @abc.abstractmethod
    def claim_answered(self, request_id, answer, now):
        """Another request with the key has the whole answer."""

    @abc.abstractmethod
    def claim_refused(self, request_id, nothing, ran, now):
        """There is no answer; ``ran`` where the key may have been run."""


@dataclasses.dataclass(slots=True)
class Wanted:
    """A request that asks for its key; ``deadline`` as its work has it."""

    request_id: str
    key: str
    digest: str
    repeatable: bool
    deadline: float


@dataclasses.dataclass(slots=True)
class _Round:
    """How far a request is in getting its key.

    ``claim`` is its own while it counts votes, and that of another request
    (at ``holder``) while it follows that one.
    """

    wanted: Wanted
    tries: int = 0
    claim: str = ""
    following: bool = False
    holder: str = ""
    holder_address: str = ""
    holder_digest: str = ""
    votes: dict = dataclasses.field(default_factory=dict)
    until: float = 0.0
    next_send: float = 0.0
    heard: float = 0.0


class Claims(interfaces.Component):
    """Claims, votes and the answers held for resends."""

    def __init__(self, state, voters=()):
        self._state = state
        self._voters = tuple(voters) or (state.identity.instance,)
        self._digest = claims.voters_digest(self._voters)
        self._table = None
        self.entries = claim_entries.Entries()
        self._rounds = {}
        self._asking = {}
        self._running = {}
        self._next_renewal = 0.0
        self._next_recovery = 0.0
        self.listener = None

    def handlers(self):
        """Return the handlers of the messages about claims."""
        return {
            claims.ClaimAsk: self._asked,
            claims.ClaimVote: self._voted,
            claims.ClaimRelease: self._released,
            claims.AnswerAsk: self._answer_asked,
            claims.AnswerTold: self._answer_told,
            claims.RecoveryAsk: self._recovery_asked,
            claims.RecoveryTold: self._recovery_told,
        }

    def tick(self, now):
        """Ask again, give up, prolong and recover, each when due."""
        self.entries.expire(now)
        out = self._recover(now)
        for round_ in list(self._rounds.values()):
            if round_.wanted.request_id in self._rounds:
                out.extend(self._tick_round(round_, now))
        if now >= self._next_renewal:
            self._next_renewal = now + RENEW_SECONDS
            for entry in self.entries.running():
                out.extend(self._to_group(entry.key, _ask(self, entry), now))
        return out

    def voting(self, now):
        """Tell whether this instance is a voter and grants claims."""
        table = self.table(now)
        return table is not None and table.ready(now)

    def table(self, now):
        """Return this instance's memory as a voter, ``None`` if it is none.

        It is made on the first event, when what a disk held is loaded.
        """
        name = self._state.identity.instance
        if self._table is None and name in self._voters:
            blank = not self._state.log.resumed
            self._table = claim_votes.VoterTable(
                name, self._voters, now, blank
            )
        return self._table

    # The holder's side.

    def begin(self, wanted, now):
        """Start to get the key of a request."""
        if self.entries.full():
            nothing = sentinels.Nothing(
                sentinels.Reason.NO_QUORUM, RETRY_AFTER
            )
            return self.listener.claim_refused(
                wanted.request_id, nothing, False, now
            )
        round_ = _Round(wanted)
        self._rounds[wanted.request_id] = round_
        return self._try(round_, now)

    def _try(self, round_, now):
        """Claim the key, or follow who has it on this instance already."""
        wanted = round_.wanted
        entry = self.entries.of_key(wanted.key)
        if entry and entry.stand is not Stand.NOT_RUN:
            own = self._state.identity
            self._follow(round_, entry.claim, own.instance, "", entry.digest)
            round_.heard = now
            return self._ask_holder(round_, now)
        round_.tries += 1
        round_.claim = f"{wanted.request_id}.{round_.tries}"
        round_.following = False
        round_.votes = {}
        round_.until = now + claims.VOTE_SECONDS
        entry = self.entries.add(wanted.key, round_.claim, wanted.digest, now)
        self._asking[round_.claim] = round_
        return self._send_asks(round_, now)

    def _send_asks(self, round_, now):
        round_.next_send = now + ASK_AGAIN_SECONDS
        wanted = round_.wanted
        ask = claims.ClaimAsk(
            wanted.key, round_.claim, wanted.digest, self._digest
        )
        return self._to_group(wanted.key, ask, now)

    def _to_group(self, key, message, now):
        out = []
        for name in claims.group_of(key, self._voters):
            out.extend(self._to_voter(name, message, now))
        return out

    def _to_voter(self, name, message, now):
        if name == self._state.identity.instance:
            handler = self.handlers()[type(message)]
            return handler(self._self(), message, now)
        address = self._state.members.address_of(name)
        return [effects.SendPeer(address, message)] if address else []

    def _self(self):
        own = self._state.identity
        return messages.Sender(
            own.instance,
            own.address,
            own.failure_domain,
            own.region,
            own.incarnation,
        )

    def _reply(self, source, message, now):
        """Answer a message, without the network where it is one's own."""
        if source.instance == self._state.identity.instance:
            handler = self.handlers()[type(message)]
            return handler(source, message, now)
        return [effects.SendPeer(source.address, message)]

    def _voted(self, source, message, now):
        round_ = self._asking.get(message.claim)
        if round_ is None or now > round_.until:
            return self._late_vote(source, message, now)
        if source.instance not in claims.group_of(message.key, self._voters):
            return []
        if message.holder:
            round_.votes[source.instance] = message
        return self._count(round_, now)

    def _late_vote(self, source, message, now):
        """Free a voter that granted a claim which is given up."""
        entry = self.entries.of_claim(message.claim)
        dead = entry is not None and entry.stand is Stand.NOT_RUN
        if not dead or message.holder != message.claim:
            return []
        release = claims.ClaimRelease(message.key, message.claim)
        return self._reply(source, release, now)

    def _count(self, round_, now):
        group = claims.group_of(round_.wanted.key, self._voters)
        needed = claims.majority(len(group))
        held_by = [vote.holder for vote in round_.votes.values()]
        granted = held_by.count(round_.claim)
        if granted >= needed:
            return self._granted(round_, now)
        if granted + len(group) - len(held_by) < needed:
            return self._lost_vote(round_, now)
        return []

    def _granted(self, round_, now):
        request_id = round_.wanted.request_id
        self._drop(round_)
        self._running[request_id] = round_.claim
        self.entries.of_claim(round_.claim).stand = Stand.RUNNING
        return self.listener.claim_granted(request_id, now)

    def _lost_vote(self, round_, now):
        """Give up the own claim and follow who has the most votes."""
        out = self._give_up_claim(round_, now)
        others = [
            vote
            for vote in round_.votes.values()
            if vote.holder != round_.claim
        ]
        if not others:
            return out + self._no_quorum(round_, now)
        held_by = [vote.holder for vote in others]
        first = max(others, key=lambda vote: held_by.count(vote.holder))
        self._follow(
            round_, first.holder, first.instance, first.address, first.digest
        )
        round_.heard = now
        return out + self._ask_holder(round_, now)

    def _give_up_claim(self, round_, now):
        self._asking.pop(round_.claim, None)
        entry = self.entries.of_claim(round_.claim)
        readers = self.entries.end(entry, Stand.NOT_RUN, None, now)
        release = claims.ClaimRelease(entry.key, entry.claim)
        out = self._to_group(entry.key, release, now)
        return out + self._tell_readers(entry, readers, now)

    def _no_quorum(self, round_, now):
        request_id = round_.wanted.request_id
        self._drop(round_)
        if round_.wanted.repeatable:
            return self.listener.claim_unneeded(request_id, now)
        nothing = sentinels.Nothing(sentinels.Reason.NO_QUORUM, RETRY_AFTER)
        return self.listener.claim_refused(request_id, nothing, False, now)

    def _drop(self, round_):
        self._asking.pop(round_.claim, None)
        self._rounds.pop(round_.wanted.request_id, None)

    def _tick_round(self, round_, now):
        if now >= round_.wanted.deadline:
            return self._overdue(round_, now)
        if round_.following:
            return self._tick_follower(round_, now)
        if round_.claim not in self._asking:
            return self._try(round_, now) if now >= round_.next_send else []
        if now > round_.until:
            return self._lost_vote(round_, now)
        return self._send_asks(round_, now) if now >= round_.next_send else []

    def _overdue(self, round_, now):
        out = []
        if round_.claim in self._asking:
            out = self._give_up_claim(round_, now)
        self._drop(round_)
        nothing = sentinels.Nothing(sentinels.Reason.DEADLINE, RETRY_AFTER)
        return out + self.listener.claim_refused(
            round_.wanted.request_id, nothing, round_.following, now
        )

    # The reader's side.

    def _follow(self, round_, claim, holder, address, digest):
        round_.following = True
        round_.claim = claim
        round_.holder = holder
        round_.holder_address = address
        round_.holder_digest = digest

    def _ask_holder(self, round_, now):
        round_.next_send = now + FOLLOW_SECONDS
        ask = claims.AnswerAsk(round_.claim, round_.wanted.request_id)
        if round_.holder == self._state.identity.instance:
            return self._answer_asked(self._self(), ask, now)
        if not round_.holder_address:
            return []
        return [effects.SendPeer(round_.holder_address, ask)]

    def _tick_follower(self, round_, now):
        if now - round_.heard > FOLLOW_SILENT_SECONDS:
            return self._holder_lost(round_, now)
        return self._ask_holder(round_, now) if now >= round_.next_send else []

    def _holder_lost(self, round_, now):
        """The key may have been run, and who knows of it is not there."""
        request_id = round_.wanted.request_id
        self._drop(round_)
        if round_.wanted.repeatable:
            return self.listener.claim_unneeded(request_id, now)
        nothing = sentinels.Nothing(sentinels.Reason.HOLDER_LOST)
        return self.listener.claim_refused(request_id, nothing, True, now)

    def _answer_told(self, source, message, now):
        round_ = self._rounds.get(message.reader)
        if round_ is None or round_.claim != message.claim:
            return []
        if not round_.following:
            return []
        round_.heard = now
        stand = Stand(message.stand)
        if stand is Stand.NOT_RUN:
            round_.following = False
            round_.claim = ""
            pause = PAUSE_SECONDS * self._state.rng.random()
            round_.next_send = now + pause
            return []
        if stand is Stand.CLAIMING:
            return []
        if round_.holder_digest != round_.wanted.digest:
            return self._refuse(round_, sentinels.Reason.KEY_REUSED, now)
        if stand is Stand.RUNNING:
            return []
        return self._settle(round_, stand, message.answer, now)

    def _settle(self, round_, stand, answer, now):
        if stand is Stand.HELD:
            self._drop(round_)
            return self.listener.claim_answered(
                round_.wanted.request_id, answer, now
            )
        if stand is Stand.GONE:
            return self._refuse(round_, sentinels.Reason.ANSWER_GONE, now)
        return self._holder_lost(round_, now)

    def _refuse(self, round_, reason, now):
        self._drop(round_)
        ran = reason is not sentinels.Reason.KEY_REUSED
        return self.listener.claim_refused(
            round_.wanted.request_id, sentinels.Nothing(reason), ran, now
        )

    # The end of a request, and who waits for it.

    def ended(self, request_id, stand, answer, now):
        """Take note of how a request that holds its key ended."""
        entry = self.entries.of_claim(self._running.pop(request_id))
        readers = self.entries.end(entry, stand, answer, now)
        out = []
        if stand is Stand.NOT_RUN:
            release = claims.ClaimRelease(entry.key, entry.claim)
            out = self._to_group(entry.key, release, now)
        return out + self._tell_readers(entry, readers, now)

    def forget(self, request_id, now):
        """Stop getting the key of a request whose caller is gone."""
        round_ = self._rounds.get(request_id)
        if round_ is None:
            return []
        out = []
        if round_.claim in self._asking:
            out = self._give_up_claim(round_, now)
        self._drop(round_)
        return out

    def _tell_readers(self, entry, readers, now):
        out = []
        for address, reader in sorted(readers):
            told = self._told(entry.claim, reader)
            if address:
                out.append(effects.SendPeer(address, told))
            else:
                out.extend(self._answer_told(self._self(), told, now))
        return out

    def _told(self, claim, reader):
        entry = self.entries.of_claim(claim)
        if entry is None:
            return claims.AnswerTold(claim, reader, Stand.LOST.value)
        return claims.AnswerTold(
            claim, reader, entry.stand.value, entry.answer
        )

    def _answer_asked(self, source, message, now):
        entry = self.entries.of_claim(message.claim)
        if entry and entry.stand in claim_entries.PENDING:
            own = source.instance == self._state.identity.instance
            address = "" if own else source.address
            entry.readers.add((address, message.reader))
        told = self._told(message.claim, message.reader)
        out = self._reply(source, told, now)
        if entry and entry.stand is Stand.NOT_RUN:
            # The voters may not have heard of it; the reader waits on them.
            release = claims.ClaimRelease(entry.key, entry.claim)
            out.extend(self._to_group(entry.key, release, now))
        return out

    # The voter's side.

    def _asked(self, source, message, now):
        table = self.table(now)
        if table is None:
            return []
        return self._reply(source, table.vote(message, source, now), now)

    def _released(self, source, message, now):
        table = self.table(now)
        if table is not None:
            table.release(message)
        return []

    def _recover(self, now):
        table = self.table(now)
        if table is None or now < self._next_recovery:
            return []
        self._next_recovery = now + ASK_AGAIN_SECONDS
        out = []
        for name in table.to_ask(now):
            ask = claims.RecoveryAsk(
                self._state.identity.incarnation,
                self._digest,
                table.page_after(name),
            )
            out.extend(self._to_voter(name, ask, now))
        return out

    def _recovery_asked(self, source, message, now):
        table = self.table(now)
        if table is None or message.voters != self._digest:
            return []
        told = table.tell(message, now)
        return [effects.SendPeer(source.address, told)]

    def _recovery_told(self, source, message, now):
        table = self.table(now)
        own = self._state.identity.incarnation
        if table is not None and message.incarnation == own:
            table.learn(source.instance, message, now)
        return []


def _ask(component, entry):
    return claims.ClaimAsk(
        entry.key, entry.claim, entry.digest, component._digest
    )
