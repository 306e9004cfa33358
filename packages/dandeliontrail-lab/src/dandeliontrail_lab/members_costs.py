"""What membership, dissemination and usage cost, measured on pure nodes.

Each function builds a network of reducers, lets backend servers announce
themselves and organisations use tokens at a given mix, and returns what a
node spent a second.  bench/members.py prints the tables and the capacity
page takes its slopes from :func:`slopes`.
"""

import collections
import dataclasses
import random
import resource

from dandeliontrail.coordination import usage
from dandeliontrail import events
from dandeliontrail.resources import announcements

from . import pure_nodes

DAY = "2026-03-14"


@dataclasses.dataclass(slots=True)
class Mix:
    """A deployment and what happens in it each second.

    Few organisations are busy: they are drawn with a weight of one over
    their rank, so that of 100 the first makes a fifth of all requests.
    """

    nodes: int = 9
    domains: int = 3
    regions: int = 1
    servers: int = 13
    organisations: int = 10
    classes: int = 4
    requests: float = 20.0
    changes: float = 0.05


@dataclasses.dataclass(slots=True)
class Spent:
    """What the nodes of one kind sent and worked a second.

    ``bytes`` is the mean, ``worst_bytes`` that of the node with most;
    ``by_kind`` has the bytes of each message type without HTTP and
    envelopes.
    """

    nodes: int
    bytes: float
    worst_bytes: float
    received_bytes: float
    batches: float
    messages: float
    busy_share: float
    by_kind: dict


TODAY = Mix()
MEDIUM = Mix(53, 3, 1, 250, 160, 4, 1_000.0, 0.25)
FULL = Mix(530, 10, 5, 2_500, 1_600, 4, 10_000.0, 0.5)


class Deployment:
    """A network under a mix."""

    def __init__(self, mix, seed=0, count_bytes=True):
        self.mix = mix
        self.rng = random.Random(seed)
        self.net = pure_nodes.Network(seed, count_bytes=count_bytes)
        self._sequence = 0
        self._debt = 0.0
        self._versions = {}
        self._weights = [1.0 / (rank + 1) for rank in range(mix.organisations)]
        for index in range(mix.nodes):
            self._add(index)
        self.nodes = list(self.net.nodes.values())

    def _add(self, index):
        domain = index % self.mix.domains
        region = domain * self.mix.regions // self.mix.domains
        node = self.net.add(f"i{index:03}", f"fd{domain}", f"r{region}")
        self.net.apply(node, events.DayBegan(DAY))

    def domain_nodes(self, index):
        """Return the nodes in the failure domain of server ``index``."""
        domain = f"fd{index % self.mix.domains}"
        return [item for item in self.nodes if item.domain == domain]

    def announcement(self, index, **fields):
        """Return the next announcement of server ``index``."""
        load = announcements.Load(
            self.rng.randrange(64), self.rng.randrange(16), 1000, 20.0
        )
        version = str(self._versions.get(index, 1))
        return announcements.Announcement(
            f"e{index:04}",
            1,
            self._sequence,
            "model_engine",
            f"http://10.0.{index // 250}.{index % 250}:8000",
            f"fd{index % self.mix.domains}",
            [announcements.Model(f"model-{index % 16}", version)],
            slots=64,
            kv_tokens=500_000,
            load=load,
            **fields,
        )

    def announce(self, index, **fields):
        """Let a server announce itself to some node of its domain."""
        self._sequence += 1
        node = self.rng.choice(self.domain_nodes(index))
        self.net.announce(node, self.announcement(index, **fields))

    def run(self, seconds):
        """Let whole seconds pass under the mix."""
        tenth = 0
        for _ in range(round(seconds / pure_nodes.TICK)):
            for index in range(tenth, self.mix.servers, 10):
                self.announce(index)
            tenth = (tenth + 1) % 10
            self._use()
            self._change()
            self.net.run(pure_nodes.TICK)

    def _use(self):
        self._debt += self.mix.requests * pure_nodes.TICK
        count = int(self._debt)
        self._debt -= count
        names = range(self.mix.organisations)
        for rank in self.rng.choices(names, self._weights, k=count):
            node = self.rng.choice(self.nodes)
            class_name = f"class{self.rng.randrange(self.mix.classes)}"
            counted = usage.Totals(1, 500, 300, 0)
            node.state.usage.count(f"org{rank:04}", class_name, counted)

    def _change(self):
        if self.rng.random() < self.mix.changes * pure_nodes.TICK:
            index = self.rng.randrange(self.mix.servers)
            self._versions[index] = self._versions.get(index, 1) + 1
            self.announce(index)

    def reset(self):
        """Begin to count costs afresh."""
        for node in self.nodes:
            node.cost = pure_nodes.Cost()
            node.by_kind.clear()

    def split(self):
        """Return the nodes that are no relays, and those that are."""
        relays = [item for item in self.nodes if _is_relay(item)]
        return [item for item in self.nodes if not _is_relay(item)], relays

    def spent(self, nodes, seconds):
        """Return what ``nodes`` spent a second since :meth:`reset`."""
        if not nodes:
            return None
        kinds = collections.Counter()
        for node in nodes:
            kinds.update(node.by_kind)
        count = len(nodes) * seconds
        costs = [node.cost for node in nodes]
        return Spent(
            len(nodes),
            sum(cost.bytes for cost in costs) / count,
            max(cost.bytes for cost in costs) / seconds,
            sum(cost.received_bytes for cost in costs) / count,
            sum(cost.batches for cost in costs) / count,
            sum(cost.messages for cost in costs) / count,
            sum(cost.busy_seconds for cost in costs) / count,
            {kind: size / count for kind, size in sorted(kinds.items())},
        )

    def seconds_until(self, holds, limit=30.0, step=0.01):
        """Return how long each node takes until ``holds(node)``."""
        began = self.net.now
        left = set(range(len(self.nodes)))
        took = {}
        while left and self.net.now - began < limit:
            self.net.run_fine(step)
            for index in list(left):
                if holds(self.nodes[index]):
                    took[index] = self.net.now - began
                    left.discard(index)
        return sorted(took.values()), len(left)


def _is_relay(node):
    members = node.state.members
    return not members.full_mesh() and members.is_relay()


def steady(mix, warm_up=12.0, seconds=10.0, seed=0):
    """Return what ordinary nodes and relays spend once all is known."""
    made = Deployment(mix, seed)
    made.run(warm_up)
    made.reset()
    made.run(seconds)
    ordinary, relays = made.split()
    return made, made.spent(ordinary, seconds), made.spent(relays, seconds)


def peak_memory_mb():
    """Return the largest memory of this process so far, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
