"""Time without an order giver, and recovery of lost capacity.

Run as ``python -m bench.orders``.  All in virtual time, over the reducers
that ``dandeliond`` runs; the figures are those of ``docs/design/orders.md``.
"""

import statistics

from dandeliontrail.components import orders

from . import order_world

DOMAINS = ("fd1", "fd2", "fd3")
SEEDS = (1, 2, 3, 4, 5)
ENGINES = 20
# One load alone takes this long: 100 GB of weights at 2 GB/s.
LOAD_SECONDS = 50.0
LIMIT = 4000.0
POOLS = {
    "a-review": {"select": {"kind": "model_engine"}},
    "z-lookup": {"select": {"kind": "model_engine"}},
}
CLASSES = {
    "lookup": {"priority": 0, "pools": ["z-lookup"]},
    "review": {"priority": 3, "pools": ["a-review"]},
}


def takeover(checks_fencing, seed):
    """Return the seconds from the loss of a holder to the next order."""
    world = order_world.World(DOMAINS, 2, seed)
    world.store_rate = 1.0
    world.run(5.0)
    world.engine("e1", "fd2", checks_fencing, [("small", "1")])
    placement = {"small": {"model": "small", "version": "2"}}
    world.declare("fd1-0", "modelplacements", placement)
    wait_for(world, lambda: world.obeyed)
    lost_at = world.now
    world.lose(world.obeyed[0].holder)
    placement["small"]["version"] = "3"
    world.declare("fd1-0", "modelplacements", placement)
    count = len(world.obeyed)
    wait_for(world, lambda: len(world.obeyed) > count)
    return world.obeyed[-1].at - lost_at


def wait_for(world, holds):
    """Run until ``holds()`` is true or the limit is reached."""
    while not holds() and world.now < LIMIT:
        world.run(0.1)


def recovery(budget, seed):
    """Return when each model is served again after a domain came back cold.

    The domain has 20 engines; eight copies of the protected model and
    eight of the other are declared for it.
    """
    world = order_world.World(DOMAINS, 2, seed)
    world.store_rate = 1.0 / LOAD_SECONDS
    for reducer in world.reducers.values():
        _set_budget(reducer, budget)
    world.run(5.0)
    world.declare("fd1-0", "backendpools", POOLS)
    world.declare("fd1-0", "requestclasses", CLASSES)
    world.declare("fd1-0", "modelplacements", _placements())
    for number in range(ENGINES):
        world.engine(f"e{number:02}", "fd2", True, [])
    began = world.now
    done = {}
    for model in ("a-review", "z-lookup"):
        done[model] = {}
    while world.now < LIMIT and not _all_done(done):
        world.run(1.0)
        for model, held in done.items():
            count = _copies(world, model)
            for wanted in (1, 8):
                if count >= wanted:
                    held.setdefault(wanted, world.now - began)
    return done, world.most_loads


def _placements():
    # The protected placement is the one of a pool that only lookups use;
    # by its name alone it would come last.
    return {
        name: {
            "model": name,
            "version": "1",
            "pool": name,
            "minimum_copies": 8,
            "maximum_copies": 8,
        }
        for name in ("a-review", "z-lookup")
    }


def _set_budget(reducer, budget):
    for component in reducer.components:
        if isinstance(component, orders.Orders):
            component._slots._budget = budget


def _copies(world, model):
    return sum(
        (model, "1") in engine.models for engine in world.engines.values()
    )


def _all_done(done):
    return all(8 in held for held in done.values())


def main():
    """Print both tables."""
    print("| engines | seconds without an order giver (5 seeds) |")
    print("| --- | --- |")
    for checks, text in ((True, "check fencing"), (False, "do not check")):
        values = [takeover(checks, seed) for seed in SEEDS]
        print(
            f"| {text} | median {statistics.median(values):.1f},"
            f" worst {max(values):.1f} |"
        )
    print()
    print("| budget | most loads | model | first copy, s | all 8, s |")
    print("| --- | --- | --- | --- | --- |")
    for budget in (1, 2, 4, 1000):
        done, most = recovery(budget, 1)
        for model, held in done.items():
            print(
                f"| {budget} | {most} | {model} |"
                f" {held.get(1, LIMIT):.0f} | {held.get(8, LIMIT):.0f} |"
            )


if __name__ == "__main__":
    main()
