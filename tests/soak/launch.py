"""Starts a program of the platform where its surroundings can be spoilt.

Usage: python tests/soak/launch.py entry|keeper

The program is the real one.  From the environment: ``SOAK_PEERS`` is where
its peer listener stands, behind the proxy at its usual address;
``SOAK_CLOCK`` is by how many seconds the time of day is off;
``SOAK_DISK`` a folder in which a file ``stall`` makes each sync wait and a
file ``full`` makes it fail.
"""

from gevent import monkey

monkey.patch_all()

import errno  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

import launch  # noqa: E402

POLL_SECONDS = 0.02
PARENT_SECONDS = 1.0
_sleep = monkey.get_original("time", "sleep")


def spoil_clock(seconds):
    """Set the time of day off by some seconds."""
    time_ns, now = time.time_ns, time.time
    time.time_ns = lambda: time_ns() + int(seconds * 1e9)
    time.time = lambda: now() + seconds


def spoil_disk(folder):
    """Have syncs wait or fail while a file in ``folder`` says so."""
    folder = pathlib.Path(folder)

    def spoilt(sync):
        def call(descriptor):
            # Runs on a thread of the pool, as the sync itself does.
            while (folder / "stall").exists():
                _sleep(POLL_SECONDS)
            if (folder / "full").exists():
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return sync(descriptor)

        return call

    os.fsync = spoilt(os.fsync)
    os.fdatasync = spoilt(os.fdatasync)


def stand_behind(peers):
    """Listen for peers at ``peers`` and advertise the usual address."""
    settings_of = launch.programs.settings_of

    def moved(given):
        cfg = settings_of(given)
        cfg.listen.peers_advertised = cfg.listen.peers
        cfg.listen.peers = peers
        return cfg

    launch.programs.settings_of = moved


def end_with_parent():
    """End where the soak has ended without ending this program.

    A soak that was killed left its programs behind, which held the addresses
    that the same seed takes again: every later run of it failed to start.
    """
    parent = os.getppid()

    def watch():
        while os.getppid() == parent:
            gevent.sleep(PARENT_SECONDS)
        os._exit(1)

    gevent.spawn(watch)


if __name__ == "__main__":
    end_with_parent()
    spoil_clock(float(os.environ["SOAK_CLOCK"]))
    spoil_disk(os.environ["SOAK_DISK"])
    stand_behind(os.environ["SOAK_PEERS"])
    sys.exit(launch.main(sys.argv[1]))
