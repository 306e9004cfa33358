"""Cost of exchanging reports of ended servers between instances.

One server per second ends with 30 unanswered requests, each sent by a random
instance; then the requests are served elsewhere.  For 12 and 200 simulated
instances without sockets, this prints the bytes per second that an instance
sends for these reports and in total, and the memory of the table at the end.

    python -m bench.server_ends
"""

import random
import sys
import tracemalloc

from tests.common import crash_news

DURATION_SECONDS = 10
REQUESTS_PER_SERVER = 30


def measure(count):
    """Print the cost with ``count`` instances."""
    news = crash_news.CrashNews(count, count_bytes=True)
    rng = random.Random(1)
    for node in news.nodes:
        node.by_kind.clear()
        node.cost.bytes = 0
    tracemalloc.start()
    for second in range(DURATION_SECONDS):
        fingerprints = [
            f"{second}-{number}" for number in range(REQUESTS_PER_SERVER)
        ]
        for fingerprint in fingerprints:
            news.ended(rng.choice(news.nodes), fingerprint, f"s{second}")
        news.net.run(0.5)
        for fingerprint in fingerprints:
            news.served(rng.choice(news.nodes), fingerprint)
        news.net.run(0.5)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    message_types = ("EndedServers", "EndsRecords", "SyncBuckets", "SyncKeys")
    sent = [
        sum(node.by_kind[kind] for kind in message_types) / DURATION_SECONDS
        for node in news.nodes
    ]
    total_sent = [node.cost.bytes / DURATION_SECONDS for node in news.nodes]
    records = len(news.nodes[0].state.ends.suspects)
    print(
        f"{count} instances: mean {sum(sent) / count:,.0f} B/s of"
        f" {sum(total_sent) / count:,.0f}, most {max(sent):,.0f} of"
        f" {max(total_sent):,.0f}; {records} records, about"
        f" {allocated / count / records:,.0f} B each"
    )


if __name__ == "__main__":
    for size in [int(item) for item in sys.argv[1:]] or [12, 200]:
        measure(size)
