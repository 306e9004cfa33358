"""Random partitions, message loss, restarts and server shutdowns.

The instances run in a simulated network.
"""

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from dandeliontrail.coordination import servers
from dandeliontrail.resources import announcements
from dandeliontrail_lab import simulated_nodes

from tests.common import usage_nodes

# The tolerance is for rounding, since the end of a lease is a sum of floats.
MAX_SILENCE_SECONDS = servers.MAX_LEASE_SECONDS + 1e-6
NAMES = [f"i{index}" for index in range(6)]
SERVERS = ["e0", "e1"]
NAME = st.sampled_from(NAMES)
SERVER = st.sampled_from(SERVERS)


class PartitionMachine(stateful.RuleBasedStateMachine):
    """Six instances in three failure domains, and two backend servers.

    ``announced`` is when a server last announced itself and ``left`` when it
    announced its shutdown in its current epoch, on the network's clock.
    ``pending`` has the number of requests that each instance counted since
    its start, and ``lost`` the sum of those that restarts may have lost.
    """

    @stateful.initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        self.net = simulated_nodes.Network(seed)
        for index, name in enumerate(NAMES):
            usage_nodes.start_instance(self.net, name, f"fd{index // 2}", 1)
        self.starts = 1
        self.epochs = dict.fromkeys(SERVERS, 1)
        self.sequence = 0
        self.announced = {}
        self.left = {}
        self.counted = 0
        self.lost = 0
        self.pending = dict.fromkeys(NAMES, 0)
        self.run_and_check(4.0)

    def run_and_check(self, seconds):
        self.net.run(seconds, self.check_serving)

    def check_serving(self):
        now = self.net.now
        for node in self.net.nodes.values():
            if not node.up:
                continue
            for server in node.state.registry.serving(now):
                record = server.announcement
                name = record.backend_server
                assert now - self.announced[name] <= MAX_SILENCE_SECONDS
                if name in self.left and record.epoch == self.epochs[name]:
                    assert now - self.left[name] <= MAX_SILENCE_SECONDS

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 5.0]))
    def time_passes(self, seconds):
        self.run_and_check(seconds)

    @stateful.rule(one=NAME, other=NAME, both_ways=st.booleans())
    def path_is_cut(self, one, other, both_ways):
        if one != other:
            self.net.partition([one], [other], both_ways)

    @stateful.rule(domain=st.integers(0, 2))
    def domain_is_cut_off(self, domain):
        inside = NAMES[2 * domain : 2 * domain + 2]
        self.net.partition(inside, [x for x in NAMES if x not in inside])

    @stateful.rule(loss=st.sampled_from([0.0, 0.3]))
    def messages_get_lost(self, loss):
        self.net.loss = loss

    @stateful.rule()
    def all_is_healed(self):
        self.net.heal()

    @stateful.rule(name=NAME)
    def node_restarts(self, name):
        # Only what it counted itself since its start may be lost.
        self.starts += 1
        self.lost += self.pending[name]
        self.pending[name] = 0
        usage_nodes.restart_instance(self.net, name, self.starts)
        self.run_and_check(0.5)

    @stateful.rule(name=NAME, server=SERVER, leaving=st.booleans())
    def server_speaks(self, name, server, leaving):
        leaving = leaving or server in self.left
        self.sequence += 1
        announcement = announcements.Announcement(
            server,
            self.epochs[server],
            self.sequence,
            "model_engine",
            f"http://{server}",
            leaving=leaving,
        )
        self.announced[server] = self.net.now
        if leaving:
            self.left.setdefault(server, self.net.now)
        self.net.announce(self.net.nodes[name], announcement)
        self.run_and_check(0.1)

    @stateful.rule(server=SERVER)
    def server_restarts(self, server):
        self.epochs[server] += 1
        self.left.pop(server, None)

    @stateful.rule(name=NAME)
    def node_counts(self, name):
        node = self.net.nodes[name]
        node.state.usage.count("lab", "lookup", usage_nodes.request_totals(1))
        self.counted += 1
        self.pending[name] += 1

    def teardown(self):
        if not hasattr(self, "net"):
            return
        self.net.heal()
        self.net.loss = 0.0
        self.run_and_check(30.0)
        states = [node.state for node in self.net.nodes.values()]
        now = self.net.now
        assert all(len(state.members.alive(now)) == 5 for state in states)
        assert len({state.members.digest.root for state in states}) == 1
        assert len({state.registry.digest.root for state in states}) == 1
        used = {state.usage.used_by("lab").requests for state in states}
        assert len(used) == 1
        assert self.counted - self.lost <= used.pop() <= self.counted


TestPartitions = PartitionMachine.TestCase
# Shrinking an example of this size takes minutes and helps little.
TestPartitions.settings = settings(
    max_examples=25, stateful_step_count=20, phases=[Phase.generate]
)
