"""Waits until a disk that failed takes writes again.

After a failed write nobody knows what the disk holds, so the keeper stops
voting and this process never trusts that folder again.  A new process may:
it reads what is there and writes all of it anew before it promises anything
(see :mod:`.disk`).  Where the platform starts a process again that has
ended, ending is therefore the way back, once the disk works; until then the
instance is of more use as it is.  Without it two disks that were full for
some seconds, hours apart, would end every change of the configuration.
"""

import os
import pathlib

import gevent

# Short, so that a keeper is back within a second of its disk.
INTERVAL = 0.5
# A disk without room may still take a few bytes into a block it has.
PROBE = b"p" * 8192


def takes_writes(folder):
    """Tell whether a file in ``folder`` can be written and synced."""
    path = pathlib.Path(folder) / "probe"
    try:
        with path.open("wb") as file:
            file.write(PROBE)
            file.flush()
            os.fsync(file.fileno())
        path.unlink()
    except OSError:
        return False
    return True


def wait(folder):
    """Return once ``folder`` takes writes; the loop goes on meanwhile."""
    pool = gevent.get_hub().threadpool
    while not pool.apply(takes_writes, (folder,)):
        gevent.sleep(INTERVAL)
