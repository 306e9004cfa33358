"""Costs of membership, dissemination and usage, on simulated nodes.

Each function builds a network of reducers, lets backend servers send
announcements and organisations use tokens according to a given workload, and
returns the rates of the nodes.  bench/members.py prints the tables, and the
capacity page takes its flows from :func:`steady`.
"""

import collections
import dataclasses
import random
import resource
import tracemalloc

from dandeliontrail.coordination import member_records
from dandeliontrail.coordination import usage
from dandeliontrail import events
from dandeliontrail.resources import announcements

from . import simulated_nodes

DAY = "2026-03-14"
TICK_SECONDS = (
    simulated_nodes.STEPS_PER_TICK / simulated_nodes.STEPS_PER_SECOND
)


@dataclasses.dataclass(slots=True)
class Workload:
    """The size of a deployment and its load per second.

    Organisations are drawn with a weight of one over their rank, so that few
    of them are busy: of 100 organisations the first makes a fifth of all
    requests.
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
class ResourceRates:
    """Rates per second of the nodes of one kind.

    ``bytes`` is the mean of the bytes sent and ``worst_bytes`` those of the
    node that sent most.  ``by_kind`` has the bytes per message type, without
    HTTP and envelopes.  ``busy_share`` is the share of a core.
    """

    nodes: int
    bytes: float
    worst_bytes: float
    received_bytes: float
    batches: float
    messages: float
    busy_share: float
    by_kind: dict


MIN_NODES_TO_PRELOAD = 100
TODAY = Workload()
MEDIUM = Workload(53, 3, 1, 250, 160, 4, 1_000.0, 0.25)
FULL = Workload(530, 10, 5, 2_500, 1_600, 4, 10_000.0, 0.5)


class Deployment:
    """A network of nodes under a workload."""

    def __init__(self, workload, seed=0, count_bytes=True):
        self.workload = workload
        self.rng = random.Random(seed)
        self.net = simulated_nodes.Network(seed, count_bytes=count_bytes)
        self._sequence = 0
        self._pending_requests = 0.0
        self._tenth_of_second = 0
        self.silent = set()
        self._model_versions = {}
        self._weights = [
            1.0 / (rank + 1) for rank in range(workload.organisations)
        ]
        for index in range(workload.nodes):
            self.add_node(index)
        self.nodes = list(self.net.nodes.values())
        if workload.nodes >= MIN_NODES_TO_PRELOAD:
            self._preload_members()

    def _preload_members(self):
        """Give all nodes the records of each other.

        This is their state after hours of operation.  If hundreds of them
        started at once, the start would dominate the measurement.
        """
        records = [node.state.members.own_record() for node in self.nodes]
        for node in self.nodes:
            for record in records:
                node.state.members.learn(record, 0.0)

    def add_node(self, index):
        domain = index % self.workload.domains
        region = domain * self.workload.regions // self.workload.domains
        node = self.net.add(f"i{index:03}", f"fd{domain}", f"r{region}")
        self.net.apply(node, events.DayBegan(DAY))

    def domain_nodes(self, index):
        """Return the nodes in the failure domain of server ``index``."""
        domain = f"fd{index % self.workload.domains}"
        return [item for item in self.nodes if item.domain == domain]

    def announcement(self, index, **fields):
        """Return the next announcement of server ``index``."""
        load = announcements.Load(
            self.rng.randrange(64), self.rng.randrange(16), 1000, 20.0
        )
        version = str(self._model_versions.get(index, 1))
        return announcements.Announcement(
            f"e{index:04}",
            1,
            self._sequence,
            "model_engine",
            f"http://10.0.{index // 250}.{index % 250}:8000",
            f"fd{index % self.workload.domains}",
            [announcements.Model(f"model-{index % 16}", version)],
            slots=64,
            kv_tokens=500_000,
            load=load,
            **fields,
        )

    def announce(self, index, **fields):
        """Send a server's announcement to a random node of its domain."""
        self._sequence += 1
        node = self.rng.choice(self.domain_nodes(index))
        self.net.announce(node, self.announcement(index, **fields))

    def run(self, seconds, watch=None):
        """Advance time under the workload; servers announce every second."""
        for _ in range(round(seconds / TICK_SECONDS)):
            for index in range(
                self._tenth_of_second, self.workload.servers, 10
            ):
                if index not in self.silent:
                    self.announce(index)
            self._tenth_of_second = (self._tenth_of_second + 1) % 10
            self._record_usage()
            self._change_at_random()
            self.net.run(TICK_SECONDS, watch)

    def _record_usage(self):
        self._pending_requests += self.workload.requests * TICK_SECONDS
        count = int(self._pending_requests)
        self._pending_requests -= count
        names = range(self.workload.organisations)
        for rank in self.rng.choices(names, self._weights, k=count):
            node = self.rng.choice(self.nodes)
            class_name = f"class{self.rng.randrange(self.workload.classes)}"
            totals = usage.Totals(1, 500, 300, 0)
            node.state.usage.count(f"org{rank:04}", class_name, totals)

    def _change_at_random(self):
        if self.rng.random() < self.workload.changes * TICK_SECONDS:
            self.change(self.rng.randrange(self.workload.servers))

    def change(self, index):
        """Announce another version of the model of server ``index``."""
        self._model_versions[index] = self._model_versions.get(index, 1) + 1
        self.announce(index)

    def reset(self):
        """Reset the cost counters of all nodes."""
        for node in self.nodes:
            node.cost = simulated_nodes.Cost()
            node.by_kind.clear()

    def split(self):
        """Return the nodes that are not relays, and the relays."""
        relays = [item for item in self.nodes if is_relay(item)]
        return [item for item in self.nodes if not is_relay(item)], relays

    def resource_rates(self, nodes, seconds):
        """Return the rates of ``nodes`` over ``seconds`` since the reset."""
        if not nodes:
            return None
        bytes_by_kind = collections.Counter()
        for node in nodes:
            bytes_by_kind.update(node.by_kind)
        node_seconds = len(nodes) * seconds
        costs = [node.cost for node in nodes]
        return ResourceRates(
            len(nodes),
            sum(cost.bytes for cost in costs) / node_seconds,
            max(cost.bytes for cost in costs) / seconds,
            sum(cost.received_bytes for cost in costs) / node_seconds,
            sum(cost.batches for cost in costs) / node_seconds,
            sum(cost.messages for cost in costs) / node_seconds,
            sum(cost.busy_seconds for cost in costs) / node_seconds,
            {
                kind: size / node_seconds
                for kind, size in sorted(bytes_by_kind.items())
            },
        )

    def seconds_until(self, holds, limit=20.0):
        """Return, in ascending order, the seconds until each node ``holds``.

        ``holds(node)`` is the condition to wait for.  Nodes that do not meet
        it within ``limit`` seconds are left out.
        """
        started = self.net.now
        pending = list(self.nodes)
        durations = []

        def watch():
            reached = [node for node in pending if holds(node)]
            for node in reached:
                pending.remove(node)
                durations.append(self.net.now - started)

        while pending and self.net.now - started < limit:
            self.run(TICK_SECONDS, watch)
        return durations


