"""Whole configurations of a megabyte in the log, and slow links."""

import collections
import random

from dandeliontrail.resources import revisions
from dandeliontrail_node import packing
import msgspec
import pytest

from tests.common import quorum_world

MEGABYTE = 1024 * 1024


class SlowWorld(quorum_world.QuorumWorld):
    """Messages to some nodes take long, and bytes are counted by target."""

    def __init__(self, *args, **more):
        self.seconds = {}
        self.sent = collections.Counter()
        self.late = []
        super().__init__(*args, **more)

    def _send(self, name, effect):
        before = len(self.flying)
        super()._send(name, effect)
        for message in self.flying[before:]:
            self.sent[message[1]] += len(message[2])
            wait = self.seconds.get(message[1])
            if wait and len(message[2]) > MEGABYTE // 4:
                self.flying.remove(message)
                self.late.append((self.now + wait, message))

    def _deliver(self):
        self.flying += [item for due, item in self.late if due <= self.now]
        self.late = [item for item in self.late if item[0] > self.now]
        super()._deliver()


def revise(world, number, size=MEGABYTE):
    """Have the leader append a whole configuration of so many bytes."""
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
    made = SlowWorld(random.Random(3), keepers=3, learners=2, spares=0)
    made.run_until(lambda: made.leader() and made.nodes["l1"].log.ready)
    made.run(1.0)
    return made


def test_a_large_entry_on_its_way_is_not_sent_at_each_heartbeat(world):
    # A configuration of a megabyte takes 1.5 s to a keeper that is busy.
    # Sent again at each heartbeat, five copies a second queue up before it,
    # and the leader's memory fills.
    #
    # Sent to that keeper for one entry: 8.4 MB before, 3.2 MB after.
    leader = world.leader()
    slow = next(name for name in ("k1", "k2", "k3") if name != leader)
    world.seconds[slow] = 1.5
    world.sent.clear()
    revise(world, 1)
    world.run(4.0)
    applied = {node.log.applied for node in world.nodes.values()}
    assert len(applied) == 1
    assert world.sent[slow] < 4 * MEGABYTE


def test_whoever_is_far_behind_gets_the_last_configuration_alone(world):
    # Twelve changes come while a learner is cut off.  It has use for the
    # last one only, and all of them take ten times as long to arrive.
    #
    # Sent to it once it is back: 1.6 MB before, 0.13 MB after.
    leader = world.leader()
    world.partition({"l2": 1})
    for number in range(12):
        revise(world, number + 1, MEGABYTE // 8)
        world.run(0.3)
    world.sent.clear()
    world.partition({})
    world.run(3.0)
    assert world.nodes["l2"].log.applied == world.nodes[leader].log.applied
    assert world.sent["l2"] < MEGABYTE // 2


def test_unanswered_fetches_become_fewer(world):
    # A checkpoint takes longer than the time after which it is asked for
    # again.  Each further copy delays the first.
    #
    # In four seconds: four copies before, two after.
    world.seconds["l2"] = 5.0
    revise(world, 1)
    world.run(0.5)
    before = world.sent["l2"]
    world.run(4.0)
    copies = (world.sent["l2"] - before) / MEGABYTE
    assert copies < 3.0


def test_a_large_batch_is_small_on_the_wire():
    body = msgspec.json.encode(
        [{"path_prefix": f"/p{n}/"} for n in range(9999)]
    )
    packed, encoding = packing.pack(body)
    assert len(packed) * 4 < len(body)
    assert packing.unpack(packed, encoding) == body


def test_what_is_not_packed_as_it_says_is_refused():
    packed, encoding = packing.pack(b"x" * 100_000)
    with pytest.raises(packing.BadBatch):
        packing.unpack(packed[:-4], encoding)
    with pytest.raises(packing.BadBatch):
        packing.unpack(b"no such thing", encoding)
