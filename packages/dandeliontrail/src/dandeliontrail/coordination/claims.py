"""At-most-once execution of idempotency keys, by majority vote.

A *claim* is a request's bid to be the only one that runs under a key.  Each
key has a group of voters, the same on every instance, and a request may be
dispatched once a majority of the group has granted its claim.  Any two
majorities of a group share a voter, and a voter grants a key to one claim
only.  So no two claims on a key are granted, even if messages are lost or
duplicated or the network is partitioned.

docs/design/outcomes.md has the proof, the alternatives and the costs.
"""

import hashlib

import msgspec

# How long a key is remembered after its claim.  A later retry counts as a new
# request.  This bounds the memory of the voters.
CLAIM_SECONDS = 1800.0
# A claim counts only the votes that arrive within this time.
VOTE_SECONDS = 2.0
# How long a restarted voter waits before it asks the others for their claims.
# By then no vote from before its restart can still be counted, even if clocks
# drift apart.
RECOVERY_DELAY_SECONDS = 2 * VOTE_SECONDS + 1.0
# Five voters tolerate two failures, so a second may happen while the first one
# is being repaired.
MAX_GROUP_SIZE = 5
# Hex digits of a key digest (128 bits).  Any two of 10**15 keys collide with a
# probability of one in 10**9.  It is no longer, since every voter keeps the
# digests in memory.
KEY_DIGEST_LENGTH = 32


class StoredAnswer(msgspec.Struct):
    """A complete response, kept to answer retries of its key."""

    status: int
    content_type: str
    backend_server: str
    body: bytes


class ClaimAsk(msgspec.Struct, tag="claim-ask"):
    """Asks a voter to grant ``key`` to ``claim``, or to extend the claim.

    ``voters`` is the digest of the sender's voter list: votes counted under
    different lists must not add up to a majority.  ``digest`` is that of the
    request body.
    """

    key: str
    claim: str
    digest: str
    voters: str


class ClaimVote(msgspec.Struct, tag="claim-vote"):
    """A voter's reply: it has granted ``key`` to the claim ``holder``.

    ``instance`` and ``address`` are those of the instance that made the
    claim ``holder``.  An empty ``holder`` is an abstention: the voter is
    full, has not recovered yet or has another voter list.
    """

    key: str
    claim: str
    holder: str = ""
    digest: str = ""
    instance: str = ""
    address: str = ""


class ClaimRelease(msgspec.Struct, tag="claim-release"):
    """``claim`` was given up; its request did not and will not run."""

    key: str
    claim: str


class AnswerAsk(msgspec.Struct, tag="answer-ask"):
    """Asks for the state of the request that made ``claim``.

    ``reader`` is the request that waits for the answer.
    """

    claim: str
    reader: str


class AnswerTold(msgspec.Struct, tag="answer-told"):
    """The reply: ``stand`` is a value of ``claim_entries.ClaimState``."""

    claim: str
    reader: str
    stand: str
    answer: StoredAnswer | None = None


class ClaimRecord(msgspec.Struct):
    """A claim that a voter granted; it expires in ``left`` seconds."""

    key: str
    claim: str
    digest: str
    instance: str
    address: str
    left: float


class RecoveryAsk(msgspec.Struct, tag="claims-recovery-ask"):
    """Asks for a page of claims, for the recovery of a restarted voter."""

    incarnation: int
    voters: str
    after: str = ""


class RecoveryTold(msgspec.Struct, tag="claims-recovery-told"):
    """A page of the sender's claims, sorted by key, after the key ``after``.

    ``last`` marks the last page.  The sender started ``age`` seconds ago;
    ``blank`` is true if it did so without any earlier state.  It has been
    recovered for ``ready_for`` seconds, ``None`` if it is still recovering.
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


def key_digest(organisation, idempotency_key):
    """Return the digest that identifies an organisation's key."""
    text = f"{organisation}\0{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:KEY_DIGEST_LENGTH]


def voters_digest(voters):
    """Return the digest of a list of voters, whatever their order."""
    text = "\0".join(sorted(voters))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def group_of(key, voters):
    """Return the voters of ``key``, chosen by rendezvous hashing."""
    if len(voters) <= MAX_GROUP_SIZE:
        return tuple(sorted(voters))

    def weight(voter):
        return hashlib.sha256(f"{voter}\0{key}".encode()).digest()

    chosen = sorted(voters, key=weight, reverse=True)[:MAX_GROUP_SIZE]
    return tuple(sorted(chosen))


def majority(size):
    """Return the size of the smallest majority of ``size`` voters."""
    return size // 2 + 1
