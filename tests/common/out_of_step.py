"""An entry out of step while servers of another version join, simulated.

Streams begin elsewhere, break, and are taken up at that entry before, at and
after the end of its trouble.
"""

import enum
import random

from dandeliontrail.components import request_lifecycle

from tests.common import keeper_network
from tests.common import stream_network

# Within this time after its trouble, an entry serves like others.
CONTACT_SECONDS = 4.0
STREAMS = 12
# When callers come to the entry, from the end of its trouble.
OFFSETS = (-1.5, -0.6, -0.2, 0.0, 0.05, 0.3, 1.0)
STEP_SECONDS = 5.0


class Trouble(enum.Enum):
    """How an entry is out of step."""

    CUT_OFF = "cut off from all others"
    NO_ENTRIES = "cut off from the entries"
    NO_KEEPERS = "cut off from the keepers"
    UNHEARD = "hears but is not heard"
    DEAF = "is heard but does not hear"
    HELD_UP = "messages arrive only after the trouble"
    FROZEN = "frozen"
    SUSPENDED = "frozen together with its clock"
    CLOCK_STEP = "its clock steps forward"


class Loss(enum.Enum):
    """What of the streams' records is lost before callers come back."""

    NOTHING = "nothing"
    BEGINNER = "the entry at which they began"
    ENTRIES = "all entries in step"
    ALL = "all entries in step and the keepers, one after the other"


class OutOfStepNetwork(stream_network.StreamNetwork):
    """Entries, keepers and servers, and one entry that is out of step."""

    def __init__(self, *args, **options):
        self._held_links = set()
        self._held = []
        self._clock_stops = {}
        super().__init__(*args, **options)

    def begin_trouble(self, name, trouble):
        """Put an entry out of step."""
        others = [item for item in self.nodes if item != name]
        if trouble is Trouble.CUT_OFF:
            self.partition([name], others)
        elif trouble is Trouble.NO_ENTRIES:
            self.partition([name], [i for i in self.entries if i != name])
        elif trouble is Trouble.NO_KEEPERS:
            self.partition([name], keeper_network.KEEPERS)
        elif trouble is Trouble.UNHEARD:
            self.partition([name], others, both_ways=False)
        elif trouble is Trouble.DEAF:
            self.partition(others, [name], both_ways=False)
        elif trouble is Trouble.HELD_UP:
            self._held_links = {(name, other) for other in others}
            self._held_links |= {(other, name) for other in others}
        elif trouble is Trouble.CLOCK_STEP:
            self.nodes[name].skew += STEP_SECONDS
        else:
            self.freeze(name, trouble is Trouble.SUSPENDED)

    def freeze(self, name, with_clock=False):
        """Freeze a node."""
        self.frozen.add(name)
        if with_clock:
            self._clock_stops[name] = self.now

    def thaw(self, name):
        """Let a node run again; its clock may have stood still."""
        self.frozen.discard(name)
        stopped = self._clock_stops.pop(name, self.now)
        self.nodes[name].skew -= self.now - stopped

    def end_trouble(self, name):
        """Put an entry in step again; what was held up arrives."""
        self.heal()
        self._held_links = set()
        held, self._held = self._held, []
        for node, address, batch in held:
            if node.up:
                self._send(node, address, batch)
        if name in self.frozen:
            self.thaw(name)

    def _send(self, node, address, batch):
        if (node.name, address) in self._held_links:
            self._held.append((node, address, batch))
            return
        super()._send(node, address, batch)

    def _reach(self, stream, request_id, name, epoch):
        node = self.nodes[stream.instance]
        if node.name in self.frozen:
            self.call_later(
                0.1, lambda: self._reach(stream, request_id, name, epoch)
            )
            return
        life = node.reducer.lives.get(request_id)
        # The server may have ended just before, which was told already.
        if life is None or life.phase is request_lifecycle.Phase.DISPATCHED:
            super()._reach(stream, request_id, name, epoch)

    def crash_all(self, version):
        """End all servers of a version."""
        for server in list(self.servers.values()):
            if server.is_up and server.version == version:
                self.crash(server)


