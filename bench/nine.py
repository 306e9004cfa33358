"""Nine real instances in three failure domains, one keeper in each.

Messages between instances can be cut off: an instance started through this
module drops what would cross the border of the addresses in a file.
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
CUT_FILE = "BENCH_CUT_FILE"
READ_EVERY = 0.05


class Nine(processes.Deployment):
    """The nine, of which the first three have a disk."""

    def __init__(self, disks=""):
        super().__init__(NAMES, DOMAINS)
        self._disks = disks

    def __enter__(self):
        """Start all and wait until each has the configuration."""
        processes.program = self._program
        super().__enter__()
        wait_until(lambda: all(self._ready(item) for item in self.servers()))
        return self

    def _program(self, name):
        path = self.folder / "instance"
        lines = [
            f"#!{sys.executable}",
            "from bench import nine",
            "nine.serve()",
        ]
        path.write_text("\n".join(lines) + "\n")
        path.chmod(0o755)
        os.environ["PYTHONPATH"] = str(pathlib.Path(__file__).parents[1])
        os.environ[CUT_FILE] = str(self.folder / "cut")
        return str(path)

    def _settings(self, index, ports):
        cfg = super()._settings(index, ports)
        cfg["bootstrap_keepers"] = KEEPERS
        if self._names[index] not in KEEPERS:
            del cfg["keeper"]
        elif self._disks:
            folder = pathlib.Path(self._disks) / self._names[index]
            cfg["keeper"] = {"data_dir": str(folder)}
        return cfg

    def _ready(self, server):
        return server.get("status")["configuration"]["ready"]

    def servers(self):
        """Return the API of each instance."""
        return [
            api.Api(f"http://{address}")
            for address in self.addresses("operators")
        ]

    def pids(self):
        """Return the process of each instance."""
        return [item.process.pid for item in self.instances]

    def cut(self, domain):
        """Cut a failure domain off from the others; '' joins all again."""
        inside = [
            item.addresses["peers"]
            for item, place in zip(self.instances, DOMAINS)
            if place == domain
        ]
        file = self.folder / "cut"
        new = file.with_suffix(".new")
        new.write_text("\n".join(inside))
        new.rename(file)


def wait_until(holds, seconds=30.0):
    """Wait until ``holds()`` is true."""
    deadline = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > deadline:
            raise RuntimeError("waited in vain")
        gevent.sleep(0.02)


class _Cut:
    """The addresses inside the cut, read again now and then."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._inside = set()
        self._read = 0.0

    def inside(self):
        """Return the addresses inside."""
        now = time.monotonic()
        if now - self._read > READ_EVERY:
            self._read = now
            if self._path.exists():
                self._inside = set(self._path.read_text().split())
        return self._inside


def serve():
    """Run ``dandeliond`` with a peer link that can be cut."""
    cut = _Cut(os.environ[CUT_FILE])
    send = peer_link.HttpPeerLink.send

    def send_unless_cut(self, address, message):
        inside = cut.inside()
        if (self._identity.address in inside) == (address in inside):
            send(self, address, message)

    peer_link.HttpPeerLink.send = send_unless_cut
    node_main.run()
