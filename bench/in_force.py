"""How soon a change is in force on nine instances, and what it costs them.

The time counts from when the write is sent until each instance says that
it has applied it.  Then one failure domain is cut off, changes go on, and
it is joined again: the time until it has them all, and until it knows that
it is not stale.  Bytes and processor time of a change are the difference
between a time with changes and one without.

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

CHANGES = 60
QUIET_SECONDS = 12.0
RATE = 4.0
POLL = 0.01
MS = 1e3


def until_applied(server, version, began):
    """Return the seconds until an instance has applied ``version``."""
    while server.get("status")["version"] < version:
        gevent.sleep(POLL)
    return time.monotonic() - began


def write(server, number):
    """Write once and return when that began and the version."""
    began = time.monotonic()
    done = server.put("backendpools", "bench", commits.spec(number))
    return began, done["version"]


def land(servers, number):
    """Write at one instance; return the seconds for each to apply it."""
    began, version = write(servers[number % len(servers)], number)
    jobs = [
        gevent.spawn(until_applied, server, version, began)
        for server in servers
    ]
    return [job.get() for job in jobs]


def measure_landing(servers):
    """Print how soon changes are in force."""
    times = [land(servers, number) for number in range(CHANGES)]
    every = [value for row in times for value in row]
    slowest = [max(row) for row in times]
    print(f"{CHANGES} changes, ms               p50      p95      p99")
    print(f"in force on an instance   {commits.quantiles(every)}")
    print(f"in force on all nine      {commits.quantiles(slowest)}")
    print(f"slowest of all            {max(every) * MS:7.1f}")


def measure_cut(deployment):
    """Print what a failure domain that is cut off goes through."""
    servers = deployment.servers()
    inside = [
        server
        for server, place in zip(servers, nine.DOMAINS)
        if place == "fd3"
    ]
    outside = [item for item in servers if item not in inside]
    deployment.cut("fd3")
    began = time.monotonic()
    version = 0
    longest = 0.0
    while time.monotonic() - began < 15.0:
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
    print(f"cut off 15 s: longest write outside {longest * MS:.0f} ms;")
    print(f"  a write inside: {answer}; stale inside: {stale}")
    deployment.cut("")
    began = time.monotonic()
    jobs = [
        gevent.spawn(until_applied, server, version, began)
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
    fresh = time.monotonic() - began
    print(f"joined: caught up after {max(caught_up):.2f} s,")
    print(f"  nobody stale after {fresh:.2f} s")


def sent_bytes(server):
    """Return the bytes that an instance has sent to others."""
    with urllib.request.urlopen(f"{server.url}/metrics") as answer:
        text = answer.read().decode()
    name = "dandeliontrail_peer_sent_bytes_total "
    line = next(item for item in text.splitlines() if item.startswith(name))
    return float(line.split()[1])


def used(deployment):
    """Return bytes sent and processor seconds of each instance so far."""
    return [
        (sent_bytes(server), proc.cpu_seconds(pid))
        for server, pid in zip(deployment.servers(), deployment.pids())
    ]


def over(deployment, work):
    """Return what ``work`` cost each instance: bytes/s and core share."""
    before = used(deployment)
    began = time.monotonic()
    work()
    took = time.monotonic() - began
    after = used(deployment)
    return [
        ((b[0] - a[0]) / took, (b[1] - a[1]) / took)
        for a, b in zip(before, after)
    ]


def measure_cost(deployment):
    """Print what a change costs an instance."""
    servers = deployment.servers()

    def changes():
        for number in range(int(QUIET_SECONDS * RATE)):
            write(servers[number % len(servers)], 1000 + number)
            gevent.sleep(1 / RATE)

    quiet = over(deployment, lambda: gevent.sleep(QUIET_SECONDS))
    busy = over(deployment, changes)
    rate = RATE
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
            f" {cores * MS:5.2f} ms of processor time"
        )


def run():
    """Measure and print."""
    with nine.Nine() as deployment:
        measure_landing(deployment.servers())
        measure_cost(deployment)
        measure_cut(deployment)
    print(f"exit codes {deployment.exit_codes}")


if __name__ == "__main__":
    run()
