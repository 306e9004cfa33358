"""The instances under test, and a load balancer's view of them."""

import os
import shutil
import signal
import time

import gevent
import geventhttpclient

from .. import processes

POLL_SECONDS = 0.2
POLL_TIMEOUT_SECONDS = 0.5
INSTANCE_LIMITS = {
    "drain_notice_seconds": 1.0,
    "drain_seconds": 60.0,
    "backend_silent_seconds": 5.0,
}


class Cluster:
    """A deployment whose instances are stopped, killed and restarted."""

    def __init__(self, deployment, names, keepers):
        self._deployment = deployment
        self.names = names
        self.keepers = names[:keepers]
        self.ready = set()
        self.frozen = set()
        self.killed_at = {}
        self.drained_at = {}
        self.exit_codes = []

    def callers(self, name):
        """Return the address of an instance's callers listener."""
        return self._address(name, "callers")

    def operators(self, name):
        """Return the address of an instance's operators listener."""
        return self._address(name, "operators")

    def _address(self, name, listener):
        index = self.names.index(name)
        return self._deployment.instances[index].addresses[listener]

    def pick(self, rng):
        """Return a random instance that passed its last readiness check.

        Returns ``None`` if there is none.
        """
        ready = sorted(self.ready)
        return rng.choice(ready) if ready else None

    def watch_ready(self):
        """Poll the readiness of every instance, forever."""
        while True:
            for name in self.names:
                gevent.spawn(self._poll, name)
            gevent.sleep(POLL_SECONDS)

    def _poll(self, name):
        host, port = self.callers(name).rsplit(":", 1)
        status = 0
        try:
            client = geventhttpclient.HTTPClient(
                host, int(port), network_timeout=POLL_TIMEOUT_SECONDS
            )
            status = client.get("/readyz").status_code
            client.close()
        except (OSError, geventhttpclient.response.HTTPParseError):
            status = 0
        if status == 200:
            self.ready.add(name)
        else:
            self.ready.discard(name)

    def _process(self, name):
        return self._deployment.instances[self.names.index(name)].process

    def alive(self, name):
        """Return whether the process of an instance exists, frozen or not."""
        return self._process(name).poll() is None

    def kill(self, name, lose_disk=False):
        """Kill an instance; ``lose_disk`` also deletes its data folder."""
        self.killed_at[name] = time.monotonic()
        process = self._process(name)
        process.kill()
        process.wait()
        if lose_disk:
            folder = self._deployment.folder / name
            shutil.rmtree(folder, ignore_errors=True)

    def drain(self, name):
        """Send SIGTERM to an instance and wait until it exits."""
        self.drained_at[name] = time.monotonic()
        process = self._process(name)
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            gevent.sleep(0.05)
        self.exit_codes.append(process.returncode)

    def restart(self, name):
        """Start an instance that has exited, at its previous addresses."""
        index = self.names.index(name)
        ports = self._deployment.instances[index].addresses
        self._deployment.start(index, ports)

    def freeze(self, name, seconds):
        """Suspend an instance for ``seconds``, like a stalled host."""
        pid = self._process(name).pid
        self.frozen.add(name)
        self.killed_at[name] = time.monotonic()
        os.kill(pid, signal.SIGSTOP)
        gevent.sleep(seconds)
        os.kill(pid, signal.SIGCONT)
        self.frozen.discard(name)


def new_deployment(names, domains, keepers):
    """Return the deployment of a soak run, not yet started."""
    return processes.Deployment(
        names, domains, extra={"limits": INSTANCE_LIMITS}, keepers=keepers
    )
