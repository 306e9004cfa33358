"""Probes of the library and of the metrics, run in this process.

Memory is what ``tracemalloc`` counts for the objects, which leaves out the
interpreter and the overhead of its allocator.  Processor time is that of this
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

MICROSECONDS_PER_SECOND = 1e6
MEASURED_REQUESTS = 300
SERVER_COUNTS = [100, 500, 1000, 2500]
ORGANISATION_COUNTS = [100, 400, 1600]


def allocated_bytes(make):
    """Return the bytes held by the result of ``make()``."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = make()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del result
    finally:
        tracemalloc.stop()
    return float(after - before)


def cpu_us(run, times=1):
    """Return the mean processor time of ``times`` runs, in µs."""
    gc.collect()
    started = time.process_time()
    for _ in range(times):
        run()
    return (time.process_time() - started) / times * MICROSECONDS_PER_SECOND


def new_reducer(servers=0, organisations=0):
    """Return a single reducer that knows servers and organisations."""
    reducer = dandeliontrail.new_reducer(
        dandeliontrail.Identity("i1", "domain-0", "region-0", 1),
        random.Random(0),
    )
    reducer.apply(events.Started("127.0.0.1:1"), 0.0)
    objects = samples.classes() + samples.organisations(organisations)
    reducer.state.store.apply(1, samples.make_change(objects))
    reducer.state.directory.invalidate()
    announce(reducer, servers, 0.0)
    return reducer


def announce(reducer, servers, now, sequence=1):
    """Apply one announcement of each server."""
    for number in range(servers):
        announcement = samples.decode_announcement(
            samples.announcement(number, sequence)
        )
        reducer.apply(events.Announced(announcement), now)


def organisation_bytes(count):
    """Return the memory of ``count`` organisations."""

    def make():
        resource_store = store.ResourceStore()
        objects = samples.classes() + samples.organisations(count)
        resource_store.apply(1, samples.make_change(objects))
        return resource_store

    return allocated_bytes(make)


def server_bytes(count):
    """Return the memory of ``count`` backend servers."""
    return allocated_bytes(lambda: new_reducer(count))


def histogram_bytes(count):
    """Return the memory of the four metrics of ``count`` organisations."""

    def make():
        rng = random.Random(0)
        recorder = metrics.Metrics()
        for number in range(count):
            for metric in reports.Metric:
                for _ in range(100):
                    value = rng.lognormvariate(4.0, 0.7)
                    name = f"organisation-{number}"
                    recorder.record(
                        effects.Measure(metric, "class", name, value)
                    )
        return recorder

    return allocated_bytes(make)


def member_bytes(count):
    """Return the memory of the records of ``count`` other instances."""
    reducer = new_reducer()

    def make():
        for number in range(count):
            record = membership.MemberRecord(
                f"instance-{number}",
                f"10.1.{number // 250}.{number % 250}:8003",
                f"domain-{number % samples.DOMAIN_COUNT}",
                f"region-{number % samples.REGION_COUNT}",
                1_700_000_000_000_000_000 + number,
            )
            reducer.state.members.learn(record, 0.0)
        return reducer

    return allocated_bytes(make)


def usage_row_bytes(count):
    """Return the memory of ``count`` rows of the usage ledger."""
    reducer = new_reducer()

    def make():
        ledger = reducer.state.usage
        ledger.day = "2026-03-14"
        for number in range(count):
            name = f"organisation-{number // 4}"
            totals = usage.Totals(1, 800, 310, 0)
            ledger.count(name, f"class-{number % 4}", totals)
        return reducer

    return allocated_bytes(make)


def change_bytes(count):
    """Return the memory of ``count`` changes kept for watches and resends."""

    def make():
        resource_store = store.ResourceStore()
        objects = samples.classes() + samples.organisations(50)
        resource_store.apply(1, samples.make_change(objects))
        for version in range(2, count + 2):
            objects = _reweighted_organisation(version % 50, version)
            change = samples.make_change(objects, f"operation-{version}")
            resource_store.apply(version, change)
        return resource_store

    return allocated_bytes(make)


def _reweighted_organisation(number, version):
    """Return an organisation with a weight that it did not have before."""
    objects = samples.organisations(number + 1)[-1:]
    objects[0][2]["weight"] = float(version)
    return objects