def is_relay(node):
    members = node.state.members
    return not members.full_mesh() and members.is_relay()


def steady(workload, warm_up=10.0, seconds=8.0, seed=0):
    """Return the deployment and its rates in the steady state.

    The rates are those of ordinary nodes and of relays, ``None`` without
    relays.
    """
    deployment = Deployment(workload, seed)
    deployment.run(warm_up)
    deployment.reset()
    deployment.run(seconds)
    ordinary, relays = deployment.split()
    return (
        deployment,
        deployment.resource_rates(ordinary, seconds),
        deployment.resource_rates(relays, seconds),
    )


def leave_seconds(deployment, index):
    """Return the seconds until each node stops using a leaving server."""
    name = f"e{index:04}"
    deployment.silent.add(index)
    deployment.announce(index, leaving=True)

    def stopped(node):
        server = node.state.registry.servers.get(name)
        return not server or not server.serves(deployment.net.now)

    return deployment.seconds_until(stopped)


def join_seconds(deployment, index):
    """Return the seconds until each node knows a new server."""
    name = f"e{index:04}"
    deployment.announce(index)

    def knows(node):
        server = node.state.registry.servers.get(name)
        return server is not None and server.serves(deployment.net.now)

    return deployment.seconds_until(knows)


def silence_seconds(deployment, index):
    """Return the seconds until each node stops using a silent server."""
    deployment.silent.add(index)
    name = f"e{index:04}"

    def stopped(node):
        return not node.state.registry.servers[name].serves(deployment.net.now)

    return deployment.seconds_until(stopped)


