"""Linear fits of measurements, with the quality of the fit."""

import statistics
import sys
import typing

import msgspec


class Fit(msgspec.Struct):
    """A linear fit: ``start + slope * size``.

    ``spread`` is the range of the slopes of the single repeats as a share of
    the slope.  ``residual`` is the root mean square distance of the medians
    from the line as a share of the median at the largest size.
    """

    name: str
    what: str
    per: str
    unit: str
    command: str
    sizes: list[int]
    medians: list[float]
    start: float
    slope: float
    spread: float
    residual: float
    repeats: int

    def at(self, size):
        """Return the value of the fit at ``size``."""
        return self.start + self.slope * size


class Probe(msgspec.Struct):
    """A quantity to measure at several sizes.

    ``measure(size)`` returns one number in ``unit``.  It is called ``repeats``
    times per size, in rounds over all sizes, so that other load on the machine
    affects all sizes alike.
    """

    name: str
    what: str
    per: str
    unit: str
    sizes: list[int]
    measure: typing.Callable
    repeats: int = 3


def run(probe, command):
    """Measure a probe and return its :class:`Fit`."""
    print(f"  {probe.name}", file=sys.stderr, flush=True)
    rounds = [
        [probe.measure(size) for size in probe.sizes]
        for _ in range(probe.repeats)
    ]
    return fit(probe, rounds, command)


def fit(probe, rounds, command):
    """Return the linear fit of the medians of ``rounds``."""
    medians = [statistics.median(values) for values in zip(*rounds)]
    line = statistics.linear_regression(probe.sizes, medians)
    slopes = [
        statistics.linear_regression(probe.sizes, values).slope
        for values in rounds
    ]
    distances = [
        value - line.intercept - line.slope * size
        for size, value in zip(probe.sizes, medians)
    ]
    rms = (sum(value**2 for value in distances) / len(distances)) ** 0.5
    return Fit(
        probe.name,
        probe.what,
        probe.per,
        probe.unit,
        command,
        list(probe.sizes),
        medians,
        line.intercept,
        line.slope,
        _ratio(max(slopes) - min(slopes), line.slope),
        _ratio(rms, medians[-1]),
        probe.repeats,
    )


def _ratio(part, whole):
    return abs(part / whole) if whole else 0.0
