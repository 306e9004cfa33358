"""What the versions of streams cost: time, bytes and memory.

    python -m bench.stream_versions

Prints, for a full mesh of 9 instances and for relays of 100 and 530, the time
to record a stream and to find its holders, the bytes of its records, and for
a table of records the memory and the time of an entry.  The last lines are
the time of a placement among engines of one and of two versions.
"""

import random
import time
import tracemalloc
import types

import dandeliontrail
from dandeliontrail.components import stream_versions
from dandeliontrail.coordination import codec
from dandeliontrail.coordination import member_records
from dandeliontrail.coordination import messages
from dandeliontrail.coordination import stream_records
from dandeliontrail.decisions import work as work_module

from tests.common import shared_policy_harness

DOMAINS = 10
STREAMS = 2000
RECORDS = 100_000
SENDER = messages.Sender("i100", "10.20.30.40:7360", "fd1", "r1", 1 << 40, 9.9)


def component_of(count):
    """Return the component of one of ``count`` instances, and its state."""
    identity = dandeliontrail.Identity("i0", "fd0", "r1", 1, "10.0.0.1:7360")
    reducer = dandeliontrail.new_reducer(identity, random.Random(1))
    state = reducer.state
    for number in range(1, count):
        state.members.learn(
            member_records.MemberRecord(
                f"i{number}",
                f"10.0.{number // 256}.{number % 256}:7360",
                f"fd{number % min(DOMAINS, 3 if count < 16 else DOMAINS)}",
                "r1",
                1,
            ),
            0.0,
        )
    return stream_versions.StreamVersions(state, {}), state


def request_of(number):
    """Return the life of a request as far as the component reads it."""
    work = work_module.Work(
        f"{number:016x}",
        "acme",
        "chat",
        "",
        "huvo11a",
        1,
        0.0,
        12.0,
        routed=True,
        streamed=True,
        software_version="v1.1",
    )
    return types.SimpleNamespace(work=work)


def size(message):
    """Return the bytes of a message within a batch."""
    empty = codec.encode(codec.Envelope(SENDER, []))
    return len(codec.encode(codec.Envelope(SENDER, [message]))) - len(empty)


def measure_recording(count):
    """Print what a stream costs at one of ``count`` instances."""
    component, state = component_of(count)
    requests = [request_of(number) for number in range(STREAMS)]
    sent = []
    started = time.perf_counter()
    for request in requests:
        sent.extend(component.began(request, 0.0))
    took = time.perf_counter() - started
    sent.extend(component.tick(1.0))
    total = sum(size(item.message) for item in sent)
    print(
        f"{count} instances: {took / STREAMS * 1e6:.1f} us a stream,"
        f" {total / STREAMS:.0f} bytes of records a stream in"
        f" {len(sent)} messages for {STREAMS}"
    )
    keys = [
        stream_records.key_of("acme", "chat", request.work.request_id)
        for request in requests
    ]
    started = time.perf_counter()
    for key in keys:
        component.holders_of(key, 0.0)
    took = time.perf_counter() - started
    print(f"  holders of a stream: {took / STREAMS * 1e6:.1f} us")
    started = time.perf_counter()
    for key in keys:
        component._handle_queries(
            SENDER, stream_records.StreamQueries([key]), 0.0
        )
    took = time.perf_counter() - started
    print(f"  an answered question: {took / STREAMS * 1e6:.1f} us")


def measure_table():
    """Print memory and time of records."""
    records = [
        stream_records.StreamRecord(f"{n:018x}", "huvo11a", "v1.1", 0.0, 20.0)
        for n in range(RECORDS)
    ]
    table = stream_records.StreamTable()
    tracemalloc.start()
    for record in records:
        table.put(record, 0.0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    other = stream_records.StreamTable()
    started = time.perf_counter()
    for record in records:
        other.put(record, 0.0)
    put = time.perf_counter() - started
    started = time.perf_counter()
    other.expire(100.0)
    expired = time.perf_counter() - started
    print(
        f"a record: {held / RECORDS:.0f} bytes beside its key,"
        f" put {put / RECORDS * 1e6:.2f} us,"
        f" expired {expired / RECORDS * 1e6:.2f} us"
    )


def measure_placement(engines, versions):
    """Print the time of a placement of a short stream."""
    harness = shared_policy_harness.PolicyHarness(engines)
    harness.admitted = shared_policy_harness.admitted_versions(
        "llm", *versions
    )
    harness.policy._usable._versions._admitted = harness.admitted
    for number, server in enumerate(harness.directory.servers):
        server.announcement.software_version = versions[number % len(versions)]
    best = float("inf")
    for _ in range(5):
        started = time.perf_counter()
        for _ in range(200):
            harness.ask(
                [("p", 300)], pause=0.3, streamed=True, repeatable=True
            )
            (placed,) = harness.policy.next(harness.now, harness.directory)
            harness.policy.ended(
                work_module.AttemptEnd(placed.work.request_id, placed.server),
                harness.now,
            )
        best = min(best, time.perf_counter() - started)
    print(
        f"placement among {engines} engines of {len(versions)} versions:"
        f" {best / 200 * 1e6:.0f} us"
    )


def main():
    """Run all measurements."""
    for count in (9, 100, 530):
        measure_recording(count)
    measure_table()
    for engines in (6, 56):
        measure_placement(engines, [""])
        measure_placement(engines, ["v1", "v2"])


if __name__ == "__main__":
    main()
