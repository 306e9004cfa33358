"""The claims that a voter granted, and their recovery after a restart.

A voter keeps its claims in memory only.  After a start it may have lost
claims that are still valid, so it grants nothing until it has received all
claims of a majority of a group, counted among the *other* voters and only
those whose own state is complete.  Each granted claim is known to at least
one of these (the recovery protocol of Viewstamped Replication Revisited,
Liskov and Cowling 2012, section 4.3).  Otherwise it waits until every claim
from before its start has expired.  At the first start of a deployment there
is no state to recover.
"""

import heapq
import sys

import msgspec

from . import claims

# 100,000 claims take about 45 MB (bench/claims.py).  A voter that is full
# grants no further claims: evicting one could let its request run twice.
MAX_CLAIMS = 100_000
# Claims in one recovery message.
PAGE_SIZE = 2000


class GrantedClaim(msgspec.Struct):
    """A granted claim; ``expires`` is on this voter's monotonic clock.

    An empty ``claim`` marks a key for which other voters reported different
    claims: this voter grants it to none of them.
    """

    claim: str
    digest: str
    instance: str
    address: str
    expires: float = 0.0


class _VoterStatus(msgspec.Struct):
    """The status of another voter when it sent the first page of its claims.

    ``blank`` is true if it started without earlier state.  ``started``
    and ``ready`` are the times of its start and of its recovery, converted
    to this voter's clock; ``ready`` is ``None`` if it was still recovering.
    """

    blank: bool
    started: float
    ready: float | None


