"""Linearizability of writes and reads of one object."""

import random

import hypothesis
from hypothesis import strategies as st
import msgspec

from dandeliontrail.coordination import quorum_log
from dandeliontrail.coordination import quorum_log_entries
from dandeliontrail.resources import changes
from dandeliontrail.resources import specs
from tests.common import linearizable
from tests.common import quorum_machine
from tests.common import quorum_world


def register_value(node):
    """Return the value and version of the register on a node."""
    found = node.store.get(specs.Kind.BACKEND_POOLS, "x")
    return (found.spec.select.model, found.version) if found else (None, 0)


class Clients:
    """Runs operations against a world and records their answers."""

    def __init__(self, world):
        self.world = world
        self.operations = []
        self.operation_count = 0
        self.unanswered = {}

    def write(self, name, if_match):
        """Write a new value through a node."""
        self.operation_count += 1
        number = self.operation_count
        change = quorum_machine.put(f"w{number}", "x", number, if_match)
        began = self.world.now

        self.unanswered[change.operation_id] = (began, number, if_match)

        def settled(found, now):
            if found.kind is quorum_log.SettledKind.APPLIED:
                del self.unanswered[change.operation_id]
                accepted = found.result.kind is changes.ResultKind.ACCEPTED
                self.operations.append(
                    linearizable.Operation(
                        began,
                        now,
                        found.version,
                        f"m{number}",
                        if_match,
                        accepted,
                    )
                )
            return []

        self.propose(name, change, settled)

    def read(self, name):
        """Make a linearizable read through a node."""
        self.operation_count += 1
        node = self.world.nodes[name]
        began = self.world.now

        def settled(found, now):
            # More entries than the read mark may have been applied by now, so
            # the read is placed just after the last of them.
            if found.kind is quorum_log.SettledKind.APPLIED:
                position = node.log.applied + 0.5
                self.operations.append(
                    linearizable.Operation(
                        began, now, position, saw=register_value(node)
                    )
                )
            return []

        self.propose(name, quorum_log_entries.ReadMark(), settled)

    def finish(self):
        """Add the unanswered writes that did take effect."""
        for operation_id, (began, number, if_match) in self.unanswered.items():
            position = self.world.applied_at.get(operation_id)
            if position is None:
                continue
            _, result = msgspec.json.decode(
                self.world.applied_by_version[position],
                type=tuple[changes.Change, changes.Result],
            )
            accepted = result.kind is changes.ResultKind.ACCEPTED
            self.operations.append(
                linearizable.Operation(
                    began,
                    float("inf"),
                    position,
                    f"m{number}",
                    if_match,
                    accepted,
                )
            )

    def propose(self, name, body, settled):
        out = self.world.nodes[name].log.propose(
            body, f"p{self.operation_count}", self.world.now, settled
        )
        self.world.run_effects(name, out)


@hypothesis.settings(max_examples=15)
@hypothesis.given(
    seed=st.integers(0, 2**32),
    loss=st.sampled_from([0.0, 0.2]),
    steps=st.lists(st.integers(0, 9), min_size=8, max_size=25),
)
def test_writes_and_fresh_reads_are_linearizable(seed, loss, steps):
    # Guards against stale reads: an operator writes through one instance, and
    # after the answer reads the old value through another instance that has
    # not received the write yet.
    rng = random.Random(seed)
    world = quorum_world.QuorumWorld(rng, spares=0)
    world.run_until(world.leader)
    world.loss = loss
    clients = Clients(world)
    for step in steps:
        name = rng.choice(sorted(world.nodes))
        if step < 3:
            clients.write(name, None)
        elif step < 5:
            clients.write(name, register_value(world.nodes[name])[1])
        elif step < 8:
            clients.read(name)
        elif step == 8:
            world.partition({rng.choice(world.names): 1})
        else:
            world.partition({})
        world.run(rng.choice([0.1, 0.1, 0.5, 2.0]))
    world.partition({})
    world.run(10.0)
    clients.finish()
    assert linearizable.find_violation(clients.operations) == ""


def test_checker_detects_a_stale_read():
    write = linearizable.Operation(0.0, 1.0, 5, wrote="new")
    stale = linearizable.Operation(2.0, 3.0, 4, saw=(None, 0))
    fresh = linearizable.Operation(2.0, 3.0, 6, saw=("new", 5))
    assert linearizable.find_violation([write, stale])
    assert not linearizable.find_violation([write, fresh])
