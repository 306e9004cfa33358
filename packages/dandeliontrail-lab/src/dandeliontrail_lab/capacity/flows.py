"""What nodes send one another and work for it, at several sizes.

The nodes are reducers joined by queues (:mod:`..members_costs`), which
encode and count every batch.  One run at each size, up to the size of two
years on itself, so that nothing there is extrapolated but HTTP's own
processor time, which the queues leave out; :mod:`.live` has that.
"""

import msgspec

from .. import members_costs as costs

SIZES = {
    "9": costs.TODAY,
    "53": costs.MEDIUM,
    "159": costs.Mix(159, 10, 5, 750, 480, 4, 3_000.0, 0.5),
    "530": costs.FULL,
}
WARM_UP = 10.0
SECONDS = 6.0
RELAYS_IN_A_DOMAIN = 2


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


def measure(size, seed=0):
    """Return the flows of ordinary nodes and of relays at one size."""
    mix = SIZES[size]
    made, ordinary, relays = costs.steady(mix, WARM_UP, SECONDS, seed)
    now = made.net.now
    serving = min(len(n.state.registry.serving(now)) for n in made.nodes)
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
            serving,
        )
        for kind, spent in (("entry", ordinary), ("relay", relays))
        if spent is not None
    ]
