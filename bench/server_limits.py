"""Cost and use of the limits that backend servers name.

For some numbers of simulated instances without sockets and some limits, with
callers that together want five times the limit, this prints the worst window
of 4 s against what is allowed, the share of the limit that is used, how long
served requests waited, and the messages and bytes per second that an instance
sends because of limits.  Last it prints what a placement costs with and
without a limit.

    python -m bench.server_limits
    python -m bench.server_limits 530
"""

import statistics
import sys
import time

from tests.common import limit_judge
from tests.common import limit_world
from tests.common import shared_policy_harness

JOIN_SECONDS = 10.0
GRANTING_SECONDS = 8.0
MIN_DURATION_SECONDS = 20.0
# At low limits long enough for this many requests.
MIN_REQUESTS = 18.0
OVERLOAD = 5.0
LIMITS = (0.3, 3.0, 30.0)
COUNTS = (9, 100)
KINDS = ("PermitRequests", "PermitGrants", "LimitRecords")
PLACEMENTS = 5000


def measure(count, limit, servers=1):
    """Print figures with ``count`` instances and ``servers`` limited ones."""
    world = limit_world.LimitWorld(count, count_bytes=True)
    world.run(JOIN_SECONDS)
    names = [f"s{number}" for number in range(servers)]
    for name in names:
        world.add_server(name, str(limit))
    world.press(limit * OVERLOAD * servers)
    world.run(GRANTING_SECONDS)
    for node in world.nodes.values():
        node.by_kind.clear()
        node.messages_by_kind.clear()
    world.waits.clear()
    world.refused.clear()
    since = world.now
    duration = max(MIN_DURATION_SECONDS, MIN_REQUESTS / limit)
    world.run(duration)
    worst = max(world.worst(name, since) for name in names)
    share = statistics.mean(world.share(name, since) for name in names)
    sent = [
        sum(node.by_kind[kind] for kind in KINDS) / duration
        for node in world.nodes.values()
    ]
    messages = [
        sum(node.messages_by_kind[kind] for kind in KINDS) / duration
        for node in world.nodes.values()
    ]
    waits = world.waits["/usual/"] or [0.0]
    print(
        f"{count} instances, {servers} servers at {limit:g}/s: worst 4 s"
        f" {worst} of {limit_judge.allowed(limit)}, share used {share:.2f},"
        f" median wait {statistics.median(waits) * 1000:.0f} ms, served"
        f" {len(waits)}, refused {len(world.refused['/usual/'])}, overdue"
        f" {world.overdue}; messages/s mean {statistics.mean(messages):.1f}"
        f" most {max(messages):.1f}, bytes/s without HTTP mean"
        f" {statistics.mean(sent):.0f} most {max(sent):.0f}",
        flush=True,
    )


def measure_classes(count, limit, urgent, later):
    """Print figures of two classes; the rates are multiples of the limit."""
    world = limit_world.LimitWorld(count)
    world.run(JOIN_SECONDS)
    world.add_server("s0", str(limit))
    world.press(limit * urgent, path="/urgent/")
    world.press(limit * later, path="/later/")
    world.run(GRANTING_SECONDS)
    world.waits.clear()
    world.refused.clear()
    world.run(60.0)
    for path in ("/urgent/", "/later/"):
        waits = world.waits[path]
        print(
            f"{count} instances, {limit:g}/s, urgent {urgent:g} and later"
            f" {later:g} times that: {path} served {len(waits)}, refused"
            f" {len(world.refused[path])}, median wait"
            f" {statistics.median(waits or [0.0]) * 1000:.0f} ms, mean"
            " Retry-After"
            f" {statistics.mean(world.refused[path] or [0.0]):.2f} s",
            flush=True,
        )


def time_placements(limited):
    """Return the microseconds that a placement of a short chat takes."""
    harness = shared_policy_harness.PolicyHarness()
    if limited:
        harness.name_limit("e0", 1.0)
    began = time.perf_counter()
    for _ in range(PLACEMENTS):
        harness.now += 0.01
        work = harness.ask([("own", 100)], pause=0.3)
        placed = harness.next()
        harness.finish(work, placed[work.request_id])
    return (time.perf_counter() - began) / PLACEMENTS * 1e6


def main():
    """Print all figures for the numbers of instances given."""
    counts = [int(item) for item in sys.argv[1:]]
    for count in counts or COUNTS:
        for limit in LIMITS:
            measure(count, limit)
    if not counts:
        measure_classes(9, 3.0, urgent=0.7, later=4.3)
        measure_classes(9, 3.0, urgent=2.0, later=3.0)
        for limited in (False, True, False, True):
            label = "one server limited" if limited else "no limit named"
            print(f"{label}: {time_placements(limited):.1f} us a placement")


if __name__ == "__main__":
    main()
