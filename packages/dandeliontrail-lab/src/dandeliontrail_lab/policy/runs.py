"""Runs of the policy bench: one, or many in parallel processes."""

import dataclasses
import multiprocessing
import random

from dandeliontrail.decisions import adaptive
from dandeliontrail.decisions import baselines as library_baselines
from dandeliontrail.decisions import options
from dandeliontrail.decisions import view

from . import baselines
from . import measures
from . import scenarios
from . import simulation

INSTANCES = 9
ABLATION_PREFIX = "without-"
BASELINES = ("fifo", "priority", "two-choices")
ADAPTIVE = "adaptive"
# The fixed seeds on which every change of a policy is measured.
BENCHMARK_SEEDS = tuple(range(1, 11))


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """A scenario, a policy and a seed to simulate."""

    scenario: str
    policy: str
    seed: int
    instances: int = INSTANCES


def policies():
    """Return the names of all policies.

    These are the baselines, the adaptive policy and, for each of its
    mechanisms, the adaptive policy without it.
    """
    mechanisms = list(options.Options.__struct_fields__)
    return [
        *BASELINES,
        ADAPTIVE,
        *(ABLATION_PREFIX + name for name in mechanisms),
    ]


def policy_factory(run):
    """Return the policy factory of a run.

    It is called with the number of an instance and the count of instances.
    """

    def make(number, instances):
        rng = random.Random(run.seed * 1000 + number)
        if run.policy == "fifo":
            return baselines.FifoRoundRobin(rng)
        if run.policy == "priority":
            return library_baselines.PriorityLeastOutstanding()
        if run.policy == "two-choices":
            return baselines.PowerOfTwo(rng)
        mechanisms = options.Options()
        if run.policy.startswith(ABLATION_PREFIX):
            mechanisms = options.without(
                run.policy.removeprefix(ABLATION_PREFIX)
            )
        return adaptive.Adaptive(
            rng,
            view.FixedView(instances),
            (f"i{number}", f"fd{number % 3}"),
            mechanisms,
        )

    return make


def simulate(run):
    """Simulate a run and return the finished simulation."""
    scenario = scenarios.SCENARIOS[run.scenario]
    simulated = simulation.Simulation(
        scenario, policy_factory(run), run.seed, run.instances
    )
    simulated.run()
    return simulated


def measure(run):
    """Simulate a run and return it together with its measures."""
    return run, measures.measure(simulate(run))


def measure_all(runs, processes=1):
    """Measure many runs, in a process pool if ``processes`` > 1."""
    if processes <= 1:
        return [measure(run) for run in runs]
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        return pool.map(measure, runs, chunksize=1)
