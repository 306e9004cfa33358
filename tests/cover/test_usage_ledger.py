"""The usage ledger neither loses counts nor counts anything twice."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from dandeliontrail.coordination import codec
from dandeliontrail.coordination import ledger
from dandeliontrail.coordination import member_records
from dandeliontrail.coordination import usage

from tests.common import usage_nodes

ORGANISATIONS = ("dock", "lab")


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Three instances that count, restart, fold and exchange rows.

    Messages are kept and delivered late, repeatedly and in any order.
    ``counted`` is the model: the totals counted by each publisher.
    """

    PLACES = st.integers(0, 2)
    ORGANISATION = st.sampled_from(ORGANISATIONS)

    @stateful.initialize()
    def begin(self):
        self.incarnations = [1, 1, 1]
        self.ledgers = [self.new_ledger_at(place) for place in range(3)]
        self.counted = {}
        self.sent_messages = []

    def new_ledger_at(self, place):
        own = usage.Publisher(f"i{place}", self.incarnations[place])
        new_ledger = ledger.UsageLedger(own)
        new_ledger.day = usage_nodes.DAY
        return new_ledger

    def encode_and_decode(self, message):
        sender = codec.messages.Sender("i0", "", "", "", 1)
        body = codec.encode(codec.Envelope(sender, [message]))
        return codec.decode(body)[0].messages[0]

    @stateful.rule(
        place=PLACES, organisation=ORGANISATION, count=st.integers(0, 9)
    )
    def counts(self, place, organisation, count):
        own_ledger = self.ledgers[place]
        own_ledger.count(
            organisation, "lookup", usage_nodes.request_totals(count)
        )
        by_organisation = self.counted.setdefault(own_ledger.own, {})
        by_organisation.setdefault(organisation, usage.Totals()).add(
            usage_nodes.request_totals(count)
        )

    @stateful.rule(place=PLACES, organisation=ORGANISATION)
    def counts_an_attempt_that_relayed_nothing(self, place, organisation):
        self.ledgers[place].count(organisation, "lookup", usage.Totals())

    @stateful.rule(place=PLACES, organisation=ORGANISATION, data=st.data())
    def an_earlier_release_sends_a_row_without_counts(
        self, place, organisation, data
    ):
        own_ledger = self.ledgers[place]
        version = own_ledger.own_version()
        if not version:
            return
        key = usage.UsageKey(usage_nodes.DAY, organisation, "empty")
        row = usage.UsageRow(key, version, usage.Totals())
        message = usage.UsageRows(own_ledger.own, version, version, [row])
        self.sent_messages.append(self.encode_and_decode(message))

    @stateful.rule(place=PLACES, since=st.integers(0, 5))
    def sends_rows(self, place, since):
        own_ledger = self.ledgers[place]
        since = min(since, own_ledger.own_version())
        message = own_ledger.rows_since(own_ledger.own, since)
        self.sent_messages.append(self.encode_and_decode(message))

    @stateful.rule(place=PLACES, data=st.data())
    def an_old_message_arrives(self, place, data):
        if self.sent_messages:
            self.ledgers[place].merge(
                data.draw(st.sampled_from(self.sent_messages))
            )

    @stateful.rule(one=PLACES, other=PLACES)
    def one_brings_another_up_to_date(self, one, other):
        if one == other:
            return
        have = self.encode_and_decode(self.ledgers[other].have())
        for message in self.ledgers[one].answer(have):
            message = self.encode_and_decode(message)
            if isinstance(message, usage.UsageCheckpoint):
                self.ledgers[other].adopt(message)
            else:
                self.ledgers[other].merge(message)

    @stateful.rule(place=PLACES)
    def restarts(self, place):
        old = self.ledgers[place]
        for one in range(3):
            self.one_brings_another_up_to_date(place, one)
        self.incarnations[place] += 1
        self.ledgers[place] = self.new_ledger_at(place)
        assert old.own not in self.ledgers[place].publishers_of(f"i{place}")

    @stateful.rule(place=PLACES)
    def restarts_from_its_disk(self, place):
        old = self.ledgers[place]
        self.incarnations[place] += 1
        self.ledgers[place] = self.new_ledger_at(place)
        self.ledgers[place].restore(old.snapshot())

    @stateful.rule(place=PLACES)
    def all_agree_and_one_folds(self, place):
        self.exchange_all()
        for each in self.ledgers:
            for instance in each.unfolded():
                current = self.incarnations[int(instance[1:])]
                for publisher in each.publishers_of(instance):
                    if publisher.incarnation < current:
                        each.finish(publisher)
        roots = {each.finished_root() for each in self.ledgers}
        assert len(roots) == 1
        self.ledgers[place].fold()
        assert {each.finished_root() for each in self.ledgers} == roots

    def exchange_all(self):
        for _ in range(2):
            for one in range(3):
                for other in range(3):
                    self.one_brings_another_up_to_date(one, other)

    @stateful.invariant()
    def nobody_holds_more_than_was_counted(self):
        for each in self.ledgers:
            for organisation in ORGANISATIONS:
                counted = self.expected_total(organisation)
                used = each.used(organisation, "lookup")
                assert used == each.used_by(organisation)
                assert used == each.used_today(organisation)
                for field in used.__struct_fields__:
                    assert getattr(used, field) <= getattr(counted, field)

    def expected_total(self, organisation):
        expected = usage.Totals()
        for by_organisation in self.counted.values():
            expected.add(by_organisation.get(organisation, usage.Totals()))
        return expected

    def teardown(self):
        if not hasattr(self, "ledgers"):
            return
        self.exchange_all()
        for each in self.ledgers:
            assert each.late == 0
            for organisation in ORGANISATIONS:
                assert each.used_by(organisation) == self.expected_total(
                    organisation
                )
        assert len({each.version() for each in self.ledgers}) == 1


