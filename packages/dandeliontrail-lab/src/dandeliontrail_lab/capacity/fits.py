"""Straight lines through measurements, with how well they fit."""

import statistics
import sys
import typing

import msgspec


class Fit(msgspec.Struct):
    """One line: ``start + slope * size``.

    ``spread`` is the range of the slopes of the single repeats and
    ``residual`` the root mean square distance of the medians from the line,
    both as a share of what they are compared with (the slope, and the
    median at the largest size).
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
        """Return the value of the line at ``size``."""
        return self.start + self.slope * size


class Probe(msgspec.Struct):
    """One thing to measure at several sizes.

    ``measure(size)`` returns one number in ``unit``; it is called
    ``repeats`` times for each size, in turns over the sizes, so that what
    else the machine does meanwhile falls on all sizes alike.
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
    """Return the line through the medians of ``rounds``."""
    medians = [statistics.median(values) for values in zip(*rounds)]
    line = statistics.linear_regression(probe.sizes, medians)
    slopes = [
        statistics.linear_regression(probe.sizes, values).slope
        for values in rounds
    ]
    off = [
        value - line.intercept - line.slope * size
        for size, value in zip(probe.sizes, medians)
    ]
    rms = (sum(value**2 for value in off) / len(off)) ** 0.5
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
        _share(max(slopes) - min(slopes), line.slope),
        _share(rms, medians[-1]),
        probe.repeats,
    )


def _share(part, whole):
    return abs(part / whole) if whole else 0.0
