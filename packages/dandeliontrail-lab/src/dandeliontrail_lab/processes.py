"""Starts the project's own programs and stops them again."""

import contextlib
import pathlib
import subprocess
import sys
import tempfile
import time

import gevent
import msgspec
import yaml

START_SECONDS = 20.0
STOP_SECONDS = 20.0
LISTENERS = ("callers", "backend_servers", "operators", "peers")


class InstanceProcess:
    """One running ``dandeliond`` and where it listens."""

    def __init__(self, name, process, addresses):
        self.name = name
        self.process = process
        self.addresses = addresses


def program(name):
    """Return the path of a program of this deployment."""
    return str(pathlib.Path(sys.executable).parent / name)


def stop(process):
    """Ask a process to end, and make it end if it does not."""
    if process.poll() is None:
        process.terminate()
    return wait(process)


def wait(process):
    """Wait for a process that was asked to end; return its exit code."""
    try:
        return process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


class Deployment:
    """A few instances on loopback; use it as a context manager.

    The first ``keepers`` of them, or all, have a disk.
    """

    def __init__(self, names, domains, extra=None, keepers=None):
        self._names = names
        self._domains = domains
        self._extra = extra or {}
        self._keepers = list(names[:keepers])
        self._stack = contextlib.ExitStack()
        self.instances = []
        self._running = []
        self.exit_codes = []

    def __enter__(self):
        """Start the first instance, then all others at once."""
        with self._stack:
            self.folder = pathlib.Path(
                self._stack.enter_context(tempfile.TemporaryDirectory())
            )
            self.start(0)
            others = range(1, len(self._names))
            for launched in [self._launch(index) for index in others]:
                self.instances.append(self._wait(launched))
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        """Stop all at once, each with one signal: a second would hurry."""
        while self._running:
            self._terminate(self._running.pop())
        return self._stack.__exit__(*exc_info)

    def start(self, index, ports=None):
        """Start instance ``index``; ``ports`` keeps old addresses."""
        started = self._wait(self._launch(index, ports))
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
        before = log_path.stat().st_size
        process = subprocess.Popen(
            [program("dandeliond"), "--settings", str(path)],
            stderr=log,
        )
        self._running.append(process)
        self._stack.callback(self._stop, process)
        return name, process, log_path, before

    def _wait(self, launched):
        name, process, log_path, before = launched
        addresses = self._wait_listening(process, log_path, before)
        return InstanceProcess(name, process, addresses)

    def log_text(self, index):
        """Return what instance ``index`` has logged."""
        return (self.folder / f"{self._names[index]}.log").read_text()

    def addresses(self, listener):
        """Return the addresses of one listener over all instances."""
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
        cfg = {
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
            cfg["keeper"] = {"data_dir": str(self.folder / name)}
        cfg.update(self._extra)
        return cfg

    def _wait_listening(self, process, log_path, before):
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline and process.poll() is None:
            text = log_path.read_text()[before:]
            for line in text.splitlines(keepends=True):
                if '"listening"' in line and line.endswith("\n"):
                    found = msgspec.json.decode(line.encode())
                    return {key: found[key] for key in LISTENERS}
            gevent.sleep(0.05)
        raise RuntimeError(f"no start: {log_path.read_text()[-2000:]}")