class VoterTable:
    """The claims that this voter granted.

    ``blank`` is true if it started without any earlier state: no
    configuration had been declared, so no request can have been accepted.
    ``started`` is the time of the start on this voter's monotonic clock.
    """

    def __init__(self, name, voters, started, blank):
        self.name = name
        self.voters = tuple(sorted(voters))
        self.digest = claims.voters_digest(voters)
        self._started = started
        self._blank = blank
        self._granted = {}
        self._expiries = []
        self._statuses = {}
        self._first_page_statuses = {}
        self._next_page_after = {}
        self._ready_at = None

    def __len__(self):
        return len(self._granted)

    def vote(self, ask, source, now):
        """Return the vote on a claim; grant or extend the claim if possible.

        ``source`` is the sender of ``ask``.
        """
        self._expire(now)
        no_vote = claims.ClaimVote(ask.key, ask.claim)
        if ask.voters != self.digest or not self.ready(now):
            return no_vote
        held = self._granted.get(ask.key)
        if held is None:
            if len(self._granted) >= MAX_CLAIMS:
                return no_vote
            held = GrantedClaim(
                ask.claim,
                ask.digest,
                sys.intern(source.instance),
                sys.intern(source.address),
            )
            self._granted[ask.key] = held
        if held.claim == ask.claim:
            self._extend(ask.key, held, now + claims.CLAIM_SECONDS)
        return claims.ClaimVote(
            ask.key,
            ask.claim,
            held.claim,
            held.digest,
            held.instance,
            held.address,
        )

    def _extend(self, key, held, expires):
        held.expires = expires
        heapq.heappush(self._expiries, (expires, key))

    def release(self, message):
        """Delete a claim whose request did not and will not run."""
        held = self._granted.get(message.key)
        if held and held.claim == message.claim:
            del self._granted[message.key]

    def _expire(self, now):
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            held = self._granted.get(key)
            if held and held.expires <= now:
                del self._granted[key]

    def ready(self, now):
        """Return whether the voter has recovered and may grant claims."""
        if self._ready_at is None and self._is_recovered(now):
            self._ready_at = now
        return self._ready_at is not None

    def _is_recovered(self, now):
        if now - self._started >= claims.CLAIM_SECONDS:
            return True
        size = min(len(self.voters), claims.MAX_GROUP_SIZE)
        others = [name for name in self.voters if name != self.name]
        complete = [name for name in others if self._has_complete_state(name)]
        if self._is_first_start(size):
            return True
        # Groups are chosen by key.  In any group, this many of the other
        # members may be missing and still leave a majority of the group.
        spare = (size - 1) - claims.majority(size)
        return spare >= 0 and len(others) - len(complete) <= spare

    def _is_first_start(self, size):
        """Return whether the whole deployment starts for the first time.

        A voter that lost its disk has no earlier state either.  That case
        shows in other voters that were ready before this one started.
        """
        if not self._blank or len(self._statuses) + 1 < claims.majority(size):
            return False
        return all(
            status.blank and not _is_before(status.ready, self._started)
            for status in self._statuses.values()
        )

    def _has_complete_state(self, name):
        status = self._statuses.get(name)
        if status is None:
            return False
        if status.ready is not None:
            return True
        return status.blank and not any(
            _is_before(other.ready, status.started)
            for other in self._statuses.values()
        )

    def voters_to_ask(self, now):
        """Return the voters that still have to be asked for their claims.

        A vote that this voter cast before its restart may still be counted,
        and may form a majority with a vote that another voter casts after it
        has sent its claims.  A voter with earlier state therefore waits
        until no such vote can be counted any more.
        """
        if self.ready(now):
            return []
        delay_over = now - self._started >= claims.RECOVERY_DELAY_SECONDS
        if not (delay_over or self._blank):
            return []
        return [
            name
            for name in self.voters
            if name != self.name and not self._has_sent_recovered_state(name)
        ]

    def _has_sent_recovered_state(self, name):
        status = self._statuses.get(name)
        return status is not None and status.ready is not None

    def page_after(self, name):
        """Return the key after which the next page of ``name`` starts."""
        return self._next_page_after.get(name, "")

    def recovery_page(self, ask, now):
        """Return the page of claims that another voter asks for.

        The claims are sorted by key; ``ask.after`` is exclusive.
        """
        ready = self.ready(now)
        self._expire(now)
        keys = sorted(key for key in self._granted if key > ask.after)
        return claims.RecoveryTold(
            ask.incarnation,
            ask.after,
            [self._to_record(key, now) for key in keys[:PAGE_SIZE]],
            len(keys) <= PAGE_SIZE,
            self._blank,
            now - self._started,
            now - self._ready_at if ready else None,
        )

    def _to_record(self, key, now):
        held = self._granted[key]
        return claims.ClaimRecord(
            key,
            held.claim,
            held.digest,
            held.instance,
            held.address,
            held.expires - now,
        )

    def merge_page(self, name, message, now):
        """Merge a page of claims from another voter.

        The status that counts is the one on the first page: claims that the
        voter recovered itself while it sent its pages may belong on an
        earlier page and thus be missing.
        """
        if self.ready(now) or message.after != self.page_after(name):
            return
        if not message.last and not message.records:
            return
        if not message.after:
            self._first_page_statuses[name] = _status_of(message, now)
        for record in message.records:
            self._merge_record(record, now)
        if not message.last:
            self._next_page_after[name] = message.records[-1].key
            return
        self._next_page_after.pop(name, None)
        self._statuses[name] = self._first_page_statuses.pop(name)

    def _merge_record(self, record, now):
        held = self._granted.get(record.key)
        if held is None:
            held = GrantedClaim(
                record.claim, record.digest, record.instance, record.address
            )
            self._granted[record.key] = held
        elif held.claim != record.claim:
            # There are two claims on this key.  This voter may have voted
            # for either before its restart, and that one may have been
            # granted: a vote for the other could grant that one as well.
            held.claim = ""
        expires = max(held.expires, now + record.left)
        self._extend(record.key, held, expires)


def _status_of(message, now):
    ready = message.ready_for
    return _VoterStatus(
        message.blank,
        now - message.age,
        None if ready is None else now - ready,
    )


def _is_before(ready, started):
    return ready is not None and ready < started