TestLedgers = LedgerMachine.TestCase
TestLedgers.settings = settings(max_examples=100, stateful_step_count=40)


def test_missing_row_is_requested():
    one = ledger.UsageLedger(usage.Publisher("i1", 1))
    two = ledger.UsageLedger(usage.Publisher("i2", 1))
    one.count("dock", "lookup", usage_nodes.request_totals(1))
    one.count("lab", "lookup", usage_nodes.request_totals(1))
    assert not two.merge(one.rows_since(one.own, 1))
    assert two.held_version(one.own) == 0
    for message in one.answer(two.have()):
        assert two.merge(message)
    assert two.version() == one.version()
    assert two.used_by("dock").requests == 1


def test_late_copy_of_a_folded_row_counts_nothing():
    # A message from the previous incarnation of an instance is delayed until
    # the others have folded that incarnation into a checkpoint.
    one = ledger.UsageLedger(usage.Publisher("i1", 1))
    two = ledger.UsageLedger(usage.Publisher("i2", 1))
    one.count("lab", "lookup", usage_nodes.request_totals(1))
    message = one.rows_since(one.own, 0)
    two.merge(message)
    two.finish(one.own)
    assert two.fold() == 1
    two.merge(message)
    assert two.used_by("lab").requests == 1


def test_all_instances_hold_what_each_counted_in_spite_of_losses():
    network = usage_nodes.nine_instances(seed=5, loss=0.3)
    for index in range(90):
        node = network.nodes[f"i{index % 9}"]
        node.state.usage.count("lab", "lookup", usage_nodes.request_totals(1))
        network.run(0.1)
    network.run(8.0)
    assert [
        usage_nodes.requests_used(network, name) for name in network.nodes
    ] == [90] * 9


