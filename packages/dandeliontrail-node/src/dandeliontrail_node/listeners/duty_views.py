"""Views of the calls to the platform, for operators."""

import msgspec

from dandeliontrail.components import duties_state
from dandeliontrail.coordination import server_counts


class ServerOrderView(msgspec.Struct):
    """Server counts of one service and kind in one failure domain.

    ``ordered`` is the count last ordered from the platform, ``serving`` how
    many servers are known to serve now, and ``needed`` how many are needed
    of both kinds (regular and spot) together.
    """

    name: str
    service: str
    failure_domain: str
    kind: str
    ordered: int
    serving: int
    needed: int


def server_orders(host):
    """Return a view of the last order for each group of servers."""
    now = host.clock.now()
    serving = server_counts.count(
        item.announcement for item in host.state.registry.serving(now)
    )
    ordered = host.state.duties.ordered
    return [
        _order_view(group, ordered.orders[group], serving[group])
        for group in sorted(ordered.orders)
    ]


def _order_view(group, order, serving):
    kind = "spot" if group.spot else "regular"
    return ServerOrderView(
        f"{group.service}.{group.failure_domain}.{kind}",
        group.service,
        group.failure_domain,
        kind,
        order.count,
        serving,
        order.needed,
    )


def gauges(state):
    """Return gauges about the platform duties, by metric name."""
    if not state.duties.options.any:
        return {}
    holding = state.orders.leases.holding(duties_state.SUBJECT)
    decided = state.duties.decided
    return {
        "duties_held": int(holding.holder == state.identity.instance),
        "duties_fencing": holding.fencing,
        "usage_windows_untaken": len(decided.counts),
        "usage_window_decided": -1 if decided.last is None else decided.last,
    }
