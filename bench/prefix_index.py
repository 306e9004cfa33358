"""Prompt tokens saved with and without the prefix index.

Run: ``python -m bench.prefix_index``.  Three instances place requests on
twenty engines, each with a small prefix cache.  The cache events of an
engine reach the instances with a delay, and a share of the batches is lost.
Load is not considered: an instance chooses among the engines with room by
expected saving alone, so that the result depends only on the accuracy of the
index.
"""

import collections
import itertools
import random
import time

from dandeliontrail.decisions import prefix_index
from dandeliontrail.resources import announcements
from dandeliontrail_lab import loading

ENGINE_COUNT = 20
INSTANCE_COUNT = 3
MAX_CACHE_ENTRIES = 100
PREFIX_COUNT = 6000
PROMPT_TOKENS = 1000
REQUEST_COUNT = 30_000
SEEDS = (1, 2, 3)
LOSS_RATES = (0.0, 0.01, 0.05, 0.2)
# Delay of cache events, as a number of requests.
EVENT_DELAY_REQUESTS = 200
MIN_BATCH_EVENTS = 10
# An engine takes at most MAX_IN_WINDOW of the last WINDOW_REQUESTS requests.
# This models a full batch, and spreads a popular prefix over several engines.
WINDOW_REQUESTS = 100
MAX_IN_WINDOW = 10


class Fleet:
    """Engines with prefix caches, and the cache events in transit."""

    def __init__(self, loss, rng):
        self.names = [f"e{number}" for number in range(ENGINE_COUNT)]
        self.caches = {
            name: loading.PrefixCache(MAX_CACHE_ENTRIES) for name in self.names
        }
        self.recent = collections.deque(maxlen=WINDOW_REQUESTS)
        self._loss = loss
        self._rng = rng
        self._delayed_batches = collections.deque()

    def free(self):
        """Return the engines that have room for another request."""
        counted = collections.Counter(self.recent)
        return [name for name in self.names if counted[name] < MAX_IN_WINDOW]

    def run(self, name, prefix):
        """Run one request and return the prompt tokens saved."""
        self.recent.append(name)
        cache = self.caches[name]
        saved = cache.access(prefix, PROMPT_TOKENS)
        if len(cache.events) >= MIN_BATCH_EVENTS:
            first, found = cache.drain_events()
            if self._rng.random() >= self._loss:
                self._delayed_batches.append((name, first, found))
        return saved

    def next_arrived_batch(self):
        """Return the next batch that has arrived, or ``None``."""
        if (
            len(self._delayed_batches) * MIN_BATCH_EVENTS
            < EVENT_DELAY_REQUESTS
        ):
            return None
        name, first, found = self._delayed_batches.popleft()
        cache_events = [announcements.CacheEvent(**item) for item in found]
        return announcements.CacheEvents(name, 1, first, cache_events)


def measure(pick, loss, seed):
    """Return the share of prompt tokens saved with the strategy ``pick``."""
    rng = random.Random(seed)
    fleet = Fleet(loss, random.Random(seed + 1))
    indexes = [
        prefix_index.PrefixIndex(1 << 16) for _ in range(INSTANCE_COUNT)
    ]
    weights = [1.0 / rank for rank in range(1, PREFIX_COUNT + 1)]
    cumulative = list(itertools.accumulate(weights))
    saved = 0
    for number in range(REQUEST_COUNT):
        prefix = (
            f"p{rng.choices(range(PREFIX_COUNT), cum_weights=cumulative)[0]}"
        )
        index = indexes[number % INSTANCE_COUNT]
        name = pick(fleet, index, prefix, rng)
        index.dispatched(name, prefix, PROMPT_TOKENS)
        saved += fleet.run(name, prefix)
        batch = fleet.next_arrived_batch()
        if batch:
            for instance_index in indexes:
                instance_index.apply(batch.backend_server, batch)
    return saved / (REQUEST_COUNT * PROMPT_TOKENS)


def at_random(fleet, index, prefix, rng):
    """Pick a random engine with room: the baseline without an index."""
    return rng.choice(fleet.free())


def by_index(fleet, index, prefix, rng):
    """Pick the engine with the largest expected saving."""
    free = fleet.free()
    rng.shuffle(free)
    return max(free, key=lambda name: index.expected(name, prefix).saved)


def by_truth(fleet, index, prefix, rng):
    """Pick an engine that has the prefix: the bound with perfect events."""
    free = fleet.free()
    rng.shuffle(free)
    return max(
        free, key=lambda name: prefix in fleet.caches[name]._tokens_by_prefix
    )


def lookup_cost():
    """Return microseconds per lookup and the index's bytes at 250 engines."""
    index = prefix_index.PrefixIndex()
    names = [f"e{number}" for number in range(250)]
    for number in range(200_000):
        index.dispatched(
            names[number % 250], f"p{number % 4000}", PROMPT_TOKENS
        )
    started_at = time.perf_counter()
    for number in range(200_000):
        index.expected(names[number % 250], f"p{number % 4000}")
    elapsed = time.perf_counter() - started_at
    return elapsed / 200_000 * 1e6, index.memory_bytes()


def main():
    """Print the results as a Markdown table."""
    print("| way to pick | lost batches | prompt tokens saved (3 seeds) |")
    print("| --- | --- | --- |")
    for pick, loss_rates in (
        (at_random, (0.0,)),
        (by_index, LOSS_RATES),
        (by_truth, (0.0,)),
    ):
        for loss in loss_rates:
            values = [measure(pick, loss, seed) for seed in SEEDS]
            spread = f"{min(values):.1%} to {max(values):.1%}"
            print(f"| {pick.__name__} | {loss:.0%} | {spread} |")
    cost, size = lookup_cost()
    print(f"\nA lookup takes {cost:.1f} us; the table {size / 2**20:.1f} MiB.")


if __name__ == "__main__":
    main()
