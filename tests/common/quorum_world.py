"""Several pure replicas, a network that loses messages, disks that forget.

Time, network and disks are driven by the test.  Messages cross as the
bytes that the codec makes of them.  A write stays in the disk's cache until
it is synced; a crash loses the cache but for a prefix of chance.
"""

import collections

import msgspec

from dandeliontrail.components import configuration
from dandeliontrail.components import revisions as revisions_component
from dandeliontrail.coordination import codec
from dandeliontrail.coordination import messages
from dandeliontrail.coordination import quorum_log
from dandeliontrail.coordination import quorum_log_entries as entries
from dandeliontrail.coordination import quorum_log_neighbours
from dandeliontrail.coordination import quorum_log_options
from dandeliontrail.coordination import quorum_log_records as records
from dandeliontrail import effects
from dandeliontrail.resources import changes
from dandeliontrail.resources import revisions
from dandeliontrail.resources import store

STEP = 0.1


class FakeNeighbours(quorum_log_neighbours.Neighbours):
    """Names are addresses; whoever can be reached is alive."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    def alive(self, now):
        return {
            other
            for other in self._world.nodes
            if other != self._name and self._world.connected(self._name, other)
        }

    def domain_of(self, name):
        return self._world.domain(name)

    def same_domain(self, name):
        return self._world.domain(name) == self._world.domain(self._name)

    def address_of(self, name):
        return name

    def addresses(self):
        return [name for name in self._world.names if name != self._name]


class NoDirectory:
    """Stands in for the directory, which tests of the log do not need."""

    def invalidate(self):
        """Nothing is held."""


class FakeDisk:
    """What is synced, and what waits in the cache."""

    def __init__(self, folder):
        self.folder = folder
        self.checkpoint = b""
        self.records = []
        self.cache = []

    def keep(self):
        """Move the oldest cached write to the disk and return its ticket."""
        effect = self.cache.pop(0)
        if isinstance(effect, effects.ReplaceLog):
            self.checkpoint = effect.checkpoint
            self.records = list(effect.records)
        else:
            self.records.extend(effect.records)
        return effect.ticket

    def keeper(self):
        return records.Keeper(self.folder, self.checkpoint, self.records)


class RecordingApplier(configuration.ChangeApplier):
    """Compares each applied change with those of the other replicas."""

    def __init__(self, world, objects):
        super().__init__(objects, NoDirectory())
        self._world = world

    def apply(self, version, entry):
        result = super().apply(version, entry)
        self._world.record(version, entry, result)
        return result


class _Recorded:
    """A machine whose ``apply`` is watched."""

    def __init__(self, machine, apply):
        self._machine = machine
        self.apply = apply

    def __getattr__(self, name):
        return getattr(self._machine, name)


class Node:
    """One replica that runs."""

    def __init__(self, log, objects, disk, started):
        self.log = log
        self.store = objects
        self.disk = disk
        self.started = started
        self.highest = 0
        # What those in its failure domain had when it started, of those
        # whom it could reach ever since.
        self.domain_had = {}


class QuorumWorld:
    """Keepers ``k1``… in domains of their own, and learners ``l1``…"""

    def __init__(
        self,
        rng,
        keepers=3,
        learners=2,
        spares=1,
        options=quorum_log_options.DEFAULT,
    ):
        self.options = options
        self.rng = rng
        self.now = 100.0
        self.bootstrap = [f"k{n + 1}" for n in range(keepers)]
        names = [f"k{n + 1}" for n in range(keepers + spares)]
        self.disks = {name: FakeDisk(f"{name}-0") for name in names}
        self.names = names + [f"l{n + 1}" for n in range(learners)]
        self.nodes = {}
        self.cut = {}
        self.flying = []
        self.history = {}
        self.positions = {}
        self.at = {}
        self.settled = {}
        self.proposed = collections.Counter()
        self.loss = 0.0
        self.slow_disk = 0.0
        self.delay = 0.0
        for name in self.names:
            self.start(name)

    # -- the outside ------------------------------------------------------

    def domain(self, name):
        """Learner ``l1`` shares a failure domain with ``k1``."""
        return name[1:]

    def connected(self, one, other):
        """Tell whether no partition lies between two nodes."""
        return (
            one in self.nodes
            and other in self.nodes
            and self.cut.get(one, 0) == self.cut.get(other, 0)
        )

    def start(self, name):
        """Start a node from what its disk has."""
        objects = store.ResourceStore()
        disk = self.disks.get(name)
        log = quorum_log.QuorumLog(
            name,
            self.rng,
            FakeNeighbours(self, name),
            disk.keeper() if disk else None,
            self.bootstrap,
            self.options,
        )
        self._record_positions(log)
        log.register(changes.Change, RecordingApplier(self, objects))
        log.register(entries.ReadMark, configuration.ReadMarkApplier())
        log.register(
            revisions.Revision,
            revisions_component.RevisionApplier(
                revisions_component.RoutingState()
            ),
        )
        node = Node(log, objects, disk, self.now)
        self.nodes[name] = node
        node.domain_had = {
            peer: other.log.applied
            for peer, other in self.nodes.items()
            if self.domain(peer) == self.domain(name)
            and other.log.ready
            and self.connected(peer, name)
        }
        self.run_effects(name, log.open(self.now))

    def _record_positions(self, log):
        """Compare the entry that a replica applies at each position."""
        machine = log._machine
        apply = type(machine).apply

        def recorded(entry):
            seen = (entry.term, entry.proposal_id, type(entry.body))
            held = self.positions.setdefault(entry.index, seen)
            assert held == seen, f"position {entry.index} differs"
            return apply(machine, entry)

        log._core.machine = _Recorded(machine, recorded)

    def crash(self, name):
        """Stop a node; part of what its disk had not synced is lost."""
        node = self.nodes.pop(name)
        if node.disk:
            kept = self.rng.randint(0, len(node.disk.cache))
            kept *= self.rng.randint(0, 1)
            for _ in range(kept):
                node.disk.keep()
            node.disk.cache = []
        self._forget_unreachable()

    def partition(self, cut):
        """Let only nodes with the same value in ``cut`` reach each other."""
        self.cut = cut
        self._forget_unreachable()

    def _forget_unreachable(self):
        for name, node in self.nodes.items():
            node.domain_had = {
                peer: applied
                for peer, applied in node.domain_had.items()
                if self.connected(peer, name)
            }

    def lose_disk(self, name):
        """Give a stopped keeper an empty folder."""
        generation = int(self.disks[name].folder.split("-")[1]) + 1
        self.disks[name] = FakeDisk(f"{name}-{generation}")

    def propose(self, name, change):
        """Hand a change to a node; its end shows in ``settled``."""
        ends = self.settled.setdefault(change.operation_id, [])
        self.proposed[change.operation_id] += 1

        def on_settled(found, now):
            ends.append(found)
            return []

        node = self.nodes[name]
        self.run_effects(
            name,
            node.log.propose(
                change, change.operation_id, self.now, on_settled
            ),
        )

    def change_voter(self, action, name):
        """Ask the leader for a change of voters; return its remedy."""
        leader = self.leader()
        if not leader:
            return "no leader"
        out = self.nodes[leader].log.change_voter(action, name, "r", self.now)
        self.run_effects(leader, out)
        answers = [
            item for item in out if isinstance(item, effects.VoterAnswered)
        ]
        return answers[0].remedy

    # -- running ----------------------------------------------------------

    def run(self, seconds):
        """Let time pass: ticks, messages in any order, syncs."""
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for name in list(self.nodes):
                self.run_effects(name, self.nodes[name].log.tick(self.now))
            for _ in range(4):
                self._deliver()
                self._sync()
            self.check()

    def run_until(self, holds, seconds=40.0):
        """Let time pass until ``holds()``; fail where it never is."""
        end = self.now + seconds
        while not holds():
            assert self.now < end, "waited in vain"
            self.run(STEP)

    def run_effects(self, name, out):
        """Carry out the effects of a node."""
        for effect in out:
            if isinstance(effect, effects.SendPeer):
                self._send(name, effect)
            elif isinstance(effect, (effects.AppendLog, effects.ReplaceLog)):
                self.nodes[name].disk.cache.append(effect)

    def _send(self, name, effect):
        if effect.address not in self.names:
            return
        sender = messages.Sender(name, name, self.domain(name), "r1", 1)
        body = codec.encode(codec.Envelope(sender, [effect.message]))
        self.flying.append((name, effect.address, body))

    def _deliver(self):
        batch, self.flying = self.flying, []
        if self.loss or self.delay:
            self.rng.shuffle(batch)
        for source, target, body in batch:
            if not self.connected(source, target):
                continue
            if self.rng.random() < self.delay:
                self.flying.append((source, target, body))
                continue
            chance = self.rng.random()
            if chance < self.loss:
                continue
            if chance < 2 * self.loss:
                self.flying.append((source, target, body))
            envelope, _ = codec.decode(body)
            log = self.nodes[target].log
            for message in envelope.messages:
                handler = log.handlers()[type(message)]
                out = handler(envelope.sender, message, self.now)
                self.run_effects(target, out)

    def _sync(self):
        for name in list(self.nodes):
            node = self.nodes[name]
            if not node.disk or not node.disk.cache:
                continue
            if self.rng.random() < self.slow_disk:
                continue
            ticket = node.disk.keep()
            self.run_effects(name, node.log.synced(ticket, self.now))

    # -- what must hold ---------------------------------------------------

    def record(self, version, entry, result):
        """Compare an applied change with what others applied there."""
        seen = msgspec.json.encode((entry, result))
        held = self.history.setdefault(version, seen)
        assert held == seen, f"version {version} differs"
        first = self.at.setdefault(entry.operation_id, version)
        assert first == version, f"{entry.operation_id} applied twice"

    def check(self):
        """Check what holds between the replicas at every moment."""
        for name, node in self.nodes.items():
            applied = node.log.applied
            assert applied >= node.highest, f"{name} went back"
            node.highest = applied
            if node.log.ready:
                had = max(node.domain_had.values(), default=0)
                assert applied >= had, f"{name} is ready too soon"
                node.domain_had = {}

    def leader(self):
        """Return the leader with the highest term, or ''."""
        statuses = {
            name: node.log.status(self.now)
            for name, node in self.nodes.items()
        }
        leaders = [
            name for name, item in statuses.items() if item.role == "leader"
        ]
        return max(leaders, key=lambda n: statuses[n].term, default="")

    def voters(self):
        """Return the voters as the leader has them."""
        leader = self.leader()
        if not leader:
            return []
        return self.nodes[leader].log.status(self.now).voters
