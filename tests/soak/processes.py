"""Runs the programs as child processes and signals them by their ids."""

import contextlib
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import time

import gevent
from gevent import lock

from tests.common import platform_world
from tests.soak import proxy as proxy_module

LAUNCH = pathlib.Path(__file__).parent / "launch.py"
# A program takes a second to start when the machine is idle.
KILL_TIMEOUT_SECONDS = 10.0
CONNECT_SECONDS = 0.2
POLL_SECONDS = 0.05
# A start or a stop affects callers for so long.
TOUCH_EFFECT_SECONDS = 8.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Program:
    """One program with its settings file, log, data folder and peer proxy.

    ``disrupted_at`` is when it was last killed, frozen or partitioned; a
    planned stop and a reload do not count.  ``seeds`` are the addresses that
    its settings file names from the next time that it is written.  Once it
    is ``removed``, it is not started again.  It ``is_isolated`` while its
    paths to or from all other keepers are disrupted.  ``note`` gets a line of
    text for each start, signal and loss of the disk.
    """

    def __init__(
        self,
        folder,
        role,
        ip,
        settings,
        zone="",
        first_start=True,
        note=lambda text: None,
    ):
        self._note = note
        self.role = role
        self.ip = ip
        self.zone = zone or f"z{ip[-1]}"
        self.seeds = settings["seed"].split(",")
        self.removed = False
        self._folder = folder
        self._data = folder / f"{ip}-data"
        self._disk_faults = folder / f"{ip}-spoil"
        self._disk_faults.mkdir()
        self._cut_file = folder / f"{ip}-cut"
        self._cuts = 0
        self.healed_at = float("-inf")
        self._config = folder / f"{ip}.conf"
        self._log = folder / f"{ip}.log"
        self._settings = settings
        self._is_first_start = first_start
        self._process = None
        self._control = (ip, settings["control"])
        # When the present process began to listen for the operator.
        self.listening_at = None
        # Other faults continue while a process is being started.
        self._lock = lock.RLock()
        self.frozen = False
        self.is_isolated = False
        self.disk_failed = False
        self.disrupted_at = float("-inf")
        self._touched = []
        self.clock_seconds = 0.0
        (port,) = platform_world.free_ports(1)
        self._peer_listener = f"{ip}:{port}"
        self.proxy = proxy_module.Proxy(
            self._peer_listener, (ip, int(settings["inner"]))
        )

    def start(self):
        """Start the process, unless an overlapping fault has started it.

        Of two processes at one address the second would fail, and the first
        could no longer be controlled.  Only the first start may bootstrap the
        log.
        """
        with self._lock:
            if not self.running and not self.removed:
                self._start()

    def _start(self):
        self.write_settings()
        self._note(f"{self.ip} starts, seeds {', '.join(self.seeds)}")
        self._is_first_start = False
        env = {
            **os.environ,
            "DANDELIONTRAIL_CONFIG": str(self._config),
            "SOAK_PEERS": self._peer_listener,
            "SOAK_CLOCK": str(self.clock_seconds),
            "SOAK_DISK": str(self._disk_faults),
            "SOAK_IP": self.ip,
            "SOAK_CUT": str(self._cut_file),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(LAUNCH), self.role],
                env=env,
                stdout=log,
                stderr=log,
            )
        self.listening_at = None
        gevent.spawn(self._await_listening, self._process)

    def _await_listening(self, process):
        while self._process is process and process.poll() is None:
            with contextlib.suppress(OSError):
                socket.create_connection(
                    self._control, CONNECT_SECONDS
                ).close()
                self.listening_at = time.monotonic()
                return
            gevent.sleep(POLL_SECONDS)

    def write_settings(self, rng=None):
        """Write the settings file; with ``rng``, shuffle the seeds."""
        data_dir = self._data if self.role == "keeper" else ""
        seeds = self.seeds
        if rng is not None:
            seeds = rng.sample(seeds, len(seeds))
        settings = {**self._settings, "seed": ",".join(seeds)}
        text = platform_world.SETTINGS.format(
            node=f"{self.role}-{self.ip}",
            ip=self.ip,
            zone=self.zone,
            data_dir=data_dir,
            **settings,
        )
        text += self._settings.get("more_settings", "")
        if not self._is_first_start:
            text = text.replace("bootstrap=true", "bootstrap=false")
        self._config.write_text(text)

    @property
    def running(self):
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number):
        """Send a signal to this process alone."""
        if self.running:
            if number != signal.SIGHUP:
                self._touched.append(time.monotonic())
            self._note(f"{self.ip} gets {signal.Signals(number).name}")
            self._process.send_signal(number)

    def catches(self, number):
        """Return whether the process has installed a handler for a signal."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        try:
            lines = status.read_text().splitlines()
        except OSError:
            return False
        (caught,) = [line for line in lines if line.startswith("SigCgt:")]
        return bool(int(caught.split()[1], 16) & 1 << (number - 1))

    @property
    def pid(self):
        """The id of the present process."""
        return self._process.pid

    def memory_mb(self):
        """Return the resident memory in MB, ``None`` if it has ended."""
        if not self.running:
            return None
        path = pathlib.Path(f"/proc/{self.pid}/statm")
        try:
            pages = int(path.read_text().split()[1])
        except OSError:
            return None
        return pages * PAGE_BYTES / 1024**2

    def wait(self, seconds):
        """Wait up to ``seconds`` for the present process; tell if it ended.

        Another fault may have started a new process by then.
        """
        process = self._process
        deadline = time.monotonic() + seconds
        while process.poll() is None and time.monotonic() < deadline:
            gevent.sleep(0.05)
        return process.poll() is not None

    def mark_disrupted(self):
        """Record that the program is disrupted by an unplanned fault now."""
        self.disrupted_at = time.monotonic()
        self._touched.append(self.disrupted_at)

    def was_touched(self, began, ended):
        """Return whether it was disrupted or stopped in a span of time.

        What was done shortly before the span counts too.
        """
        return any(
            began - TOUCH_EFFECT_SECONDS < at < ended for at in self._touched
        )

    def was_signalled(self, since):
        """Return whether it was stopped, frozen or thawed from then on."""
        return any(at > since for at in self._touched)

    def cut_from_servers(self, mode):
        """Cut the paths to all backend servers, as ``mode`` says."""
        self._cuts += 1
        self.disrupted_at = time.monotonic()
        self._cut_file.write_text(mode)

    def heal_paths(self):
        """Restore the paths, unless another cut still lasts."""
        self._cuts -= 1
        self.disrupted_at = time.monotonic()
        if not self._cuts:
            self.healed_at = self.disrupted_at
            self._cut_file.unlink(missing_ok=True)

    @property
    def is_cut(self):
        """Return whether its paths to all servers are cut."""
        return self._cuts > 0

    def kill(self):
        """Kill the process if it is still running."""
        with self._lock:
            if self.running:
                self.mark_disrupted()
            self.thaw()
            self.signal(signal.SIGKILL)
            self._process.wait(KILL_TIMEOUT_SECONDS)

    def freeze(self):
        """Suspend the process with SIGSTOP."""
        self.mark_disrupted()
        self.frozen = True
        self.signal(signal.SIGSTOP)

    def thaw(self):
        """Resume the process with SIGCONT."""
        if self.frozen:
            self.mark_disrupted()
            self.signal(signal.SIGCONT)
        self.frozen = False

    def lose_disk(self):
        """Kill the process and delete its data folder."""
        with self._lock:
            self.kill()
            shutil.rmtree(self._data, ignore_errors=True)
            self._note(f"{self.ip} lost its disk")

    def begin_kill(self):
        """Send SIGKILL without waiting for the end of the process."""
        if self.running:
            self.mark_disrupted()
            self.signal(signal.SIGKILL)

    @contextlib.contextmanager
    def disk_fault(self, condition):
        """Make its disk syncs wait (``stall``) or fail (``full``)."""
        self.disk_failed = self.disk_failed or condition == "full"
        marker = self._disk_faults / condition
        marker.touch()
        self._note(f"{self.ip} disk {condition}")
        try:
            yield
        finally:
            marker.unlink()
            self._note(f"{self.ip} disk well")

    def close(self):
        """Kill the process and close its proxy."""
        self.kill()
        self.proxy.close()

    def log(self):
        """Return the log of all its processes."""
        return self._log.read_text()


def kill_together(programs):
    """Kill some programs at the same moment."""
    for program in programs:
        program.begin_kill()
    for program in programs:
        program.kill()


def reload_settings(program, rng=None):
    """Write a program's settings file and tell it with SIGHUP."""
    program.write_settings(rng)
    if program.running and program.catches(signal.SIGHUP):
        # Without a handler the interpreter is still starting.
        program.signal(signal.SIGHUP)


def seeded_random(seed, *names):
    """Return a random generator that depends on these arguments alone."""
    return random.Random("/".join(str(item) for item in (seed, *names)))