def prefix_bytes(count):
    """Return the memory of a prefix index for ``count`` entries."""
    return float(prefix_index.PrefixIndex(count).memory_bytes())


def queued_bytes(count):
    """Return the memory of ``count`` waiting requests."""
    reducer = new_reducer(0, 100)
    # A single server with a single slot keeps all but the first few requests
    # waiting.
    announcement = samples.decode_announcement(samples.announcement(0))
    announcement.slots = 1
    reducer.apply(events.Announced(announcement), 0.0)

    def make():
        for number in range(count):
            event = samples.request(number * samples.MODEL_COUNT, number % 100)
            reducer.apply(event, 0.0)
        waiting = sum(reducer.waiting().values())
        if waiting < 0.9 * count:
            raise RuntimeError(
                f"only {waiting} of {count} requests are waiting"
            )
        return reducer

    return allocated_bytes(make)


def decision_us(servers):
    """Return the µs of all decisions on one request, start to end."""
    reducer = new_reducer(servers, 100)

    def decide_one(number):
        event = samples.request(number, number % 100)
        request_id = event.request_id
        effects_out = reducer.apply(event, 0.5)
        if not any(isinstance(item, effects.Dispatch) for item in effects_out):
            raise RuntimeError(
                f"request {request_id} was not dispatched: {effects_out}"
            )
        reducer.apply(events.AttemptBegan(request_id, 1), 0.5)
        reducer.apply(events.FirstOutput(request_id, 1), 0.6)
        reducer.apply(
            events.AnswerFinished(request_id, 1, 800, 310, [20.0]), 0.7
        )

    for number in range(50):
        decide_one(number)
    numbers = iter(range(50, 50 + MEASURED_REQUESTS))
    return cpu_us(lambda: decide_one(next(numbers)), MEASURED_REQUESTS)


def tick_us(servers):
    """Return the µs of one tick that has nothing to do."""
    reducer = new_reducer(servers, 100)
    milliseconds = iter(range(1, 10_000))
    return cpu_us(lambda: reducer.tick(next(milliseconds) / 1000.0), 200)


def announcement_us(servers):
    """Return the µs of one announcement, including its decoding."""
    reducer = new_reducer(servers)
    bodies = iter(
        [samples.announcement(number % servers, 2) for number in range(100)]
    )

    def announce_one():
        announcement = samples.decode_announcement(next(bodies))
        reducer.apply(events.Announced(announcement), 0.1)

    return cpu_us(announce_one, 100)


def change_us(organisations):
    """Return the µs of applying one change of the configuration."""
    resource_store = store.ResourceStore()
    objects = samples.classes() + samples.organisations(organisations)
    resource_store.apply(1, samples.make_change(objects))
    versions = iter(range(2, 1000))

    def change_one():
        version = next(versions)
        objects = _reweighted_organisation(version % organisations, version)
        resource_store.apply(version, samples.make_change(objects))

    return cpu_us(change_one, 30)


def record_us(series):
    """Return the µs of recording one value, given that many series."""
    recorder = metrics.Metrics()
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
        recorder.record(measure)
    remaining = iter(measures)
    return cpu_us(lambda: recorder.record(next(remaining)), len(measures))


PROBES = [
    fits.Probe(
        "organisation_bytes",
        "memory of a declared organisation with two keys",
        "organisation",
        "bytes",
        ORGANISATION_COUNTS,
        organisation_bytes,
    ),
    fits.Probe(
        "server_bytes",
        "memory of a backend server's record",
        "backend server",
        "bytes",
        SERVER_COUNTS,
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
        SERVER_COUNTS,
        decision_us,
    ),
    fits.Probe(
        "tick_us",
        "one tick of the reducer, against servers in view",
        "backend server",
        "µs",
        SERVER_COUNTS,
        tick_us,
    ),
    fits.Probe(
        "announcement_us",
        "taking in one announcement, against servers in view",
        "backend server",
        "µs",
        SERVER_COUNTS,
        announcement_us,
    ),
    fits.Probe(
        "change_us",
        "bringing one change into force, against organisations",
        "organisation",
        "µs",
        ORGANISATION_COUNTS,
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
