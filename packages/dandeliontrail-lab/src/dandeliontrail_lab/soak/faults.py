"""Random faults of a soak run, reproducible from its seed."""

import gevent

from . import repair

MIN_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 4.0
MAX_FREEZE_SECONDS = 8.0
# Maximum number of instances with a fault at the same time.
MAX_FAULTY_INSTANCES = 3


class FaultInjector:
    """Injects faults into instances and engines until ``stopping`` is set."""

    def __init__(self, cluster, engines, rng):
        self._cluster = cluster
        self._engines = engines
        self._rng = rng
        self._faulty = set()
        self.counts = {}
        self.log = []
        self.stopping = False
        self._repairing = False
        self._fault_kinds = (
            self._kill,
            self._freeze,
            self._drain,
            self._lose_disk,
            self._engine_crash,
            self._engine_freeze,
            self._engine_leave,
        )

    def run(self):
        """Start one fault after another; they may overlap."""
        greenlets = []
        while not self.stopping:
            kind = self._rng.choice(self._fault_kinds)
            greenlets.append(gevent.spawn(kind))
            pause_range = MAX_PAUSE_SECONDS - MIN_PAUSE_SECONDS
            gevent.sleep(MIN_PAUSE_SECONDS + pause_range * self._rng.random())
        gevent.joinall(greenlets)

    def _record(self, kind, name):
        self.counts[kind] = self.counts.get(kind, 0) + 1
        self.log.append((kind, name))

    def _pick_healthy(self):
        """Reserve and return an instance without a fault.

        Returns ``None`` if the maximum number have a fault already.
        """
        if len(self._faulty) >= MAX_FAULTY_INSTANCES:
            return None
        healthy = sorted(set(self._cluster.names) - self._faulty)
        name = self._rng.choice(healthy)
        self._faulty.add(name)
        return name

    def _kill(self):
        name = self._pick_healthy()
        if name is None:
            return
        self._record("instance killed", name)
        self._cluster.kill(name)
        gevent.sleep(self._rng.random() * 3.0)
        self._cluster.restart(name)
        self._faulty.discard(name)

    def _freeze(self):
        name = self._pick_healthy()
        if name is None:
            return
        self._record("instance frozen", name)
        self._cluster.freeze(name, self._rng.random() * MAX_FREEZE_SECONDS)
        self._faulty.discard(name)

    def _lose_disk(self):
        """Lose a keeper's disk, replace the keeper, then kill another one.

        The keeper restarts with an empty data folder, which must not vote.
        An operator removes it from the keepers and adds it again.  A second
        keeper is killed immediately after this repair.
        """
        keepers = sorted(set(self._cluster.keepers) - self._faulty)
        if self._repairing or len(keepers) < len(self._cluster.keepers):
            return
        self._repairing = True
        lost, second = self._rng.sample(keepers, 2)
        self._faulty.update((lost, second))
        self._record("keeper's disk lost and repaired", lost)
        self._cluster.kill(lost, lose_disk=True)
        self._cluster.restart(lost)
        if repair.replace_keeper(self._cluster, lost):
            self._cluster.kill(second)
            self._cluster.restart(second)
        else:
            self.log.append(("repair failed", lost))
        self._faulty.difference_update((lost, second))
        self._repairing = False

    def _drain(self):
        name = self._pick_healthy()
        if name is None:
            return
        self._record("instance drained", name)
        self._cluster.drain(name)
        self._cluster.restart(name)
        self._faulty.discard(name)

    def _engine_crash(self):
        engine = self._rng.choice(self._engines)
        self._record("engine crashed", engine.name)
        engine.restart()

    def _engine_freeze(self):
        """Make an engine accept requests but stall for some seconds."""
        engine = self._rng.choice(self._engines)
        self._record("engine frozen", engine.name)
        step = engine.batch.pace.step
        engine.batch.pace.step = 3.0
        gevent.sleep(3.0)
        engine.batch.pace.step = step

    def _engine_leave(self):
        engine = self._rng.choice(self._engines)
        self._record("engine left", engine.name)
        engine.leaving = True
        gevent.sleep(4.0)
        engine.leaving = False
        # A server that has left may only return with a new epoch.
        engine.restart()
