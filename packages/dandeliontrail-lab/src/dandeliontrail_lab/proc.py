"""What a process has used, as the kernel counts it (Linux ``/proc``)."""

import pathlib

NANOSECONDS = 1e9
KIB = 1024


def cpu_seconds(pid):
    """Return the time that all threads of a process ran, in seconds.

    ``schedstat`` counts in nanoseconds, ``stat`` only in hundredths of a
    second.  Threads that have ended are not in it.
    """
    total = 0
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text().split()[0])
    return total / NANOSECONDS


def rss_bytes(pid):
    """Return the memory of a process that is in RAM, in bytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    return 0
