"""The platform's programs as processes, and crowds of clients at them.

A program gets the memory and the descriptors that its settings name; what it
used at its peak is read from the kernel.
"""

import contextlib
import itertools
import os
import pathlib
import resource
import socket
import subprocess
import sys
import tempfile
import time

import gevent

from tests.common import platform_world

LAUNCH = pathlib.Path(__file__).resolve().parents[2] / "platform/launch.py"
MEMORY_MB = 96
MAX_FDS = 500
# Those that the platform sets aside for files outside the disk folder.
RESERVED_FDS = 200
MAX_OPEN_FDS = MAX_FDS - RESERVED_FDS
MEGABYTE = 1024 * 1024
BODY_LIMIT = 4 * MEGABYTE
HEADER_LIMIT = 16 * 1024
# Time for whatever is asked for in the end; nothing depends on it in calm.
PATIENCE_SECONDS = 60.0
REPLY_SECONDS = 5.0
KILL_SECONDS = 10.0
SAMPLE_SECONDS = 0.05
MORE_SETTINGS = f"""
limits.memory_mb={MEMORY_MB}
limits.max_fds={MAX_FDS}
"""
LIMITS = {
    "max_header_bytes": HEADER_LIMIT,
    "max_body_bytes": BODY_LIMIT,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
ROUTES = (
    platform_world.route("read", "safe", timeout_ms=30_000),
    platform_world.route(
        "order", "non_idempotent", timeout_ms=30_000, max_attempts=1
    ),
)


class Process:
    """A program of the platform in a process of its own."""

    def __init__(self, role, ip, settings, folder):
        self.ip = ip
        config = pathlib.Path(folder) / f"{ip}.conf"
        config.write_text(settings)
        self._log = pathlib.Path(folder) / f"{ip}.log"
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(LAUNCH), role],
                env={**os.environ, "DANDELIONTRAIL_CONFIG": str(config)},
                stdout=log,
                stderr=log,
            )
        limit = (MAX_OPEN_FDS, MAX_OPEN_FDS)
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limit)
        self.most_fds = 0
        self._sampler = gevent.spawn(self._sample)

    def _sample(self):
        while self.runs():
            self.most_fds = max(self.most_fds, self._open_fds())
            gevent.sleep(SAMPLE_SECONDS)

    def _open_fds(self):
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self._process.pid}/fd"))
        return 0

    def runs(self):
        """Return whether the process lives."""
        return self._process.poll() is None

    def peak_mb(self):
        """Return the largest resident memory so far, in MB."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        (line,) = [
            item for item in status.splitlines() if item.startswith("VmHWM:")
        ]
        return int(line.split()[1]) / 1024

    def log(self):
        """Return what it has logged."""
        return self._log.read_text()

    def close(self):
        """Kill the process."""
        self._sampler.kill()
        self._process.kill()
        self._process.wait(KILL_SECONDS)


class CrowdWorld(platform_world.PlatformWorld):
    """A keeper and any number of entries, each a process of its own."""

    def __enter__(self):
        self._folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        super().__enter__()
        control = (self.keeper.ip, self.ports["control"])
        _wait(lambda: accepts(control))
        manifest = platform_world.manifest(1, ROUTES, limits=LIMITS)
        _wait(lambda: self.apply(manifest).status == 200)
        return self

    def program(self, role):
        """Start an entry or a keeper at its own address."""
        self._count += 1
        ip = f"{platform_world.NETWORK}.{self._count}"
        data_dir = ""
        if role == "keeper":
            data_dir = self._stack.enter_context(tempfile.TemporaryDirectory())
        settings = platform_world.SETTINGS.format(
            node=f"{role}-{self._count}",
            ip=ip,
            zone="a",
            seed=self._seeds(),
            data_dir=data_dir,
            revoke_ms=self._revoke_ms,
            tolerated=0,
            **self.ports,
        )
        process = Process(role, ip, settings + MORE_SETTINGS, self._folder)
        self._stack.callback(process.close)
        return process

    def entry(self):
        """Start an entry and wait until it can serve."""
        started = self.program("entry")
        ready = (started.ip, self.ports["ready"])
        _wait(lambda: accepts(ready))
        _wait(lambda: self.ready(started) == 200)
        return started

    def keep_registered(self, server):
        """Renew the lease of a server until the world ends."""
        greenlet = gevent.spawn(self._renew, server)
        self._stack.callback(greenlet.kill)

    def _renew(self, server):
        while True:
            with contextlib.suppress(OSError), gevent.Timeout(1.0, False):
                self.heartbeat(server)
            gevent.sleep(1.0)

    def crowd(self, size, address, client):
        """Have ``client(sock)`` run on as many connections at once.

        Waits until all have returned; the connections stay open.  Returns
        the sockets, without those that were refused.
        """
        greenlets = [
            gevent.spawn(self._join_crowd, address, client)
            for _ in range(size)
        ]
        self._stack.callback(gevent.killall, greenlets)
        gevent.joinall(greenlets, timeout=PATIENCE_SECONDS)
        return [item.value for item in greenlets if item.value is not None]

    def _join_crowd(self, address, client):
        try:
            sock = socket.create_connection(address, REPLY_SECONDS)
        except OSError:
            return None
        self._stack.callback(sock.close)
        sock.settimeout(PATIENCE_SECONDS)
        with contextlib.suppress(OSError):
            client(sock)
        return sock

    def is_served(self, entry, request_id, body=b"small"):
        """Ask until one ordinary request is answered; tell whether it is."""
        return becomes_true(lambda: self._asks(entry, request_id, body))

    def _asks(self, entry, request_id, body):
        reply = self.call(entry, "POST", "/read/", request_id, body=body)
        return reply.status == 200 and reply.whole and reply.body

    def is_ready(self, entry):
        """Return whether an entry is soon ready."""
        return becomes_true(lambda: self.ready(entry) == 200)

    def control_answers(self):
        """Return whether the keeper soon answers a read of its manifest."""
        return becomes_true(
            lambda: self.control("GET", "/api/config").status == 200
        )


def becomes_true(ask):
    """Ask again and again; a try that is not answered counts as false."""
    deadline = time.monotonic() + PATIENCE_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, IndexError, ValueError):
            with gevent.Timeout(REPLY_SECONDS, False):
                if ask():
                    return True
        gevent.sleep(SAMPLE_SECONDS)
    return False


def _wait(ask):
    assert becomes_true(ask), "waited in vain"


def accepts(address):
    """Return whether connections to an address are accepted."""
    with contextlib.suppress(OSError), socket.create_connection(address, 1.0):
        return True
    return False


_numbers = itertools.count(1)


def head(path="/read/", framing="", request_id=""):
    """Return the head of a caller's request with the given framing."""
    request_id = request_id or f"crowd-{next(_numbers)}"
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {platform_world.HOST}",
        *(
            f"{name}: {value}"
            for name, value in platform_world.caller_headers(
                request_id, left="20000"
            )
        ),
    ]
    return ("\r\n".join(lines) + "\r\n" + framing + "\r\n").encode()


def announced(size, **more):
    """Return the head of a request whose body has a length."""
    return head(framing=f"Content-Length: {size}\r\n", **more)


def in_chunks(**more):
    """Return the head of a request whose body comes in chunks."""
    return head(framing="Transfer-Encoding: chunked\r\n", **more)


def chunks(size, chunk_bytes):
    """Return a body of ``size`` bytes in chunks, without its end."""
    chunk = platform_world.chunk(b"x" * chunk_bytes)
    return chunk * (size // chunk_bytes)


def send_while_read(sock, data):
    """Send until all is sent or the other end has answered or closed.

    Returns what it answered so far.
    """
    view = memoryview(data)
    sock.settimeout(0.2)
    answer = b""
    deadline = time.monotonic() + PATIENCE_SECONDS
    while view and time.monotonic() < deadline:
        try:
            view = view[sock.send(view) :]
        except TimeoutError:
            # The other end reads nothing now; it may have answered.
            answer += _read_available(sock)
            if answer:
                break
    return answer


def _read_available(sock):
    with contextlib.suppress(TimeoutError):
        return sock.recv(65536)
    return b""
