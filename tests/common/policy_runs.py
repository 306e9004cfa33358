"""Short runs of the policy bench."""

import dataclasses
import functools

from dandeliontrail_lab.policy import measures
from dandeliontrail_lab.policy import runs
from dandeliontrail_lab.policy import scenarios
from dandeliontrail_lab.policy import simulation

SECONDS = 50.0


def simulated(name, policy=runs.ADAPTIVE, seed=7, engines=4, instances=4):
    """Run the first part of a scenario on a few engines and instances."""
    scenario = scenarios.SCENARIOS[name]
    short = dataclasses.replace(
        scenario,
        seconds=SECONDS,
        engines=engines,
        bursts=[item for item in scenario.bursts if item.start < SECONDS],
    )
    run = runs.Run(name, policy, seed, instances)
    result = simulation.Simulation(
        short, runs.policy_factory(run), seed, instances
    )
    result.run()
    return result


@functools.cache
def measured(name, policy=runs.ADAPTIVE, seed=7):
    """Return the measures of a short run."""
    return measures.measure(simulated(name, policy, seed))
