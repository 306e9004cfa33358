"""Log entries of a megabyte (whole configurations) over slow links."""

import collections
import random

from dandeliontrail.resources import revisions
from dandeliontrail_node import packing
import msgspec
import pytest

from tests.common import quorum_world

MEGABYTE = 1024 * 1024


class SlowWorld(quorum_world.QuorumWorld):
    """Delays large messages to some nodes and counts bytes by target."""

    def __init__(self, *args, **options):
        self.delay_by_target = {}
        self.bytes_by_target = collections.Counter()
        self.delayed = []
        super().__init__(*args, **options)

    def _send(self, name, effect):
        before = len(self.in_flight)
        super()._send(name, effect)
        for message in self.in_flight[before:]:
            self.bytes_by_target[message[1]] += len(message[2])
            delay = self.delay_by_target.get(message[1])
            if delay and len(message[2]) > MEGABYTE // 4:
                self.in_flight.remove(message)
                self.delayed.append((self.now + delay, message))

    def _deliver(self):
        self.in_flight += [
            item for due, item in self.delayed if due <= self.now
        ]
        self.delayed = [item for item in self.delayed if item[0] > self.now]
        super()._deliver()


def append_revision(world, number, size=MEGABYTE):
    """Have the leader append a whole configuration of ``size`` bytes."""
    name = world.leader()
    revision = revisions.Revision(number, "x" * size, [], [])
    world.run_effects(
        name,
        world.nodes[name].log.propose(
            revision, f"revision-{number}", world.now, lambda found, now: []
        ),
    )


@pytest.fixture
def world():
    created = SlowWorld(random.Random(3), keepers=3, learners=2, spares=0)
    created.run_until(
        lambda: created.leader() and created.nodes["l1"].log.ready
    )
    created.run(1.0)
    return created


def test_a_large_entry_in_flight_is_not_resent_at_each_heartbeat(world):
    # A configuration of a megabyte takes 1.5 s to reach a busy keeper.  If it
    # is sent again at each heartbeat, five copies a second queue up for that
    # keeper and fill the leader's memory.
    #
    # Bytes sent to that keeper for one entry: 8.4 MB with resends at each
    # heartbeat, 3.2 MB without.
    leader = world.leader()
    slow = next(name for name in ("k1", "k2", "k3") if name != leader)
    world.delay_by_target[slow] = 1.5
    world.bytes_by_target.clear()
    append_revision(world, 1)
    world.run(4.0)
    applied = {node.log.applied for node in world.nodes.values()}
    assert len(applied) == 1
    assert world.bytes_by_target[slow] < 4 * MEGABYTE


def test_an_instance_far_behind_gets_only_the_last_configuration(world):
    # Twelve changes are committed while a learner is partitioned.  It needs
    # only the last one, and all of them take ten times as long to arrive.
    #
    # Bytes sent to it after the partition: 1.6 MB as entries, 0.13 MB as a
    # checkpoint.
    leader = world.leader()
    world.partition({"l2": 1})
    for number in range(12):
        append_revision(world, number + 1, MEGABYTE // 8)
        world.run(0.3)
    world.bytes_by_target.clear()
    world.partition({})
    world.run(3.0)
    assert world.nodes["l2"].log.applied == world.nodes[leader].log.applied
    assert world.bytes_by_target["l2"] < MEGABYTE // 2


def test_unanswered_fetches_back_off(world):
    # The transfer of a checkpoint takes longer than the fetch timeout, and
    # each further copy delays the first.
    #
    # Copies in four seconds: four with a fixed timeout, two with backoff.
    world.delay_by_target["l2"] = 5.0
    append_revision(world, 1)
    world.run(0.5)
    before = world.bytes_by_target["l2"]
    world.run(4.0)
    copies = (world.bytes_by_target["l2"] - before) / MEGABYTE
    assert copies < 3.0


def test_a_large_batch_is_small_on_the_wire():
    body = msgspec.json.encode(
        [{"path_prefix": f"/p{n}/"} for n in range(9999)]
    )
    packed, encoding = packing.pack(body)
    assert len(packed) * 4 < len(body)
    assert packing.unpack(packed, encoding) == body


def test_a_corrupt_batch_is_rejected():
    packed, encoding = packing.pack(b"x" * 100_000)
    with pytest.raises(packing.BadBatch):
        packing.unpack(packed[:-4], encoding)
    with pytest.raises(packing.BadBatch):
        packing.unpack(b"no such thing", encoding)
