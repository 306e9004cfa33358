"""Prompt tokens saved with and without the prefix index.

Run as ``python -m bench.prefix_index``.  Three instances place requests on
twenty engines with a small prefix cache each.  An engine's cache events
reach every instance late, and a share of the batches is lost.  Load is
left out: an instance picks among the engines with room by expected saving
alone, so that the figure is about what the index knows.
"""

import collections
import itertools
import random
import time

from dandeliontrail.decisions import prefix_index
from dandeliontrail.resources import announcements
from dandeliontrail_lab import loading

ENGINES = 20
INSTANCES = 3
CACHE_ENTRIES = 100
PREFIXES = 6000
TOKENS = 1000
REQUESTS = 30_000
SEEDS = (1, 2, 3)
LOSSES = (0.0, 0.01, 0.05, 0.2)
# Requests between a change of a cache and its event's arrival.
LAG = 200
BATCH = 10
# An engine takes this many requests in a row of so many at the most, as a
# full batch would: a popular prefix spreads over several engines.
WINDOW = 100
MOST_IN_WINDOW = 10


class Fleet:
    """Engines with caches, and the events on their way."""

    def __init__(self, loss, rng):
        self.names = [f"e{number}" for number in range(ENGINES)]
        self.caches = {
            name: loading.PrefixCache(CACHE_ENTRIES) for name in self.names
        }
        self.recent = collections.deque(maxlen=WINDOW)
        self._loss = loss
        self._rng = rng
        self._late = collections.deque()

    def free(self):
        """Return the engines that have room."""
        counted = collections.Counter(self.recent)
        return [name for name in self.names if counted[name] < MOST_IN_WINDOW]

    def run(self, name, prefix):
        """Run one request and return the prompt tokens saved."""
        self.recent.append(name)
        cache = self.caches[name]
        saved = cache.access(prefix, TOKENS)
        if len(cache.events) >= BATCH:
            first, found = cache.drain_events()
            if self._rng.random() >= self._loss:
                self._late.append((name, first, found))
        return saved

    def arrived(self):
        """Return a batch whose time has come, or ``None``."""
        if len(self._late) * BATCH < LAG:
            return None
        name, first, found = self._late.popleft()
        made = [announcements.CacheEvent(**item) for item in found]
        return announcements.CacheEvents(name, 1, first, made)


def measure(pick, loss, seed):
    """Return the share of prompt tokens saved by one way to pick."""
    rng = random.Random(seed)
    fleet = Fleet(loss, random.Random(seed + 1))
    indexes = [prefix_index.PrefixIndex(1 << 16) for _ in range(INSTANCES)]
    weights = [1.0 / rank for rank in range(1, PREFIXES + 1)]
    cumulative = list(itertools.accumulate(weights))
    saved = 0
    for number in range(REQUESTS):
        prefix = f"p{rng.choices(range(PREFIXES), cum_weights=cumulative)[0]}"
        index = indexes[number % INSTANCES]
        name = pick(fleet, index, prefix, rng)
        index.dispatched(name, prefix, TOKENS)
        saved += fleet.run(name, prefix)
        batch = fleet.arrived()
        if batch:
            for held in indexes:
                held.apply(batch.backend_server, batch)
    return saved / (REQUESTS * TOKENS)


def at_random(fleet, index, prefix, rng):
    """Pick any engine with room: no index at all."""
    return rng.choice(fleet.free())


def by_index(fleet, index, prefix, rng):
    """Pick the engine that is expected to save most."""
    free = fleet.free()
    rng.shuffle(free)
    return max(free, key=lambda name: index.expected(name, prefix).saved)


def by_truth(fleet, index, prefix, rng):
    """Pick an engine that has the prefix: what perfect events would give."""
    free = fleet.free()
    rng.shuffle(free)
    return max(
        free, key=lambda name: prefix in fleet.caches[name]._tokens_by_prefix
    )


def lookup_cost():
    """Return microseconds a lookup and bytes of the table, at 250 engines."""
    index = prefix_index.PrefixIndex()
    names = [f"e{number}" for number in range(250)]
    for number in range(200_000):
        index.dispatched(names[number % 250], f"p{number % 4000}", TOKENS)
    started = time.perf_counter()
    for number in range(200_000):
        index.expected(names[number % 250], f"p{number % 4000}")
    passed = time.perf_counter() - started
    return passed / 200_000 * 1e6, index.memory_bytes()


def main():
    """Print the table."""
    print("| way to pick | lost batches | prompt tokens saved (3 seeds) |")
    print("| --- | --- | --- |")
    for pick, losses in (
        (at_random, (0.0,)),
        (by_index, LOSSES),
        (by_truth, (0.0,)),
    ):
        for loss in losses:
            values = [measure(pick, loss, seed) for seed in SEEDS]
            spread = f"{min(values):.1%} to {max(values):.1%}"
            print(f"| {pick.__name__} | {loss:.0%} | {spread} |")
    cost, size = lookup_cost()
    print(f"\nA lookup takes {cost:.1f} us; the table {size / 2**20:.1f} MiB.")


if __name__ == "__main__":
    main()
