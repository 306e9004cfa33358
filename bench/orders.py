"""Failover time of the order giver, and recovery of lost capacity.

Run: ``python -m bench.orders``.  It runs the reducers of ``dandeliond`` in
virtual time and prints the figures of ``docs/design/orders.md``.
"""

import statistics

from dandeliontrail.components import orders

from . import order_world

DOMAINS = ("fd1", "fd2", "fd3")
SEEDS = (1, 2, 3, 4, 5)
ENGINE_COUNT = 20
# Duration of a load without concurrent ones: 100 GB of weights at 2 GB/s.
LOAD_SECONDS = 50.0
MAX_VIRTUAL_SECONDS = 4000.0
POOLS = {
    "a-review": {"select": {"kind": "model_engine"}},
    "z-lookup": {"select": {"kind": "model_engine"}},
}
CLASSES = {
    "lookup": {"priority": 0, "pools": ["z-lookup"]},
    "review": {"priority": 3, "pools": ["a-review"]},
}


def takeover(checks_fencing, seed):
    """Return the seconds from the loss of the lease holder to an order."""
    world = order_world.World(DOMAINS, 2, seed)
    world.store_rate = 1.0
    world.run(5.0)
    world.engine("e1", "fd2", checks_fencing, [("small", "1")])
    placement = {"small": {"model": "small", "version": "2"}}
    world.declare("fd1-0", "modelplacements", placement)
    wait_for(world, lambda: world.executed_orders)
    lost_at = world.now
    world.stop_instance(world.executed_orders[0].holder)
    placement["small"]["version"] = "3"
    world.declare("fd1-0", "modelplacements", placement)
    count = len(world.executed_orders)
    wait_for(world, lambda: len(world.executed_orders) > count)
    return world.executed_orders[-1].at - lost_at


def wait_for(world, condition):
    """Run until ``condition()`` is true or the time limit is reached."""
    while not condition() and world.now < MAX_VIRTUAL_SECONDS:
        world.run(0.1)


def recovery(budget, seed):
    """Return the recovery times of a failure domain without loaded models.

    The domain has 20 engines; eight copies of a protected model and eight of
    another one are declared.  Returns a mapping from model to the seconds
    until 1 and 8 copies are loaded, and the maximum of concurrent loads.
    """
    world = order_world.World(DOMAINS, 2, seed)
    world.store_rate = 1.0 / LOAD_SECONDS
    for reducer in world.reducers.values():
        _set_budget(reducer, budget)
    world.run(5.0)
    world.declare("fd1-0", "backendpools", POOLS)
    world.declare("fd1-0", "requestclasses", CLASSES)
    world.declare("fd1-0", "modelplacements", _placements())
    for number in range(ENGINE_COUNT):
        world.engine(f"e{number:02}", "fd2", True, [])
    began = world.now
    reached = {}
    for model in ("a-review", "z-lookup"):
        reached[model] = {}
    while world.now < MAX_VIRTUAL_SECONDS and not _all_recovered(reached):
        world.run(1.0)
        for model, reached_at in reached.items():
            count = _copies(world, model)
            for wanted in (1, 8):
                if count >= wanted:
                    reached_at.setdefault(wanted, world.now - began)
    return reached, world.max_concurrent_loads


def _placements():
    # The protected placement is in the pool that only the lookup class uses.
    # Its name sorts last, so that it comes first only if it is protected.
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


def _all_recovered(reached):
    return all(8 in reached_at for reached_at in reached.values())


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
        reached, max_loads = recovery(budget, 1)
        for model, reached_at in reached.items():
            print(
                f"| {budget} | {max_loads} | {model} |"
                f" {reached_at.get(1, MAX_VIRTUAL_SECONDS):.0f} |"
                f" {reached_at.get(8, MAX_VIRTUAL_SECONDS):.0f} |"
            )


if __name__ == "__main__":
    main()
