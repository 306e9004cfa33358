"""What a run is judged by, and the bound that it is held against."""

import collections
import dataclasses
import heapq

from . import scenarios

# Minimum shares are looked at over windows of this many seconds.
WINDOW = 15.0


@dataclasses.dataclass(slots=True)
class Measures:
    """The figures of one run; shares are between 0 and 1.

    ``attainment`` is by class, over all requests that were sent: one that
    was refused has not attained its target.  ``wait`` is the longest time
    to the first token by class.  ``jain`` is ``None`` where fewer than two
    organisations were backlogged; ``least_share`` is the smallest share of
    a class over its minimum, ``None`` where no class had to wait.
    """

    attainment: dict
    wait: dict
    goodput: float
    waste: float
    jain: float | None
    least_share: float | None
    outcomes: dict
    protected: float


def measure(simulation):
    """Return the measures of a finished run."""
    results = simulation.results
    bound = fluid_bound(simulation.scenario, results)
    end = simulation.scenario.seconds
    good = sum(_good_by(end, item) for item in results)
    made = sum(
        engine.generated + engine.recomputed for engine in simulation.engines
    )
    wasted = simulation.wasted + sum(
        engine.recomputed for engine in simulation.engines
    )
    judged = [
        item
        for item in results
        if item.request.arrives >= scenarios.WARM_SECONDS
    ]
    protected = [r for r in judged if r.request.shape.protected()]
    return Measures(
        _by_class(judged, _attainment),
        _by_class(judged, _longest_wait),
        good / bound,
        wasted / max(1, made),
        jain(judged),
        least_share(simulation),
        dict(collections.Counter(item.outcome for item in results)),
        _attainment(protected),
    )


def attained(result):
    """Tell whether a request was answered whole and within its targets."""
    if result.outcome != "complete":
        return False
    shape = result.request.shape
    arrives = result.request.arrives
    if shape.first_token and result.first - arrives > shape.first_token:
        return False
    if shape.between_tokens and _gap(result) > shape.between_tokens:
        return False
    return not (shape.total and result.ended - arrives > shape.total)


def _gap(result):
    """Return the mean time between two tokens, in seconds."""
    return (result.ended - result.first) / max(1, result.request.output - 1)


def _good_by(end, result):
    """Return the useful engine time given to a request by ``end``.

    Of one that still runs at ``end`` the part counts that is done, as it
    does in the bound.
    """
    if not attained(result):
        return 0.0
    if result.ended <= end:
        return result.request.cost
    done = (end - result.first) / (result.ended - result.first)
    return result.request.cost * max(0.0, done)


def _by_class(results, figure):
    grouped = collections.defaultdict(list)
    for item in results:
        grouped[item.request.shape.name].append(item)
    return {name: figure(items) for name, items in sorted(grouped.items())}


def _attainment(results):
    return sum(map(attained, results)) / max(1, len(results))


def _longest_wait(results):
    waits = [
        item.first - item.request.arrives for item in results if item.first
    ]
    return max(waits, default=0.0)


def fluid_bound(scenario, results):
    """Return the most engine time that can be put to good use in time.

    Counted is what is served while the scenario lasts.

    Work is taken for a fluid that the engines share without loss: always a
    full batch, every prefix held, every length known, parts of requests
    counting.  Whatever is due first is served first, which serves the most
    in total.  No real schedule reaches it.
    """
    bounds = [item.start for item in scenario.faults]
    bounds += [item.until for item in scenario.faults]
    requests = sorted((r.request for r in results), key=lambda r: r.arrives)
    last = scenario.seconds
    moments = sorted(
        {item.arrives for item in requests}
        | {item for item in bounds if item < last}
        | {last}
    )
    waiting = []
    total = 0.0
    position = 0
    for start, end in zip(moments, moments[1:], strict=False):
        while position < len(requests) and (
            requests[position].arrives <= start
        ):
            request = requests[position]
            entry = (request.due(), request.number, request.cost)
            heapq.heappush(waiting, entry)
            position += 1
        total += _serve(waiting, start, end, scenario.capacity(start))
    return total


def _serve(waiting, start, end, rate):
    """Serve the fluid from ``start`` to ``end``; return how much."""
    now = start
    served = 0.0
    while waiting and now < end and rate > 0.0:
        due, number, cost = heapq.heappop(waiting)
        until = min(due, end, now + cost / rate)
        if until <= now:
            continue
        part = (until - now) * rate
        served += part
        now = until
        if cost - part > 1e-9 and due > until:
            heapq.heappush(waiting, (due, number, cost - part))
    return served


def jain(results):
    """Return Jain's index over organisations, of the worst class.

    Only classes count of whose demand less than nine tenths was met.  The
    index is over what each organisation got, as a part of what is fair: the
    max-min share by weight of all that the class got (Jain, Chiu and Hawe,
    "A Quantitative Measure of Fairness", 1984).
    """
    indices = _by_class(results, _jain_of_class).values()
    return min((item for item in indices if item is not None), default=None)


def _jain_of_class(results):
    asked = collections.Counter()
    got = collections.Counter()
    weights = {}
    for item in results:
        caller = item.request.organisation
        weights[caller.name] = caller.weight
        asked[caller.name] += item.request.cost
        if attained(item):
            got[caller.name] += item.request.cost
    total = sum(got.values())
    if len(asked) < 2 or not total or total > 0.9 * sum(asked.values()):
        return None
    fair = max_min(asked, weights, total)
    parts = [got[name] / fair[name] for name in asked]
    return sum(parts) ** 2 / (len(parts) * sum(x * x for x in parts))


def max_min(asked, weights, total):
    """Return the max-min fair parts of ``total`` by weight.

    >>> max_min({"a": 1.0, "b": 9.0}, {"a": 1.0, "b": 1.0}, 4.0)
    {'a': 1.0, 'b': 3.0}
    """
    fair = {}
    left = total
    names = sorted(asked, key=lambda name: asked[name] / weights[name])
    weight = sum(weights.values())
    for name in names:
        fair[name] = min(asked[name], left * weights[name] / weight)
        left -= fair[name]
        weight -= weights[name]
    return fair


def least_share(simulation):
    """Return the least that a waiting class got, over its minimum share.

    Only windows count in which some work of the class had waited for long
    throughout, in an instance or in an engine's own queue.
    """
    shapes = {
        r.request.shape.name: r.request.shape for r in simulation.results
    }
    placed = collections.defaultdict(collections.Counter)
    for item in simulation.results:
        if item.first is not None:
            window = int(item.first / WINDOW)
            placed[window][item.request.shape.name] += item.request.cost
    waiting = collections.defaultdict(list)
    for when, waited in simulation.samples:
        waiting[int(when / WINDOW)].append(waited)
    least = None
    for window, samples in waiting.items():
        if len(samples) < int(WINDOW):
            continue
        total = sum(placed[window].values())
        for name, shape in shapes.items():
            throughout = all(name in waited for waited in samples)
            if not throughout or not shape.minimum_share or not total:
                continue
            share = placed[window][name] / total / shape.minimum_share
            least = share if least is None else min(least, share)
    return least
