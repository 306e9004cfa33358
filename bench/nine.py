"""Nine real instances in three failure domains, with one keeper in each.

Network partitions can be simulated: instances started through this module
drop messages between an address listed in a file and one not listed there.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from dandeliontrail_ctl import api  # noqa: E402
from dandeliontrail_lab import processes  # noqa: E402
from dandeliontrail_node import main as node_main  # noqa: E402
from dandeliontrail_node import peer_link  # noqa: E402
import gevent  # noqa: E402

DOMAINS = ["fd1", "fd2", "fd3"] * 3
NAMES = [f"{domain}-{n // 3}" for n, domain in enumerate(DOMAINS)]
KEEPERS = NAMES[:3]
PARTITION_FILE_VARIABLE = "BENCH_CUT_FILE"
REREAD_INTERVAL_SECONDS = 0.05


class NineInstances(processes.Deployment):
    """A deployment of nine instances; the first three are keepers."""

    def __init__(self, disks=""):
        super().__init__(NAMES, DOMAINS)
        self._disks = disks

    def __enter__(self):
        """Start all instances and wait until each has the configuration."""
        processes.program = self._program
        super().__enter__()
        wait_until(lambda: all(self._ready(item) for item in self.servers()))
        return self

    def _program(self, name):
        path = self.folder / "instance"
        # Written only once, because other instances may be executing it.
        if not path.exists():
            _write_program(path)
            os.environ["PYTHONPATH"] = str(pathlib.Path(__file__).parents[1])
            os.environ[PARTITION_FILE_VARIABLE] = str(self.folder / "cut")
        return str(path)

    def _settings(self, index, ports):
        settings = super()._settings(index, ports)
        settings["bootstrap_keepers"] = KEEPERS
        if self._names[index] not in KEEPERS:
            del settings["keeper"]
        elif self._disks:
            folder = pathlib.Path(self._disks) / self._names[index]
            settings["keeper"] = {"data_dir": str(folder)}
        return settings

    def _ready(self, server):
        return server.get("status")["configuration"]["ready"]

    def servers(self):
        """Return a client for the API of each instance."""
        return [
            api.Api(f"http://{address}")
            for address in self.addresses("operators")
        ]

    def pids(self):
        """Return the process id of each instance."""
        return [item.process.pid for item in self.instances]

    def partition_off(self, domain):
        """Partition off a failure domain; "" heals the partition."""
        addresses_inside = [
            item.addresses["peers"]
            for item, place in zip(self.instances, DOMAINS)
            if place == domain
        ]
        file = self.folder / "cut"
        new = file.with_suffix(".new")
        new.write_text("\n".join(addresses_inside))
        new.rename(file)


def _write_program(path):
    lines = [f"#!{sys.executable}", "from bench import nine", "nine.serve()"]
    path.write_text("\n".join(lines) + "\n")
    path.chmod(0o755)


def wait_until(condition, seconds=30.0):
    """Wait until ``condition()`` is true.

    Raises :class:`RuntimeError` after ``seconds``.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError("waited in vain")
        gevent.sleep(0.02)


class _Partition:
    """The addresses that are partitioned off, reread periodically."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._addresses = set()
        self._read_at = 0.0

    def addresses_inside(self):
        """Return the addresses that are partitioned off."""
        now = time.monotonic()
        if now - self._read_at > REREAD_INTERVAL_SECONDS:
            self._read_at = now
            if self._path.exists():
                self._addresses = set(self._path.read_text().split())
        return self._addresses


def serve():
    """Run ``dandeliond`` with a peer link that honours the partition."""
    partition = _Partition(os.environ[PARTITION_FILE_VARIABLE])
    send = peer_link.HttpPeerLink.send

    def send_unless_cut(self, address, message):
        addresses_inside = partition.addresses_inside()
        if (self._identity.address in addresses_inside) == (
            address in addresses_inside
        ):
            send(self, address, message)

    peer_link.HttpPeerLink.send = send_unless_cut
    node_main.run()
