"""Memory and CPU time that a voter needs for each claim.

Run: ``.venv/bin/python -m bench.claims``.  The time is also given relative
to hashing a key in the same run, because the speed of the host varies.
"""

import hashlib
import time
import tracemalloc

from dandeliontrail.coordination import claim_votes
from dandeliontrail.coordination import claims
from dandeliontrail.coordination import codec
from dandeliontrail.coordination import messages

CLAIM_COUNT = 100_000
VOTERS = ("v1",)


def decoded_claims():
    """Yield (sender, claim) pairs, each encoded and decoded as on the wire."""
    digest = claims.voters_digest(VOTERS)
    source = messages.Sender("i1", "10.0.0.1:8003", "fd1", "r1", 1)
    for number in range(CLAIM_COUNT):
        key = claims.key_digest("org", str(number))
        ask = claims.ClaimAsk(key, f"{number:036d}.1", key[::-1], digest)
        body = codec.encode(codec.Envelope(source, [ask]))
        envelope = codec.decode(body)
        yield envelope.sender, envelope.messages[0]


def bytes_per_claim():
    """Return the bytes of memory that one claim takes in a voter's table."""
    table = claim_votes.VoterTable("v1", VOTERS, 0.0, True)
    tracemalloc.start()
    for source, ask in decoded_claims():
        table.vote(ask, source, 1.0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / CLAIM_COUNT


def cpu_seconds(call):
    """Return the CPU time of a call, in seconds."""
    started_at = time.process_time()
    call()
    return time.process_time() - started_at


def main():
    """Measure and print the results."""
    table = claim_votes.VoterTable("v1", VOTERS, 0.0, True)
    claim_asks = list(decoded_claims())
    voting = cpu_seconds(
        lambda: [table.vote(ask, source, 1.0) for source, ask in claim_asks]
    )
    hashing = cpu_seconds(
        lambda: [hashlib.sha256(ask.key.encode()) for _, ask in claim_asks]
    )
    print(f"memory for each claim: {bytes_per_claim():.0f} B")
    print(f"time for each vote: {voting / CLAIM_COUNT * 1e6:.2f} us,")
    print(f"  {voting / hashing:.1f} times that of hashing its key")


if __name__ == "__main__":
    main()
