"""The usage ledger: nothing lost, nothing counted twice."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from dandeliontrail.coordination import codec
from dandeliontrail.coordination import ledger
from dandeliontrail.coordination import member_records
from dandeliontrail.coordination import usage

from tests.common import usage_nodes

ORGANISATIONS = ("dock", "lab")


class Ledgers(stateful.RuleBasedStateMachine):
    """Three instances that count, restart, fold and exchange rows.

    Messages are kept and come late, repeated and in any order.  A start
    that ends takes along what it had not yet sent; the model knows it as
    lost.
    """

    PLACES = st.integers(0, 2)
    ORGANISATION = st.sampled_from(ORGANISATIONS)

    @stateful.initialize()
    def begin(self):
        self.incarnations = [1, 1, 1]
        self.ledgers = [self.new(place) for place in range(3)]
        self.counted = {}
        self.wire = []

    def new(self, place):
        own = usage.Publisher(f"i{place}", self.incarnations[place])
        made = ledger.UsageLedger(own)
        made.day = usage_nodes.DAY
        return made

    def through_codec(self, message):
        sender = codec.messages.Sender("i0", "", "", "", 1)
        body = codec.encode(codec.Envelope(sender, [message]))
        return codec.decode(body)[0].messages[0]

    @stateful.rule(
        place=PLACES, organisation=ORGANISATION, count=st.integers(0, 9)
    )
    def counts(self, place, organisation, count):
        held = self.ledgers[place]
        held.count(organisation, "lookup", usage_nodes.totals(count))
        by = self.counted.setdefault(held.own, {})
        by.setdefault(organisation, usage.Totals()).add(
            usage_nodes.totals(count)
        )

    @stateful.rule(place=PLACES, since=st.integers(0, 5))
    def sends_rows(self, place, since):
        held = self.ledgers[place]
        since = min(since, held.own_version())
        message = held.rows_since(held.own, since)
        self.wire.append(self.through_codec(message))

    @stateful.rule(place=PLACES, data=st.data())
    def an_old_message_arrives(self, place, data):
        if self.wire:
            self.ledgers[place].merge(data.draw(st.sampled_from(self.wire)))

    @stateful.rule(one=PLACES, other=PLACES)
    def one_brings_another_up_to_date(self, one, other):
        if one == other:
            return
        have = self.through_codec(self.ledgers[other].have())
        for message in self.ledgers[one].answer(have):
            message = self.through_codec(message)
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
        self.ledgers[place] = self.new(place)
        assert old.own not in self.ledgers[place].publishers_of(f"i{place}")

    @stateful.rule(place=PLACES)
    def restarts_from_its_disk(self, place):
        old = self.ledgers[place]
        self.incarnations[place] += 1
        self.ledgers[place] = self.new(place)
        self.ledgers[place].restore(old.snapshot())

    @stateful.rule(place=PLACES)
    def all_agree_and_one_folds(self, place):
        self.exchange_all()
        for held in self.ledgers:
            for instance in held.unfolded():
                now = self.incarnations[int(instance[1:])]
                for publisher in held.publishers_of(instance):
                    if publisher.incarnation < now:
                        held.finish(publisher)
        roots = {held.finished_root() for held in self.ledgers}
        assert len(roots) == 1
        self.ledgers[place].fold()
        assert {held.finished_root() for held in self.ledgers} == roots

    def exchange_all(self):
        for _ in range(2):
            for one in range(3):
                for other in range(3):
                    self.one_brings_another_up_to_date(one, other)

    @stateful.invariant()
    def nobody_holds_more_than_was_counted(self):
        for held in self.ledgers:
            for organisation in ORGANISATIONS:
                counted = self.total(organisation)
                used = held.used(organisation, "lookup")
                assert used == held.used_by(organisation)
                assert used == held.used_today(organisation)
                for field in used.__struct_fields__:
                    assert getattr(used, field) <= getattr(counted, field)

    def total(self, organisation):
        out = usage.Totals()
        for by in self.counted.values():
            out.add(by.get(organisation, usage.Totals()))
        return out

    def teardown(self):
        if not hasattr(self, "ledgers"):
            return
        self.exchange_all()
        for held in self.ledgers:
            assert held.late == 0
            for organisation in ORGANISATIONS:
                assert held.used_by(organisation) == self.total(organisation)
        assert len({held.version() for held in self.ledgers}) == 1


TestLedgers = Ledgers.TestCase
TestLedgers.settings = settings(max_examples=100, stateful_step_count=40)


def test_row_that_was_missed_is_asked_for():
    one = ledger.UsageLedger(usage.Publisher("i1", 1))
    two = ledger.UsageLedger(usage.Publisher("i2", 1))
    one.count("dock", "lookup", usage_nodes.totals(1))
    one.count("lab", "lookup", usage_nodes.totals(1))
    assert not two.merge(one.rows_since(one.own, 1))
    assert two.held_version(one.own) == 0
    for message in one.answer(two.have()):
        assert two.merge(message)
    assert two.version() == one.version()
    assert two.used_by("dock").requests == 1


def test_late_copy_of_a_folded_row_counts_nothing():
    # A message of an instance's last start was under way all the while
    # that all others folded that start into a checkpoint.
    one = ledger.UsageLedger(usage.Publisher("i1", 1))
    two = ledger.UsageLedger(usage.Publisher("i2", 1))
    one.count("lab", "lookup", usage_nodes.totals(1))
    message = one.rows_since(one.own, 0)
    two.merge(message)
    two.finish(one.own)
    assert two.fold() == 1
    two.merge(message)
    assert two.used_by("lab").requests == 1


def test_all_instances_hold_what_each_counted_in_spite_of_losses():
    made = usage_nodes.nine(seed=5, loss=0.3)
    for index in range(90):
        node = made.nodes[f"i{index % 9}"]
        node.state.usage.count("lab", "lookup", usage_nodes.totals(1))
        made.run(0.1)
    made.run(8.0)
    assert [usage_nodes.used(made, name) for name in made.nodes] == [90] * 9


def test_crash_loses_at_most_a_second_and_copies_outlive_a_domain():
    # An instance counts ten requests a second and dies, and its whole
    # failure domain with it.  The others must know all but the last second.
    made = usage_nodes.nine()
    for _ in range(50):
        made.nodes["i0"].state.usage.count(
            "lab", "lookup", usage_nodes.totals(1)
        )
        made.run(0.1)
    for name in ("i0", "i1", "i2"):
        made.nodes[name].up = False
    made.run(3.0)
    for name in list(made.nodes)[3:]:
        assert usage_nodes.used(made, name) >= 40


def test_partition_neither_loses_nor_doubles_a_count():
    made = usage_nodes.nine()
    inside = ["i0", "i1", "i2"]
    made.separate(inside, [name for name in made.nodes if name not in inside])
    for index in range(60):
        node = made.nodes[f"i{index % 9}"]
        node.state.usage.count("lab", "lookup", usage_nodes.totals(1))
        made.run(0.5)
    assert usage_nodes.used(made, "i0") == 21
    made.heal()
    made.run(10.0)
    assert [usage_nodes.used(made, name) for name in made.nodes] == [60] * 9


def test_many_restarts_leave_the_rows_of_one():
    usage_nodes.check_restarts(36)


def test_instance_cut_off_for_long_keeps_what_it_counted():
    # It is taken for failed, yet goes on counting alone for an hour; its
    # publisher must not be folded away meanwhile.
    made = usage_nodes.nine()
    rest = [name for name in made.nodes if name != "i0"]
    made.separate(["i0"], rest)
    made.run(30.0)
    for _ in range(30):
        made.nodes["i0"].state.usage.count(
            "lab", "lookup", usage_nodes.totals(1)
        )
        made.run(1.0)
    failed = made.nodes["i1"].state.members.members["i0"].standing
    assert failed is member_records.Standing.FAILED
    made.heal()
    made.run(12.0)
    assert [usage_nodes.used(made, name) for name in made.nodes] == [30] * 9


def test_start_with_an_older_wall_clock_still_counts():
    # The clock of the machine was set back: the new start's incarnation is
    # below one that is folded already, whose rows nobody takes any more.
    made = usage_nodes.nine()
    made.run(60.0)
    old = made.nodes["i0"]
    old.state.usage.count("lab", "lookup", usage_nodes.totals(1))
    made.run(2.0)
    for number in (1 << 41, 5):
        node = usage_nodes.restart(made, "i0", number)
        node.state.usage.count("lab", "lookup", usage_nodes.totals(1))
        made.run(20.0)
    made.run(70.0)
    assert [usage_nodes.used(made, name) for name in made.nodes] == [3] * 9


def test_start_with_an_older_wall_clock_inside_a_partition_counts_once():
    # The instance restarts with its wall clock set back while its domain is
    # cut off, counts, and hears only afterwards that others know of a
    # greater incarnation.  What it told its own domain must not be counted
    # again under the one that it takes then.
    made = usage_nodes.nine()
    made.nodes["i0"].state.usage.count("lab", "lookup", usage_nodes.totals(1))
    made.run(3.0)
    inside = ["i0", "i1", "i2"]
    outside = [name for name in made.nodes if name not in inside]
    for name in inside:
        made.nodes[name].up = False
    made.separate(inside, outside)
    for number, name in enumerate(inside):
        made.nodes.pop(name)
        usage_nodes.start(made, name, "fd0", number)
    made.run(8.0)
    made.nodes["i0"].state.usage.count("lab", "lookup", usage_nodes.totals(1))
    made.run(5.0)
    assert usage_nodes.used(made, "i1") == 1
    made.heal()
    made.run(20.0)
    found = [usage_nodes.used(made, name) for name in made.nodes]
    assert found == [2] * 9
