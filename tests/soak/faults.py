"""Random faults, one after the other and overlapping."""

import dataclasses
import signal

import gevent

from tests.soak import keeper_faults
from tests.soak import losses as losses_module
from tests.soak import partitions
from tests.soak import processes
from tests.soak import proxy
from tests.soak import replacements

GRACE_SECONDS = 8.0
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


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """The kinds of faults of a run; the plan of a seed depends on them.

    With ``strikes_early`` the loss of a keeper that has to wait for another
    one is not skipped.  With ``has_end`` the run ends with a final fault, and
    with ``has_parts`` some requests crash their servers; with
    ``has_troubled`` servers ask for rest, leave by their answers and send
    without end.  With ``has_prompts`` long prompts are sent to model engines,
    with ``has_open`` answers that have no length are sent and reset, with
    ``has_crowds`` clients misbehave.
    """

    kinds: tuple
    strikes_early: bool
    has_end: bool
    has_parts: bool = False
    has_troubled: bool = False
    has_prompts: bool = False
    has_open: bool = False
    has_crowds: bool = False


def plan(seed, seconds, kinds):
    """Return the faults of a seed; they depend on nothing else."""
    rng = processes.seeded_random(seed, "plan")
    found = []
    at = rng.uniform(0.2, MAX_PAUSE_SECONDS)
    while at < seconds:
        found.append(PlannedFault(at, rng.choice(kinds), len(found)))
        at += rng.uniform(0.2, MAX_PAUSE_SECONDS)
    return found


class Faults:
    """Injects the faults of a seed; several may be active at a time.

    At most one keeper at a time counts as lost, because the deployment is
    declared to tolerate one lost keeper; all of them together may lose power.
    """

    def __init__(self, world, seed, mix):
        self._world = world
        self._seed = seed
        self._mix = mix
        self.losses = losses_module.Losses(world, mix.strikes_early)
        self._parts = (
            self,
            ServerFaults(world.servers),
            keeper_faults.KeeperFaults(world, self.losses),
            replacements.Replacements(world, self.losses),
        )
        self._jobs = []
        self.injected = []

    def run(self, seconds):
        """Start the faults of ``seconds``."""
        now = 0.0
        for planned in plan(self._seed, seconds, self._mix.kinds):
            gevent.sleep(planned.at - now)
            now = planned.at
            self.injected.append(planned.kind)
            rng = processes.seeded_random(self._seed, planned.number)
            self._jobs.append(gevent.spawn(self._inject, planned.kind, rng))

    def _inject(self, kind, rng):
        """Inject a fault; count it while it lasts unless it is a server's."""
        is_counted = not kind.startswith("server_")
        self._world.active_faults += is_counted
        try:
            self._find(kind)(rng)
        finally:
            self._world.active_faults -= is_counted

    def _find(self, kind):
        (part,) = [item for item in self._parts if hasattr(item, kind)]
        return getattr(part, kind)

    def finish(self):
        """Wait until all faults have ended."""
        gevent.joinall(self._jobs, FINISH_TIMEOUT_SECONDS, raise_error=True)

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
            partitions.disrupt_paths(self._world, entry, rng)

    # -- both -------------------------------------------------------------

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
                processes.reload_settings(program, rng)

    # -- the operator -----------------------------------------------------

    def key_revoked(self, rng):
        """The operator revokes the oldest key."""
        self._world.revoke_oldest_key()


class ServerFaults:
    """Faults of some backend servers and of the paths to them."""

    def __init__(self, servers):
        self._servers = servers

    def _pick_server(self, rng):
        candidates = [item for item in self._servers if item.state == "ready"]
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


FIRST_KINDS = (
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
ADDED_KINDS = (
    "keeper_replaced",
    "keeper_succeeded",
    "seeds_changed",
    "all_keepers_killed_one_wiped",
)
# What the seeds meant before keepers were replaced; kept for seeds that
# failed then.
FIRST_MIX = Mix(FIRST_KINDS, strikes_early=False, has_end=False)
# Losses of keepers alone come more densely than among all kinds.
KEEPER_MIX = Mix(
    (
        "keeper_killed",
        "keeper_wiped",
        "keeper_frozen",
        "keeper_cut_off",
        "all_keepers_killed",
        *ADDED_KINDS,
    ),
    strikes_early=True,
    has_end=True,
)
ALL_MIX = Mix(
    (*FIRST_KINDS, *ADDED_KINDS),
    strikes_early=True,
    has_end=True,
    has_parts=True,
    has_troubled=True,
    has_prompts=True,
    has_open=True,
)
# Programs with little memory, beside clients that misbehave.
CROWD_MIX = Mix(
    FIRST_KINDS, strikes_early=False, has_end=False, has_crowds=True
)
MIXES = {
    "first": FIRST_MIX,
    "keepers": KEEPER_MIX,
    "all": ALL_MIX,
    "crowds": CROWD_MIX,
}
