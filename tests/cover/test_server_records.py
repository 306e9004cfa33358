"""Records of backend servers: ordering, leases, shutdown, anti-entropy."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from dandeliontrail.coordination import servers
from dandeliontrail.resources import announcements
from dandeliontrail_lab import simulated_nodes


def announcement(epoch=1, sequence=1, name="e1", **fields):
    model = announcements.Model(fields.pop("model", "small"))
    return announcements.Announcement(
        name,
        epoch,
        sequence,
        "model_engine",
        f"http://{name}",
        models=[model],
        **fields,
    )


class RegistryMachine(stateful.RuleBasedStateMachine):
    """Three registries that get records late, repeatedly and out of order.

    The clocks are skewed, but the age that each hop adds is never too small.
    ``announced`` is when a server last announced itself, on the true clock;
    ``left`` has the epochs in which it announced its shutdown, and when.
    """

    NAMES = st.sampled_from(["e1", "e2"])
    PLACES = st.integers(0, 2)

    @stateful.initialize()
    def begin(self):
        self.now = 100.0
        self.skews = [0.0, 5_000.0, -50.0]
        self.registries = [servers.ServerRegistry() for _ in range(3)]
        self.sent_records = []
        self.epochs = {"e1": 1, "e2": 1}
        self.sequences = {"e1": 0, "e2": 0}
        self.announced = {}
        self.left = {}

    def local_time(self, place):
        return self.now + self.skews[place]

    @stateful.rule(seconds=st.sampled_from([0.2, 0.9, 2.5, 70.0]))
    def time_passes(self, seconds):
        self.now += seconds
        for place, registry in enumerate(self.registries):
            registry.remove_expired(self.local_time(place))

    @stateful.rule(name=NAMES)
    def restarts(self, name):
        self.epochs[name] += 1
        self.sequences[name] = 0

    @stateful.rule(
        name=NAMES,
        place=PLACES,
        leaving=st.booleans(),
        lease=st.sampled_from([1.0, 3.0, 100.0]),
    )
    def announces(self, name, place, leaving, lease):
        epoch = self.epochs[name]
        leaving = leaving or epoch in self.left.get(name, ())
        self.sequences[name] += 1
        sent = announcement(
            epoch, self.sequences[name], name, leaving=leaving, lease=lease
        )
        self.announced[name] = self.now
        if leaving:
            self.left.setdefault(name, {}).setdefault(epoch, self.now)
        # Another copy may still be in transit through another instance.
        self.sent_records.append((self.now, servers.ServerRecord(sent)))
        self.registries[place].learn(sent, 0.0, self.local_time(place))

    @stateful.rule(place=PLACES, data=st.data())
    def an_old_record_arrives(self, place, data):
        if not self.sent_records:
            return
        sent_at, record = data.draw(st.sampled_from(self.sent_records))
        age = self.now - sent_at
        self.registries[place].learn(
            record.announcement, age, self.local_time(place)
        )

    @stateful.rule(one=PLACES, other=PLACES)
    def registries_exchange(self, one, other):
        for source, target in ((one, other), (other, one)):
            for name in list(self.registries[source].servers):
                record = self.registries[source].record_of(
                    name, self.local_time(source)
                )
                self.registries[target].learn(
                    record.announcement,
                    record.age + 0.001,
                    self.local_time(target),
                )

    @stateful.rule(one=PLACES, other=PLACES)
    def one_renews_at_another(self, one, other):
        for name in list(self.registries[one].servers):
            renewal = self.registries[one].renewal_of(
                name, self.local_time(one)
            )
            self.registries[other].renew(
                renewal, renewal.age + 0.001, self.local_time(other)
            )

    @stateful.invariant()
    def a_silent_server_gets_no_new_work(self):
        for place, registry in enumerate(self.registries):
            for server in registry.serving(self.local_time(place)):
                name = server.announcement.backend_server
                assert (
                    self.now - self.announced[name]
                    <= servers.MAX_LEASE_SECONDS
                )

    @stateful.invariant()
    def a_leaving_server_gets_no_new_work_after_its_bound(self):
        for place, registry in enumerate(self.registries):
            for server in registry.serving(self.local_time(place)):
                record = server.announcement
                left = self.left.get(record.backend_server, {})
                if record.epoch in left:
                    assert self.now - left[record.epoch] <= 3.0

    def teardown(self):
        if not hasattr(self, "registries"):
            return
        for _ in range(2):
            for one, other in ((0, 1), (1, 2), (0, 2)):
                self.registries_exchange(one, other)
        views = [
            {
                name: (item.announcement.epoch, item.announcement.leaving)
                for name, item in registry.servers.items()
                if item.serves(self.local_time(place))
            }
            for place, registry in enumerate(self.registries)
        ]
        assert views[0] == views[1] == views[2]


TestServerRegistries = RegistryMachine.TestCase
TestServerRegistries.settings = settings(
    max_examples=60, stateful_step_count=30
)


def serving_by_instance(network, name="e1"):
    return [
        node.state.registry.servers[name].serves(network.now + node.skew)
        for node in network.nodes.values()
        if name in node.state.registry.servers
    ]


def nine_instances(**options):
    network = simulated_nodes.Network(**options)
    for index in range(9):
        skew = 1000.0 * index
        network.add(f"i{index}", f"fd{index // 3}", skew=skew)
    network.run(5.0)
    return network


def announce_each_second(network, seconds, name="e1", first=1, **fields):
    """Announce a server once per second, to each instance in turn."""
    nodes = list(network.nodes.values())
    for count in range(seconds):
        node = nodes[count % len(nodes)]
        network.announce(node, announcement(1, first + count, name, **fields))
        network.run(1.0)


def test_every_instance_gives_work_while_a_server_announces_itself():
    network = nine_instances()
    announce_each_second(network, 1)
    for count in range(20):
        announce_each_second(network, 1, first=2 + count)
        assert serving_by_instance(network) == [True] * 9


def test_leave_at_one_instance_wins_over_an_older_record_elsewhere():
    # The server announces its shutdown to i0.  Then an older announcement,
    # and one with a higher sequence that another of its threads sent, arrive
    # at i8.  No instance may give the server work again.
    network = nine_instances()
    announce_each_second(network, 3)
    nodes = list(network.nodes.values())
    network.announce(nodes[0], announcement(1, 10, leaving=True))
    network.announce(nodes[8], announcement(1, 9))
    network.run(0.3)
    assert serving_by_instance(network) == [False] * 9
    network.announce(nodes[8], announcement(1, 11))
    network.run(3.0)
    assert serving_by_instance(network) == [False] * 9


def test_leave_that_arrives_after_a_later_announcement_still_wins():
    network = nine_instances()
    announce_each_second(network, 3, first=10)
    last = list(network.nodes.values())[-1]
    network.announce(last, announcement(1, 9, leaving=True))
    network.run(0.3)
    assert serving_by_instance(network) == [False] * 9
    network.announce(last, announcement(2, 1))
    network.run(0.3)
    assert serving_by_instance(network) == [True] * 9


def test_missed_leave_is_repaired_before_the_lease_expires():
    # i1 is partitioned while the server announces its shutdown, once.
    network = nine_instances()
    announce_each_second(network, 3)
    rest = [name for name in network.nodes if name != "i1"]
    network.partition(["i1"], rest)
    first = list(network.nodes.values())[0]
    network.announce(first, announcement(1, 10, leaving=True))
    network.run(0.2)
    network.heal()
    network.run(1.2)
    server = network.nodes["i1"].state.registry.servers["e1"]
    assert server.announcement.leaving


def test_silent_server_is_dropped_everywhere_within_its_lease():
    network = nine_instances()
    announce_each_second(network, 3)
    network.run(2.2)
    assert not any(serving_by_instance(network))


def test_lost_changes_are_repaired():
    # Half of all messages are lost; the change still reaches every instance
    # through the comparison of digests.
    network = nine_instances(seed=3, loss=0.5)
    announce_each_second(network, 4)
    for count in range(6):
        announce_each_second(network, 1, first=10 + count, model="large")
    models = [
        node.state.registry.servers["e1"].announcement.models[0].name
        for node in network.nodes.values()
    ]
    assert models == ["large"] * 9


def test_change_is_not_hidden_by_later_renewals():
    # The second registry misses the record with the new model, but gets a
    # later renewal.  It must fetch the record, not renew the stale one.
    one, two = servers.ServerRegistry(), servers.ServerRegistry()
    for registry in (one, two):
        registry.learn(announcement(1, 1), 0.0, 1.0)
    one.learn(announcement(1, 2, model="large"), 0.0, 2.0)
    one.learn(announcement(1, 3, model="large"), 0.0, 3.0)
    assert two.renew(one.renewal_of("e1", 3.0), 0.0, 3.0) is None
    record = one.record_of("e1", 3.0)
    assert two.learn(record.announcement, record.age, 3.0)
    assert two.digest.root == one.digest.root


def test_delayed_message_cannot_extend_a_lease():
    # The renewals stay in a socket buffer for longer than a lease while the
    # receiving process is paused.  They have expired when it reads them.
    network = nine_instances()
    announce_each_second(network, 4)
    network.delay = 6.0
    announce_each_second(network, 1, first=5)
    network.run(6.0)
    assert not any(serving_by_instance(network))


def test_announcement_that_waited_for_a_paused_instance_renews_nothing():
    # An instance is paused for five seconds while a server's last
    # announcement waits in its socket buffer.  Whether it is read before or
    # after the first tick, its age must include the pause.
    for ticked in (False, True):
        network = nine_instances()
        announce_each_second(network, 3)
        node = network.nodes["i4"]
        node.up = False
        network.run(5.0)
        node.up = True
        if ticked:
            network.run(0.2)
        network.announce(node, announcement(1, 10))
        network.run(0.5)
        assert not any(serving_by_instance(network))
        network.run(1.0)
        network.announce(node, announcement(1, 11))
        network.run(1.5)
        assert serving_by_instance(network) == [True] * 9


def test_partitioned_instances_stop_giving_work():
    network = nine_instances()
    announce_each_second(network, 3)
    cut = ["i6", "i7", "i8"]
    network.partition(cut, [name for name in network.nodes if name not in cut])
    first = list(network.nodes.values())[0]
    for count in range(4):
        network.announce(first, announcement(1, 10 + count))
        network.run(1.0)
    states = {name: node.state for name, node in network.nodes.items()}
    server = states["i7"].registry.servers["e1"]
    assert not server.serves(network.now + network.nodes["i7"].skew)
    network.heal()
    network.announce(first, announcement(1, 20))
    network.run(2.0)
    assert serving_by_instance(network) == [True] * 9
