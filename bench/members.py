"""Measures membership, dissemination and usage costs.

Prints the tables of docs/design/membership.md.

    .venv/bin/python -m bench.members models
    .venv/bin/python -m bench.members pure 9
    .venv/bin/python -m bench.members pure 53
    .venv/bin/python -m bench.members pure 530
    .venv/bin/python -m bench.members slopes
    .venv/bin/python -m bench.members processes
"""

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import sys  # noqa: E402

from dandeliontrail_lab import gossip_models as models  # noqa: E402
from dandeliontrail_lab import members_costs as costs  # noqa: E402
from dandeliontrail_lab import members_processes  # noqa: E402

MIXES = {"9": costs.TODAY, "53": costs.MEDIUM, "530": costs.FULL}


def quantiles(values):
    """Return median, 99th percentile and maximum of ``values``, in ms."""
    values = sorted(values)
    if not values:
        return "none"
    positions = [len(values) // 2, int(len(values) * 0.99), len(values) - 1]
    return " / ".join(f"{values[index] * 1000:.0f}" for index in positions)


def print_models():
    """Print gossip and broadcast models: reference sizes, then ours."""
    rng = random.Random(1)
    print("gossip, 10,000 peers: known after each round")
    print("  ", models.gossip_rounds(10_000, rng))
    print("broadcast, 1,000 peers: K, reached, hops, mean, messages, ratio")
    for count in (1, 2, 3, 5, 10, 20):
        found = models.broadcast(models.random_links(1000, count, rng))
        ratio = found.messages / (found.reached - 1)
        print(
            f"  {count:3} {found.reached:5} {found.hops:3}"
            f" {found.mean_hops:6.3f} {found.messages:6} {ratio:6.3f}"
        )
    print("this system's sizes: peers, K, reached, hops, messages, notes")
    for peers in (9, 53, 530):
        for count in (2, 5, 8):
            links = models.random_links(peers, count, rng)
            flood = models.broadcast(links)
            _, notes = models.tree_broadcast(links)
            print(
                f"  {peers:4} {count} {flood.reached:4} {flood.hops}"
                f" {flood.messages:6} {notes:6}"
            )


def print_cost(label, cost):
    """Print the traffic and CPU share of one kind of node."""
    if cost is None:
        return
    print(
        f"{label}: {cost.nodes} nodes, sent {cost.bytes:.0f} B/s"
        f" (worst {cost.worst_bytes:.0f}), received"
        f" {cost.received_bytes:.0f} B/s, {cost.batches:.1f} requests/s,"
        f" {cost.messages:.1f} messages/s, {cost.busy_share * 100:.2f}% of"
        " a core"
    )
    for kind, size in cost.by_kind.items():
        print(f"    {kind} {size:.0f} B/s")


def print_pure(name):
    """Print costs and convergence times at one system size."""
    simulation, ordinary, relays = costs.steady(MIXES[name])
    print_cost("ordinary", ordinary)
    print_cost("relays", relays)
    now = simulation.net.now
    serving = [
        len(node.state.registry.serving(now)) for node in simulation.nodes
    ]
    print(
        f"serving at the worst node: {min(serving)}"
        f" of {simulation.workload.servers}"
    )
    print("ms, median / 99th / worst over all nodes:")
    print(
        "  join",
        quantiles(costs.join_seconds(simulation, simulation.workload.servers)),
    )
    leaves = []
    for index in range(5):
        leaves.extend(costs.leave_seconds(simulation, index))
    print("  leave", quantiles(leaves))
    print("  silent", quantiles(costs.silence_seconds(simulation, 6)))
    print(
        "  failed instance",
        quantiles(costs.failure_detection_seconds(simulation, 1)),
    )
    print(f"peak memory of the process: {costs.peak_memory_mb():.0f} MB")


def print_slopes():
    """Print the marginal cost of each item, for ordinary nodes and relays."""
    for row in costs.slopes():
        print(
            f"{row.role:9} one of {row.of:13} {row.bytes:9.3f} B/s"
            f" {row.messages:9.5f} messages/s"
            f" {row.busy_share * 1e6:9.2f} us of processor a second"
        )
    for row in costs.memory_slopes():
        print(f"one {row.of}: {row.bytes:.0f} bytes of memory")


def print_processes():
    """Print convergence times and costs of nine real processes."""
    found = members_processes.measure()
    print(f"leave {quantiles(found.leaves)} ms")
    print(f"join {quantiles(found.joins)} ms")
    print(
        f"sent {found.bytes:.0f} B/s, {found.batches:.1f} requests/s,"
        f" {found.messages:.1f} messages/s,"
        f" {found.busy_share * 100:.2f}% of a core, each instance,"
        f" {found.memory_mb:.0f} MB"
    )


if __name__ == "__main__":
    command, *rest = sys.argv[1:]
    {
        "models": print_models,
        "pure": print_pure,
        "slopes": print_slopes,
        "processes": print_processes,
    }[command](*rest)
