"""Crowds of clients that misbehave, at entries and keepers, all the time.

None of their requests is ever whole, so nothing of them may run.  The programs
have little memory and few descriptors, and must stay within both.
"""

import contextlib
import enum
import pathlib
import socket

import gevent

from tests.common import crowd_world
from tests.soak import processes

CROWDS = 3
CROWD_SIZES = (4, 24)
SILENT_FACTOR = 12
STAY_SECONDS = (0.5, 4.0)
PAUSE_SECONDS = (0.1, 1.0)
KEEPER_SHARE = 0.3
CHECK_SECONDS = 0.5
SEND_SECONDS = 3.0
BODY_BYTES = 4 * 1024 * 1024
TINY_BODY_BYTES = 256 * 1024
ID_PREFIX = "crowd-"
SETTINGS = crowd_world.MORE_SETTINGS


class Kind(enum.Enum):
    """What the clients of one crowd do."""

    ANNOUNCED = "announced"
    LARGE_CHUNKS = "large_chunks"
    TINY_CHUNKS = "tiny_chunks"
    HEADS = "heads"
    SILENT = "silent"


def _bytes_of(kind, path):
    """Return what a client of a crowd sends."""
    if kind is Kind.SILENT:
        return b""
    if kind is Kind.HEADS:
        return crowd_world.head(path)[:-2] + b"X-Note: " + b"x" * 12_000
    if kind is Kind.ANNOUNCED:
        body = b"x" * (BODY_BYTES - 1)
        return crowd_world.announced(BODY_BYTES, path=path) + body
    size, chunk = BODY_BYTES, 64 * 1024
    if kind is Kind.TINY_CHUNKS:
        size, chunk = TINY_BODY_BYTES, 2
    return crowd_world.in_chunks(path=path) + crowd_world.chunks(size, chunk)


class Crowds:
    """Plays crowds; what they do depends on the seed alone."""

    def __init__(self, world, seed):
        self._world = world
        self._rng = processes.seeded_random(seed, "crowds")
        self.played = dict.fromkeys((kind.value for kind in Kind), 0)
        self.peaks_mb = {"entry": 0.0, "keeper": 0.0}

    def start(self):
        """Start the crowds and the checks of memory and descriptors."""
        for _ in range(CROWDS):
            self._world.spawn(self._play_forever)
        self._world.spawn(self._check_forever)

    def _play_forever(self):
        rng = self._rng
        while True:
            kind = rng.choice(list(Kind))
            size = rng.randint(*CROWD_SIZES)
            size *= SILENT_FACTOR if kind is Kind.SILENT else 1
            stay = rng.uniform(*STAY_SECONDS)
            address, path = self._target()
            clients = [
                gevent.spawn(self._join, address, _bytes_of(kind, path), stay)
                for _ in range(size)
            ]
            try:
                gevent.joinall(clients)
            finally:
                gevent.killall(clients, block=False)
            self.played[kind.value] += 1
            gevent.sleep(rng.uniform(*PAUSE_SECONDS))

    def _target(self):
        world = self._world
        if self._rng.random() < KEEPER_SHARE:
            keeper = self._rng.choice(world.keepers)
            return (keeper.ip, world.ports["control"]), "/api/config"
        entry = self._rng.choice(world.entries)
        return (entry.ip, world.ports["callers"]), "/read/"

    def _join(self, address, data, stay):
        with contextlib.suppress(OSError):
            with socket.create_connection(address, SEND_SECONDS) as sock:
                with gevent.Timeout(SEND_SECONDS, False):
                    sock.sendall(data)
                gevent.sleep(stay)

    def _check_forever(self):
        while True:
            for program in (*self._world.entries, *self._world.keepers):
                with contextlib.suppress(OSError, ValueError):
                    self._check(program)
            gevent.sleep(CHECK_SECONDS)

    def _check(self, program):
        """Report a program beyond its memory or its descriptors."""
        if not program.running:
            return
        folder = pathlib.Path(f"/proc/{program.pid}")
        (line,) = [
            item
            for item in (folder / "status").read_text().splitlines()
            if item.startswith("VmHWM:")
        ]
        peak_mb = round(int(line.split()[1]) / 1024, 1)
        self.peaks_mb[program.role] = max(peak_mb, self.peaks_mb[program.role])
        if peak_mb > crowd_world.MEMORY_MB:
            self._world.report_violation(
                "within its memory", f"{program.ip}: {peak_mb} MB"
            )
        descriptors = len(list((folder / "fd").iterdir()))
        if descriptors > crowd_world.MAX_OPEN_FDS:
            self._world.report_violation(
                "within its descriptors", f"{program.ip}: {descriptors}"
            )

    def check(self):
        """Report requests of a crowd that ran, and a run without crowds."""
        for request_id in list(self._world.runs):
            if request_id.startswith(ID_PREFIX):
                self._world.report_violation("not whole, not run", request_id)
        if not any(self.played.values()):
            self._world.report_violation("crowds are played", "none was")

    def summary(self):
        """Return how many crowds were played, and the peaks of memory."""
        return {**self.played, **self.peaks_mb}
