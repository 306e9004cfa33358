"""CPU time and memory of a process, from Linux ``/proc``."""

import pathlib

NANOSECONDS_PER_SECOND = 1e9
BYTES_PER_KIB = 1024


def cpu_seconds(pid):
    """Return the CPU time of all threads of a process, in seconds.

    It is read from ``schedstat``, which counts in nanoseconds; ``stat`` has
    a resolution of only 10 ms.  Threads that have ended are not included.
    """
    total = 0
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text().split()[0])
    return total / NANOSECONDS_PER_SECOND


def rss_bytes(pid):
    """Return the resident set size of a process, in bytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * BYTES_PER_KIB
    return 0
