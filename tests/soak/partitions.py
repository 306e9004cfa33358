"""Paths between instances that fail in one direction or in both."""

import gevent

from tests.soak import proxy


def disrupt_paths(world, program, rng):
    """Disrupt the paths between one program and some others.

    Either in both directions, or only one of them.
    """
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
    other_keepers = {item for item in world.keepers if item is not program}
    program.is_isolated = other_keepers <= set(affected)
    program.mark_disrupted()
    names = ", ".join(item.ip for item in affected)
    world.note(f"{program.ip} {mode.value} {directions} for {names}")
    for other in affected:
        if directions[0]:
            other.proxy.modes[program.ip] = mode
        if directions[1]:
            program.proxy.modes[other.ip] = mode
    gevent.sleep(rng.uniform(0.5, 6.0))
    for other in affected:
        other.proxy.modes.pop(program.ip, None)
        program.proxy.modes.pop(other.ip, None)
    program.is_isolated = False
    program.mark_disrupted()
    world.note(f"{program.ip} has its paths back")
