"""One voter's memory of claims, and how it gets it back after a restart.

A voter keeps its claims in memory.  After a start it may have forgotten
some that count, so it grants nothing until more than half of a group, among
the *other* voters and each with its memory whole, have told it all they
hold.  Every claim that was ever granted is known to one of those (this is
the recovery of Viewstamped Replication Revisited, Liskov and Cowling 2012,
section 4.3).  Failing that, it waits until all claims from before its start
have expired.  At the very first start nobody has a past to forget.
"""

import heapq
import sys

import msgspec

from . import claims

# 100,000 claims are about 45 MB (bench/claims.py).  A voter that is full
# grants nothing more, since forgetting one could let its request run again.
MOST_CLAIMS = 100_000
PAGE = 2000


class Held(msgspec.Struct):
    """A granted claim; ``expires`` is on this voter's clock.

    An empty ``claim`` marks a key of which others told differently: it is
    granted to nobody.
    """

    claim: str
    digest: str
    instance: str
    address: str
    expires: float = 0.0


class _Told(msgspec.Struct):
    """What another voter said of itself as it began to tell its claims.

    ``started`` and ``ready`` are on this voter's clock, ``ready`` ``None``
    where it was still recovering.
    """

    blank: bool
    started: float
    ready: float | None


class VoterTable:
    """The claims that this voter granted.

    ``blank`` tells that it started with no past at all: nothing had been
    declared, so no request can have been taken in.
    """

    def __init__(self, name, voters, started, blank):
        self.name = name
        self.voters = tuple(sorted(voters))
        self.digest = claims.voters_digest(voters)
        self._started = started
        self._blank = blank
        self._held = {}
        self._expiries = []
        self._told = {}
        self._telling = {}
        self._pages = {}
        self._ready_at = None

    def __len__(self):
        return len(self._held)

    def vote(self, ask, source, now):
        """Return this voter's answer to a claim."""
        self._expire(now)
        nothing = claims.ClaimVote(ask.key, ask.claim)
        if ask.voters != self.digest or not self.ready(now):
            return nothing
        held = self._held.get(ask.key)
        if held is None:
            if len(self._held) >= MOST_CLAIMS:
                return nothing
            held = Held(
                ask.claim,
                ask.digest,
                sys.intern(source.instance),
                sys.intern(source.address),
            )
            self._held[ask.key] = held
        if held.claim == ask.claim:
            self._prolong(ask.key, held, now + claims.CLAIM_SECONDS)
        return claims.ClaimVote(
            ask.key,
            ask.claim,
            held.claim,
            held.digest,
            held.instance,
            held.address,
        )

    def _prolong(self, key, held, expires):
        held.expires = expires
        heapq.heappush(self._expiries, (expires, key))

    def release(self, message):
        """Forget a claim for which nothing was or will be run."""
        held = self._held.get(message.key)
        if held and held.claim == message.claim:
            del self._held[message.key]

    def _expire(self, now):
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            held = self._held.get(key)
            if held and held.expires <= now:
                del self._held[key]

    def ready(self, now):
        """Tell whether it forgot nothing that counts."""
        if self._ready_at is None and self._is_recovered(now):
            self._ready_at = now
        return self._ready_at is not None

    def _is_recovered(self, now):
        if now - self._started >= claims.CLAIM_SECONDS:
            return True
        size = min(len(self.voters), claims.LARGEST_GROUP)
        others = [name for name in self.voters if name != self.name]
        whole = [name for name in others if self._is_whole(name)]
        if self._is_first_start(size):
            return True
        # Groups are chosen by key: whichever it is, so many of its other
        # members may be missing and a majority of its size is left.
        spare = (size - 1) - claims.majority(size)
        return spare >= 0 and len(others) - len(whole) <= spare

    def _is_first_start(self, size):
        """Tell whether the whole deployment starts for the first time.

        One with a lost disk has no past of its own either: others that
        were ready before it started give it away.
        """
        if not self._blank or len(self._told) + 1 < claims.majority(size):
            return False
        return all(
            told.blank and not _before(told.ready, self._started)
            for told in self._told.values()
        )

    def _is_whole(self, name):
        told = self._told.get(name)
        if told is None:
            return False
        if told.ready is not None:
            return True
        return told.blank and not any(
            _before(other.ready, told.started) for other in self._told.values()
        )

    def to_ask(self, now):
        """Return the voters that are still to be asked for their claims.

        A vote from before this start may still be counted at first, and
        another voter's vote that makes up a majority with it come later:
        whoever has a past waits until that is over.
        """
        if self.ready(now):
            return []
        waited = now - self._started >= claims.RECOVERY_SECONDS
        if not (waited or self._blank):
            return []
        return [
            name
            for name in self.voters
            if name != self.name and not self._has_told_whole(name)
        ]

    def _has_told_whole(self, name):
        told = self._told.get(name)
        return told is not None and told.ready is not None

    def page_after(self, name):
        """Return the key after which ``name`` is to go on telling."""
        return self._pages.get(name, "")

    def tell(self, ask, now):
        """Return the page of claims that another voter asks for."""
        ready = self.ready(now)
        self._expire(now)
        keys = sorted(key for key in self._held if key > ask.after)
        return claims.RecoveryTold(
            ask.incarnation,
            ask.after,
            [self._record(key, now) for key in keys[:PAGE]],
            len(keys) <= PAGE,
            self._blank,
            now - self._started,
            now - self._ready_at if ready else None,
        )

    def _record(self, key, now):
        held = self._held[key]
        return claims.ClaimRecord(
            key,
            held.claim,
            held.digest,
            held.instance,
            held.address,
            held.expires - now,
        )

    def learn(self, name, message, now):
        """Take in a page that another voter told.

        What counts is how that voter stood when it began to tell: what it
        learnt itself while telling may be missing from the pages before.
        """
        if self.ready(now) or message.after != self.page_after(name):
            return
        if not message.after:
            self._telling[name] = _told_of(message, now)
        for record in message.records:
            self._learn_record(record, now)
        if not message.last:
            self._pages[name] = message.records[-1].key
            return
        self._pages.pop(name, None)
        self._told[name] = self._telling.pop(name)

    def _learn_record(self, record, now):
        held = self._held.get(record.key)
        if held is None:
            held = Held(
                record.claim, record.digest, record.instance, record.address
            )
            self._held[record.key] = held
        elif held.claim != record.claim:
            # Two claims, one of which may have had this voter's vote before
            # the restart and be granted: a vote for the other would grant
            # that one as well.
            held.claim = ""
        expires = max(held.expires, now + record.left)
        self._prolong(record.key, held, expires)


def _told_of(message, now):
    ready = message.ready_for
    return _Told(
        message.blank,
        now - message.age,
        None if ready is None else now - ready,
    )


def _before(ready, started):
    return ready is not None and ready < started
