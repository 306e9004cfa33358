"""Operators who race one another, and a watcher of what is in force."""

import dataclasses
import time

import gevent

from dandeliontrail_ctl import api

PAUSE = 0.3
WATCH_PAUSE = 0.2
KIND = "organisations"
NAME = "raced"
BASE_WEIGHT = 1.0


@dataclasses.dataclass(slots=True)
class Write:
    """An accepted conditional write."""

    author: int
    base: int
    version: int
    weight: float
    at: float


class Operators:
    """Conditional writes to one object through any instance."""

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self.accepted = []
        self.conflicts = 0
        self.unknown = 0
        self.refused = 0
        self.stopping = False
        self._weight = BASE_WEIGHT
        self._operations = 0

    def run(self, author):
        """Write again and again, resending what got no answer."""
        while not self.stopping:
            gevent.sleep(PAUSE * self._rng.random())
            name = self._cluster.pick(self._rng)
            if name is not None:
                self._write(author, name)

    def _write(self, author, name):
        server = self._server(name)
        try:
            base = server.get(KIND, NAME)["version"]
        except api.ApiError:
            return
        self._weight += 1.0
        self._operations += 1
        weight = self._weight
        operation = f"soak-{author}-{self._operations}"
        self._put(author, base, weight, operation)

    def _put(self, author, base, weight, operation):
        """Write, and resend under the same id until there is an answer."""
        while True:
            name = self._cluster.pick(self._rng)
            if name is None:
                gevent.sleep(PAUSE)
                continue
            try:
                written = self._server(name).put(
                    KIND,
                    NAME,
                    {"weight": weight},
                    if_match=base,
                    operation_id=operation,
                )
            except api.ApiError as exc:
                if self._is_final(exc):
                    return
                gevent.sleep(PAUSE)
                continue
            # The answer shows the object as it is now, which may be a
            # later one than this write's.
            if written["spec"]["weight"] == weight:
                self.accepted.append(
                    Write(
                        author,
                        base,
                        written["version"],
                        weight,
                        time.monotonic(),
                    )
                )
            return

    def _is_final(self, exc):
        if exc.status == 409:
            self.conflicts += 1
            return True
        if exc.status in (0, 504):
            self.unknown += 1
            return self.stopping and exc.status == 0
        if exc.status == 503:
            self.refused += 1
            return self.stopping
        return True

    def _server(self, name):
        return api.Api(f"http://{self._cluster.operators(name)}")


class Watcher:
    """Reads the object from every instance and keeps what it saw."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.seen = {}
        self.weights = {}
        self.reverts = []
        self.diverged = []

    def run(self, name):
        """Read from one instance for ever."""
        while True:
            gevent.sleep(WATCH_PAUSE)
            if name in self._cluster.ready:
                self.read(name)

    def read(self, name):
        """Read once, and compare with all that was seen before."""
        url = f"http://{self._cluster.operators(name)}"
        try:
            found = api.Api(url).get(KIND, NAME)
        except api.ApiError:
            return None
        version = found["version"]
        weight = found["spec"]["weight"]
        before = self.seen.get(name, 0)
        if version < before:
            self.reverts.append((name, before, version))
        self.seen[name] = max(before, version)
        if self.weights.setdefault(version, weight) != weight:
            self.diverged.append((name, version, weight))
        return version
