"""Commit latency and throughput of three keepers, with real disk syncs.

The keepers' data folders are created in FOLDER, by default the current
folder, so that a real disk is measured and not a file system in memory.  For
comparison, plain syncs of the same disk are timed before and after the
writes.

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

WRITE_COUNT = 200
WRITER_COUNTS = (1, 4, 16)
THROUGHPUT_SECONDS = 5.0
MS_PER_SECOND = 1e3


def spec(number):
    """Return the spec of the backend pool that write ``number`` stores."""
    return {"select": {"model": f"m{number}"}}


def quantiles(values):
    """Return the 50th, 95th and 99th percentile as text, in ms."""
    cuts = statistics.quantiles(values, n=100)
    selected = (cuts[49], cuts[94], cuts[98])
    return "  ".join(f"{value * MS_PER_SECOND:7.2f}" for value in selected)


def time_syncs(folder):
    """Return the durations of small writes with a sync, in seconds."""
    durations = []
    with tempfile.TemporaryFile(dir=folder) as file:
        for _ in range(WRITE_COUNT):
            started_at = time.perf_counter()
            file.write(b"x" * 200)
            file.flush()
            os.fdatasync(file.fileno())
            durations.append(time.perf_counter() - started_at)
    return durations


def time_writes(server):
    """Return the duration of each of a series of writes, in seconds."""
    durations = []
    for number in range(WRITE_COUNT):
        started_at = time.perf_counter()
        server.put("backendpools", "bench", spec(number))
        durations.append(time.perf_counter() - started_at)
    return durations


def throughput(servers, writers):
    """Return the writes per second of ``writers`` concurrent writers."""
    completed = [0] * writers
    end = time.monotonic() + THROUGHPUT_SECONDS

    def write(number):
        server = servers[number % len(servers)]
        while time.monotonic() < end:
            server.put("backendpools", f"w{number}", spec(completed[number]))
            completed[number] += 1

    gevent.joinall([gevent.spawn(write, n) for n in range(writers)])
    return sum(completed) / THROUGHPUT_SECONDS


def run(folder):
    """Measure and print the results."""
    with tempfile.TemporaryDirectory(dir=folder) as disks:
        with nine.NineInstances(disks) as deployment:
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
            for writers in WRITER_COUNTS:
                rate = throughput(servers, writers)
                print(f"{writers:2} writers  {rate:7.1f} writes/s")


if __name__ == "__main__":
    run(sys.argv[1] if len(sys.argv) > 1 else ".")
