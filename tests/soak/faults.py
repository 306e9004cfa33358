"""Faults of chance, in series and overlapping."""

import contextlib
import dataclasses
import signal

import gevent

from tests.soak import processes
from tests.soak import proxy

GRACE_SECONDS = 8.0
# How long a keeper counts as lost after it is back, as on the platform.
CATCH_UP_SECONDS = 4.0
# Longest pause between the beginnings of two faults.
PAUSE_SECONDS = 2.0
# Above what any fault lasts.
MEND_SECONDS = 40.0


@dataclasses.dataclass(slots=True)
class Planned:
    """A fault that begins ``at`` seconds; its chances are its own."""

    at: float
    kind: str
    number: int


def plan(seed, seconds):
    """Return the faults of a seed, which nothing else has a say in."""
    rng = processes.of_chance(seed, "plan")
    found = []
    at = rng.uniform(0.2, PAUSE_SECONDS)
    while at < seconds:
        found.append(Planned(at, rng.choice(KINDS), len(found)))
        at += rng.uniform(0.2, PAUSE_SECONDS)
    return found


class Faults:
    """Injects the faults of a seed; several may last at a time.

    At most one keeper is down, frozen, cut off or without its disk at a
    time, as the deployment is declared to bear; where one is, a further
    fault of that sort is left out.
    """

    def __init__(self, world, seed):
        self._world = world
        self._seed = seed
        self._keeper_busy = False
        self.done = []

    def run(self, seconds):
        """Inject faults for ``seconds`` and mend all of them."""
        jobs = []
        now = 0.0
        for planned in plan(self._seed, seconds):
            gevent.sleep(planned.at - now)
            now = planned.at
            self.done.append(planned.kind)
            rng = processes.of_chance(self._seed, planned.number)
            jobs.append(gevent.spawn(getattr(self, planned.kind), rng))
        gevent.joinall(jobs, MEND_SECONDS)

    # -- entries ----------------------------------------------------------

    def _entry(self, rng):
        """Return an entry to hurt while others serve, or ``None``."""
        calm = [
            item
            for item in self._world.entries
            if item.running and not item.frozen
        ]
        return rng.choice(calm) if len(calm) > 1 else None

    def entry_killed(self, rng):
        """It is killed and starts again."""
        entry = self._entry(rng)
        if entry:
            entry.kill()
            gevent.sleep(rng.uniform(0.1, 1.5))
            entry.start()

    def entry_stopped(self, rng):
        """It is stopped as planned and must end within the grace time."""
        entry = self._entry(rng)
        if entry is None:
            return
        hurt = entry.hurt
        entry.signal(signal.SIGTERM)
        ended = entry.wait(GRACE_SECONDS)
        if not ended and entry.hurt == hurt:
            self._world.find("ends within the grace time", entry.ip)
        entry.kill()
        entry.start()

    def entry_frozen(self, rng):
        """It stands still, perhaps while it drains, and goes on."""
        entry = self._entry(rng)
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
        """Nothing goes between it and some of the other instances."""
        entry = self._entry(rng)
        if entry:
            self._cut(entry, rng)

    # -- keepers ----------------------------------------------------------

    @contextlib.contextmanager
    def _keeper(self, rng):
        """Have one keeper to hurt, or ``None`` where one is hurt already."""
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
        with self._keeper(rng) as keeper:
            if keeper:
                keeper.kill()
                gevent.sleep(rng.uniform(0.1, 3.0))
                keeper.start()

    def keeper_wiped(self, rng):
        """It is killed and starts again with an empty folder."""
        with self._keeper(rng) as keeper:
            if keeper:
                keeper.kill()
                keeper.wipe()
                gevent.sleep(rng.uniform(0.1, 1.5))
                keeper.start()

    def keeper_frozen(self, rng):
        """It stands still and goes on."""
        with self._keeper(rng) as keeper:
            if keeper:
                keeper.freeze()
                gevent.sleep(rng.uniform(0.5, 5.0))
                keeper.thaw()

    def keeper_cut_off(self, rng):
        """Nothing goes between it and some of the other instances."""
        with self._keeper(rng) as keeper:
            if keeper:
                self._cut(keeper, rng)

    def keeper_disk(self, rng):
        """Its disk stalls or is full for some seconds."""
        with self._keeper(rng) as keeper:
            if keeper:
                how = rng.choice(("stall", "full"))
                with keeper.spoilt_disk(how):
                    gevent.sleep(rng.uniform(0.5, 4.0))
                if how == "full" and keeper.wait(CATCH_UP_SECONDS):
                    self._world.find("holds on with a full disk", keeper.ip)
                    keeper.start()

    def all_keepers_killed(self, rng):
        """All are killed at once and start again."""
        with self._keeper(rng) as keeper:
            if keeper is None:
                return
            for item in self._world.keepers:
                item.kill()
            gevent.sleep(rng.uniform(0.1, 0.8))
            for item in self._world.keepers:
                item.start()

    # -- both -------------------------------------------------------------

    def _cut(self, program, rng):
        """Spoil the paths between one program and some others.

        Either both ways, or only what it sends, or only what it gets.
        """
        world = self._world
        others = [
            item
            for item in (*world.keepers, *world.entries)
            if item is not program
        ]
        far = rng.sample(others, rng.randint(1, len(others)))
        mode = rng.choice(
            (
                proxy.Mode.SILENT,
                proxy.Mode.REFUSE,
                proxy.Mode.NO_ANSWERS,
                proxy.Mode.DELAY,
            )
        )
        ways = rng.choice(((True, True), (True, False), (False, True)))
        program.note_hurt()
        for other in far:
            if ways[0]:
                other.proxy.modes[program.ip] = mode
            if ways[1]:
                program.proxy.modes[other.ip] = mode
        gevent.sleep(rng.uniform(0.5, 6.0))
        for other in far:
            other.proxy.modes.pop(program.ip, None)
            program.proxy.modes.pop(other.ip, None)
        program.note_hurt()

    def peers_reset(self, rng):
        """All connections that other instances have to one are reset."""
        world = self._world
        program = rng.choice((*world.keepers, *world.entries))
        program.proxy.reset()

    def clock_stepped(self, rng):
        """The time of day of one jumps while it starts again."""
        entry = self._entry(rng)
        if entry:
            entry.kill()
            entry.clock_seconds = rng.choice((-3600.0, -3.0, 3.0, 3600.0))
            entry.start()

    def settings_reloaded(self, rng):
        """The settings file changes and SIGHUP says so."""
        world = self._world
        for program in (*world.keepers, *world.entries):
            if rng.random() < 0.5:
                program.write_settings(rng)
                if program.catches(signal.SIGHUP):
                    # Before that the interpreter itself still starts.
                    program.signal(signal.SIGHUP)

    # -- backend servers --------------------------------------------------

    def _server(self, rng):
        calm = [item for item in self._world.servers if item.state == "ready"]
        return rng.choice(calm) if len(calm) > 2 else None

    def server_restarts(self, rng):
        """It crashes and another starts at its address."""
        server = self._server(rng)
        if server:
            server.note_hurt()
            server.down = True
            server.proxy.reset()
            server.restart()
            server.down = False

    def server_leaves(self, rng):
        """It says that it leaves, serves on, and another takes its place."""
        server = self._server(rng)
        if server:
            server.state = "draining"
            gevent.sleep(rng.uniform(4.0, 6.0))
            server.restart()

    def server_path(self, rng):
        """The path to it is slow, silent or works one way only."""
        server = self._server(rng)
        if server:
            modes = (
                proxy.Mode.DELAY,
                proxy.Mode.SILENT,
                proxy.Mode.NO_ANSWERS,
            )
            server.note_hurt()
            server.proxy.mode = rng.choice(modes)
            gevent.sleep(rng.uniform(0.5, 4.0))
            server.proxy.mode = proxy.Mode.PASS
            server.note_hurt()

    def server_reset(self, rng):
        """All connections to it are reset."""
        server = self._server(rng)
        if server:
            server.note_hurt()
            server.proxy.reset()

    # -- the operator -----------------------------------------------------

    def key_revoked(self, rng):
        """The oldest key is taken away."""
        self._world.revoke()


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
