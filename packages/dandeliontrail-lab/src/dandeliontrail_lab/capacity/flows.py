"""Bytes sent between nodes, and the processor time for them, by size.

The nodes are reducers connected by queues (:mod:`..members_costs`), which
encode every batch and count its bytes.  There is one run per size, up to the
size that is expected in two years, so nothing is extrapolated except the
processor time of HTTP, which the queues leave out; :mod:`.live` measures that.
"""

import statistics

import msgspec

from .. import members_costs as costs

SIZES = {
    "9": costs.TODAY,
    "53": costs.MEDIUM,
    "80": costs.Workload(80, 10, 5, 375, 240, 4, 1_500.0, 0.5),
    "159": costs.Workload(159, 10, 5, 750, 480, 4, 3_000.0, 0.5),
    "530": costs.FULL,
}
# All nodes start at once and discover each other and all servers; the steady
# state begins after that.
WARM_UP_SECONDS = 24.0
MEASURED_SECONDS = 5.0


class Flow(msgspec.Struct):
    """Rates per second of a node of one role, at one size."""

    size: str
    nodes: int
    servers: int
    organisations: int
    requests: float
    kind: str
    count: int
    sent_bytes: float
    worst_sent_bytes: float
    received_bytes: float
    batches: float
    messages: float
    busy_share: float
    by_kind: dict[str, float]
    seed: int
    serving_at_worst: int
    serving_median: float = 0.0
    nodes_with_all: int = 0


def measure(size, seed=0):
    """Return the flows of ordinary nodes and of relays at one size."""
    workload = SIZES[size]
    deployment, ordinary, relays = costs.steady(
        workload, WARM_UP_SECONDS, MEASURED_SECONDS, seed
    )
    now = deployment.net.now
    serving = [len(n.state.registry.serving(now)) for n in deployment.nodes]
    return [
        Flow(
            size,
            workload.nodes,
            workload.servers,
            workload.organisations,
            workload.requests,
            kind,
            rates.nodes,
            rates.bytes,
            rates.worst_bytes,
            rates.received_bytes,
            rates.batches,
            rates.messages,
            rates.busy_share,
            rates.by_kind,
            seed,
            min(serving),
            statistics.median(serving),
            serving.count(workload.servers),
        )
        for kind, rates in (("entry", ordinary), ("relay", relays))
        if rates is not None
    ]


class WorstCase(msgspec.Struct):
    """What an ordinary node sends during one worst case, at one size.

    ``steady_bytes`` is the rate before the event.  ``mean_bytes`` is the mean
    rate over ``seconds`` and ``peak_bytes`` the most that any node sent in any
    one second, both among the nodes that were not themselves struck.
    ``settled_s`` is -1 if the deployment did not settle within ``seconds``.
    """

    name: str
    size: str
    nodes: int
    struck: int
    seconds: float
    steady_bytes: float
    mean_bytes: float
    peak_bytes: float
    received_by_struck: float
    settled_s: float


def measure_worst_cases(size):
    """Return the three worst cases, measured one after the other."""
    deployment = costs.Deployment(SIZES[size])
    deployment.run(WARM_UP_SECONDS)
    deployment.reset()
    deployment.run(MEASURED_SECONDS)
    ordinary, _ = deployment.split()
    steady = deployment.resource_rates(ordinary, MEASURED_SECONDS).bytes
    return [
        _measure_domain_loss(deployment, size, steady),
        _measure_region_rejoin(deployment, size, steady),
        _measure_rack_return(deployment, size, steady),
    ]


def _measure_domain_loss(deployment, size, steady):
    struck = deployment.domain_nodes(0)
    servers = range(
        0, deployment.workload.servers, deployment.workload.domains
    )
    for node in struck:
        node.up = False
    deployment.silent.update(servers)
    others = [node for node in deployment.nodes if node.up]
    names = {node.name for node in struck}

    def settled():
        return all(_all_failed(node, names) for node in others)

    recovery = _measure_recovery(deployment, others, struck, settled)
    for node in struck:
        node.up = True
    deployment.silent.difference_update(servers)
    deployment.run(WARM_UP_SECONDS)
    return _worst_case(
        "a failure domain lost", size, deployment, struck, steady, recovery
    )


def _all_failed(node, names):
    return all(node.state.members.members[name].gone() for name in names)


def _measure_region_rejoin(deployment, size, steady):
    struck = [n for n in deployment.nodes if n.state.identity.region == "r0"]
    others = [n for n in deployment.nodes if n not in struck]
    struck_names = [node.name for node in struck]
    other_names = [node.name for node in others]
    deployment.net.partition(struck_names, other_names)
    deployment.run(2 * WARM_UP_SECONDS)
    deployment.net.heal()

    def settled():
        now = deployment.net.now
        return all(
            len(node.state.registry.serving(now))
            == deployment.workload.servers
            for node in deployment.nodes
        )

    recovery = _measure_recovery(deployment, others, struck, settled)
    return _worst_case(
        "two sides joined again", size, deployment, struck, steady, recovery
    )


def _measure_rack_return(deployment, size, steady):
    old_count = len(deployment.nodes)
    for index in range(old_count, old_count + max(2, old_count // 20)):
        deployment.add_node(index)
    deployment.nodes = list(deployment.net.nodes.values())
    struck = deployment.nodes[old_count:]
    others = deployment.nodes[:old_count]

    def settled():
        now = deployment.net.now
        return all(
            len(node.state.registry.serving(now))
            == deployment.workload.servers
            for node in struck
        )

    recovery = _measure_recovery(deployment, others, struck, settled)
    return _worst_case(
        "a rack back at once", size, deployment, struck, steady, recovery
    )


WATCHED_SECONDS = 20


def _measure_recovery(deployment, others, struck, settled):
    """Measure the recovery, second by second.

    Returns the mean and the peak of the bytes that the others sent per second,
    the bytes received per struck node, and the seconds until ``settled()``.
    """
    ordinary = [node for node in others if not costs.is_relay(node)]
    total_sent = peak = received = 0.0
    settled_s = float("inf")
    for second in range(1, WATCHED_SECONDS + 1):
        deployment.reset()
        deployment.run(1.0)
        sent = [node.cost.bytes for node in ordinary]
        total_sent += sum(sent) / len(sent)
        peak = max(peak, *sent)
        received += sum(n.cost.received_bytes for n in struck) / len(struck)
        if settled_s == float("inf") and settled():
            settled_s = float(second)
    return total_sent / WATCHED_SECONDS, peak, received, settled_s


def _worst_case(name, size, deployment, struck, steady, recovery):
    mean, peak, received, settled_s = recovery
    return WorstCase(
        name,
        size,
        len(deployment.nodes),
        len(struck),
        WATCHED_SECONDS,
        steady,
        mean,
        peak,
        received,
        settled_s if settled_s != float("inf") else -1.0,
    )
