"""What goes wrong in a soak, drawn from a seed."""

import gevent

from . import repair

SHORTEST_PAUSE = 1.0
LONGEST_PAUSE = 4.0
LONGEST_FREEZE = 8.0
# So many instances may be in trouble at a time.
MOST_AT_ONCE = 3


class Faults:
    """Brings trouble to instances and engines until told to stop."""

    def __init__(self, cluster, engines, rng):
        self._cluster = cluster
        self._engines = engines
        self._rng = rng
        self._troubled = set()
        self.counted = {}
        self.log = []
        self.stopping = False
        self._repairing = False
        self._kinds = (
            self._kill,
            self._freeze,
            self._drain,
            self._lose_disk,
            self._engine_crash,
            self._engine_freeze,
            self._engine_leave,
        )

    def run(self):
        """Cause one fault after the other, some of them overlapping."""
        jobs = []
        while not self.stopping:
            kind = self._rng.choice(self._kinds)
            jobs.append(gevent.spawn(kind))
            pause = LONGEST_PAUSE - SHORTEST_PAUSE
            gevent.sleep(SHORTEST_PAUSE + pause * self._rng.random())
        gevent.joinall(jobs)

    def _note(self, kind, name):
        self.counted[kind] = self.counted.get(kind, 0) + 1
        self.log.append((kind, name))

    def _take(self):
        """Return an instance that is in no trouble yet, or ``None``."""
        if len(self._troubled) >= MOST_AT_ONCE:
            return None
        free = sorted(set(self._cluster.names) - self._troubled)
        name = self._rng.choice(free)
        self._troubled.add(name)
        return name

    def _kill(self):
        name = self._take()
        if name is None:
            return
        self._note("instance killed", name)
        self._cluster.kill(name)
        gevent.sleep(self._rng.random() * 3.0)
        self._cluster.restart(name)
        self._troubled.discard(name)

    def _freeze(self):
        name = self._take()
        if name is None:
            return
        self._note("instance frozen", name)
        self._cluster.freeze(name, self._rng.random() * LONGEST_FREEZE)
        self._troubled.discard(name)

    def _lose_disk(self):
        """Lose a keeper's disk, repair it, and lose the next one at once.

        The keeper comes back with an empty folder, which must not vote.
        An operator takes it out and puts it in again; then a second keeper
        is killed right after the repair.
        """
        keepers = sorted(set(self._cluster.keepers) - self._troubled)
        if self._repairing or len(keepers) < len(self._cluster.keepers):
            return
        self._repairing = True
        lost, second = self._rng.sample(keepers, 2)
        self._troubled.update((lost, second))
        self._note("keeper's disk lost and repaired", lost)
        self._cluster.kill(lost, lose_disk=True)
        self._cluster.restart(lost)
        if repair.replace_keeper(self._cluster, lost):
            self._cluster.kill(second)
            self._cluster.restart(second)
        else:
            self.log.append(("repair failed", lost))
        self._troubled.difference_update((lost, second))
        self._repairing = False

    def _drain(self):
        name = self._take()
        if name is None:
            return
        self._note("instance drained", name)
        self._cluster.drain(name)
        self._cluster.restart(name)
        self._troubled.discard(name)

    def _engine_crash(self):
        engine = self._rng.choice(self._engines)
        self._note("engine crashed", engine.name)
        engine.restart()

    def _engine_freeze(self):
        """Let an engine accept and say nothing for a while."""
        engine = self._rng.choice(self._engines)
        self._note("engine frozen", engine.name)
        step = engine.batch.pace.step
        engine.batch.pace.step = 3.0
        gevent.sleep(3.0)
        engine.batch.pace.step = step

    def _engine_leave(self):
        engine = self._rng.choice(self._engines)
        self._note("engine left", engine.name)
        engine.leaving = True
        gevent.sleep(4.0)
        engine.leaving = False
        # A server that leaves comes back as a new start of itself.
        engine.restart()
