"""Many reducers in one process, joined by queues in place of sockets.

For what must be counted or timed over more instances than a machine has
room for as processes.  Time is a number that :meth:`Network.run` moves on,
so a run depends on its seed alone.
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
# Head of a request and whole answer of one batch, as counted on
# loopback; bodies are encoded and counted as they are.
HTTP_BYTES = 219 + 109


@dataclasses.dataclass(slots=True)
class Cost:
    """What one node sent, received and worked; bytes with HTTP."""

    batches: int = 0
    messages: int = 0
    bytes: int = 0
    received_bytes: int = 0
    busy_seconds: float = 0.0


@dataclasses.dataclass(slots=True, order=True)
class _Sent:
    """A batch on its way, ordered by when it arrives."""

    due: float
    number: int
    address: str = dataclasses.field(compare=False)
    sender: messages.Sender = dataclasses.field(compare=False)
    batch: list = dataclasses.field(compare=False)
    size: int = dataclasses.field(compare=False)


class Node:
    """One reducer, its clock and what it spent."""

    def __init__(self, name, domain, region, seeds, rng, skew=0.0, **options):
        self.name = name
        self.domain = domain
        self.skew = skew
        self.phase = rng.randrange(STEPS_PER_TICK)
        self.up = True
        self.cost = Cost()
        self.by_kind = collections.Counter()
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
    """Delivers messages between nodes with delay, loss and cuts."""

    def __init__(self, seed=0, delay=0.002, loss=0.0, count_bytes=False):
        self.now = 0.0
        self.nodes = {}
        self.delay = delay
        self.loss = loss
        self.cut = set()
        self.rng = random.Random(seed)
        self._count_bytes = count_bytes
        self._queue = []
        self._order = 0
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
        """Start a node that knows some of those already there.

        ``options`` are those of ``dandeliontrail.new_reducer``.
        """
        if seeds is None:
            seeds = [item for item in list(self.nodes)[:3] if item != name]
        rng = random.Random(self.rng.random())
        node = Node(name, domain, region, seeds, rng, skew, **options)
        self.nodes[name] = node
        self.apply(node, events.Started(name))
        return node

    def separate(self, one_side, other_side, both_ways=True):
        """Drop all that the nodes of one side send to the other."""
        for one in one_side:
            for other in other_side:
                self.cut.add((one, other))
                if both_ways:
                    self.cut.add((other, one))

    def heal(self):
        """Let every message through again."""
        self.cut.clear()

    def apply(self, node, event):
        """Hand an event to a node and carry out what it wants to send."""
        began = time.process_time()
        out = node.reducer.apply(event, self.now + node.skew)
        node.cost.busy_seconds += time.process_time() - began
        self._carry_out(node, out)

    def announce(self, node, announcement):
        """Let a backend server announce itself to ``node``."""
        self.apply(node, events.Announced(announcement))

    def _carry_out(self, node, out):
        batches = {}
        for effect in out:
            if isinstance(effect, effects.SendPeer):
                batches.setdefault(effect.address, []).append(effect.message)
        for address, batch in batches.items():
            self._send(node, address, batch)

    def _sender(self, node):
        own = node.state.identity
        return messages.Sender(
            own.instance,
            own.address,
            own.failure_domain,
            own.region,
            own.incarnation,
            self.now + node.skew,
        )

    def _send(self, node, address, batch):
        sender = self._sender(node)
        node.cost.batches += 1
        node.cost.messages += len(batch)
        size = self._count(node, sender, batch) if self._count_bytes else 0
        if (node.name, address) in self.cut:
            return
        if self.loss and self.rng.random() < self.loss:
            return
        due = self.now + self.delay * (0.5 + self.rng.random())
        self._order += 1
        sent = _Sent(due, self._order, address, sender, batch, size)
        heapq.heappush(self._queue, sent)

    def _count(self, node, sender, batch):
        began = time.process_time()
        body = codec.encode(codec.Envelope(sender, batch))
        node.cost.busy_seconds += time.process_time() - began
        size = len(body) + HTTP_BYTES
        node.cost.bytes += size
        empty = len(codec.encode(codec.Envelope(sender, [])))
        for message in batch:
            whole = len(codec.encode(codec.Envelope(sender, [message])))
            node.by_kind[type(message).__name__] += whole - empty
        return size

    def run(self, seconds, watch=None):
        """Let time pass: deliver what is due and tick every node.

        Each node ticks ten times a second at a phase of its own.  ``watch``
        is called a hundred times a second, if it is given.
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
        began = time.process_time()
        out = node.reducer.tick(self.now + node.skew)
        node.cost.busy_seconds += time.process_time() - began
        self._carry_out(node, out)

    def _deliver(self, until):
        while self._queue and self._queue[0].due <= until:
            sent = heapq.heappop(self._queue)
            self.now = max(self.now, sent.due)
            node = self.nodes.get(sent.address)
            if node is None or not node.up:
                continue
            node.cost.received_bytes += sent.size
            for message in sent.batch:
                event = events.PeerMessageReceived(sent.sender, message)
                self.apply(node, event)
