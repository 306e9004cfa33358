"""Scenarios of the policy bench: the offered load and the faults."""

import dataclasses
import random

from . import engine_model
from . import workload

DEFAULT_ENGINES = 10
DEFAULT_SECONDS = 120.0

# Each run begins with a warm-up at an ordinary load, so that engines have work
# and warm caches when the scenario sets in.  Requests of the warm-up count for
# goodput, on both sides of the ratio, but not for attainment.
WARM_UP_SECONDS = 20.0
WARM_UP_LOAD = 0.6

# Shares of the demand by class.  Lookup and intake together are 30 %, so at
# twice the capacity the protected classes alone need 60 % of it.
DEFAULT_MIX = {
    workload.LOOKUP: 0.18,
    workload.INTAKE: 0.12,
    workload.REPLY: 0.15,
    workload.DRAFT: 0.30,
    workload.REVIEW: 0.25,
}


@dataclasses.dataclass(slots=True)
class Burst:
    """A period in which a class arrives at ``rate_factor`` times its rate."""

    request_class: workload.RequestClass
    start: float
    seconds: float
    rate_factor: float


@dataclasses.dataclass(slots=True)
class Backlog:
    """Work that arrives within ``seconds``.

    It takes ``capacity_share`` of what all engines can do in the whole
    scenario.
    """

    request_class: workload.RequestClass
    start: float
    seconds: float
    capacity_share: float


@dataclasses.dataclass(slots=True)
class Fault:
    """A fault of engine number ``engine``.

    The engine takes ``slowdown`` times as long for each step; at 0 it crashes.
    """

    engine: int
    start: float
    until: float
    slowdown: float


@dataclasses.dataclass(slots=True)
class Scenario:
    """An offered load, relative to capacity, and what happens meanwhile.

    ``load`` is demand over capacity, ``mix`` the share of each class in it.
    """

    name: str
    load: float
    mix: dict = dataclasses.field(default_factory=lambda: dict(DEFAULT_MIX))
    bursts: list = dataclasses.field(default_factory=list)
    backlogs: list = dataclasses.field(default_factory=list)
    faults: list = dataclasses.field(default_factory=list)
    large_share: float = 0.6
    prefix_count: int = 1
    prefix_share: float = workload.PREFIX_SHARE
    seconds: float = DEFAULT_SECONDS
    engines: int = DEFAULT_ENGINES
    parameters: engine_model.EngineParameters = dataclasses.field(
        default_factory=engine_model.EngineParameters
    )

    def requests(self, seed):
        """Return all requests in order of arrival."""
        rng = random.Random(seed)
        callers = workload.organisations(large_share=self.large_share)
        generator = workload.RequestGenerator(
            rng, callers, self.parameters, self.prefix_count, self.prefix_share
        )
        requests = []
        for request_class, share in self.mix.items():
            rate = (
                self.load
                * share
                * self.engines
                / generator.mean_cost(request_class)
            )
            warm_up_rate = rate * min(1.0, WARM_UP_LOAD / self.load)
            self._poisson(
                rng,
                generator,
                request_class,
                warm_up_rate,
                0.0,
                WARM_UP_SECONDS,
                requests,
            )
            self._poisson(
                rng,
                generator,
                request_class,
                rate,
                WARM_UP_SECONDS,
                self.seconds,
                requests,
            )
            for burst in self.bursts:
                if burst.request_class is request_class:
                    end = burst.start + burst.seconds
                    extra_rate = rate * (burst.rate_factor - 1.0)
                    self._poisson(
                        rng,
                        generator,
                        request_class,
                        extra_rate,
                        burst.start,
                        end,
                        requests,
                    )
        for backlog in self.backlogs:
            total = backlog.capacity_share * self.engines * self.seconds
            rate = (
                total
                / generator.mean_cost(backlog.request_class)
                / backlog.seconds
            )
            end = backlog.start + backlog.seconds
            self._poisson(
                rng,
                generator,
                backlog.request_class,
                rate,
                backlog.start,
                end,
                requests,
            )
        requests.sort(key=lambda item: item.arrives)
        for number, request in enumerate(requests):
            request.number = number
        return requests

    def _poisson(
        self, rng, generator, request_class, rate, start, end, requests
    ):
        if rate <= 0.0:
            return
        when = start + rng.expovariate(rate)
        while when < end:
            requests.append(generator.generate(request_class, when))
            when += rng.expovariate(rate)

    def capacity(self, when):
        """Return the engine seconds of work per second at a time."""
        total = float(self.engines)
        for fault in self.faults:
            if fault.start <= when < fault.until:
                total -= 1.0 - (
                    1.0 / fault.slowdown if fault.slowdown else 0.0
                )
        return total


def _bursts(name, rate_factor):
    bursts = [
        Burst(workload.LOOKUP, start, 5.0, rate_factor)
        for start in (30.0, 60.0, 90.0)
    ]
    return Scenario(name, 0.9, bursts=bursts)


def _overload(load):
    return Scenario(f"overload-{load}", load)


def _long_and_short():
    long_review = dataclasses.replace(
        workload.REVIEW, name="tome", prompt=6000, output=600
    )
    mix = {
        workload.LOOKUP: 0.25,
        workload.INTAKE: 0.15,
        workload.DRAFT: 0.25,
        long_review: 0.35,
    }
    return Scenario("long-and-short", 1.2, mix=mix)


def _too_many_slots():
    """Return a scenario whose engines accept too many streams.

    Nothing in the mix is refused or late for lack of capacity.  Targets are
    missed only because a step of a batch of 128 takes too long.
    """
    mix = {
        dataclasses.replace(request_class, between_tokens=0.035): share
        for request_class, share in DEFAULT_MIX.items()
    }
    parameters = engine_model.EngineParameters(slots=128, kv_tokens=400_000)
    return Scenario("too-many-slots", 1.3, mix=mix, parameters=parameters)


_ALL_SCENARIOS = [
    Scenario("steady", 0.6),
    _bursts("burst", 3.0),
    _bursts("hard-burst", 6.0),
    Scenario("large-organisations", 1.4, large_share=0.9),
    Scenario("slow-engine", 0.8, faults=[Fault(3, 30.0, 1e9, 4.0)]),
    _long_and_short(),
    Scenario(
        "crash-in-burst",
        0.8,
        bursts=[Burst(workload.LOOKUP, 40.0, 10.0, 4.0)],
        faults=[Fault(2, 43.0, 80.0, 0.0)],
    ),
    Scenario(
        "closing-backlog",
        0.35,
        mix={workload.LOOKUP: 0.7, workload.REPLY: 0.3},
        backlogs=[Backlog(workload.SUMMARY, 25.0, 15.0, 0.9)],
    ),
    _too_many_slots(),
    Scenario("prefixes", 1.2, prefix_count=20, prefix_share=0.7),
    _overload(0.7),
    _overload(1.0),
    _overload(1.3),
    _overload(2.0),
]

SCENARIOS = {item.name: item for item in _ALL_SCENARIOS}
