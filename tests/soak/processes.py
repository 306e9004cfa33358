"""The programs as processes of their own, ended by their ids alone."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys

from tests.common import platform_world

ROOT = pathlib.Path(__file__).parent.parent.parent
# A start of a program takes a second on a calm machine.
KILL_SECONDS = 10.0


class Program:
    """One program with its settings file, log and folder."""

    def __init__(self, folder, role, ip, settings):
        self.role = role
        self.ip = ip
        self._folder = folder
        self._data = folder / f"{ip}-data"
        self._config = folder / f"{ip}.conf"
        self._log = folder / f"{ip}.log"
        self._settings = settings
        self._first = True
        self._process = None
        self.frozen = False

    def start(self):
        """Start it; only the first start may found the log."""
        data_dir = self._data if self.role == "keeper" else ""
        text = platform_world.SETTINGS.format(
            node=f"{self.role}-{self.ip}",
            ip=self.ip,
            zone=f"z{self.ip[-1]}",
            data_dir=data_dir,
            **self._settings,
        )
        if not self._first:
            text = text.replace("bootstrap=true", "bootstrap=false")
        self._first = False
        self._config.write_text(text)
        env = {**os.environ, "DANDELIONTRAIL_CONFIG": str(self._config)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform/launch.py"), self.role],
                env=env,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self):
        """Tell whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number):
        """Send a signal to this process alone."""
        if self.running:
            self._process.send_signal(number)

    def kill(self):
        """End it at once."""
        self.thaw()
        self.signal(signal.SIGKILL)
        self._process.wait(KILL_SECONDS)

    def freeze(self):
        """Have it stand still."""
        self.frozen = True
        self.signal(signal.SIGSTOP)

    def thaw(self):
        """Have it go on."""
        self.frozen = False
        self.signal(signal.SIGCONT)

    def wipe(self):
        """Lose its folder; it must not be running."""
        shutil.rmtree(self._data, ignore_errors=True)

    def log(self):
        """Return what it has written."""
        return self._log.read_text()
