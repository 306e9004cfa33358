"""A checkpoint of the log is installed whole or not at all."""

from dandeliontrail.components import orders_state
from dandeliontrail.coordination import instance_counts
from dandeliontrail.coordination import quorum_log_entries as entries
from dandeliontrail.coordination import quorum_log_machine as machine_module
from dandeliontrail.coordination import server_counts
from dandeliontrail.coordination import usage_windows
import msgspec
import pytest

COUNT = instance_counts.InstanceCount
DECISION = usage_windows.WindowDecision
ORDER = server_counts.CountOrder
GROUP = server_counts.Group("llm", "fd1", False)


class Replica:
    """A state machine with three tables."""

    def __init__(self):
        self.machine = machine_module.StateMachine()
        tables = {
            DECISION: usage_windows.DecidedWindows(),
            COUNT: instance_counts.InstanceCounts(),
            ORDER: server_counts.OrderedCounts(),
        }
        for kind, table in tables.items():
            applier = orders_state.TableApplier(table, int)
            self.machine.register(kind, applier)

    def apply(self, index, body):
        return self.machine.apply(entries.LogEntry(index, 1, "", body))

    def state(self):
        return msgspec.json.encode(self.machine.parts())

    def checkpoint(self):
        return machine_module.Checkpoint(
            "log", [], self.machine.applied, 1, [], self.machine.parts()
        )


def tag_of(kind):
    return kind.__struct_config__.tag


def with_part(checkpoint, kind, state):
    """Return a checkpoint in which the state of ``kind`` is another."""
    part = machine_module.Part(msgspec.Raw(state), [])
    parts = {**checkpoint.parts, tag_of(kind): part}
    return msgspec.structs.replace(checkpoint, parts=parts)


@pytest.mark.parametrize(
    "kind, state",
    [
        (COUNT, b'"many"'),
        (DECISION, b'{"last": 9, "taken": 9, "counts": {"x": {}}}'),
        (DECISION, b'{"last": 9}'),
        (ORDER, b'[["x", 1]]'),
    ],
)
def test_a_part_that_cannot_be_read_changes_nothing(kind, state):
    orders = [ORDER(GROUP, count, 3) for count in (1, 2)]
    ahead = Replica()
    replica = Replica()
    for each in (ahead, replica):
        each.apply(1, DECISION(7, {"lab": 2}, 6))
        each.apply(2, orders[0])
    before = replica.state()
    ahead.apply(3, DECISION(8, {"lab": 3}, 6))
    ahead.apply(4, orders[1])
    whole = ahead.checkpoint()
    with pytest.raises((msgspec.ValidationError, KeyError, ValueError)):
        replica.machine.load(with_part(whole, kind, state))
    assert replica.state() == before
    assert replica.machine.applied == 2
    replica.machine.load(whole)
    assert replica.state() == ahead.state()
