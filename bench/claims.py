"""What a voter spends on claims: memory for each, time for each.

Run: ``.venv/bin/python -m bench.claims``.  The time is given as a ratio to
hashing a key, in the same run, since the machine's speed changes.
"""

import hashlib
import time
import tracemalloc

from dandeliontrail.coordination import claim_votes
from dandeliontrail.coordination import claims
from dandeliontrail.coordination import codec
from dandeliontrail.coordination import messages

COUNT = 100_000
VOTERS = ("v1",)


def asks():
    """Yield claims as they come off the wire, each decoded anew."""
    digest = claims.voters_digest(VOTERS)
    source = messages.Sender("i1", "10.0.0.1:8003", "fd1", "r1", 1)
    for number in range(COUNT):
        key = claims.key_of("org", str(number))
        ask = claims.ClaimAsk(key, f"{number:036d}.1", key[::-1], digest)
        body = codec.encode(codec.Envelope(source, [ask]))
        envelope = codec.decode(body)
        yield envelope.sender, envelope.messages[0]


def memory():
    """Return the bytes that one claim takes in a voter's table."""
    table = claim_votes.VoterTable("v1", VOTERS, 0.0, True)
    tracemalloc.start()
    for source, ask in asks():
        table.vote(ask, source, 1.0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / COUNT


def seconds(call):
    """Return the processor time of a call."""
    began = time.process_time()
    call()
    return time.process_time() - began


def main():
    """Measure and print."""
    table = claim_votes.VoterTable("v1", VOTERS, 0.0, True)
    decoded = list(asks())
    voting = seconds(
        lambda: [table.vote(ask, source, 1.0) for source, ask in decoded]
    )
    hashing = seconds(
        lambda: [hashlib.sha256(ask.key.encode()) for _, ask in decoded]
    )
    print(f"memory for each claim: {memory():.0f} B")
    print(f"time for each vote: {voting / COUNT * 1e6:.2f} us,")
    print(f"  {voting / hashing:.1f} times that of hashing its key")


if __name__ == "__main__":
    main()