class Play:
    """A play of the report; ``seed`` draws what is not given.

    ``rounds`` troubles follow one another, each with a new version.
    """

    def __init__(self, seed, count, trouble=None, loss=None, rounds=1):
        self.rng = random.Random(seed)
        self._trouble = trouble
        self._loss = loss
        self._rounds = rounds
        self.network = OutOfStepNetwork(
            count, seed, max_tries=6, loss=self.rng.choice([0.0, 0.0, 0.02])
        )
        self.entry = self.rng.choice(self.network.entries)
        self.others = [
            name for name in self.network.entries if name != self.entry
        ]
        self.troubles = []
        self.taken_up = []
        self.settled = []
        self.compared = []

    def run(self):
        """Play; return the streams that hold events of two versions."""
        network = self.network
        for _ in range(2):
            network.add_server("v1")
        network.run(1.0)
        for number in range(self._rounds):
            self._round(f"v{number + 2}")
        network.run(CONTACT_SECONDS)
        self._compare()
        return network.mixed()

    def _round(self, version):
        network, rng = self.network, self.rng
        trouble = self._trouble or rng.choice(list(Trouble))
        self.troubles.append(trouble)
        offset = rng.choice(OFFSETS)
        own = [network.begin(self.entry) for _ in range(3)]
        network.run(rng.choice([0.0, 0.3]))
        network.begin_trouble(self.entry, trouble)
        network.run(rng.choice([0.0, 0.2, 1.0]))
        old = [item for item in network.servers.values() if item.is_up]
        for _ in range(rng.choice([1, 2, 3])):
            network.add_server(version)
        staying = rng.choice([0, 1, len(old)])
        for server in old[staying:]:
            network.leave(server)
        network.run(rng.choice([0.4, 0.8]))
        streams = [
            network.begin(rng.choice(self.others)) for _ in range(STREAMS)
        ]
        network.run(rng.choice([0.15, 0.5, 1.0]))
        self._lose(self._loss or rng.choice(list(Loss)))
        if offset < 0:
            self._take_up(streams + own, version)
            network.run(-offset)
            network.end_trouble(self.entry)
        else:
            network.end_trouble(self.entry)
            network.run(offset)
            self._take_up(streams + own, version)
        network.run(rng.choice([0.0, 0.5, 3.0]))

    def _lose(self, loss):
        network = self.network
        if loss is Loss.NOTHING:
            return
        lost = list(self.others)
        if loss is Loss.BEGINNER:
            lost = self.rng.sample(lost, min(2, len(lost)))
        for name in lost:
            network.kill(name)
        if loss is Loss.ALL:
            for name in keeper_network.KEEPERS:
                network.kill(name)
                network.run(0.02)
                network.restart(name)
        for name in lost:
            network.restart(name)

    def _take_up(self, streams, version):
        """Have callers come to the entry; some of the servers break."""
        network, rng = self.network, self.rng
        breaks = rng.choice(["callers", "one server", "all servers"])
        running = [
            item
            for item in network.servers.values()
            if item.is_up and item.version == version
        ]
        if breaks == "one server":
            network.crash(running[0])
        for stream in streams:
            network.leave_stream(stream, self.entry)
        if breaks == "all servers":
            network.crash_all(version)
            network.call_later(
                rng.choice([0.5, 2.0]), lambda: network.add_server(version)
            )
        self.taken_up += [item for item in streams if item.events]

    def _compare(self):
        """Count what goes on at the entry and at another one, in touch."""
        network = self.network
        for _ in range(2):
            network.add_server(f"v{self._rounds + 1}")
        network.run(1.0)
        for instance, found in (
            (self.entry, self.settled),
            (self.rng.choice(self.others), self.compared),
        ):
            beginners = [i for i in network.entries if i != instance]
            found += [
                network.begin(self.rng.choice(beginners)) for _ in range(20)
            ]
            network.run(0.7)
            for stream in found:
                network.leave_stream(stream, instance)
            network.run(5.0)


def complete(streams):
    """Return how many streams are complete."""
    return sum(stream.is_complete for stream in streams)
