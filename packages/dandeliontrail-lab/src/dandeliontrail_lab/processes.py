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
    """Return the path of a program of this installation."""
    return str(pathlib.Path(sys.executable).parent / name)


def stop(process):
    """Ask a process to end, and make it end if it does not."""
    if process.poll() is not None:
        return process.returncode
    process.terminate()
    try:
        return process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


class Deployment:
    """A few instances on loopback; use it as a context manager."""

    def __init__(self, names, domains, extra=None):
        self._names = names
        self._domains = domains
        self._extra = extra or {}
        self._stack = contextlib.ExitStack()
        self.instances = []
        self.exit_codes = []

    def __enter__(self):
        """Start the instances one after the other."""
        with self._stack:
            self._folder = pathlib.Path(
                self._stack.enter_context(tempfile.TemporaryDirectory())
            )
            for index in range(len(self._names)):
                self.start(index)
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        """Stop all."""
        return self._stack.__exit__(*exc_info)

    def start(self, index, ports=None):
        """Start instance ``index``; ``ports`` keeps old addresses."""
        name = self._names[index]
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(index, ports)))
        log_path = self._folder / f"{name}.log"
        log = self._stack.enter_context(log_path.open("a"))
        before = log_path.stat().st_size
        process = subprocess.Popen(
            [program("dandeliond"), "--settings", str(path)],
            stderr=log,
        )
        self._stack.callback(self._stop, process)
        addresses = self._wait_listening(process, log_path, before)
        started = InstanceProcess(name, process, addresses)
        if index < len(self.instances):
            self.instances[index] = started
        else:
            self.instances.append(started)
        return started

    def log_text(self, index):
        """Return what instance ``index`` has logged."""
        return (self._folder / f"{self._names[index]}.log").read_text()

    def addresses(self, listener):
        """Return the addresses of one listener over all instances."""
        return [item.addresses[listener] for item in self.instances]

    def _stop(self, process):
        self.exit_codes.append(stop(process))

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
            "bootstrap_keepers": list(self._names),
            "keeper": {"data_dir": str(self._folder / self._names[index])},
            "credentials": {"open": list(LISTENERS[1:])},
            "limits": {"drain_notice_seconds": 0.2},
        }
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
