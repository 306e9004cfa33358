"""Request classes, organisations and requests of the policy bench."""

import dataclasses
import math

from . import engine_model

# Lengths are lognormal.  With this sigma, one length in twenty is more than
# about three times the median, as in published traces.
LENGTH_SIGMA = 0.6
PREFIX_SHARE = 0.4


@dataclasses.dataclass(slots=True, frozen=True)
class RequestClass:
    """A request class and the distribution of its requests.

    Times are in seconds; ``prompt`` and ``output`` are medians in tokens.
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
        """Return whether the class is latency-sensitive and not sheddable."""
        return self.first_token is not None and not self.sheddable


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """A caller; ``demand_share`` is its share of all requests."""

    name: str
    demand_share: float
    weight: float = 1.0


@dataclasses.dataclass(slots=True)
class Request:
    """One request; policies do not see its true output length."""

    number: int
    arrives: float
    request_class: RequestClass
    organisation: Organisation
    prompt: int
    output: int
    prefix: str
    prefix_tokens: int
    cost: float

    def deadline(self):
        """Return the latest completion time that can count as goodput."""
        return self.arrives + (
            self.request_class.total or self.request_class.timeout
        )


LOOKUP = RequestClass(
    "lookup", 0, 150, 40, 10.0, first_token=0.3, minimum_share=0.1
)
INTAKE = RequestClass(
    "intake",
    0,
    200,
    60,
    20.0,
    first_token=0.5,
    repeatable=False,
    minimum_share=0.1,
)
REPLY = RequestClass(
    "reply", 1, 400, 120, 60.0, total=20.0, repeatable=False, minimum_share=0.1
)
DRAFT = RequestClass(
    "draft", 2, 600, 180, 30.0, total=15.0, sheddable=True, minimum_share=0.05
)
REVIEW = RequestClass(
    "review", 3, 1200, 250, 1800.0, total=900.0, minimum_share=0.05
)
SUMMARY = RequestClass(
    "summary",
    3,
    800,
    200,
    1800.0,
    total=900.0,
    repeatable=False,
    minimum_share=0.05,
)


def organisations(large=3, small=7, large_share=0.6):
    """Return organisations; the large ones send ``large_share``."""
    return [
        Organisation(f"large{number}", large_share / large)
        for number in range(large)
    ] + [
        Organisation(f"small{number}", (1.0 - large_share) / small)
        for number in range(small)
    ]


class RequestGenerator:
    """Draws random requests."""

    def __init__(
        self,
        rng,
        callers,
        parameters,
        prefix_count=1,
        prefix_share=PREFIX_SHARE,
    ):
        self._rng = rng
        self._parameters = parameters
        self._organisations = callers
        self._demand_shares = [item.demand_share for item in callers]
        self._prefix_count = prefix_count
        self._prefix_share = prefix_share
        self._number = 0

    def generate(self, request_class, arrives):
        """Return one request of a class."""
        self._number += 1
        (organisation,) = self._rng.choices(
            self._organisations, self._demand_shares
        )
        prefix_tokens = int(request_class.prompt * self._prefix_share)
        prompt = prefix_tokens + self._length(
            request_class.prompt - prefix_tokens
        )
        output = self._length(request_class.output)
        prefix_number = self._rng.randrange(self._prefix_count)
        cost = engine_model.ideal_cost(
            self._parameters, prompt, output, prefix_tokens
        )
        return Request(
            self._number,
            arrives,
            request_class,
            organisation,
            prompt,
            output,
            f"{organisation.name}/{request_class.name}/{prefix_number}",
            prefix_tokens,
            cost,
        )

    def _length(self, median):
        length = self._rng.lognormvariate(math.log(median), LENGTH_SIGMA)
        return max(4, int(length))

    def mean_cost(self, request_class, samples=400):
        """Return the mean ideal cost of a class, in seconds of one engine."""
        total = sum(
            self.generate(request_class, 0.0).cost for _ in range(samples)
        )
        return total / samples
