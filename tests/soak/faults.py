"""Random faults, one after the other and overlapping."""

import contextlib
import dataclasses
import signal

import gevent

from tests.soak import processes
from tests.soak import proxy

GRACE_SECONDS = 8.0
# How long a keeper still counts as lost after its return, as on the platform.
CATCH_UP_SECONDS = 4.0
# The longest pause between the starts of two faults.
MAX_PAUSE_SECONDS = 2.0
# Longer than any fault lasts.
FINISH_TIMEOUT_SECONDS = 40.0


@dataclasses.dataclass(slots=True)
class PlannedFault:
    """A fault that starts at ``at`` seconds and has its own generator."""

    at: float
    kind: str
    number: int


def plan(seed, seconds):
    """Return the faults of a seed; they depend on nothing else."""
    rng = processes.seeded_random(seed, "plan")
    found = []
    at = rng.uniform(0.2, MAX_PAUSE_SECONDS)
    while at < seconds:
        found.append(PlannedFault(at, rng.choice(KINDS), len(found)))
        at += rng.uniform(0.2, MAX_PAUSE_SECONDS)
    return found


class Faults:
    """Injects the faults of a seed; several may be active at a time.

    At most one keeper at a time is down, frozen, partitioned or without its
    disk, because the deployment is declared to tolerate one lost keeper.
    Further keeper faults are skipped meanwhile.
    """

    def __init__(self, world, seed):
        self._world = world
        self._seed = seed
        self._keeper_busy = False
        self.injected = []

    def run(self, seconds):
        """Inject faults for ``seconds`` and wait until all have ended."""
        jobs = []
        now = 0.0
        for planned in plan(self._seed, seconds):
            gevent.sleep(planned.at - now)
            now = planned.at
            self.injected.append(planned.kind)
            rng = processes.seeded_random(self._seed, planned.number)
            jobs.append(gevent.spawn(getattr(self, planned.kind), rng))
        gevent.joinall(jobs, FINISH_TIMEOUT_SECONDS)

    # -- entries ----------------------------------------------------------

    def _pick_entry(self, rng):
        """Return an entry to disrupt while others serve, or ``None``."""
        candidates = [
            item
            for item in self._world.entries
            if item.running and not item.frozen
        ]
        return rng.choice(candidates) if len(candidates) > 1 else None

    def entry_killed(self, rng):
        """It is killed and starts again."""
        entry = self._pick_entry(rng)
        if entry:
            entry.kill()
            gevent.sleep(rng.uniform(0.1, 1.5))
            entry.start()

    def entry_stopped(self, rng):
        """It gets SIGTERM and must end within the grace time."""
        entry = self._pick_entry(rng)
        if entry is None:
            return
        disrupted_at = entry.disrupted_at
        entry.signal(signal.SIGTERM)
        ended = entry.wait(GRACE_SECONDS)
        if not ended and entry.disrupted_at == disrupted_at:
            self._world.report_violation(
                "ends within the grace time", entry.ip
            )
        entry.kill()
        entry.start()

    def entry_frozen(self, rng):
        """It is frozen, perhaps while it drains, and resumes."""
        entry = self._pick_entry(rng)
        if entry is None:
            return
        stopped = rng.random() < 0.3
        if stopped:
            entry.signal(signal.SIGTERM)
        entry.freeze()
        gevent.sleep(rng.uniform(0.5, 10.0))
        entry.thaw()
        if stopped:
            entry.wait(GRACE_SECONDS)
            entry.kill()
            entry.start()

    def entry_cut_off(self, rng):
        """It is partitioned from some of the other instances."""
        entry = self._pick_entry(rng)
        if entry:
            self._disrupt_paths(entry, rng)

    # -- keepers ----------------------------------------------------------

    @contextlib.contextmanager
    def _reserve_keeper(self, rng):
        """Yield a keeper to disrupt, or ``None`` if one is disrupted."""
        if self._keeper_busy:
            yield None
            return
        self._keeper_busy = True
        try:
            yield rng.choice(self._world.keepers)
            gevent.sleep(CATCH_UP_SECONDS)
        finally:
            self._keeper_busy = False

    def keeper_killed(self, rng):
        """It is killed and starts again."""
        with self._reserve_keeper(rng) as keeper:
            if keeper:
                keeper.kill()
                gevent.sleep(rng.uniform(0.1, 3.0))
                keeper.start()

    def keeper_wiped(self, rng):
        """It is killed and starts again with an empty data folder."""
        with self._reserve_keeper(rng) as keeper:
            if keeper:
                keeper.kill()
                keeper.wipe()
                gevent.sleep(rng.uniform(0.1, 1.5))
                keeper.start()

    def keeper_frozen(self, rng):
        """It is frozen and resumes."""
        with self._reserve_keeper(rng) as keeper:
            if keeper:
                keeper.freeze()
                gevent.sleep(rng.uniform(0.5, 5.0))
                keeper.thaw()

    def keeper_cut_off(self, rng):
        """It is partitioned from some of the other instances."""
        with self._reserve_keeper(rng) as keeper:
            if keeper:
                self._disrupt_paths(keeper, rng)

    def keeper_disk(self, rng):
        """Its disk stalls or is full for up to some seconds."""
        with self._reserve_keeper(rng) as keeper:
            if keeper:
                condition = rng.choice(("stall", "full"))
                with keeper.disk_fault(condition):
                    gevent.sleep(rng.uniform(0.5, 4.0))
                if condition == "full" and keeper.wait(CATCH_UP_SECONDS):
                    self._world.report_violation(
                        "holds on with a full disk", keeper.ip
                    )
                    keeper.start()

    def all_keepers_killed(self, rng):
        """All keepers are killed at once and start again."""
        with self._reserve_keeper(rng) as keeper:
            if keeper is None:
                return
            for item in self._world.keepers:
                item.kill()
            gevent.sleep(rng.uniform(0.1, 0.8))
            for item in self._world.keepers:
                item.start()

    # -- both -------------------------------------------------------------

    def _disrupt_paths(self, program, rng):
        """Disrupt the paths between one program and some others.

        Either in both directions, or only one of them.
        """
        world = self._world
        others = [
            item
            for item in (*world.keepers, *world.entries)
            if item is not program
        ]
        affected = rng.sample(others, rng.randint(1, len(others)))
        mode = rng.choice(
            (
                proxy.Mode.SILENT,
                proxy.Mode.REFUSE,
                proxy.Mode.NO_ANSWERS,
                proxy.Mode.DELAY,
            )
        )
        directions = rng.choice(((True, True), (True, False), (False, True)))
        program.mark_disrupted()
        for other in affected:
            if directions[0]:
                other.proxy.modes[program.ip] = mode
            if directions[1]:
                program.proxy.modes[other.ip] = mode
        gevent.sleep(rng.uniform(0.5, 6.0))
        for other in affected:
            other.proxy.modes.pop(program.ip, None)
            program.proxy.modes.pop(other.ip, None)
        program.mark_disrupted()

    def peers_reset(self, rng):
        """All connections from other instances to one instance are reset."""
        world = self._world
        program = rng.choice((*world.keepers, *world.entries))
        program.proxy.reset()

    def clock_stepped(self, rng):
        """The wall clock of an entry jumps while it restarts."""
        entry = self._pick_entry(rng)
        if entry:
            entry.kill()
            entry.clock_seconds = rng.choice((-3600.0, -3.0, 3.0, 3600.0))
            entry.start()

    def settings_reloaded(self, rng):
        """The settings files of some programs change and they get SIGHUP."""
        world = self._world
        for program in (*world.keepers, *world.entries):
            if rng.random() < 0.5:
                program.write_settings(rng)
                if program.catches(signal.SIGHUP):
                    # Without a handler the interpreter is still starting.
                    program.signal(signal.SIGHUP)

    # -- backend servers --------------------------------------------------

    def _pick_server(self, rng):
        candidates = [
            item for item in self._world.servers if item.state == "ready"
        ]
        return rng.choice(candidates) if len(candidates) > 2 else None

    def server_restarts(self, rng):
        """It crashes and a new incarnation starts at its address."""
        server = self._pick_server(rng)
        if server:
            server.mark_disrupted()
            server.down = True
            server.proxy.reset()
            server.restart()
            server.down = False

    def server_leaves(self, rng):
        """It announces its departure, serves on, and is then replaced."""
        server = self._pick_server(rng)
        if server:
            server.state = "draining"
            gevent.sleep(rng.uniform(4.0, 6.0))
            server.restart()

    def server_path(self, rng):
        """The path to it is slow, stalls or holds up the responses."""
        server = self._pick_server(rng)
        if server:
            modes = (
                proxy.Mode.DELAY,
                proxy.Mode.SILENT,
                proxy.Mode.NO_ANSWERS,
            )
            server.mark_disrupted()
            server.proxy.mode = rng.choice(modes)
            gevent.sleep(rng.uniform(0.5, 4.0))
            server.proxy.mode = proxy.Mode.PASS
            server.mark_disrupted()

    def server_reset(self, rng):
        """All connections to it are reset."""
        server = self._pick_server(rng)
        if server:
            server.mark_disrupted()
            server.proxy.reset()

    # -- the operator -----------------------------------------------------

    def key_revoked(self, rng):
        """The operator revokes the oldest key."""
        self._world.revoke_oldest_key()


KINDS = (
    "entry_killed",
    "entry_stopped",
    "entry_frozen",
    "entry_cut_off",
    "keeper_killed",
    "keeper_wiped",
    "keeper_frozen",
    "keeper_cut_off",
    "keeper_disk",
    "all_keepers_killed",
    "peers_reset",
    "clock_stepped",
    "settings_reloaded",
    "server_restarts",
    "server_leaves",
    "server_path",
    "server_reset",
    "key_revoked",
)
