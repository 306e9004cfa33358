"""The component that gets claims on idempotency keys for requests.

It is the holder of the claims of this instance's requests, and the reader
of answers that others hold.  What it finds out about a request goes to its
``listener``, the request component.
"""

from .. import effects
from .. import interfaces
from .. import sentinels
from . import claim_rounds
from ..coordination import claim_entries
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


class Claims(interfaces.Component):
    """Claims under way, and the answers held for resends."""

    def __init__(self, state, voting):
        self._state = state
        self._voting = voting
        self.entries = claim_entries.Entries()
        self._rounds = {}
        self._asking = {}
        self._running = {}
        self._next_renewal = 0.0
        self.listener = None

    def handlers(self):
        """Return the handlers of the messages about claims."""
        return {
            claims.ClaimVote: self._voted,
            claims.AnswerAsk: self._answer_asked,
            claims.AnswerTold: self._answer_told,
        }

    def tick(self, now):
        """Ask again, give up and prolong, each when due."""
        self.entries.expire(now)
        out = []
        for round_ in list(self._rounds.values()):
            if round_.wanted.request_id in self._rounds:
                out.extend(self._tick_round(round_, now))
        if now >= self._next_renewal:
            self._next_renewal = now + RENEW_SECONDS
            for entry in self.entries.running():
                out.extend(self._to_group(entry.key, _ask(self, entry), now))
        return out

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
        round_ = claim_rounds.Round(wanted)
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
            wanted.key, round_.claim, wanted.digest, self._voting.digest
        )
        return self._to_group(wanted.key, ask, now)

    def _to_group(self, key, message, now):
        out = []
        for name in claims.group_of(key, self._voting.voters):
            out.extend(self._to_voter(name, message, now))
        return out

    def _to_voter(self, name, message, now):
        if name == self._state.identity.instance:
            return self._to_self(message, now)
        address = self._state.members.address_of(name)
        return [effects.SendPeer(address, message)] if address else []

    def _to_self(self, message, now):
        """Deal with this instance as a voter, without the network."""
        if isinstance(message, claims.ClaimRelease):
            self._voting.release(message, now)
            return []
        source = self._self()
        vote = self._voting.vote(source, message, now)
        return self._voted(source, vote, now)

    def _self(self):
        own = self._state.identity
        return messages.Sender(
            own.instance,
            own.address,
            own.failure_domain,
            own.region,
            own.incarnation,
        )

    def _voted(self, source, message, now):
        round_ = self._asking.get(message.claim)
        if round_ is None or now > round_.until:
            return self._late_vote(source, message, now)
        if source.instance not in claims.group_of(
            message.key, self._voting.voters
        ):
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
        return self._to_voter(source.instance, release, now)

    def _count(self, round_, now):
        group = claims.group_of(round_.wanted.key, self._voting.voters)
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
        if source.instance == self._state.identity.instance:
            out = self._answer_told(source, told, now)
        else:
            out = [effects.SendPeer(source.address, told)]
        if entry and entry.stand is Stand.NOT_RUN:
            # The voters may not have heard of it; the reader waits on them.
            release = claims.ClaimRelease(entry.key, entry.claim)
            out.extend(self._to_group(entry.key, release, now))
        return out


def _ask(component, entry):
    return claims.ClaimAsk(
        entry.key, entry.claim, entry.digest, component._voting.digest
    )
