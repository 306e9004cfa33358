"""The programs as processes of their own, ended by their ids alone."""

import contextlib
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import time

import gevent
from gevent import lock

from tests.common import platform_world
from tests.soak import proxy as proxy_module

LAUNCH = pathlib.Path(__file__).parent / "launch.py"
# A start of a program takes a second on a calm machine.
KILL_SECONDS = 10.0


class Program:
    """One program with its settings file, log, folder and peer proxy.

    ``hurt`` is when it was last killed, frozen or cut off; a planned stop
    and a reload do not count.
    """

    def __init__(self, folder, role, ip, settings):
        self.role = role
        self.ip = ip
        self._folder = folder
        self._data = folder / f"{ip}-data"
        self._spoil = folder / f"{ip}-spoil"
        self._spoil.mkdir()
        self._config = folder / f"{ip}.conf"
        self._log = folder / f"{ip}.log"
        self._settings = settings
        self._first = True
        self._process = None
        # To start a process takes a while in which other faults go on.
        self._lock = lock.RLock()
        self.frozen = False
        self.disk_failed = False
        self.hurt = float("-inf")
        self.clock_seconds = 0.0
        (behind,) = platform_world.free_ports(1)
        self._behind = f"{ip}:{behind}"
        self.proxy = proxy_module.Proxy(
            self._behind, (ip, int(settings["inner"]))
        )

    def start(self):
        """Start it, unless another fault that overlaps has done so.

        Two processes at one address: the second would end with an error and
        the first be out of reach.  Only the first start may found the log.
        """
        with self._lock:
            if not self.running:
                self._start()

    def _start(self):
        self.write_settings()
        self._first = False
        env = {
            **os.environ,
            "DANDELIONTRAIL_CONFIG": str(self._config),
            "SOAK_PEERS": self._behind,
            "SOAK_CLOCK": str(self.clock_seconds),
            "SOAK_DISK": str(self._spoil),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(LAUNCH), self.role],
                env=env,
                stdout=log,
                stderr=log,
            )

    def write_settings(self, rng=None):
        """Write the settings file, the seeds in an order of chance."""
        data_dir = self._data if self.role == "keeper" else ""
        settings = dict(self._settings)
        if rng is not None:
            seeds = settings["seed"].split(",")
            settings["seed"] = ",".join(rng.sample(seeds, len(seeds)))
        text = platform_world.SETTINGS.format(
            node=f"{self.role}-{self.ip}",
            ip=self.ip,
            zone=f"z{self.ip[-1]}",
            data_dir=data_dir,
            **settings,
        )
        if not self._first:
            text = text.replace("bootstrap=true", "bootstrap=false")
        self._config.write_text(text)

    @property
    def running(self):
        """Tell whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number):
        """Send a signal to this process alone."""
        if self.running:
            self._process.send_signal(number)

    def catches(self, number):
        """Tell whether the process has a handler for a signal by now."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        try:
            lines = status.read_text().splitlines()
        except OSError:
            return False
        (caught,) = [line for line in lines if line.startswith("SigCgt:")]
        return bool(int(caught.split()[1], 16) & 1 << (number - 1))

    def wait(self, seconds):
        """Wait for so long until the present process ends; tell if it did.

        Another fault may have started the next one by then.
        """
        process = self._process
        until = time.monotonic() + seconds
        while process.poll() is None and time.monotonic() < until:
            gevent.sleep(0.05)
        return process.poll() is not None

    def note_hurt(self):
        """Take note that what happens now is more than planned work."""
        self.hurt = time.monotonic()

    def kill(self):
        """End it at once, if it has not ended by itself."""
        with self._lock:
            if self.running:
                self.note_hurt()
            self.thaw()
            self.signal(signal.SIGKILL)
            self._process.wait(KILL_SECONDS)

    def freeze(self):
        """Have it stand still."""
        self.note_hurt()
        self.frozen = True
        self.signal(signal.SIGSTOP)

    def thaw(self):
        """Have it go on."""
        if self.frozen:
            self.note_hurt()
        self.frozen = False
        self.signal(signal.SIGCONT)

    def wipe(self):
        """Lose its folder; it must not be running."""
        shutil.rmtree(self._data, ignore_errors=True)

    @contextlib.contextmanager
    def spoilt_disk(self, how):
        """Have its syncs wait (``stall``) or fail (``full``)."""
        self.disk_failed = self.disk_failed or how == "full"
        marker = self._spoil / how
        marker.touch()
        try:
            yield
        finally:
            marker.unlink()

    def close(self):
        """End it, and its proxy."""
        self.kill()
        self.proxy.close()

    def log(self):
        """Return what it has written."""
        return self._log.read_text()


def of_chance(seed, *names):
    """Return a generator that depends on the seed and the names alone."""
    return random.Random("/".join(str(item) for item in (seed, *names)))
