"""Component that claims idempotency keys on behalf of requests.

It holds the claims of this instance's requests, and fetches answers that other
holders store.  It reports the result for each request to its ``listener``, the
request component.
"""

from .. import effects
from .. import interfaces
from .. import sentinels
from . import claim_rounds
from ..coordination import claim_entries
from ..coordination import claims
from ..coordination import messages

ClaimState = claim_entries.ClaimState

# How often a claim is sent to its voters again until it is decided.
VOTE_RESEND_SECONDS = 0.3
# How often the holder of a key is asked for its answer.
HOLDER_POLL_SECONDS = 1.0
# A holder that has not replied for this long is down or partitioned.
HOLDER_TIMEOUT_SECONDS = 10.0
# Upper bound of the random delay before a key is claimed again, so that two
# requests that split the votes do not retry at the same time.
MAX_CONTENTION_BACKOFF_SECONDS = 0.3
# How often granted claims are renewed at their voters: three times within the
# time for which a voter remembers a claim.
RENEWAL_SECONDS = claims.CLAIM_SECONDS / 3
RETRY_AFTER_SECONDS = 2.0


class Claims(interfaces.Component):
    """Keeps pending and granted claims, and the answers for resends."""

    def __init__(self, state, voting):
        self._state = state
        self._voting = voting
        self.entries = claim_entries.Entries()
        self._rounds = {}
        self._voting_rounds = {}
        self._granted_claims = {}
        self._next_renewal = 0.0
        self.listener = None

    def handlers(self):
        """Return the handlers of votes and of messages about answers."""
        return {
            claims.ClaimVote: self._vote_received,
            claims.AnswerAsk: self._answer_requested,
            claims.AnswerTold: self._answer_received,
        }

    def tick(self, now):
        """Resend asks, end overdue rounds and renew granted claims."""
        self.entries.expire(now)
        out = []
        for round_ in list(self._rounds.values()):
            if round_.wanted.request_id in self._rounds:
                out.extend(self._tick_round(round_, now))
        if now >= self._next_renewal:
            self._next_renewal = now + RENEWAL_SECONDS
            for entry in self.entries.running():
                out.extend(
                    self._send_to_voters(
                        entry.key, _claim_ask(self, entry), now
                    )
                )
        return out

    # Claiming a key.

    def begin(self, wanted, now):
        """Start to claim the key of a request."""
        if self.entries.full():
            nothing = sentinels.Nothing(
                sentinels.Reason.NO_QUORUM, RETRY_AFTER_SECONDS
            )
            return self.listener.claim_refused(
                wanted.request_id, nothing, False, now
            )
        round_ = claim_rounds.ClaimRound(wanted)
        self._rounds[wanted.request_id] = round_
        return self._start_round(round_, now)

    def _start_round(self, round_, now):
        """Claim the key, or follow the local request that holds it."""
        wanted = round_.wanted
        entry = self.entries.of_key(wanted.key)
        if entry and entry.stand is not ClaimState.NOT_RUN:
            identity = self._state.identity
            self._follow(
                round_, entry.claim, identity.instance, "", entry.digest
            )
            round_.heard = now
            return self._ask_holder(round_, now)
        round_.tries += 1
        round_.claim = f"{wanted.request_id}.{round_.tries}"
        round_.following = False
        round_.votes = {}
        round_.until = now + claims.VOTE_SECONDS
        entry = self.entries.add(wanted.key, round_.claim, wanted.digest, now)
        self._voting_rounds[round_.claim] = round_
        return self._request_votes(round_, now)

    def _request_votes(self, round_, now):
        round_.next_send = now + VOTE_RESEND_SECONDS
        wanted = round_.wanted
        ask = claims.ClaimAsk(
            wanted.key, round_.claim, wanted.digest, self._voting.digest
        )
        return self._send_to_voters(wanted.key, ask, now)

    def _send_to_voters(self, key, message, now):
        out = []
        for name in claims.group_of(key, self._voting.voters):
            out.extend(self._send_to_voter(name, message, now))
        return out

    def _send_to_voter(self, name, message, now):
        if name == self._state.identity.instance:
            return self._deliver_locally(message, now)
        address = self._state.members.address_of(name)
        return [effects.SendPeer(address, message)] if address else []

    def _deliver_locally(self, message, now):
        """Deliver a message to this instance's own voter."""
        if isinstance(message, claims.ClaimRelease):
            self._voting.release(message, now)
            return []
        source = self._own_sender()
        vote = self._voting.vote(source, message, now)
        return self._vote_received(source, vote, now)

    def _own_sender(self):
        identity = self._state.identity
        return messages.Sender(
            identity.instance,
            identity.address,
            identity.failure_domain,
            identity.region,
            identity.incarnation,
        )

    def _vote_received(self, source, message, now):
        round_ = self._voting_rounds.get(message.claim)
        if round_ is None or now > round_.until:
            return self._stale_vote(source, message, now)
        if source.instance not in claims.group_of(
            message.key, self._voting.voters
        ):
            return []
        if message.holder:
            round_.votes[source.instance] = message
        return self._tally(round_, now)

    def _stale_vote(self, source, message, now):
        """Release the vote of a voter that granted an abandoned claim."""
        entry = self.entries.of_claim(message.claim)
        abandoned = entry is not None and entry.stand is ClaimState.NOT_RUN
        if not abandoned or message.holder != message.claim:
            return []
        release = claims.ClaimRelease(message.key, message.claim)
        return self._send_to_voter(source.instance, release, now)

    def _tally(self, round_, now):
        group = claims.group_of(round_.wanted.key, self._voting.voters)
        needed = claims.majority(len(group))
        holders = [vote.holder for vote in round_.votes.values()]
        granted = holders.count(round_.claim)
        if granted >= needed:
            return self._claim_granted(round_, now)
        if granted + len(group) - len(holders) < needed:
            return self._follow_winner(round_, now)
        return []

    def _claim_granted(self, round_, now):
        request_id = round_.wanted.request_id
        self._forget_round(round_)
        self._granted_claims[request_id] = round_.claim
        self.entries.of_claim(round_.claim).stand = ClaimState.RUNNING
        return self.listener.claim_granted(request_id, now)

    def _follow_winner(self, round_, now):
        """Abandon the claim and follow the one with the most votes."""
        out = self._abandon_claim(round_, now)
        others = [
            vote
            for vote in round_.votes.values()
            if vote.holder != round_.claim
        ]
        if not others:
            return out + self._no_quorum(round_, now)
        holders = [vote.holder for vote in others]
        winner = max(others, key=lambda vote: holders.count(vote.holder))
        self._follow(
            round_,
            winner.holder,
            winner.instance,
            winner.address,
            winner.digest,
        )
        round_.heard = now
        return out + self._ask_holder(round_, now)

    def _abandon_claim(self, round_, now):
        self._voting_rounds.pop(round_.claim, None)
        entry = self.entries.of_claim(round_.claim)
        readers = self.entries.end(entry, ClaimState.NOT_RUN, None, now)
        release = claims.ClaimRelease(entry.key, entry.claim)
        out = self._send_to_voters(entry.key, release, now)
        return out + self._notify_readers(entry, readers, now)

    def _no_quorum(self, round_, now):
        request_id = round_.wanted.request_id
        self._forget_round(round_)
        if round_.wanted.repeatable:
            return self.listener.claim_unavailable(request_id, now)
        nothing = sentinels.Nothing(
            sentinels.Reason.NO_QUORUM, RETRY_AFTER_SECONDS
        )
        return self.listener.claim_refused(request_id, nothing, False, now)

    def _forget_round(self, round_):
        self._voting_rounds.pop(round_.claim, None)
        self._rounds.pop(round_.wanted.request_id, None)

    def _tick_round(self, round_, now):
        if now >= round_.wanted.deadline:
            return self._deadline_passed(round_, now)
        if round_.following:
            return self._tick_follower(round_, now)
        if round_.claim not in self._voting_rounds:
            return (
                self._start_round(round_, now)
                if now >= round_.next_send
                else []
            )
        if now > round_.until:
            return self._follow_winner(round_, now)
        return (
            self._request_votes(round_, now) if now >= round_.next_send else []
        )

    def _deadline_passed(self, round_, now):
        out = []
        if round_.claim in self._voting_rounds:
            out = self._abandon_claim(round_, now)
        self._forget_round(round_)
        nothing = sentinels.Nothing(
            sentinels.Reason.DEADLINE, RETRY_AFTER_SECONDS
        )
        return out + self.listener.claim_refused(
            round_.wanted.request_id, nothing, round_.following, now
        )

    # Following the holder of a key.

    def _follow(self, round_, claim, holder, address, digest):
        round_.following = True
        round_.claim = claim
        round_.holder = holder
        round_.holder_address = address
        round_.holder_digest = digest

    def _ask_holder(self, round_, now):
        round_.next_send = now + HOLDER_POLL_SECONDS
        ask = claims.AnswerAsk(round_.claim, round_.wanted.request_id)
        if round_.holder == self._state.identity.instance:
            return self._answer_requested(self._own_sender(), ask, now)
        if not round_.holder_address:
            return []
        return [effects.SendPeer(round_.holder_address, ask)]

    def _tick_follower(self, round_, now):
        if now - round_.heard > HOLDER_TIMEOUT_SECONDS:
            return self._end_without_holder(round_, now)
        return self._ask_holder(round_, now) if now >= round_.next_send else []

    def _end_without_holder(self, round_, now):
        """End a round whose holder is unreachable; the key may have run."""
        request_id = round_.wanted.request_id
        self._forget_round(round_)
        if round_.wanted.repeatable:
            return self.listener.claim_unavailable(request_id, now)
        nothing = sentinels.Nothing(sentinels.Reason.HOLDER_LOST)
        return self.listener.claim_refused(request_id, nothing, True, now)

    def _answer_received(self, source, message, now):
        round_ = self._rounds.get(message.reader)
        if round_ is None or round_.claim != message.claim:
            return []
        if not round_.following:
            return []
        round_.heard = now
        stand = ClaimState(message.stand)
        if stand is ClaimState.NOT_RUN:
            round_.following = False
            round_.claim = ""
            pause = MAX_CONTENTION_BACKOFF_SECONDS * self._state.rng.random()
            round_.next_send = now + pause
            return []
        if stand is ClaimState.CLAIMING:
            return []
        if round_.holder_digest != round_.wanted.digest:
            return self._refuse(round_, sentinels.Reason.KEY_REUSED, now)
        if stand is ClaimState.RUNNING:
            return []
        return self._end_following(round_, stand, message.answer, now)

    def _end_following(self, round_, stand, answer, now):
        if stand is ClaimState.HELD:
            self._forget_round(round_)
            return self.listener.claim_answered(
                round_.wanted.request_id, answer, now
            )
        if stand is ClaimState.GONE:
            return self._refuse(round_, sentinels.Reason.ANSWER_GONE, now)
        return self._end_without_holder(round_, now)

    def _refuse(self, round_, reason, now):
        self._forget_round(round_)
        may_have_run = reason is not sentinels.Reason.KEY_REUSED
        return self.listener.claim_refused(
            round_.wanted.request_id,
            sentinels.Nothing(reason),
            may_have_run,
            now,
        )

    # Ends of requests, and the readers that wait for them.

    def ended(self, request_id, stand, answer, now):
        """Record how a request that holds its key ended; tell its readers."""
        entry = self.entries.of_claim(self._granted_claims.pop(request_id))
        readers = self.entries.end(entry, stand, answer, now)
        out = []
        if stand is ClaimState.NOT_RUN:
            release = claims.ClaimRelease(entry.key, entry.claim)
            out = self._send_to_voters(entry.key, release, now)
        return out + self._notify_readers(entry, readers, now)

    def forget(self, request_id, now):
        """Stop claiming the key of a request whose caller is gone."""
        round_ = self._rounds.get(request_id)
        if round_ is None:
            return []
        out = []
        if round_.claim in self._voting_rounds:
            out = self._abandon_claim(round_, now)
        self._forget_round(round_)
        return out

    def _notify_readers(self, entry, readers, now):
        out = []
        for address, reader in sorted(readers):
            reply = self._answer_message(entry.claim, reader)
            if address:
                out.append(effects.SendPeer(address, reply))
            else:
                out.extend(
                    self._answer_received(self._own_sender(), reply, now)
                )
        return out

    def _answer_message(self, claim, reader):
        entry = self.entries.of_claim(claim)
        if entry is None:
            return claims.AnswerTold(claim, reader, ClaimState.LOST.value)
        return claims.AnswerTold(
            claim, reader, entry.stand.value, entry.answer
        )

    def _answer_requested(self, source, message, now):
        entry = self.entries.of_claim(message.claim)
        if entry and entry.stand in claim_entries.PENDING:
            is_local = source.instance == self._state.identity.instance
            address = "" if is_local else source.address
            entry.readers.add((address, message.reader))
        reply = self._answer_message(message.claim, message.reader)
        if source.instance == self._state.identity.instance:
            out = self._answer_received(source, reply, now)
        else:
            out = [effects.SendPeer(source.address, reply)]
        if entry and entry.stand is ClaimState.NOT_RUN:
            # The release may not have reached the voters, and the reader
            # depends on their votes.
            release = claims.ClaimRelease(entry.key, entry.claim)
            out.extend(self._send_to_voters(entry.key, release, now))
        return out


def _claim_ask(claims_component, entry):
    return claims.ClaimAsk(
        entry.key, entry.claim, entry.digest, claims_component._voting.digest
    )
