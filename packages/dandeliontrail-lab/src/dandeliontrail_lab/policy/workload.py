"""Classes, organisations and requests of the bench."""

import dataclasses
import math

from . import engine_model

# The spread of lengths: with this sigma of a lognormal the longest in
# twenty is about three times the median, as in published traces.
LENGTH_SIGMA = 0.6
PREFIX_PART = 0.4


@dataclasses.dataclass(slots=True, frozen=True)
class ClassShape:
    """A request class and the requests that it gets.

    Times are in seconds, ``prompt`` and ``output`` medians in tokens.
    """

    name: str
    priority: int
    prompt: int
    output: int
    timeout: float
    first_token: float | None = None
    total: float | None = None
    between_tokens: float | None = None
    sheddable: bool = False
    repeatable: bool = True
    minimum_share: float = 0.0

    def protected(self):
        """Tell whether this is one of the classes that cannot wait."""
        return self.first_token is not None and not self.sheddable


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """A caller; ``demand`` is its part of the requests."""

    name: str
    demand: float
    weight: float = 1.0


@dataclasses.dataclass(slots=True)
class Request:
    """One request with its true output length, which no policy sees."""

    number: int
    arrives: float
    shape: ClassShape
    organisation: Organisation
    prompt: int
    output: int
    prefix: str
    prefix_tokens: int
    cost: float

    def due(self):
        """Return the latest end that can count as goodput."""
        return self.arrives + (self.shape.total or self.shape.timeout)


LOOKUP = ClassShape(
    "lookup", 0, 150, 40, 10.0, first_token=0.3, minimum_share=0.1
)
INTAKE = ClassShape(
    "intake",
    0,
    200,
    60,
    20.0,
    first_token=0.5,
    repeatable=False,
    minimum_share=0.1,
)
REPLY = ClassShape(
    "reply", 1, 400, 120, 60.0, total=20.0, repeatable=False, minimum_share=0.1
)
DRAFT = ClassShape(
    "draft", 2, 600, 180, 30.0, total=15.0, sheddable=True, minimum_share=0.05
)
REVIEW = ClassShape(
    "review", 3, 1200, 250, 1800.0, total=900.0, minimum_share=0.05
)
SUMMARY = ClassShape(
    "summary",
    3,
    800,
    200,
    1800.0,
    total=900.0,
    repeatable=False,
    minimum_share=0.05,
)


def organisations(large=3, small=7, part=0.6):
    """Return organisations of which the large ones send ``part``."""
    return [
        Organisation(f"large{number}", part / large) for number in range(large)
    ] + [
        Organisation(f"small{number}", (1.0 - part) / small)
        for number in range(small)
    ]


class Maker:
    """Draws requests."""

    def __init__(
        self, rng, callers, pace, prefixes=1, prefix_part=PREFIX_PART
    ):
        self._rng = rng
        self._pace = pace
        self._callers = callers
        self._demands = [item.demand for item in callers]
        self._prefixes = prefixes
        self._prefix_part = prefix_part
        self._number = 0

    def make(self, shape, arrives):
        """Return one request of a class."""
        self._number += 1
        (caller,) = self._rng.choices(self._callers, self._demands)
        held = int(shape.prompt * self._prefix_part)
        prompt = held + self._length(shape.prompt - held)
        output = self._length(shape.output)
        which = self._rng.randrange(self._prefixes)
        cost = engine_model.ideal_cost(self._pace, prompt, output, held)
        return Request(
            self._number,
            arrives,
            shape,
            caller,
            prompt,
            output,
            f"{caller.name}/{shape.name}/{which}",
            held,
            cost,
        )

    def _length(self, median):
        drawn = self._rng.lognormvariate(math.log(median), LENGTH_SIGMA)
        return max(4, int(drawn))

    def mean_cost(self, shape, samples=400):
        """Return the mean ideal cost of a class, in engine seconds."""
        total = sum(self.make(shape, 0.0).cost for _ in range(samples))
        return total / samples
