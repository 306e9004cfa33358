"""What nodes send one another and work for it, at several sizes.

The nodes are reducers joined by queues (:mod:`..members_costs`), which
encode and count every batch.  One run at each size, up to the size of two
years on itself, so that nothing there is extrapolated but HTTP's own
processor time, which the queues leave out; :mod:`.live` has that.
"""

import statistics

import msgspec

from .. import members_costs as costs

SIZES = {
    "9": costs.TODAY,
    "53": costs.MEDIUM,
    "80": costs.Mix(80, 10, 5, 375, 240, 4, 1_500.0, 0.5),
    "159": costs.Mix(159, 10, 5, 750, 480, 4, 3_000.0, 0.5),
    "530": costs.FULL,
}
# All nodes start at once and learn of everything; what they do after that
# is the steady state.
WARM_UP = 24.0
SECONDS = 5.0


class Flow(msgspec.Struct):
    """What a node of one kind does a second, at one size."""

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
    mix = SIZES[size]
    made, ordinary, relays = costs.steady(mix, WARM_UP, SECONDS, seed)
    now = made.net.now
    serving = [len(n.state.registry.serving(now)) for n in made.nodes]
    return [
        Flow(
            size,
            mix.nodes,
            mix.servers,
            mix.organisations,
            mix.requests,
            kind,
            spent.nodes,
            spent.bytes,
            spent.worst_bytes,
            spent.received_bytes,
            spent.batches,
            spent.messages,
            spent.busy_share,
            spent.by_kind,
            seed,
            min(serving),
            statistics.median(serving),
            serving.count(mix.servers),
        )
        for kind, spent in (("entry", ordinary), ("relay", relays))
        if spent is not None
    ]


class Worst(msgspec.Struct):
    """What an ordinary node sends at the worst of times, at one size.

    ``peak_bytes`` is the most in any second of any node that was not
    itself struck, ``mean_bytes`` the mean over ``seconds``.
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


def worst(size):
    """Return the three worst hours, measured one after the other."""
    made = costs.Deployment(SIZES[size])
    made.run(WARM_UP)
    made.reset()
    made.run(SECONDS)
    ordinary, _ = made.split()
    steady = made.spent(ordinary, SECONDS).bytes
    return [
        _domain_lost(made, size, steady),
        _regions_joined(made, size, steady),
        _rack_back(made, size, steady),
    ]


def _domain_lost(made, size, steady):
    struck = made.domain_nodes(0)
    servers = range(0, made.mix.servers, made.mix.domains)
    for node in struck:
        node.up = False
    made.silent.update(servers)
    others = [node for node in made.nodes if node.up]
    names = {node.name for node in struck}

    def settled():
        return all(_all_gone(node, names) for node in others)

    found = _watch(made, others, struck, settled)
    for node in struck:
        node.up = True
    made.silent.difference_update(servers)
    made.run(WARM_UP)
    return _result("a failure domain lost", size, made, struck, steady, found)


def _all_gone(node, names):
    return all(node.state.members.members[name].gone() for name in names)


def _regions_joined(made, size, steady):
    struck = [n for n in made.nodes if n.state.identity.region == "r0"]
    others = [n for n in made.nodes if n not in struck]
    one = [node.name for node in struck]
    other = [node.name for node in others]
    made.net.separate(one, other)
    made.run(2 * WARM_UP)
    made.net.heal()

    def settled():
        now = made.net.now
        return all(
            len(node.state.registry.serving(now)) == made.mix.servers
            for node in made.nodes
        )

    found = _watch(made, others, struck, settled)
    return _result("two sides joined again", size, made, struck, steady, found)


def _rack_back(made, size, steady):
    before = len(made.nodes)
    for index in range(before, before + max(2, before // 20)):
        made._add(index)
    made.nodes = list(made.net.nodes.values())
    struck = made.nodes[before:]
    others = made.nodes[:before]

    def settled():
        now = made.net.now
        return all(
            len(node.state.registry.serving(now)) == made.mix.servers
            for node in struck
        )

    found = _watch(made, others, struck, settled)
    return _result("a rack back at once", size, made, struck, steady, found)


WATCHED_SECONDS = 20


def _watch(made, others, struck, settled):
    """Return (mean, peak, received by the struck, settled after)."""
    ordinary = [node for node in others if not costs._is_relay(node)]
    total = peak = received = 0.0
    settled_s = float("inf")
    for second in range(1, WATCHED_SECONDS + 1):
        made.reset()
        made.run(1.0)
        sent = [node.cost.bytes for node in ordinary]
        total += sum(sent) / len(sent)
        peak = max(peak, *sent)
        received += sum(n.cost.received_bytes for n in struck) / len(struck)
        if settled_s == float("inf") and settled():
            settled_s = float(second)
    return total / WATCHED_SECONDS, peak, received, settled_s


def _result(name, size, made, struck, steady, found):
    mean, peak, received, settled_s = found
    return Worst(
        name,
        size,
        len(made.nodes),
        len(struck),
        WATCHED_SECONDS,
        steady,
        mean,
        peak,
        received,
        settled_s if settled_s != float("inf") else -1.0,
    )
