"""A simulated network of nine instances, for tests of the usage ledger."""

from dandeliontrail.coordination import usage
from dandeliontrail import events
from dandeliontrail_lab import simulated_nodes

DAY = "2026-03-14"


def request_totals(output_tokens):
    return usage.Totals(
        1, 10 * output_tokens, output_tokens, output_tokens // 2
    )


def nine_instances(**options):
    network = simulated_nodes.Network(**options)
    for index in range(9):
        node = network.add(f"i{index}", f"fd{index // 3}")
        network.apply(node, events.DayBegan(DAY))
    network.run(5.0)
    return network


def requests_used(network, name):
    return network.nodes[name].state.usage.used_by("lab").requests


def start_instance(network, name, domain, incarnation):
    """Start an instance with a given incarnation."""
    node = network.add(name, domain)
    node.state.identity.incarnation = incarnation
    node.state.usage.rename_own(incarnation)
    node.state.members.note_own()
    network.apply(node, events.DayBegan(DAY))
    return node


def restart_instance(network, name, incarnation):
    """Stop an instance and start it again without any of its state."""
    network.nodes[name].up = False
    network.run(0.5)
    return start_instance(
        network, name, network.nodes[name].domain, incarnation
    )


def check_restarts(restarts):
    """Restart instances in turn.

    Checks that no count is lost and that at most one publisher per instance
    is left afterwards.
    """
    network = nine_instances()
    network.run(60.0)
    for count in range(restarts):
        name = f"i{count % 9}"
        network.nodes[name].state.usage.count(
            "lab", "lookup", request_totals(1)
        )
        network.run(1.2)
        restart_instance(network, name, 1 << 41 | count)
    network.run(80.0)
    assert [requests_used(network, name) for name in network.nodes] == [
        restarts
    ] * 9
    for node in network.nodes.values():
        ledger = node.state.usage
        assert ledger.late == 0
        assert all(
            len(ledger.publishers_of(name)) <= 1 for name in network.nodes
        )