def failure_detection_seconds(deployment, number):
    """Return the seconds until each other node considers one failed."""
    failed_node = deployment.nodes.pop(number)
    failed_node.up = False

    def failed(node):
        return node.state.members.members[failed_node.name].gone()

    return deployment.seconds_until(failed, 40.0)


@dataclasses.dataclass(slots=True)
class Slope:
    """Rates per second of one node for one more of something."""

    of: str
    role: str
    bytes: float
    messages: float
    busy_share: float


# Over all of these sizes the links have relays, as at full size.
BASE_WORKLOAD = Workload(40, 4, 2, 160, 160, 4, 400.0, 0.2)
MIX_STEPS = (
    ("nodes", 80),
    ("servers", 480),
    ("organisations", 480),
    ("requests", 1200.0),
    ("changes", 2.2),
)


def slopes(seconds=8.0):
    """Return a :class:`Slope` for each step from the base and each role.

    ``requests`` and ``changes`` are rates per second of the whole system; a
    change is one of a backend server's record.
    """
    base = steady(BASE_WORKLOAD, seconds=seconds)[1:]
    slopes_found = []
    for name, value in MIX_STEPS:
        workload = dataclasses.replace(BASE_WORKLOAD, **{name: value})
        step = value - getattr(BASE_WORKLOAD, name)
        rates = steady(workload, seconds=seconds)[1:]
        for role, before, after in zip(("ordinary", "relay"), base, rates):
            slopes_found.append(
                Slope(
                    name,
                    role,
                    (after.bytes - before.bytes) / step,
                    (after.messages - before.messages) / step,
                    (after.busy_share - before.busy_share) / step,
                )
            )
    return slopes_found


@dataclasses.dataclass(slots=True)
class MemorySlope:
    """Bytes of memory of an instance for one more of something."""

    of: str
    bytes: float


def memory_slopes(count=2000):
    """Return the memory of a member, a backend server and a usage row."""
    return [
        MemorySlope("member", _bytes_per_item(_add_members, count)),
        MemorySlope("backend server", _bytes_per_item(_add_servers, count)),
        MemorySlope("usage row", _bytes_per_item(_add_usage_rows, count)),
    ]


def _bytes_per_item(add_items, count):
    state = simulated_nodes.Network().add("i0").state
    add_items(state, 10)
    tracemalloc.start()
    add_items(state, count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / count


def _add_members(state, count):
    for number in range(count):
        name = f"member{count}-{number}"
        record = member_records.MemberRecord(
            name, "10.0.0.1:8000", "fd1", "r1", 1
        )
        state.members.learn(record, 0.0)


def _add_servers(state, count):
    for number in range(count):
        name = f"server{count}-{number}"
        announcement = announcements.Announcement(
            name,
            1,
            1,
            "model_engine",
            f"http://{name}:8000",
            "fd1",
            [announcements.Model(f"model{number % 16}")],
        )
        state.registry.learn(announcement, 0.0, 0.0)


def _add_usage_rows(state, count):
    state.usage.day = DAY
    for number in range(count):
        name = f"organisation{count}-{number}"
        state.usage.count(name, "lookup", usage.Totals(1, 1, 1, 0))


def peak_memory_mb():
    """Return the peak memory of this process so far, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
