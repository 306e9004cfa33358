"""Random partitions, losses, crashes and leaves over pure nodes."""

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from dandeliontrail.coordination import servers
from dandeliontrail.resources import announcements
from dandeliontrail_lab import pure_nodes

from tests.common import usage_nodes

# A lease is a sum of floats.
LIMIT = servers.LONGEST_LEASE + 1e-6
NAMES = [f"i{index}" for index in range(6)]
SERVERS = ["e0", "e1"]
NAME = st.sampled_from(NAMES)
SERVER = st.sampled_from(SERVERS)


class Partitions(stateful.RuleBasedStateMachine):
    """Six nodes in three failure domains, and two backend servers.

    ``spoken`` is when a server last spoke and ``left`` when it said that
    it leaves in its present epoch, on the network's clock.
    """

    @stateful.initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        self.net = pure_nodes.Network(seed)
        for index, name in enumerate(NAMES):
            usage_nodes.start(self.net, name, f"fd{index // 2}", 1)
        self.starts = 1
        self.epochs = dict.fromkeys(SERVERS, 1)
        self.sequence = 0
        self.spoken = {}
        self.left = {}
        self.counted = 0
        self.lost = 0
        self.pending = dict.fromkeys(NAMES, 0)
        self.wait(4.0)

    def wait(self, seconds):
        self.net.run(seconds, self.check)

    def check(self):
        now = self.net.now
        for node in self.net.nodes.values():
            if not node.up:
                continue
            for server in node.state.registry.serving(now):
                said = server.announcement
                name = said.backend_server
                assert now - self.spoken[name] <= LIMIT
                if name in self.left and said.epoch == self.epochs[name]:
                    assert now - self.left[name] <= LIMIT

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 5.0]))
    def time_passes(self, seconds):
        self.wait(seconds)

    @stateful.rule(one=NAME, other=NAME, both_ways=st.booleans())
    def path_is_cut(self, one, other, both_ways):
        if one != other:
            self.net.separate([one], [other], both_ways)

    @stateful.rule(domain=st.integers(0, 2))
    def domain_is_cut_off(self, domain):
        inside = NAMES[2 * domain : 2 * domain + 2]
        self.net.separate(inside, [x for x in NAMES if x not in inside])

    @stateful.rule(loss=st.sampled_from([0.0, 0.3]))
    def messages_get_lost(self, loss):
        self.net.loss = loss

    @stateful.rule()
    def all_is_healed(self):
        self.net.heal()

    @stateful.rule(name=NAME)
    def node_restarts(self, name):
        # What it counted last may be lost with it, nothing else.
        self.starts += 1
        self.lost += self.pending[name]
        self.pending[name] = 0
        usage_nodes.restart(self.net, name, self.starts)
        self.wait(0.5)

    @stateful.rule(name=NAME, server=SERVER, leaving=st.booleans())
    def server_speaks(self, name, server, leaving):
        leaving = leaving or server in self.left
        self.sequence += 1
        said = announcements.Announcement(
            server,
            self.epochs[server],
            self.sequence,
            "model_engine",
            f"http://{server}",
            leaving=leaving,
        )
        self.spoken[server] = self.net.now
        if leaving:
            self.left.setdefault(server, self.net.now)
        self.net.announce(self.net.nodes[name], said)
        self.wait(0.1)

    @stateful.rule(server=SERVER)
    def server_restarts(self, server):
        self.epochs[server] += 1
        self.left.pop(server, None)

    @stateful.rule(name=NAME)
    def node_counts(self, name):
        node = self.net.nodes[name]
        node.state.usage.count("lab", "lookup", usage_nodes.totals(1))
        self.counted += 1
        self.pending[name] += 1

    def teardown(self):
        if not hasattr(self, "net"):
            return
        self.net.heal()
        self.net.loss = 0.0
        self.wait(30.0)
        states = [node.state for node in self.net.nodes.values()]
        now = self.net.now
        assert all(len(state.members.alive(now)) == 5 for state in states)
        assert len({state.members.digest.root for state in states}) == 1
        assert len({state.registry.digest.root for state in states}) == 1
        used = {state.usage.used_by("lab").requests for state in states}
        assert len(used) == 1
        assert self.counted - self.lost <= used.pop() <= self.counted


TestPartitions = Partitions.TestCase
# To shrink an example of this size takes minutes and helps little.
TestPartitions.settings = settings(
    max_examples=25, stateful_step_count=20, phases=[Phase.generate]
)
