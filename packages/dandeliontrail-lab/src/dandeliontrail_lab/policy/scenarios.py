"""What the bench offers, and what goes wrong meanwhile."""

import dataclasses
import random

from . import engine_model
from . import workload

ENGINES = 10
SECONDS = 120.0

# Every run begins with so many seconds of an ordinary load, so that engines
# have work and caches when the scenario sets in; requests of this time count
# for goodput, on both sides of the ratio, but not for attainment.
WARM_SECONDS = 20.0
WARM_LOAD = 0.6

# The parts of the demand by class; lookup and intake are 30 in 100, so that
# at twice the capacity the protected classes alone need 60 of it.
MIXED = {
    workload.LOOKUP: 0.18,
    workload.INTAKE: 0.12,
    workload.REPLY: 0.15,
    workload.DRAFT: 0.30,
    workload.REVIEW: 0.25,
}


@dataclasses.dataclass(slots=True)
class Burst:
    """A class that comes at ``times`` its usual rate for a while."""

    shape: workload.ClassShape
    start: float
    seconds: float
    times: float


@dataclasses.dataclass(slots=True)
class Backlog:
    """Work worth ``part`` of the whole capacity, sent within seconds."""

    shape: workload.ClassShape
    start: float
    seconds: float
    part: float


@dataclasses.dataclass(slots=True)
class Fault:
    """Engine number ``engine`` gets slower or, at ``slow`` 0, crashes."""

    engine: int
    start: float
    until: float
    slow: float


@dataclasses.dataclass(slots=True)
class Scenario:
    """Demand as a share of capacity, and the events."""

    name: str
    load: float
    mix: dict = dataclasses.field(default_factory=lambda: dict(MIXED))
    bursts: list = dataclasses.field(default_factory=list)
    backlogs: list = dataclasses.field(default_factory=list)
    faults: list = dataclasses.field(default_factory=list)
    large_part: float = 0.6
    prefixes: int = 1
    prefix_part: float = workload.PREFIX_PART
    seconds: float = SECONDS
    engines: int = ENGINES
    pace: engine_model.Pace = dataclasses.field(
        default_factory=engine_model.Pace
    )

    def requests(self, seed):
        """Return all requests in the order of their arrival."""
        rng = random.Random(seed)
        callers = workload.organisations(part=self.large_part)
        maker = workload.Maker(
            rng, callers, self.pace, self.prefixes, self.prefix_part
        )
        made = []
        for shape, part in self.mix.items():
            rate = self.load * part * self.engines / maker.mean_cost(shape)
            warm = rate * min(1.0, WARM_LOAD / self.load)
            self._poisson(rng, maker, shape, warm, 0.0, WARM_SECONDS, made)
            self._poisson(
                rng, maker, shape, rate, WARM_SECONDS, self.seconds, made
            )
            for burst in self.bursts:
                if burst.shape is shape:
                    end = burst.start + burst.seconds
                    extra = rate * (burst.times - 1.0)
                    self._poisson(
                        rng, maker, shape, extra, burst.start, end, made
                    )
        for backlog in self.backlogs:
            total = backlog.part * self.engines * self.seconds
            rate = total / maker.mean_cost(backlog.shape) / backlog.seconds
            end = backlog.start + backlog.seconds
            self._poisson(
                rng, maker, backlog.shape, rate, backlog.start, end, made
            )
        made.sort(key=lambda item: item.arrives)
        for number, request in enumerate(made):
            request.number = number
        return made

    def _poisson(self, rng, maker, shape, rate, start, end, made):
        if rate <= 0.0:
            return
        when = start + rng.expovariate(rate)
        while when < end:
            made.append(maker.make(shape, when))
            when += rng.expovariate(rate)

    def capacity(self, when):
        """Return the engines' work per second at a moment."""
        total = float(self.engines)
        for fault in self.faults:
            if fault.start <= when < fault.until:
                total -= 1.0 - (1.0 / fault.slow if fault.slow else 0.0)
        return total


def _bursts(name, times):
    bursts = [
        Burst(workload.LOOKUP, start, 5.0, times)
        for start in (30.0, 60.0, 90.0)
    ]
    return Scenario(name, 0.9, bursts=bursts)


def _overload(load):
    return Scenario(f"overload-{load}", load)


def _long_and_short():
    tome = dataclasses.replace(
        workload.REVIEW, name="tome", prompt=6000, output=600
    )
    mix = {
        workload.LOOKUP: 0.25,
        workload.INTAKE: 0.15,
        workload.DRAFT: 0.25,
        tome: 0.35,
    }
    return Scenario("long-and-short", 1.2, mix=mix)


def _too_many_slots():
    """Return engines that accept more than they can run in time.

    Nothing of the mix is refused or late for lack of capacity: what is
    missed is missed because a batch of 128 takes too long a step.
    """
    mix = {
        dataclasses.replace(shape, between_tokens=0.035): part
        for shape, part in MIXED.items()
    }
    pace = engine_model.Pace(slots=128, kv_tokens=400_000)
    return Scenario("too-many-slots", 1.3, mix=mix, pace=pace)


_ALL = [
    Scenario("steady", 0.6),
    _bursts("burst", 3.0),
    _bursts("hard-burst", 6.0),
    Scenario("large-organisations", 1.4, large_part=0.9),
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
    Scenario("prefixes", 1.2, prefixes=20, prefix_part=0.7),
    _overload(0.7),
    _overload(1.0),
    _overload(1.3),
    _overload(2.0),
]

SCENARIOS = {item.name: item for item in _ALL}
