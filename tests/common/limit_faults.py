"""Limits of servers under random faults, changes and demand, from a seed."""

import random

from tests.common import limit_judge
from tests.common import limit_world

JOIN_SECONDS = 8.0
SECONDS = 90.0
# The servers name other limits, and callers move, after at most this long.
MAX_STEP_SECONDS = 8.0
MAX_FAULT_SECONDS = 12.0
LIMITS = ("", "0.3", "1.0", "3.0", "10.0", "30.0")
DEMANDS = (1.0, 10.0, 40.0)


class JudgedWorld(limit_world.LimitWorld):
    """Judges each request of each start of a server when it arrives."""

    def __init__(self, count, seed):
        super().__init__(count, seed)
        self.judges = {}
        self.broken = []

    def name_limit(self, server, limit):
        """Have a server name ``limit``, '' for none, from now on."""
        self.servers[server].limit = limit
        judge = self.judges.setdefault(server, limit_judge.RunningJudge())
        judge.name(float(limit) if limit else None, self.now)

    def restart_server(self, name, limit=""):
        super().restart_server(name, limit)
        del self.judges[name]
        self.name_limit(name, limit)

    def _arrived(self, node, effect, server, sent_at):
        broken = self.judges[server.name].arrived(self.now)
        if broken:
            self.broken.append(f"{server.name} at {self.now:.2f} s: {broken}")
        super()._arrived(node, effect, server, sent_at)


def _inject(world, rng):
    """Begin a fault that ends by itself."""
    name = rng.choice(world.names)
    later = rng.uniform(0.5, MAX_FAULT_SECONDS)
    kind = rng.choice(("kill", "freeze", "cut", "loss", "double", "restart"))
    if kind == "kill" and world.nodes[name].up:
        world.kill(name)
        world.call_later(later, lambda: world.restart(name))
    elif kind == "freeze" and world.nodes[name].up:
        world.freeze(name)
        world.call_later(later, lambda: world.thaw(name))
    elif kind == "cut":
        domain = rng.choice(limit_world.DOMAINS)
        world.cut_off(world.in_domain(domain))
        world.call_later(later, world.heal)
    elif kind == "loss":
        world.loss = rng.choice((0.1, 0.5, 1.0))
        world.call_later(later, lambda: setattr(world, "loss", 0.0))
    elif kind == "double":
        world.doubled = True
        world.call_later(later, lambda: setattr(world, "doubled", False))
    elif kind == "restart":
        server = rng.choice(list(world.servers))
        world.restart_server(server, rng.choice(LIMITS))


def _change(world, rng):
    """Change what one server names, or where the callers are."""
    if rng.random() < 0.5:
        world.name_limit(rng.choice(list(world.servers)), rng.choice(LIMITS))
        return
    names = rng.sample(world.names, rng.choice((1, len(world.names))))
    path = rng.choice(list(limit_world.PRIORITIES))
    world.press(rng.choice(DEMANDS), names, path)


def run(seed):
    """Run one seed; return the world."""
    rng = random.Random(seed)
    world = JudgedWorld(rng.choice((3, 5, 9)), seed)
    world.run(JOIN_SECONDS)
    for number in range(rng.choice((1, 2, 4))):
        world.add_server(f"s{number}")
        world.name_limit(f"s{number}", rng.choice(LIMITS))
    world.press(rng.choice(DEMANDS))
    until = world.now + SECONDS
    while world.now < until:
        world.run(rng.uniform(0.2, MAX_STEP_SECONDS))
        for _ in range(rng.randint(1, 2)):
            _change(world, rng)
        if rng.random() < 0.7:
            _inject(world, rng)
    return world
