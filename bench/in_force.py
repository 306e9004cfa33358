"""Propagation time and cost of a change on nine instances.

The time is measured from sending the write until each instance reports that
it has applied it.  Then one failure domain is partitioned off while changes
continue, and reconnected: this measures the time until it has applied all
changes, and until it reports that it is no longer stale.  The bytes and CPU
time of a change are the difference between a period with changes and one
without.

Run: ``.venv/bin/python -m bench.in_force``.
"""

from gevent import monkey

monkey.patch_all()

import statistics  # noqa: E402
import time  # noqa: E402
import urllib.request  # noqa: E402

from dandeliontrail_ctl import api  # noqa: E402
from dandeliontrail_lab import proc  # noqa: E402
import gevent  # noqa: E402

from . import commits  # noqa: E402
from . import nine  # noqa: E402

CHANGE_COUNT = 60
COST_SECONDS = 12.0
CHANGES_PER_SECOND = 4.0
POLL_SECONDS = 0.01
MS_PER_SECOND = 1e3


def seconds_until_applied(server, version, started_at):
    """Wait until an instance has applied ``version``.

    Returns the seconds since ``started_at``, a monotonic time.
    """
    while server.get("status")["version"] < version:
        gevent.sleep(POLL_SECONDS)
    return time.monotonic() - started_at


def write(server, number):
    """Write once; return the start time and the version written."""
    started_at = time.monotonic()
    done = server.put("backendpools", "bench", commits.spec(number))
    return started_at, done["version"]


def propagation_seconds(servers, number):
    """Write at one instance; return the seconds until each applied it."""
    started_at, version = write(servers[number % len(servers)], number)
    jobs = [
        gevent.spawn(seconds_until_applied, server, version, started_at)
        for server in servers
    ]
    return [job.get() for job in jobs]


def measure_propagation(servers):
    """Print the time until changes are in force."""
    times = [
        propagation_seconds(servers, number) for number in range(CHANGE_COUNT)
    ]
    all_times = [value for row in times for value in row]
    slowest = [max(row) for row in times]
    print(f"{CHANGE_COUNT} changes, ms               p50      p95      p99")
    print(f"in force on an instance   {commits.quantiles(all_times)}")
    print(f"in force on all nine      {commits.quantiles(slowest)}")
    print(f"slowest of all            {max(all_times) * MS_PER_SECOND:7.1f}")


def measure_partition(deployment):
    """Print the effects of partitioning a failure domain for 15 s."""
    servers = deployment.servers()
    inside = [
        server
        for server, place in zip(servers, nine.DOMAINS)
        if place == "fd3"
    ]
    outside = [item for item in servers if item not in inside]
    deployment.partition_off("fd3")
    started_at = time.monotonic()
    version = 0
    longest = 0.0
    while time.monotonic() - started_at < 15.0:
        sent, version = write(outside[0], int(time.monotonic() * 1000))
        longest = max(longest, time.monotonic() - sent)
        gevent.sleep(0.5)
    try:
        sent = time.monotonic()
        inside[-1].put("backendpools", "cut", commits.spec(0))
        answer = "accepted"
    except api.ApiError as exc:
        answer = f"{exc.status} after {time.monotonic() - sent:.1f} s"
    stale = [
        server.get("status")["configuration"]["stale"] for server in inside
    ]
    print(
        "cut off 15 s: longest write outside"
        f" {longest * MS_PER_SECOND:.0f} ms;"
    )
    print(f"  a write inside: {answer}; stale inside: {stale}")
    deployment.partition_off("")
    started_at = time.monotonic()
    jobs = [
        gevent.spawn(seconds_until_applied, server, version, started_at)
        for server in inside
    ]
    caught_up = [job.get() for job in jobs]
    nine.wait_until(
        lambda: (
            not any(
                server.get("status")["configuration"]["stale"]
                for server in inside
            )
        )
    )
    fresh = time.monotonic() - started_at
    print(f"joined: caught up after {max(caught_up):.2f} s,")
    print(f"  nobody stale after {fresh:.2f} s")


def sent_bytes(server):
    """Return the bytes that an instance has sent to its peers."""
    with urllib.request.urlopen(f"{server.url}/metrics") as answer:
        text = answer.read().decode()
    name = "dandeliontrail_peer_sent_bytes_total "
    line = next(item for item in text.splitlines() if item.startswith(name))
    return float(line.split()[1])


def resource_usage(deployment):
    """Return the bytes sent and CPU seconds of each instance so far."""
    return [
        (sent_bytes(server), proc.cpu_seconds(pid))
        for server, pid in zip(deployment.servers(), deployment.pids())
    ]


def cost_of(deployment, work):
    """Return the bytes/s and the share of a core each instance used.

    Both are averages over the duration of ``work()``.
    """
    before = resource_usage(deployment)
    started_at = time.monotonic()
    work()
    took = time.monotonic() - started_at
    after = resource_usage(deployment)
    return [
        ((b[0] - a[0]) / took, (b[1] - a[1]) / took)
        for a, b in zip(before, after)
    ]


def measure_cost(deployment):
    """Print the cost of a change to an instance."""
    servers = deployment.servers()

    def changes():
        for number in range(int(COST_SECONDS * CHANGES_PER_SECOND)):
            write(servers[number % len(servers)], 1000 + number)
            gevent.sleep(1 / CHANGES_PER_SECOND)

    quiet = cost_of(deployment, lambda: gevent.sleep(COST_SECONDS))
    busy = cost_of(deployment, changes)
    rate = CHANGES_PER_SECOND
    for label, rows in (("quiet", quiet), ("busy", busy)):
        sent = statistics.mean(row[0] for row in rows)
        cores = statistics.mean(row[1] for row in rows)
        print(f"{label:5}: {sent:8.0f} bytes/s, {cores:6.2%} of a core")
    each = [
        ((b[0] - q[0]) / rate, (b[1] - q[1]) / rate)
        for q, b in zip(quiet, busy)
    ]
    for label, rows in (("keeper", each[:3]), ("learner", each[3:])):
        sent = statistics.mean(row[0] for row in rows)
        cores = statistics.mean(row[1] for row in rows)
        print(
            f"a change costs a {label:7}: {sent:6.0f} bytes sent,"
            f" {cores * MS_PER_SECOND:5.2f} ms of processor time"
        )


def run():
    """Measure and print the results."""
    with nine.NineInstances() as deployment:
        measure_propagation(deployment.servers())
        measure_cost(deployment)
        measure_partition(deployment)
    print(f"exit codes {deployment.exit_codes}")


if __name__ == "__main__":
    run()
