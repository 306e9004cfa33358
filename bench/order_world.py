"""A simulation in virtual time of instances and engines that load models.

Messages take a constant two milliseconds and arrive in order; there is no
other network model.  The reducers are those that ``dandeliond`` runs.
"""

import dataclasses
import heapq
import itertools
import random

import msgspec

import dandeliontrail
from dandeliontrail.coordination import codec
from dandeliontrail.coordination import messages
from dandeliontrail.coordination import quorum_log_records
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail.resources import announcements
from dandeliontrail.resources import changes

MESSAGE_DELAY_SECONDS = 0.002
TICK_SECONDS = 0.1
ANNOUNCE_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine with its loaded models and its current loads.

    ``loads`` maps (model, version) to the part still to load, from 1 to 0.
    """

    name: str
    failure_domain: str
    checks_fencing: bool
    models: set
    loads: dict = dataclasses.field(default_factory=dict)
    sequence: int = 0
    alive: bool = True


@dataclasses.dataclass(slots=True)
class ExecutedOrder:
    """An order that an engine executed at virtual second ``at``."""

    at: float
    holder: str
    order: object
    fencing: int


class World:
    """Simulated instances and engines; ``run`` advances virtual time."""

    def __init__(self, domains, per_domain, seed=1):
        self.now = 0.0
        self.executed_orders = []
        self.store_rate = 0.0
        self.max_concurrent_loads = 0
        self._heap = []
        self._sequence = itertools.count()
        self._senders = {}
        self.reducers = {}
        self.engines = {}
        names = [
            (f"{domain}-{index}", domain)
            for domain in domains
            for index in range(per_domain)
        ]
        keepers = [f"{domain}-0" for domain in domains]
        self._address = {
            f"127.0.0.1:{n}": names[n][0] for n in range(len(names))
        }
        for number, (name, domain) in enumerate(names):
            self._add(number, name, domain, keepers, seed)

    def _add(self, number, name, domain, keepers, seed):
        address = f"127.0.0.1:{number}"
        identity = dandeliontrail.Identity(name, domain, "r1", 1, address)
        keeper = None
        if name in keepers:
            keeper = quorum_log_records.Keeper(f"folder-{name}")
        self.reducers[name] = dandeliontrail.new_reducer(
            identity,
            random.Random(seed * 1000 + number),
            [item for item in self._address if item != address],
            keeper=keeper,
            bootstrap=keepers,
        )
        self._senders[name] = messages.Sender(name, address, domain, "r1", 1)
        self.submit(name, events.Started(address))

    def engine(self, name, failure_domain, checks_fencing, models):
        """Add an engine with ``models``, given as (name, version) pairs."""
        engine = Engine(name, failure_domain, checks_fencing, set(models))
        self.engines[name] = engine

    def stop_instance(self, name):
        """Stop an instance permanently."""
        del self.reducers[name]

    def submit(self, name, event):
        """Apply an event at an instance and execute the effects."""
        reducer = self.reducers.get(name)
        if reducer is not None:
            self._execute_effects(name, reducer.apply(event, self.now))

    def declare(self, name, kind, objects):
        """Write objects of one kind through an instance, as one change."""
        operations = [
            changes.Operation(
                changes.Verb.PUT,
                kind,
                key,
                msgspec.Raw(msgspec.json.encode(spec)),
            )
            for key, spec in objects.items()
        ]
        change = changes.Change(f"op-{next(self._sequence)}", operations)
        self.submit(name, events.WriteSubmitted("w", change))

    def run(self, seconds):
        """Advance virtual time by ``seconds``."""
        end = self.now + seconds
        while self.now < end:
            step = min(end, self.now + TICK_SECONDS)
            self._deliver(step)
            self.now = step
            self._advance_engines()
            for name, reducer in list(self.reducers.items()):
                self._execute_effects(name, reducer.tick(self.now))

    def _deliver(self, until):
        while self._heap and self._heap[0][0] <= until:
            at, _, name, event = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            self.submit(name, event)

    def _schedule(self, name, event, delay=MESSAGE_DELAY_SECONDS):
        item = (self.now + delay, next(self._sequence), name, event)
        heapq.heappush(self._heap, item)

    def _execute_effects(self, name, produced):
        for effect in produced:
            if isinstance(effect, effects.SendPeer):
                self._send(name, effect)
            elif isinstance(effect, (effects.AppendLog, effects.ReplaceLog)):
                self._schedule(name, events.LogSynced(effect.ticket))
            elif isinstance(effect, effects.GiveOrder):
                self._execute_order(name, effect)

    def _send(self, name, effect):
        """Deliver a message via the codec: the receiver gets a copy."""
        self._senders[name].clock = self.now
        body = codec.encode(
            codec.Envelope(self._senders[name], [effect.message])
        )
        envelope = codec.decode(body)
        received = events.PeerMessageReceived(
            envelope.sender, envelope.messages[0]
        )
        self._schedule(self._address.get(effect.address, ""), received)

    def _execute_order(self, name, effect):
        order = effect.order
        engine = self.engines[order.server]
        if not engine.alive:
            return
        self.executed_orders.append(
            ExecutedOrder(self.now, name, order, effect.fencing)
        )
        key = (order.model, order.version)
        if order.kind.value == "load":
            engine.loads.setdefault(key, 1.0)
        elif order.kind.value == "unload":
            engine.models.discard(key)
        answer = events.OrderAnswered(
            order.key, effect.fencing, events.OrderAnswer.ACCEPTED
        )
        self._schedule(name, answer)

    def _advance_engines(self):
        """Advance all loads; make every engine announce once a second."""
        loading = [item for item in self.engines.values() if item.loads]
        count = sum(len(item.loads) for item in loading)
        self.max_concurrent_loads = max(self.max_concurrent_loads, count)
        for engine in loading:
            self._advance_loads(engine, TICK_SECONDS * self.store_rate / count)
        if int(self.now / ANNOUNCE_INTERVAL_SECONDS) != int(
            (self.now - TICK_SECONDS) / ANNOUNCE_INTERVAL_SECONDS
        ):
            for engine in self.engines.values():
                self._announce(engine)

    def _advance_loads(self, engine, progress):
        for key in list(engine.loads):
            engine.loads[key] -= progress
            if engine.loads[key] <= 0:
                del engine.loads[key]
                engine.models.add(key)

    def _announce(self, engine):
        if not engine.alive or not self.reducers:
            return
        engine.sequence += 1
        announcement = announcements.Announcement(
            engine.name,
            1,
            engine.sequence,
            "model_engine",
            "http://127.0.0.1:1",
            engine.failure_domain,
        )
        announcement.checks_fencing = engine.checks_fencing
        announcement.models = [
            announcements.Model(*key) for key in sorted(engine.models)
        ]
        names = sorted(self.reducers)
        name = names[engine.sequence % len(names)]
        self.submit(name, events.Announced(announcement))
