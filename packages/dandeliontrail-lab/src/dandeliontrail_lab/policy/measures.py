"""Measures of a finished run, and the upper bound of its goodput."""

import collections
import dataclasses
import heapq

from . import scenarios

# The length of the windows over which minimum shares are checked.
WINDOW_SECONDS = 15.0


@dataclasses.dataclass(slots=True)
class Measures:
    """The measures of one run; shares are between 0 and 1.

    ``attainment`` is the share of requests that met their targets, by class.
    It counts all requests that were sent: a refused request has missed its
    target.  ``wait`` is the longest time to the first token in seconds, by
    class.  ``goodput`` is the useful engine time as a share of
    :func:`fluid_bound`, ``waste`` the share of tokens that were generated in
    vain or computed again.  ``jain`` is Jain's fairness index, ``None`` unless
    two or more organisations were backlogged.  ``least_share`` is the smallest
    ratio of a class's share to its minimum share, ``None`` where no class had
    to wait.  ``protected`` is the attainment of the protected classes.
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
    """Return the measures of a finished simulation."""
    results = simulation.results
    bound = fluid_bound(simulation.scenario, results)
    end = simulation.scenario.seconds
    useful_seconds = sum(_useful_seconds(end, item) for item in results)
    computed_tokens = sum(
        engine.generated + engine.recomputed for engine in simulation.engines
    )
    wasted = simulation.wasted_tokens + sum(
        engine.recomputed for engine in simulation.engines
    )
    measured = [
        item
        for item in results
        if item.request.arrives >= scenarios.WARM_UP_SECONDS
    ]
    protected = [r for r in measured if r.request.request_class.protected()]
    return Measures(
        _by_class(measured, _attainment),
        _by_class(measured, _longest_wait),
        useful_seconds / bound,
        wasted / max(1, computed_tokens),
        jain(measured),
        least_share(simulation),
        dict(collections.Counter(item.outcome for item in results)),
        _attainment(protected),
    )


def meets_targets(result):
    """Return whether a request completed within all of its targets."""
    if result.outcome != "complete":
        return False
    request_class = result.request.request_class
    arrives = result.request.arrives
    if (
        request_class.first_token
        and result.first_token_at - arrives > request_class.first_token
    ):
        return False
    if (
        request_class.between_tokens
        and _mean_token_gap(result) > request_class.between_tokens
    ):
        return False
    return not (
        request_class.total and result.ended_at - arrives > request_class.total
    )


def _mean_token_gap(result):
    """Return the mean time between two tokens, in seconds."""
    return (result.ended_at - result.first_token_at) / max(
        1, result.request.output - 1
    )


def _useful_seconds(end, result):
    """Return the useful engine time spent on a request by ``end``.

    A request that is still running at ``end`` counts for the part that is
    done, as it does in the bound.
    """
    if not meets_targets(result):
        return 0.0
    if result.ended_at <= end:
        return result.request.cost
    done_share = (end - result.first_token_at) / (
        result.ended_at - result.first_token_at
    )
    return result.request.cost * max(0.0, done_share)


def _by_class(results, statistic):
    grouped = collections.defaultdict(list)
    for item in results:
        grouped[item.request.request_class.name].append(item)
    return {name: statistic(items) for name, items in sorted(grouped.items())}


def _attainment(results):
    return sum(map(meets_targets, results)) / max(1, len(results))


def _longest_wait(results):
    waits = [
        item.first_token_at - item.request.arrives
        for item in results
        if item.first_token_at
    ]
    return max(waits, default=0.0)


def fluid_bound(scenario, results):
    """Return an upper bound of the useful engine time, in seconds.

    Only work that is served before the end of the scenario counts.

    The bound treats work as a fluid that the engines share without loss:
    batches are always full, every prefix is cached, every output length is
    known and parts of requests count.  Work is served earliest deadline first,
    which maximises the total.  No real schedule reaches the bound.
    """
    fault_times = [item.start for item in scenario.faults]
    fault_times += [item.until for item in scenario.faults]
    requests = sorted((r.request for r in results), key=lambda r: r.arrives)
    end_of_scenario = scenario.seconds
    times = sorted(
        {item.arrives for item in requests}
        | {item for item in fault_times if item < end_of_scenario}
        | {end_of_scenario}
    )
    waiting = []
    total = 0.0
    position = 0
    for start, end in zip(times, times[1:], strict=False):
        while position < len(requests) and (
            requests[position].arrives <= start
        ):
            request = requests[position]
            entry = (request.deadline(), request.number, request.cost)
            heapq.heappush(waiting, entry)
            position += 1
        total += _serve(waiting, start, end, scenario.capacity(start))
    return total


def _serve(waiting, start, end, rate):
    """Serve the fluid from ``start`` to ``end``; return the work done."""
    now = start
    served = 0.0
    while waiting and now < end and rate > 0.0:
        deadline, number, cost = heapq.heappop(waiting)
        until = min(deadline, end, now + cost / rate)
        if until <= now:
            continue
        work = (until - now) * rate
        served += work
        now = until
        if cost - work > 1e-9 and deadline > until:
            heapq.heappush(waiting, (deadline, number, cost - work))
    return served


def jain(results):
    """Return Jain's fairness index over organisations, of the worst class.

    Only classes count in which less than nine tenths of the demand was met.
    The index is taken over the ratio of what each organisation was served to
    its fair share: the weighted max-min share of all that the class was served
    (Jain, Chiu and Hawe, "A Quantitative Measure of Fairness", 1984).
    """
    indices = _by_class(results, _jain_of_class).values()
    return min((item for item in indices if item is not None), default=None)


def _jain_of_class(results):
    demanded = collections.Counter()
    served = collections.Counter()
    weights = {}
    for item in results:
        organisation = item.request.organisation
        weights[organisation.name] = organisation.weight
        demanded[organisation.name] += item.request.cost
        if meets_targets(item):
            served[organisation.name] += item.request.cost
    total = sum(served.values())
    if len(demanded) < 2 or not total or total > 0.9 * sum(demanded.values()):
        return None
    fair_shares = max_min(demanded, weights, total)
    ratios = [served[name] / fair_shares[name] for name in demanded]
    return sum(ratios) ** 2 / (len(ratios) * sum(x * x for x in ratios))


def max_min(demanded, weights, total):
    """Return the weighted max-min fair shares of ``total``.

    >>> max_min({"a": 1.0, "b": 9.0}, {"a": 1.0, "b": 1.0}, 4.0)
    {'a': 1.0, 'b': 3.0}
    """
    shares = {}
    remaining = total
    names = sorted(demanded, key=lambda name: demanded[name] / weights[name])
    remaining_weight = sum(weights.values())
    for name in names:
        shares[name] = min(
            demanded[name], remaining * weights[name] / remaining_weight
        )
        remaining -= shares[name]
        remaining_weight -= weights[name]
    return shares


def least_share(simulation):
    """Return the smallest share of a backlogged class over its minimum.

    A window counts for a class only if in all of its samples some request of
    the class had waited for long, in an instance or in an engine's own queue.
    """
    classes = {
        r.request.request_class.name: r.request.request_class
        for r in simulation.results
    }
    served = collections.defaultdict(collections.Counter)
    for item in simulation.results:
        if item.first_token_at is not None:
            window = int(item.first_token_at / WINDOW_SECONDS)
            served[window][item.request.request_class.name] += (
                item.request.cost
            )
    samples_by_window = collections.defaultdict(list)
    for when, backlogged in simulation.backlog_samples:
        samples_by_window[int(when / WINDOW_SECONDS)].append(backlogged)
    smallest = None
    for window, samples in samples_by_window.items():
        if len(samples) < int(WINDOW_SECONDS):
            continue
        total = sum(served[window].values())
        for name, request_class in classes.items():
            throughout = all(name in backlogged for backlogged in samples)
            if not throughout or not request_class.minimum_share or not total:
                continue
            share = served[window][name] / total / request_class.minimum_share
            smallest = share if smallest is None else min(smallest, share)
    return smallest
