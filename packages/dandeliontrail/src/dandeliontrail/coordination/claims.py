"""The right to run an idempotency key once, granted by a majority.

A *claim* is one request's wish to be the only one that runs a key.  Each
key has a group of voters, the same on every instance; a request may be
dispatched once a majority of the group has granted its claim.  Two
majorities of one group share a voter, and a voter grants a key once, so no
two claims on a key are ever granted, whatever is lost, repeated or cut off.

The argument, the ways weighed and the costs are in docs/design/outcomes.md.
"""

import hashlib

import msgspec

# A key is remembered for this long from its claim on.  A resend later than
# that counts as a new request: it bounds what voters must remember.
CLAIM_SECONDS = 1800.0
# A claim counts only votes that reach it within this time.
VOTE_SECONDS = 2.0
# A voter that forgot asks the others after this long: by then no vote from
# before its restart can still be counted, even with clocks that run apart.
RECOVERY_SECONDS = 2 * VOTE_SECONDS + 1.0
# Five tolerate two losses, so one may follow on the repair of another.
LARGEST_GROUP = 5
# 128 bits of a digest, in hex: two of 10**15 names are the same with a
# chance of one in 10**9, and every voter keeps them in memory.
NAME_LENGTH = 32


class StoredAnswer(msgspec.Struct):
    """A whole answer as it was given, for resends of its key."""

    status: int
    content_type: str
    backend_server: str
    body: bytes


class ClaimAsk(msgspec.Struct, tag="claim-ask"):
    """May ``claim`` have ``key``?  Repeated, it prolongs the claim.

    ``voters`` is the digest of the sender's list of voters: claims that
    count by different lists must not add up to a majority.
    """

    key: str
    claim: str
    digest: str
    voters: str


class ClaimVote(msgspec.Struct, tag="claim-vote"):
    """The voter holds ``key`` for ``holder``, of ``instance``.

    An empty ``holder`` is no vote at all: the voter is full, has not yet
    recovered or counts by another list.
    """

    key: str
    claim: str
    holder: str = ""
    digest: str = ""
    instance: str = ""
    address: str = ""


class ClaimRelease(msgspec.Struct, tag="claim-release"):
    """``claim`` was given up, and nothing was or will be run for it."""

    key: str
    claim: str


class AnswerAsk(msgspec.Struct, tag="answer-ask"):
    """How does the request of ``claim`` stand?"""

    claim: str
    reader: str


class AnswerTold(msgspec.Struct, tag="answer-told"):
    """How it stands, in the words of ``claim_entries.Stand``."""

    claim: str
    reader: str
    stand: str
    answer: StoredAnswer | None = None


class ClaimRecord(msgspec.Struct):
    """One claim that a voter granted, with ``left`` seconds to live."""

    key: str
    claim: str
    digest: str
    instance: str
    address: str
    left: float


class RecoveryAsk(msgspec.Struct, tag="claims-recovery-ask"):
    """A voter that may have forgotten asks for a page of claims."""

    incarnation: int
    voters: str
    after: str = ""


class RecoveryTold(msgspec.Struct, tag="claims-recovery-told"):
    """A page of the sender's claims, by key, after ``after``.

    ``blank`` tells that the sender started without a past, ``age`` seconds
    ago; it has forgotten nothing for ``ready_for`` seconds, ``None`` while
    it is recovering itself.
    """

    incarnation: int
    after: str
    records: list[ClaimRecord]
    last: bool
    blank: bool
    age: float
    ready_for: float | None


MESSAGES = (
    ClaimAsk,
    ClaimVote,
    ClaimRelease,
    AnswerAsk,
    AnswerTold,
    RecoveryAsk,
    RecoveryTold,
)


def key_of(organisation, idempotency_key):
    """Return the name of an organisation's key between instances."""
    text = f"{organisation}\0{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:NAME_LENGTH]


def voters_digest(voters):
    """Return the digest of a list of voters, in any order."""
    text = "\0".join(sorted(voters))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def group_of(key, voters):
    """Return the voters of ``key``: the highest by rendezvous hashing."""
    if len(voters) <= LARGEST_GROUP:
        return tuple(sorted(voters))

    def weight(voter):
        return hashlib.sha256(f"{voter}\0{key}".encode()).digest()

    chosen = sorted(voters, key=weight, reverse=True)[:LARGEST_GROUP]
    return tuple(sorted(chosen))


def majority(size):
    """Return how many are more than half of ``size``."""
    return size // 2 + 1