def test_crash_loses_at_most_a_second_and_copies_outlive_a_domain():
    # An instance counts ten requests per second, then its whole failure
    # domain crashes.  The others must have all but the last second.
    network = usage_nodes.nine_instances()
    for _ in range(50):
        network.nodes["i0"].state.usage.count(
            "lab", "lookup", usage_nodes.request_totals(1)
        )
        network.run(0.1)
    for name in ("i0", "i1", "i2"):
        network.nodes[name].up = False
    network.run(3.0)
    for name in list(network.nodes)[3:]:
        assert usage_nodes.requests_used(network, name) >= 40


def test_partition_neither_loses_nor_doubles_a_count():
    network = usage_nodes.nine_instances()
    inside = ["i0", "i1", "i2"]
    network.partition(
        inside, [name for name in network.nodes if name not in inside]
    )
    for index in range(60):
        node = network.nodes[f"i{index % 9}"]
        node.state.usage.count("lab", "lookup", usage_nodes.request_totals(1))
        network.run(0.5)
    assert usage_nodes.requests_used(network, "i0") == 21
    network.heal()
    network.run(10.0)
    assert [
        usage_nodes.requests_used(network, name) for name in network.nodes
    ] == [60] * 9


def test_many_restarts_leave_one_publisher_per_instance():
    usage_nodes.check_restarts(36)


def test_instance_isolated_for_long_keeps_its_counts():
    # The others consider the instance failed, but it continues to count in
    # isolation; they must not fold its publisher in the meantime.
    network = usage_nodes.nine_instances()
    rest = [name for name in network.nodes if name != "i0"]
    network.partition(["i0"], rest)
    network.run(30.0)
    for _ in range(30):
        network.nodes["i0"].state.usage.count(
            "lab", "lookup", usage_nodes.request_totals(1)
        )
        network.run(1.0)
    failed = network.nodes["i1"].state.members.members["i0"].standing
    assert failed is member_records.Standing.FAILED
    network.heal()
    network.run(12.0)
    assert [
        usage_nodes.requests_used(network, name) for name in network.nodes
    ] == [30] * 9


def test_restart_with_an_older_wall_clock_still_counts():
    # The wall clock was set back, so the new incarnation is lower than one
    # that is folded already, and the others would discard its rows.
    network = usage_nodes.nine_instances()
    network.run(60.0)
    old = network.nodes["i0"]
    old.state.usage.count("lab", "lookup", usage_nodes.request_totals(1))
    network.run(2.0)
    for number in (1 << 41, 5):
        node = usage_nodes.restart_instance(network, "i0", number)
        node.state.usage.count("lab", "lookup", usage_nodes.request_totals(1))
        network.run(20.0)
    network.run(70.0)
    assert [
        usage_nodes.requests_used(network, name) for name in network.nodes
    ] == [3] * 9


def test_restart_with_an_older_wall_clock_inside_a_partition_counts_once():
    # The instance restarts with its wall clock set back while its failure
    # domain is partitioned, counts, and learns only afterwards that others
    # know a higher incarnation.  The rows that it sent within its domain
    # must not be counted again under the incarnation that it switches to.
    network = usage_nodes.nine_instances()
    network.nodes["i0"].state.usage.count(
        "lab", "lookup", usage_nodes.request_totals(1)
    )
    network.run(3.0)
    inside = ["i0", "i1", "i2"]
    outside = [name for name in network.nodes if name not in inside]
    for name in inside:
        network.nodes[name].up = False
    network.partition(inside, outside)
    for number, name in enumerate(inside):
        network.nodes.pop(name)
        usage_nodes.start_instance(network, name, "fd0", number)
    network.run(8.0)
    network.nodes["i0"].state.usage.count(
        "lab", "lookup", usage_nodes.request_totals(1)
    )
    network.run(5.0)
    assert usage_nodes.requests_used(network, "i1") == 1
    network.heal()
    network.run(20.0)
    found = [
        usage_nodes.requests_used(network, name) for name in network.nodes
    ]
    assert found == [2] * 9
