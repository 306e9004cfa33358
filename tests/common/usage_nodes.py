"""Nine pure nodes that count usage, for tests of the ledger."""

from dandeliontrail.coordination import usage
from dandeliontrail import events
from dandeliontrail_lab import pure_nodes

DAY = "2026-03-14"


def totals(count):
    return usage.Totals(1, 10 * count, count, count // 2)


def nine(**options):
    made = pure_nodes.Network(**options)
    for index in range(9):
        node = made.add(f"i{index}", f"fd{index // 3}")
        made.apply(node, events.DayBegan(DAY))
    made.run(5.0)
    return made


def used(made, name):
    return made.nodes[name].state.usage.used_by("lab").requests


def start(made, name, domain, incarnation):
    """Start a node with a chosen incarnation."""
    node = made.add(name, domain)
    node.state.identity.incarnation = incarnation
    node.state.usage.rename_own(incarnation)
    node.state.members.note_own()
    made.apply(node, events.DayBegan(DAY))
    return node


def restart(made, name, incarnation):
    """Stop a node and start it again, with nothing but its name."""
    made.nodes[name].up = False
    made.run(0.5)
    return start(made, name, made.nodes[name].domain, incarnation)


def check_restarts(restarts):
    """Restart instances in turn; nothing is lost and one publisher left."""
    made = nine()
    made.run(60.0)
    for count in range(restarts):
        name = f"i{count % 9}"
        made.nodes[name].state.usage.count("lab", "lookup", totals(1))
        made.run(1.2)
        restart(made, name, 1 << 41 | count)
    made.run(80.0)
    assert [used(made, name) for name in made.nodes] == [restarts] * 9
    for node in made.nodes.values():
        held = node.state.usage
        assert held.late == 0
        assert all(len(held.publishers_of(name)) <= 1 for name in made.nodes)
