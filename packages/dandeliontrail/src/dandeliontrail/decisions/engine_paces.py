"""How fast engines prefill, relative to the typical engine of a service."""

from . import prefill_pace

# Bounds of the cost of a token relative to the typical engine.  An engine that
# does not answer has next to no pace, and its cost must stay comparable.
MIN_TOKEN_COST = 0.25
MAX_TOKEN_COST = 10.0
# The cost for a low-latency stream of an engine at half the typical pace, in
# prompt tokens: its gaps between events are longer, most of all beside a
# prompt that is prefilled.
SLOW_ENGINE_TOKENS = 4_000.0


class EnginePaces:
    """The paces of the engines ``names`` at one moment.

    ``pace(name)`` returns the tokens per second of an engine, 0 if unknown.
    ``bonus`` is the part of its cost that a token saves at the fastest engine.

    >>> paces = EnginePaces({"a": 40_000, "b": 80_000, "c": 40_000}.get, "abc")
    >>> paces.token_cost("b"), paces.bonus
    (0.5, 0.5)
    """

    __slots__ = ("typical", "bonus", "_paces", "_token_costs")

    def __init__(self, pace, names):
        self._paces = {name: pace(name) for name in names}
        known = [found for found in self._paces.values() if found > 0]
        self.typical = prefill_pace.median_pace(known)
        self._token_costs = {
            name: min(
                MAX_TOKEN_COST, max(MIN_TOKEN_COST, self.typical / found)
            )
            for name, found in self._paces.items()
            if found > 0
        }
        cheapest = min(self._token_costs.values(), default=1.0)
        self.bonus = max(0.0, 1.0 - cheapest)

    def of(self, name):
        """Return the pace of an engine; the typical one if it is unknown."""
        return self._paces.get(name) or self.typical

    def token_cost(self, name):
        """Return the time of a token relative to the typical engine."""
        return self._token_costs.get(name, 1.0)

    def slow_cost(self, name):
        """Return the cost in tokens of a slow engine for a quick stream."""
        return SLOW_ENGINE_TOKENS * max(0.0, self.token_cost(name) - 1.0)


# Where no paces are known all engines count as alike.
SAME = EnginePaces({}.get, ())
