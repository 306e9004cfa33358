"""Records of backend servers: order, leases, leaving, repair."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from dandeliontrail.coordination import servers
from dandeliontrail.resources import announcements
from dandeliontrail_lab import pure_nodes


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


class ServerRegistries(stateful.RuleBasedStateMachine):
    """Three registries that get records late, repeated and out of order.

    The clocks differ, but the age that each hop adds is never too small.
    ``spoken`` is when a server last spoke, on the true clock; ``left`` the
    epochs in which it said that it leaves.
    """

    NAMES = st.sampled_from(["e1", "e2"])
    PLACES = st.integers(0, 2)

    @stateful.initialize()
    def begin(self):
        self.now = 100.0
        self.skews = [0.0, 5_000.0, -50.0]
        self.held = [servers.ServerRegistry() for _ in range(3)]
        self.wire = []
        self.epochs = {"e1": 1, "e2": 1}
        self.sequences = {"e1": 0, "e2": 0}
        self.spoken = {}
        self.left = {}

    def at(self, place):
        return self.now + self.skews[place]

    @stateful.rule(seconds=st.sampled_from([0.2, 0.9, 2.5, 70.0]))
    def time_passes(self, seconds):
        self.now += seconds
        for place, registry in enumerate(self.held):
            registry.forget(self.at(place))

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
        said = announcement(
            epoch, self.sequences[name], name, leaving=leaving, lease=lease
        )
        self.spoken[name] = self.now
        if leaving:
            self.left.setdefault(name, {}).setdefault(epoch, self.now)
        # Another copy may still be on its way through another instance.
        self.wire.append((self.now, servers.ServerRecord(said)))
        self.held[place].learn(said, 0.0, self.at(place))

    @stateful.rule(place=PLACES, data=st.data())
    def an_old_record_arrives(self, place, data):
        if not self.wire:
            return
        spoken, record = data.draw(st.sampled_from(self.wire))
        age = self.now - spoken
        self.held[place].learn(record.announcement, age, self.at(place))

    @stateful.rule(one=PLACES, other=PLACES)
    def registries_exchange(self, one, other):
        for source, target in ((one, other), (other, one)):
            for name in list(self.held[source].servers):
                record = self.held[source].record_of(name, self.at(source))
                self.held[target].learn(
                    record.announcement, record.age + 0.001, self.at(target)
                )

    @stateful.rule(one=PLACES, other=PLACES)
    def one_renews_at_another(self, one, other):
        for name in list(self.held[one].servers):
            renewal = self.held[one].renewal_of(name, self.at(one))
            self.held[other].renew(
                renewal, renewal.age + 0.001, self.at(other)
            )

    @stateful.invariant()
    def a_silent_server_gets_no_new_work(self):
        for place, registry in enumerate(self.held):
            for server in registry.serving(self.at(place)):
                name = server.announcement.backend_server
                assert self.now - self.spoken[name] <= servers.LONGEST_LEASE

    @stateful.invariant()
    def a_leaving_server_gets_no_new_work_after_its_bound(self):
        for place, registry in enumerate(self.held):
            for server in registry.serving(self.at(place)):
                said = server.announcement
                left = self.left.get(said.backend_server, {})
                if said.epoch in left:
                    assert self.now - left[said.epoch] <= 3.0

    def teardown(self):
        if not hasattr(self, "held"):
            return
        for _ in range(2):
            for one, other in ((0, 1), (1, 2), (0, 2)):
                self.registries_exchange(one, other)
        views = [
            {
                name: (item.announcement.epoch, item.announcement.leaving)
                for name, item in registry.servers.items()
                if item.serves(self.at(place))
            }
            for place, registry in enumerate(self.held)
        ]
        assert views[0] == views[1] == views[2]


TestServerRegistries = ServerRegistries.TestCase
TestServerRegistries.settings = settings(
    max_examples=60, stateful_step_count=30
)


def serving(made, name="e1"):
    return [
        node.state.registry.servers[name].serves(made.now + node.skew)
        for node in made.nodes.values()
        if name in node.state.registry.servers
    ]


def nine(**options):
    made = pure_nodes.Network(**options)
    for index in range(9):
        skew = 1000.0 * index
        made.add(f"i{index}", f"fd{index // 3}", skew=skew)
    made.run(5.0)
    return made


def speak(made, seconds, name="e1", first=1, **fields):
    """Let a server announce itself each second, to one node after another."""
    nodes = list(made.nodes.values())
    for count in range(seconds):
        node = nodes[count % len(nodes)]
        made.announce(node, announcement(1, first + count, name, **fields))
        made.run(1.0)


def test_every_instance_gives_work_while_a_server_announces_itself():
    made = nine()
    speak(made, 1)
    for _ in range(20):
        speak(made, 1, first=2 + _)
        assert serving(made) == [True] * 9


def test_leave_through_one_instance_wins_over_an_older_word_elsewhere():
    # The server says through i0 that it leaves; its announcement from
    # before, or one with a later number that it sent from another thread,
    # arrives through i8 afterwards.  No instance may give it work again.
    made = nine()
    speak(made, 3)
    nodes = list(made.nodes.values())
    made.announce(nodes[0], announcement(1, 10, leaving=True))
    made.announce(nodes[8], announcement(1, 9))
    made.run(0.3)
    assert serving(made) == [False] * 9
    made.announce(nodes[8], announcement(1, 11))
    made.run(3.0)
    assert serving(made) == [False] * 9


def test_leave_that_arrives_after_a_later_announcement_still_wins():
    made = nine()
    speak(made, 3, first=10)
    last = list(made.nodes.values())[-1]
    made.announce(last, announcement(1, 9, leaving=True))
    made.run(0.3)
    assert serving(made) == [False] * 9
    made.announce(last, announcement(2, 1))
    made.run(0.3)
    assert serving(made) == [True] * 9


def test_missed_leave_is_repaired_before_the_lease_lapses():
    # i1 is cut off just when the server says, once, that it leaves.
    made = nine()
    speak(made, 3)
    rest = [name for name in made.nodes if name != "i1"]
    made.separate(["i1"], rest)
    first = list(made.nodes.values())[0]
    made.announce(first, announcement(1, 10, leaving=True))
    made.run(0.2)
    made.heal()
    made.run(1.2)
    held = made.nodes["i1"].state.registry.servers["e1"]
    assert held.announcement.leaving


def test_silent_server_is_dropped_everywhere_within_its_lease():
    made = nine()
    speak(made, 3)
    made.run(2.2)
    assert not any(serving(made))


def test_lost_news_is_repaired():
    # Every second message is lost: the change reaches everybody all the
    # same, through the comparison of digests.
    made = nine(seed=3, loss=0.5)
    speak(made, 4)
    for count in range(6):
        speak(made, 1, first=10 + count, model="large")
    models = [
        node.state.registry.servers["e1"].announcement.models[0].name
        for node in made.nodes.values()
    ]
    assert models == ["large"] * 9


def test_change_is_not_hidden_by_later_renewals():
    # i1 misses the record with the new model, but hears renewals that are
    # newer than it.  It must fetch the record, not renew the stale one.
    one, two = servers.ServerRegistry(), servers.ServerRegistry()
    for registry in (one, two):
        registry.learn(announcement(1, 1), 0.0, 1.0)
    one.learn(announcement(1, 2, model="large"), 0.0, 2.0)
    one.learn(announcement(1, 3, model="large"), 0.0, 3.0)
    assert two.renew(one.renewal_of("e1", 3.0), 0.0, 3.0) is None
    record = one.record_of("e1", 3.0)
    assert two.learn(record.announcement, record.age, 3.0)
    assert two.digest.root == one.digest.root


def test_message_held_up_on_the_way_cannot_prolong_a_lease():
    # The renewals sit in a socket for four seconds while the process that
    # should read them stands still.  They are old when it wakes up.
    made = nine()
    speak(made, 4)
    made.delay = 6.0
    speak(made, 1, first=5)
    made.run(6.0)
    assert not any(serving(made))


def test_announcement_that_waited_for_a_paused_instance_renews_nothing():
    # An instance stands still for five seconds.  A server's last
    # announcement waits in its socket meanwhile; when it is read, before or
    # after the first tick, it is as old as the pause and not new.
    for ticked in (False, True):
        made = nine()
        speak(made, 3)
        node = made.nodes["i4"]
        node.up = False
        made.run(5.0)
        node.up = True
        if ticked:
            made.run(0.2)
        made.announce(node, announcement(1, 10))
        made.run(0.5)
        assert not any(serving(made))
        made.run(1.0)
        made.announce(node, announcement(1, 11))
        made.run(1.5)
        assert serving(made) == [True] * 9


def test_partitioned_instances_stop_to_give_work():
    made = nine()
    speak(made, 3)
    cut = ["i6", "i7", "i8"]
    made.separate(cut, [name for name in made.nodes if name not in cut])
    first = list(made.nodes.values())[0]
    for count in range(4):
        made.announce(first, announcement(1, 10 + count))
        made.run(1.0)
    now = {name: node.state for name, node in made.nodes.items()}
    held = now["i7"].registry.servers["e1"]
    assert not held.serves(made.now + made.nodes["i7"].skew)
    made.heal()
    made.announce(first, announcement(1, 20))
    made.run(2.0)
    assert serving(made) == [True] * 9
