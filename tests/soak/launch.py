"""Starts a program of the platform in an environment that injects faults.

Usage: python tests/soak/launch.py entry|keeper

The program itself is unchanged.  Environment variables: ``SOAK_PEERS`` is
the address of its peer listener, which is behind the proxy at the usual
address; ``SOAK_CLOCK`` is the offset of the wall clock in seconds;
``SOAK_DISK`` is a folder in which a file ``stall`` makes each sync wait and a
file ``full`` makes it fail; ``SOAK_IP`` is the address that it connects
from, and ``SOAK_CUT`` a file that names how its paths to servers are cut.
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

from dandeliontrail_node import connection  # noqa: E402

POLL_SECONDS = 0.02
PARENT_POLL_SECONDS = 1.0
_sleep = monkey.get_original("time", "sleep")


def offset_clock(seconds):
    """Offset the wall clock by ``seconds``."""
    time_ns, now = time.time_ns, time.time
    time.time_ns = lambda: time_ns() + int(seconds * 1e9)
    time.time = lambda: now() + seconds


def inject_disk_faults(folder):
    """Make syncs wait or fail while ``folder`` has the file for it."""
    folder = pathlib.Path(folder)

    def with_faults(sync):
        def call(descriptor):
            # Runs on a thread of the pool, as the sync itself does.
            while (folder / "stall").exists():
                _sleep(POLL_SECONDS)
            if (folder / "full").exists():
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return sync(descriptor)

        return call

    os.fsync = with_faults(os.fsync)
    os.fdatasync = with_faults(os.fdatasync)


def listen_behind_proxy(peers):
    """Listen for peers at ``peers`` but advertise the usual address."""
    original = launch.programs.instance_settings

    def settings_behind_proxy(platform_settings):
        cfg = original(platform_settings)
        cfg.listen.peers_advertised = cfg.listen.peers
        cfg.listen.peers = peers
        return cfg

    launch.programs.instance_settings = settings_behind_proxy


def connect_with_faults(ip, cut_file):
    """Connect from ``ip``; fail towards servers while ``cut_file`` says so."""
    cut_file = pathlib.Path(cut_file)
    original = connection.connect

    def connect(address, seconds):
        if not address.startswith(ip.rsplit(".", 1)[0]):
            fail_if_cut(cut_file, seconds)
        return original(address, seconds, source=ip)

    connection.connect = connect


def fail_if_cut(cut_file, seconds):
    """Fail as a connection to a server does that is out of reach."""
    try:
        mode = cut_file.read_text()
    except FileNotFoundError:
        return
    if mode == "hang":
        gevent.sleep(seconds)
        raise TimeoutError("timed out")
    raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")


def exit_with_parent():
    """Exit when the soak has ended without stopping this program.

    Programs that a killed soak left behind kept the addresses that the same
    seed uses again, so that every later run of this seed failed to start.
    """
    parent = os.getppid()

    def watch():
        while os.getppid() == parent:
            gevent.sleep(PARENT_POLL_SECONDS)
        os._exit(1)

    gevent.spawn(watch)


if __name__ == "__main__":
    exit_with_parent()
    offset_clock(float(os.environ["SOAK_CLOCK"]))
    inject_disk_faults(os.environ["SOAK_DISK"])
    listen_behind_proxy(os.environ["SOAK_PEERS"])
    connect_with_faults(os.environ["SOAK_IP"], os.environ["SOAK_CUT"])
    sys.exit(launch.main(sys.argv[1]))
