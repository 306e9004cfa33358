"""Concurrent conditional writes, and a reader that checks versions."""

import dataclasses
import time

import gevent

from dandeliontrail_ctl import api

WRITE_PAUSE_SECONDS = 0.3
READ_PAUSE_SECONDS = 0.2
OBJECT_KIND = "organisations"
OBJECT_NAME = "raced"
INITIAL_WEIGHT = 1.0


@dataclasses.dataclass(slots=True)
class Write:
    """A conditional write that was accepted."""

    author: int
    base_version: int
    version: int
    weight: float
    accepted_at: float


class ConcurrentWriters:
    """Makes conditional writes to one object through random instances."""

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self.accepted = []
        self.conflicts = 0
        self.unknown = 0
        self.refused = 0
        self.stopping = False
        self._weight = INITIAL_WEIGHT
        self._operation_count = 0

    def run(self, author):
        """Write in a loop until ``stopping`` is set."""
        while not self.stopping:
            gevent.sleep(WRITE_PAUSE_SECONDS * self._rng.random())
            name = self._cluster.pick(self._rng)
            if name is not None:
                self._write(author, name)

    def _write(self, author, name):
        server = self._api(name)
        try:
            base_version = server.get(OBJECT_KIND, OBJECT_NAME)["version"]
        except api.ApiError:
            return
        self._weight += 1.0
        self._operation_count += 1
        weight = self._weight
        operation_id = f"soak-{author}-{self._operation_count}"
        self._put(author, base_version, weight, operation_id)

    def _put(self, author, base_version, weight, operation_id):
        """Write, and retry with the same id until the outcome is known."""
        while True:
            name = self._cluster.pick(self._rng)
            if name is None:
                gevent.sleep(WRITE_PAUSE_SECONDS)
                continue
            try:
                written = self._api(name).put(
                    OBJECT_KIND,
                    OBJECT_NAME,
                    {"weight": weight},
                    if_match=base_version,
                    operation_id=operation_id,
                )
            except api.ApiError as exc:
                if self._is_final(exc):
                    return
                gevent.sleep(WRITE_PAUSE_SECONDS)
                continue
            # The response holds the current object, which a later write may
            # have replaced already.
            if written["spec"]["weight"] == weight:
                self.accepted.append(
                    Write(
                        author,
                        base_version,
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

    def _api(self, name):
        return api.Api(f"http://{self._cluster.operators(name)}")


class Watcher:
    """Reads the object from each instance and records its versions.

    ``reverts`` lists reads of an older version than before, ``diverged``
    those of a version whose content differs from an earlier read.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self.seen = {}
        self.weights = {}
        self.reverts = []
        self.diverged = []

    def run(self, name):
        """Read from one instance, forever."""
        while True:
            gevent.sleep(READ_PAUSE_SECONDS)
            if name in self._cluster.ready:
                self.read(name)

    def read(self, name):
        """Read once, and compare with all earlier reads.

        Returns the version, or ``None`` if the read failed.
        """
        url = f"http://{self._cluster.operators(name)}"
        try:
            stored = api.Api(url).get(OBJECT_KIND, OBJECT_NAME)
        except api.ApiError:
            return None
        version = stored["version"]
        weight = stored["spec"]["weight"]
        last_version = self.seen.get(name, 0)
        if version < last_version:
            self.reverts.append((name, last_version, version))
        self.seen[name] = max(last_version, version)
        if self.weights.setdefault(version, weight) != weight:
            self.diverged.append((name, version, weight))
        return version
