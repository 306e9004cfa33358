"""Commit latency and throughput of three keepers, with real syncs.

The keepers' folders lie in the folder given, or the present one, so that a
real disk is measured and not one in memory.  For comparison the same disk
is synced alone, by turns with the writes.

Run: ``.venv/bin/python -m bench.commits [FOLDER]``.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from . import nine  # noqa: E402

WRITES = 200
WRITERS = (1, 4, 16)
SECONDS = 5.0
MS = 1e3


def spec(number):
    """Return the spec of the pool that is written."""
    return {"select": {"model": f"m{number}"}}


def quantiles(values):
    """Return the median, 95th and 99th percentile as text, in ms."""
    cuts = statistics.quantiles(values, n=100)
    picked = (cuts[49], cuts[94], cuts[98])
    return "  ".join(f"{value * MS:7.2f}" for value in picked)


def time_syncs(folder):
    """Return the seconds that a small write and sync take alone."""
    found = []
    with tempfile.TemporaryFile(dir=folder) as file:
        for _ in range(WRITES):
            began = time.perf_counter()
            file.write(b"x" * 200)
            file.flush()
            os.fdatasync(file.fileno())
            found.append(time.perf_counter() - began)
    return found


def time_writes(server):
    """Return the seconds that each write took, one after the other."""
    found = []
    for number in range(WRITES):
        began = time.perf_counter()
        server.put("backendpools", "bench", spec(number))
        found.append(time.perf_counter() - began)
    return found


def throughput(servers, writers):
    """Return the writes per second of so many writers at once."""
    done = [0] * writers
    end = time.monotonic() + SECONDS

    def write(number):
        server = servers[number % len(servers)]
        while time.monotonic() < end:
            server.put("backendpools", f"w{number}", spec(done[number]))
            done[number] += 1

    gevent.joinall([gevent.spawn(write, n) for n in range(writers)])
    return sum(done) / SECONDS


def run(folder):
    """Measure and print."""
    with tempfile.TemporaryDirectory(dir=folder) as disks:
        with nine.Nine(disks) as deployment:
            servers = deployment.servers()
            leader = next(
                server
                for server in servers
                if server.get("status")["configuration"]["role"] == "leader"
            )
            print("ms                        p50      p95      p99")
            print(f"sync alone            {quantiles(time_syncs(disks))}")
            print(f"write at the leader   {quantiles(time_writes(leader))}")
            learner = quantiles(time_writes(servers[-1]))
            print(f"write at a learner    {learner}")
            print(f"sync alone            {quantiles(time_syncs(disks))}")
            for writers in WRITERS:
                rate = throughput(servers, writers)
                print(f"{writers:2} writers  {rate:7.1f} writes/s")


if __name__ == "__main__":
    run(sys.argv[1] if len(sys.argv) > 1 else ".")
