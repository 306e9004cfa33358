"""Reducers of a few instances in virtual time, with engines that load.

Messages take a fixed two milliseconds and arrive in order; there is no
network model beyond that.  Every reducer is the one that ``dandeliond``
runs.
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

TRIP = 0.002
TICK = 0.1
ANNOUNCE = 1.0


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine with its models, and the loads under way."""

    name: str
    failure_domain: str
    checks_fencing: bool
    models: set
    loads: dict = dataclasses.field(default_factory=dict)
    sequence: int = 0
    alive: bool = True


@dataclasses.dataclass(slots=True)
class Obeyed:
    """An order as it reached an engine, at virtual second ``at``."""

    at: float
    holder: str
    order: object
    fencing: int


class World:
    """Instances and engines; ``run`` lets virtual time pass."""

    def __init__(self, domains, per_domain, seed=1):
        self.now = 0.0
        self.obeyed = []
        self.store_rate = 0.0
        self.most_loads = 0
        self._heap = []
        self._order = itertools.count()
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
        """Add an engine that has ``models`` (pairs with versions)."""
        made = Engine(name, failure_domain, checks_fencing, set(models))
        self.engines[name] = made

    def lose(self, name):
        """Stop an instance for good."""
        del self.reducers[name]

    def submit(self, name, event):
        """Hand an event to an instance and carry out its effects."""
        reducer = self.reducers.get(name)
        if reducer is not None:
            self._carry_out(name, reducer.apply(event, self.now))

    def declare(self, name, kind, objects):
        """Write objects of one kind through an instance."""
        operations = [
            changes.Operation(
                changes.Verb.PUT,
                kind,
                key,
                msgspec.Raw(msgspec.json.encode(spec)),
            )
            for key, spec in objects.items()
        ]
        change = changes.Change(f"op-{next(self._order)}", operations)
        self.submit(name, events.WriteSubmitted("w", change))

    def run(self, seconds):
        """Let virtual time pass."""
        end = self.now + seconds
        while self.now < end:
            step = min(end, self.now + TICK)
            self._deliver(step)
            self.now = step
            self._engines_go_on()
            for name, reducer in list(self.reducers.items()):
                self._carry_out(name, reducer.tick(self.now))

    def _deliver(self, until):
        while self._heap and self._heap[0][0] <= until:
            at, _, name, event = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            self.submit(name, event)

    def _later(self, name, event, delay=TRIP):
        item = (self.now + delay, next(self._order), name, event)
        heapq.heappush(self._heap, item)

    def _carry_out(self, name, out):
        for effect in out:
            if isinstance(effect, effects.SendPeer):
                self._send(name, effect)
            elif isinstance(effect, (effects.AppendLog, effects.ReplaceLog)):
                self._later(name, events.LogSynced(effect.ticket))
            elif isinstance(effect, effects.GiveOrder):
                self._obey(name, effect)

    def _send(self, name, effect):
        """Pass a message on as the codec would: a copy, not the object."""
        self._senders[name].clock = self.now
        body = codec.encode(
            codec.Envelope(self._senders[name], [effect.message])
        )
        envelope = codec.decode(body)
        received = events.PeerMessageReceived(
            envelope.sender, envelope.messages[0]
        )
        self._later(self._address.get(effect.address, ""), received)

    def _obey(self, name, effect):
        order = effect.order
        engine = self.engines[order.server]
        if not engine.alive:
            return
        self.obeyed.append(Obeyed(self.now, name, order, effect.fencing))
        key = (order.model, order.version)
        if order.kind.value == "load":
            engine.loads.setdefault(key, 1.0)
        elif order.kind.value == "unload":
            engine.models.discard(key)
        answer = events.OrderAnswered(
            order.key, effect.fencing, events.OrderAnswer.ACCEPTED
        )
        self._later(name, answer)

    def _engines_go_on(self):
        """Load on, and announce once a second."""
        loading = [item for item in self.engines.values() if item.loads]
        count = sum(len(item.loads) for item in loading)
        self.most_loads = max(self.most_loads, count)
        for engine in loading:
            self._load_on(engine, TICK * self.store_rate / count)
        if int(self.now / ANNOUNCE) != int((self.now - TICK) / ANNOUNCE):
            for engine in self.engines.values():
                self._announce(engine)

    def _load_on(self, engine, part):
        for key in list(engine.loads):
            engine.loads[key] -= part
            if engine.loads[key] <= 0:
                del engine.loads[key]
                engine.models.add(key)

    def _announce(self, engine):
        if not engine.alive or not self.reducers:
            return
        engine.sequence += 1
        made = announcements.Announcement(
            engine.name,
            1,
            engine.sequence,
            "model_engine",
            "http://127.0.0.1:1",
            engine.failure_domain,
        )
        made.checks_fencing = engine.checks_fencing
        made.models = [
            announcements.Model(*key) for key in sorted(engine.models)
        ]
        names = sorted(self.reducers)
        name = names[engine.sequence % len(names)]
        self.submit(name, events.Announced(made))
