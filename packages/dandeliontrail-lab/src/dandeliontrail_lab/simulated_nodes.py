"""Many reducers in one process, connected by queues instead of sockets.

This is for counting or timing with more instances than a machine can run as
processes.  Time is virtual and advances in :meth:`Network.run`, so a run
depends only on its seed.
"""

import collections
import dataclasses
import heapq
import random
import time

import dandeliontrail
from dandeliontrail.coordination import codec
from dandeliontrail.coordination import messages
from dandeliontrail import effects
from dandeliontrail import events

STEPS_PER_SECOND = 100
STEPS_PER_TICK = 10
# Bytes of the request head and of the whole response of one batch, as counted
# on loopback.  Bodies are encoded and counted as they are.
HTTP_OVERHEAD_BYTES = 219 + 109


@dataclasses.dataclass(slots=True)
class Cost:
    """Counters of one node; bytes include HTTP overhead."""

    batches: int = 0
    messages: int = 0
    bytes: int = 0
    received_bytes: int = 0
    busy_seconds: float = 0.0


@dataclasses.dataclass(slots=True, order=True)
class _InFlightBatch:
    """A batch in flight, ordered by its time of arrival."""

    due: float
    number: int
    address: str = dataclasses.field(compare=False)
    sender: messages.Sender = dataclasses.field(compare=False)
    batch: list = dataclasses.field(compare=False)
    size: int = dataclasses.field(compare=False)


class Node:
    """One reducer with its clock and its cost counters.

    ``skew`` is the offset of its clock in seconds.
    """

    def __init__(self, name, domain, region, seeds, rng, skew=0.0, **options):
        self.name = name
        self.domain = domain
        self.skew = skew
        self.phase = rng.randrange(STEPS_PER_TICK)
        self.up = True
        self.cost = Cost()
        # Bytes and numbers of the messages sent, by kind.
        self.by_kind = collections.Counter()
        self.messages_by_kind = collections.Counter()
        identity = dandeliontrail.Identity(
            name, domain, region, rng.randrange(1, 1 << 40)
        )
        self.reducer = dandeliontrail.new_reducer(
            identity, rng, seeds, **options
        )

    @property
    def state(self):
        """The state of the reducer."""
        return self.reducer.state


class Network:
    """Delivers messages between nodes with delay, loss and partitions.

    ``delay`` is the mean delay in seconds and ``loss`` the share of batches
    that are lost.
    """

    def __init__(self, seed=0, delay=0.002, loss=0.0, count_bytes=False):
        self.now = 0.0
        self.nodes = {}
        self.delay = delay
        self.loss = loss
        self.cut = set()
        self.rng = random.Random(seed)
        self._count_bytes = count_bytes
        self._queue = []
        self._batch_number = 0
        self._steps = 0

    def add(
        self,
        name,
        domain="fd1",
        region="r1",
        seeds=None,
        skew=0.0,
        **options,
    ):
        """Start a node.

        ``seeds`` are the addresses of nodes that it knows, by default up to
        three existing ones.  ``options`` are those of
        ``dandeliontrail.new_reducer``.
        """
        if seeds is None:
            seeds = [item for item in list(self.nodes)[:3] if item != name]
        rng = random.Random(self.rng.random())
        node = Node(name, domain, region, seeds, rng, skew, **options)
        self.nodes[name] = node
        self.apply(node, events.Started(name))
        return node

    def partition(self, one_side, other_side, both_ways=True):
        """Drop all messages from one side to the other."""
        for one in one_side:
            for other in other_side:
                self.cut.add((one, other))
                if both_ways:
                    self.cut.add((other, one))

    def heal(self):
        """End all partitions."""
        self.cut.clear()

    def apply(self, node, event):
        """Apply an event to a node and send the resulting messages."""
        started = time.process_time()
        out = node.reducer.apply(event, self.now + node.skew)
        node.cost.busy_seconds += time.process_time() - started
        self._apply_effects(node, out)

    def announce(self, node, announcement):
        """Deliver a backend server's announcement to ``node``."""
        self.apply(node, events.Announced(announcement))

    def _apply_effects(self, node, out):
        batches = {}
        for effect in out:
            if isinstance(effect, effects.SendPeer):
                batches.setdefault(effect.address, []).append(effect.message)
        for address, batch in batches.items():
            self._send(node, address, batch)

    def _sender(self, node):
        identity = node.state.identity
        return messages.Sender(
            identity.instance,
            identity.address,
            identity.failure_domain,
            identity.region,
            identity.incarnation,
            self.now + node.skew,
        )

    def _send(self, node, address, batch):
        sender = self._sender(node)
        node.cost.batches += 1
        node.cost.messages += len(batch)
        size = (
            self._count_batch(node, sender, batch) if self._count_bytes else 0
        )
        if (node.name, address) in self.cut:
            return
        if self.loss and self.rng.random() < self.loss:
            return
        due = self.now + self.delay * (0.5 + self.rng.random())
        self._batch_number += 1
        in_flight = _InFlightBatch(
            due, self._batch_number, address, sender, batch, size
        )
        heapq.heappush(self._queue, in_flight)

    def _count_batch(self, node, sender, batch):
        started = time.process_time()
        body = codec.encode(codec.Envelope(sender, batch))
        node.cost.busy_seconds += time.process_time() - started
        size = len(body) + HTTP_OVERHEAD_BYTES
        node.cost.bytes += size
        envelope_size = len(codec.encode(codec.Envelope(sender, [])))
        for message in batch:
            message_size = len(codec.encode(codec.Envelope(sender, [message])))
            kind = type(message).__name__
            node.by_kind[kind] += message_size - envelope_size
            node.messages_by_kind[kind] += 1
        return size

    def run(self, seconds, watch=None):
        """Advance time: deliver messages when due and tick every node.

        Each node ticks ten times per second at its own phase.  ``watch``, if
        given, is called a hundred times per second.
        """
        for _ in range(round(seconds * STEPS_PER_SECOND)):
            self._step()
            if watch:
                watch()

    def _step(self):
        self._steps += 1
        until = self._steps / STEPS_PER_SECOND
        self._deliver(until)
        self.now = until
        phase = self._steps % STEPS_PER_TICK
        for node in list(self.nodes.values()):
            if node.up and node.phase == phase:
                self._tick(node)

    def _tick(self, node):
        started = time.process_time()
        out = node.reducer.tick(self.now + node.skew)
        node.cost.busy_seconds += time.process_time() - started
        self._apply_effects(node, out)

    def _deliver(self, until):
        while self._queue and self._queue[0].due <= until:
            in_flight = heapq.heappop(self._queue)
            self.now = max(self.now, in_flight.due)
            node = self.nodes.get(in_flight.address)
            if node is None or not node.up:
                continue
            node.cost.received_bytes += in_flight.size
            for message in in_flight.batch:
                event = events.PeerMessageReceived(in_flight.sender, message)
                self.apply(node, event)
