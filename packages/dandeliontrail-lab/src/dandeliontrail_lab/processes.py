"""Starts and stops the project's programs as child processes."""

import contextlib
import pathlib
import subprocess
import sys
import tempfile
import time

import gevent
import msgspec
import yaml

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 20.0
LISTENERS = ("callers", "backend_servers", "operators", "peers")


class InstanceProcess:
    """A running ``dandeliond`` and the addresses of its listeners."""

    def __init__(self, name, process, addresses):
        self.name = name
        self.process = process
        self.addresses = addresses


def program(name):
    """Return the path of a program installed in this environment."""
    return str(pathlib.Path(sys.executable).parent / name)


def stop(process):
    """Terminate a process, kill it after a timeout; return its exit code."""
    if process.poll() is None:
        process.terminate()
    return wait(process)


def wait(process):
    """Wait for a process to exit, kill it after a timeout.

    Returns the exit code.
    """
    try:
        return process.wait(STOP_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


class Deployment:
    """Several instances on loopback; use it as a context manager.

    The first ``keepers`` instances, or all by default, are keepers: they
    have a data folder.  ``extra`` overrides top-level settings.
    """

    def __init__(self, names, domains, extra=None, keepers=None):
        self._names = names
        self._domains = domains
        self._extra_settings = extra or {}
        self._keepers = list(names[:keepers])
        self._stack = contextlib.ExitStack()
        self.instances = []
        self._running = []
        self.exit_codes = []

    def __enter__(self):
        """Start the first instance, then all others concurrently."""
        with self._stack:
            self.folder = pathlib.Path(
                self._stack.enter_context(tempfile.TemporaryDirectory())
            )
            self.start(0)
            others = range(1, len(self._names))
            for launch in [self._launch(index) for index in others]:
                self.instances.append(self._wait_for_start(launch))
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        """Send each instance one SIGTERM, then wait for all.

        A second signal would abort the graceful drain.
        """
        while self._running:
            self._terminate(self._running.pop())
        return self._stack.__exit__(*exc_info)

    def start(self, index, ports=None):
        """Start instance ``index``; ``ports`` gives its listen addresses.

        Raises :class:`RuntimeError` if it does not start in time.
        """
        started = self._wait_for_start(self._launch(index, ports))
        if index < len(self.instances):
            self.instances[index] = started
        else:
            self.instances.append(started)
        return started

    def _launch(self, index, ports=None):
        name = self._names[index]
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(index, ports)))
        log_path = self.folder / f"{name}.log"
        log = self._stack.enter_context(log_path.open("a"))
        log_offset = log_path.stat().st_size
        process = subprocess.Popen(
            [program("dandeliond"), "--settings", str(path)],
            stderr=log,
        )
        self._running.append(process)
        self._stack.callback(self._stop, process)
        return name, process, log_path, log_offset

    def _wait_for_start(self, launch):
        name, process, log_path, log_offset = launch
        addresses = self._wait_for_addresses(process, log_path, log_offset)
        return InstanceProcess(name, process, addresses)

    def log_text(self, index):
        """Return the log of instance ``index``."""
        return (self.folder / f"{self._names[index]}.log").read_text()

    def addresses(self, listener):
        """Return the address of the given listener of each instance."""
        return [item.addresses[listener] for item in self.instances]

    def _stop(self, process):
        if process in self._running:
            self._running.remove(process)
            self._terminate(process)
        self.exit_codes.append(wait(process))

    def _terminate(self, process):
        if process.poll() is None:
            process.terminate()

    def _settings(self, index, ports):
        settings = {
            "instance": self._names[index],
            "failure_domain": self._domains[index],
            "region": "r1",
            "listen": ports or {key: "127.0.0.1:0" for key in LISTENERS},
            "peers": [
                item.addresses["peers"]
                for item in self.instances
                if item.name != self._names[index]
            ],
            "bootstrap_keepers": self._keepers,
            "credentials": {"open": list(LISTENERS[1:])},
            "limits": {"drain_notice_seconds": 0.2},
        }
        name = self._names[index]
        if name in self._keepers:
            settings["keeper"] = {"data_dir": str(self.folder / name)}
        settings.update(self._extra_settings)
        return settings

    def _wait_for_addresses(self, process, log_path, log_offset):
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline and process.poll() is None:
            text = log_path.read_text()[log_offset:]
            for line in text.splitlines(keepends=True):
                if '"listening"' in line and line.endswith("\n"):
                    listening_line = msgspec.json.decode(line.encode())
                    return {key: listening_line[key] for key in LISTENERS}
            gevent.sleep(0.05)
        raise RuntimeError(
            "the instance did not start, its log ends with:"
            f" {log_path.read_text()[-2000:]}"
        )
