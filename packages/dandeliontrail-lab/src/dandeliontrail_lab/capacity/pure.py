"""Probes of the pure library and of the metrics, in this process.

Memory is what ``tracemalloc`` counts for the objects made, which leaves out
the interpreter and its allocator's waste; processor time is that of this
process while nothing else runs in it.
"""

import gc
import random
import time
import tracemalloc

import dandeliontrail
from dandeliontrail.coordination import membership
from dandeliontrail.coordination import usage
from dandeliontrail.decisions import prefix_index
from dandeliontrail import effects
from dandeliontrail.effects import reports
from dandeliontrail import events
from dandeliontrail.resources import store
from dandeliontrail_node import metrics

from . import fits
from . import samples

MICROSECONDS = 1e6
REQUESTS = 300
SERVERS = [100, 500, 1000, 2500]
ORGANISATIONS = [100, 400, 1600]


def traced(make):
    """Return the bytes that ``make()``'s result holds."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = make()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del kept
    finally:
        tracemalloc.stop()
    return float(after - before)


def busy(run, times=1):
    """Return the processor time of one of ``times`` runs, in µs."""
    gc.collect()
    began = time.process_time()
    for _ in range(times):
        run()
    return (time.process_time() - began) / times * MICROSECONDS


def new_reducer(servers=0, organisations=0):
    """Return a lone reducer that knows servers and organisations."""
    reducer = dandeliontrail.new_reducer(
        dandeliontrail.Identity("i1", "domain-0", "region-0", 1),
        random.Random(0),
    )
    reducer.apply(events.Started("127.0.0.1:1"), 0.0)
    objects = samples.classes() + samples.organisations(organisations)
    reducer.state.store.apply(1, samples.change_of(objects))
    reducer.state.directory.invalidate()
    announce(reducer, servers, 0.0)
    return reducer


def announce(reducer, servers, now, sequence=1):
    """Let servers announce themselves."""
    for number in range(servers):
        said = samples.decoded(samples.announcement(number, sequence))
        reducer.apply(events.Announced(said), now)


def organisation_bytes(count):
    """Return the memory of so many organisations."""

    def make():
        held = store.ResourceStore()
        objects = samples.classes() + samples.organisations(count)
        held.apply(1, samples.change_of(objects))
        return held

    return traced(make)


def server_bytes(count):
    """Return the memory of so many backend servers."""
    return traced(lambda: new_reducer(count))


def histogram_bytes(count):
    """Return the memory of the four metrics of so many organisations."""

    def make():
        rng = random.Random(0)
        held = metrics.Metrics()
        for number in range(count):
            for metric in reports.Metric:
                for _ in range(100):
                    value = rng.lognormvariate(4.0, 0.7)
                    name = f"organisation-{number}"
                    held.record(effects.Measure(metric, "class", name, value))
        return held

    return traced(make)


def member_bytes(count):
    """Return the memory of the records of so many other instances."""
    reducer = new_reducer()

    def make():
        for number in range(count):
            record = membership.MemberRecord(
                f"instance-{number}",
                f"10.1.{number // 250}.{number % 250}:8003",
                f"domain-{number % samples.DOMAINS}",
                f"region-{number % samples.REGIONS}",
                1_700_000_000_000_000_000 + number,
            )
            reducer.state.members.learn(record, 0.0)
        return reducer

    return traced(make)


def usage_row_bytes(count):
    """Return the memory of so many rows of the usage ledger."""
    reducer = new_reducer()

    def make():
        ledger = reducer.state.usage
        ledger.day = "2026-03-14"
        for number in range(count):
            name = f"organisation-{number // 4}"
            counted = usage.Totals(1, 800, 310, 0)
            ledger.count(name, f"class-{number % 4}", counted)
        return reducer

    return traced(make)


def change_bytes(count):
    """Return the memory of so many changes kept for watches and resends."""

    def make():
        held = store.ResourceStore()
        objects = samples.classes() + samples.organisations(50)
        held.apply(1, samples.change_of(objects))
        for version in range(2, count + 2):
            objects = _changed(version % 50, version)
            change = samples.change_of(objects, f"operation-{version}")
            held.apply(version, change)
        return held

    return traced(make)


def _changed(number, version):
    """Return an organisation with a weight that it did not have."""
    objects = samples.organisations(number + 1)[-1:]
    objects[0][2]["weight"] = float(version)
    return objects


def prefix_bytes(count):
    """Return the memory of a prefix index for so many entries."""
    return float(prefix_index.PrefixIndex(count).memory_bytes())


def queued_bytes(count):
    """Return the memory of so many requests that wait."""
    reducer = new_reducer(0, 100)
    # One server with one slot, so that all but the first few wait.
    said = samples.decoded(samples.announcement(0))
    said.slots = 1
    reducer.apply(events.Announced(said), 0.0)

    def make():
        for number in range(count):
            event = samples.request(number * samples.MODELS, number % 100)
            reducer.apply(event, 0.0)
        waiting = sum(reducer.waiting().values())
        if waiting < 0.9 * count:
            raise RuntimeError(f"only {waiting} of {count} wait")
        return reducer

    return traced(make)


def decision_us(servers):
    """Return the cost of the decisions on one request, start to end."""
    reducer = new_reducer(servers, 100)

    def one(number):
        event = samples.request(number, number % 100)
        key = event.request_id
        out = reducer.apply(event, 0.5)
        if not any(isinstance(item, effects.Dispatch) for item in out):
            raise RuntimeError(f"{key} was not dispatched: {out}")
        reducer.apply(events.AttemptBegan(key, 1), 0.5)
        reducer.apply(events.FirstOutput(key, 1), 0.6)
        reducer.apply(events.AnswerFinished(key, 1, 800, 310, [20.0]), 0.7)

    for number in range(50):
        one(number)
    numbers = iter(range(50, 50 + REQUESTS))
    return busy(lambda: one(next(numbers)), REQUESTS)


def tick_us(servers):
    """Return the cost of one tick that has nothing to do."""
    reducer = new_reducer(servers, 100)
    moments = iter(range(1, 10_000))
    return busy(lambda: reducer.tick(next(moments) / 1000.0), 200)


def announcement_us(servers):
    """Return the cost of one announcement, decoding included."""
    reducer = new_reducer(servers)
    bodies = iter(
        [samples.announcement(number % servers, 2) for number in range(100)]
    )

    def one():
        said = samples.decoded(next(bodies))
        reducer.apply(events.Announced(said), 0.1)

    return busy(one, 100)


def change_us(organisations):
    """Return the cost of bringing one change into force."""
    held = store.ResourceStore()
    objects = samples.classes() + samples.organisations(organisations)
    held.apply(1, samples.change_of(objects))
    versions = iter(range(2, 1000))

    def one():
        version = next(versions)
        objects = _changed(version % organisations, version)
        held.apply(version, samples.change_of(objects))

    return busy(one, 30)


def record_us(series):
    """Return the cost of one value over so many series."""
    held = metrics.Metrics()
    rng = random.Random(0)
    measures = [
        effects.Measure(
            reports.Metric.TOTAL,
            f"class-{number % 8}",
            f"organisation-{number % series}",
            rng.lognormvariate(4.0, 0.7),
        )
        for number in range(5000)
    ]
    for measure in measures:
        held.record(measure)
    given = iter(measures)
    return busy(lambda: held.record(next(given)), len(measures))


PROBES = [
    fits.Probe(
        "organisation_bytes",
        "memory of a declared organisation with two keys",
        "organisation",
        "bytes",
        ORGANISATIONS,
        organisation_bytes,
    ),
    fits.Probe(
        "server_bytes",
        "memory of a backend server's record",
        "backend server",
        "bytes",
        SERVERS,
        server_bytes,
    ),
    fits.Probe(
        "member_bytes",
        "memory of the record of another instance",
        "instance",
        "bytes",
        [50, 200, 530],
        member_bytes,
    ),
    fits.Probe(
        "usage_row_bytes",
        "memory of a row of the usage ledger",
        "row",
        "bytes",
        [400, 1600, 6400],
        usage_row_bytes,
    ),
    fits.Probe(
        "change_bytes",
        "memory of a change kept for watches, history and resends",
        "change",
        "bytes",
        [100, 300, 900],
        change_bytes,
    ),
    fits.Probe(
        "prefix_bytes",
        "memory of the index of prompt prefixes",
        "entry",
        "bytes",
        [1 << 15, 1 << 17, 1 << 19],
        prefix_bytes,
    ),
    fits.Probe(
        "histogram_bytes",
        "memory of an organisation's four histograms, 100 values each",
        "organisation",
        "bytes",
        [50, 200, 400],
        histogram_bytes,
    ),
    fits.Probe(
        "queued_bytes",
        "memory of a waiting request, in the reducer",
        "waiting request",
        "bytes",
        [100, 300, 900],
        queued_bytes,
    ),
    fits.Probe(
        "decision_us",
        "all decisions on one request, against servers in view",
        "backend server",
        "µs",
        SERVERS,
        decision_us,
    ),
    fits.Probe(
        "tick_us",
        "one tick of the reducer, against servers in view",
        "backend server",
        "µs",
        SERVERS,
        tick_us,
    ),
    fits.Probe(
        "announcement_us",
        "taking in one announcement, against servers in view",
        "backend server",
        "µs",
        SERVERS,
        announcement_us,
    ),
    fits.Probe(
        "change_us",
        "bringing one change into force, against organisations",
        "organisation",
        "µs",
        ORGANISATIONS,
        change_us,
    ),
    fits.Probe(
        "record_us",
        "recording one value in two histograms, against series",
        "series",
        "µs",
        [10, 100, 1600],
        record_us,
    ),
]
