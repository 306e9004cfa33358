"""Only one instance at a time sends orders to a failure domain's engines."""

import dataclasses

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

import dandeliontrail
from dandeliontrail.coordination import downloads
from dandeliontrail.coordination import leases

ARRIVES = "arrives"
LATE = "late"
LOST = "lost"
FATES = (ARRIVES, ARRIVES, ARRIVES, LATE, LOST)
RATES = (1.005, 0.995)
# Transit time of an order, as a fraction of its timeout.
DELAYS = (0.0, 0.99)
# Length of a tick as a fraction of a lease, and the ticks of each time step.
TICK_PART = 1 / 80
TICKS = tuple(int(part / TICK_PART) for part in (0.1, 0.45, 1, 1.3))


@dataclasses.dataclass
class Instance:
    """An instance whose clock has its own offset and rate."""

    name: str
    index: int
    offset: float
    rate: float
    terms: leases.LeaseTerms = leases.ORDER_TERMS
    incarnation: int = 1
    holder: leases.LeaseHolder = None

    def restart(self):
        self.incarnation += 1
        self.start()

    def start(self):
        identity = dandeliontrail.Identity(
            self.name, "fd1", "r1", self.incarnation
        )
        self.holder = leases.LeaseHolder(identity, "fd1", self.terms)

    def now(self, real):
        return self.offset + self.rate * real


@dataclasses.dataclass
class InFlight:
    """A log request, or its result, in flight between two processes."""

    instance: Instance
    holder: leases.LeaseHolder
    content: object


class OrdersDoNotInterleave(stateful.RuleBasedStateMachine):
    """Two lease holders load and unload the same engine against each other.

    Symptom: copies of a model are loaded and unloaded endlessly.  Cause: a
    holder that was paused, partitioned or slow continues after its successor
    has started.  The engine here checks no fencing tokens, so only the waits
    protect it.  Clock rates differ by up to 1%; answers are lost or late.
    """

    terms = leases.ORDER_TERMS

    def __init__(self):
        super().__init__()
        self.real_time = 0.0
        self.version = 0
        self.table = leases.LeaseTable()
        self.requests = []
        self.answers = []
        self.orders = []
        self.highest = 0
        self.instances = [
            Instance(f"i{index}", index, index * 100.0, rate, self.terms)
            for index, rate in enumerate(RATES)
        ]
        for instance in self.instances:
            instance.start()

    which = st.integers(0, len(RATES) - 1)
    any_index = st.integers(0, 7)

    @stateful.rule(
        ticks=st.sampled_from(TICKS),
        delays=st.tuples(*[st.sampled_from(DELAYS)] * len(RATES)),
    )
    def time_passes(self, ticks, delays):
        """Let each instance send orders while it may, each with its delay."""
        for _ in range(ticks):
            self.real_time += self.terms.lease * TICK_PART
            for instance, delay in zip(self.instances, delays, strict=True):
                self.renew(instance)
                self.send_order(instance, delay)
            self.deliver_orders()

    def renew(self, instance):
        """Renew the lease as a holder with work does; the log answers."""
        holder = instance.holder
        if holder.grant and holder.renewal_due(instance.now(self.real_time)):
            self.ask(instance.index, ARRIVES)

    def send_order(self, instance, delay):
        if not instance.holder.may_order(False, instance.now(self.real_time)):
            return
        at = self.real_time + delay * self.terms.longest_call / instance.rate
        self.orders.append((at, instance.holder.grant.fencing, instance.name))

    def deliver_orders(self):
        due = sorted(item for item in self.orders if item[0] <= self.real_time)
        self.orders = [
            item for item in self.orders if item[0] > self.real_time
        ]
        for at, fencing, name in due:
            assert fencing >= self.highest, "orders of two holders interleaved"
            self.highest = fencing
            self.check_arrival(at, name)

    def check_arrival(self, at, name):
        """Make further checks of an order; overridden in subclasses."""

    @stateful.rule(index=which, fate=st.sampled_from(FATES))
    def ask(self, index, fate):
        instance = self.instances[index]
        if instance.holder.asking():
            return
        now = instance.now(self.real_time)
        present = self.table.holding("fd1")
        item = InFlight(
            instance, instance.holder, instance.holder.ask(present, now)
        )
        if fate == LATE:
            self.requests.append(item)
        else:
            self.commit(item, fate)
            self.answer(item)

    def commit(self, item, fate):
        self.version += 1
        result = self.table.apply(self.version, item.content)
        item.content = None if fate == LOST else result

    def answer(self, item):
        item.holder.answered(item.content, item.instance.now(self.real_time))

    @stateful.rule(index=any_index, fate=st.sampled_from(FATES))
    def late_message_arrives(self, index, fate):
        late = self.requests + self.answers
        if not late:
            return
        item = late[index % len(late)]
        if item in self.answers:
            self.answers.remove(item)
            self.answer(item)
            return
        self.requests.remove(item)
        self.commit(item, fate)
        if fate == LATE:
            self.answers.append(item)
        else:
            self.answer(item)

    @stateful.rule(index=which)
    def restart(self, index):
        self.instances[index].restart()


OrdersDoNotInterleave.TestCase.settings = hypothesis.settings(
    max_examples=500, stateful_step_count=30
)
TestOrdersDoNotInterleave = OrdersDoNotInterleave.TestCase


class CallsDoNotTakeTurns(OrdersDoNotInterleave):
    """Two keepers call the platform alternately within a short time.

    Symptom: the platform reports two competing callers, although their
    fencing tokens only grow.  Cause: the lease changes hands and returns
    within the time that the platform assumes for a lease.
    """

    terms = leases.LeaseTerms(1.5, 1.0, 3.0, by_keepers=True)

    def __init__(self):
        super().__init__()
        self.last_call = {}
        self.last_caller = ""

    def check_arrival(self, at, name):
        before = self.last_call.get(name)
        if before is not None and self.last_caller != name:
            assert at - before >= self.terms.turn, "alternating calls"
        self.last_call[name] = at
        self.last_caller = name


CallsDoNotTakeTurns.TestCase.settings = hypothesis.settings(
    max_examples=500, stateful_step_count=30
)
TestCallsDoNotTakeTurns = CallsDoNotTakeTurns.TestCase


def make_identity(name):
    return dandeliontrail.Identity(name, "fd1", "r1", 1)


def make_holder(name):
    return leases.LeaseHolder(make_identity(name))


def test_successor_waits_for_an_engine_that_does_not_check():
    # The holder is lost with an order in flight.  Until that order must have
    # arrived, its successor must not send orders to an engine that checks no
    # fencing tokens.  An engine that checks them may get orders at once.
    table = leases.LeaseTable()
    first = make_holder("i1")
    first.answered(table.apply(1, first.ask(table.holding("fd1"), 0.0)), 0.0)
    second = make_holder("i2")
    request = second.ask(table.holding("fd1"), 10.0)
    second.answered(table.apply(2, request), 10.0)
    assert second.may_order(True, 10.1)
    assert not second.may_order(False, 10.1)
    # Renewals extend the lease but not the wait.
    for now in (15.0, 25.0, 34.0):
        request = second.ask(table.holding("fd1"), now)
        second.answered(table.apply(int(now), request), now)
    assert second.grant.fencing == 2
    just_after_the_old_lease = 10.0 + leases.LEASE_SECONDS * 1.02
    assert not second.may_order(False, just_after_the_old_lease)
    assert second.may_order(False, 36.0)
    first.superseded(table.holding("fd1"))
    assert not first.may_order(True, 10.1)


def request_lease(table, holder, version, now):
    request = holder.ask(table.holding("fd1"), now)
    holder.answered(table.apply(version, request), now)


def two_holders(terms):
    return [
        leases.LeaseHolder(make_identity(name), "fd1", terms)
        for name in ("i1", "i2")
    ]


def test_regained_lease_keeps_the_minimum_distance_of_calls():
    # A holder is partitioned and its successor acts.  Right after the
    # successor's last request, the first holder is granted the lease again.
    # The platform must not see calls of the first, second and first holder
    # within its three seconds, even if the last call of the first holder took
    # long to arrive and its next one is fast.
    terms = CallsDoNotTakeTurns.terms
    table = leases.LeaseTable()
    first, second = two_holders(terms)
    for version, now in ((1, 0.0), (2, 10.0)):
        request_lease(table, first, version, now)
    last_call = first.grant.valid_until + terms.longest_call
    request_lease(table, second, 3, 10.0)
    wait = second.grant.unchecked_from
    request_lease(table, second, 4, wait - terms.lease * 0.98)
    assert second.may_order(False, wait)
    first.superseded(table.holding("fd1"))
    request_lease(table, first, 5, wait - terms.lease * 0.98)
    assert first.grant.unchecked_from - last_call >= terms.turn


def test_first_holder_in_a_log_of_keepers_does_not_wait():
    # Each second of a system's start until its first call costs money.  The
    # lease of any earlier holder ended with the log that recorded it, so the
    # first holder in a new log does not wait.  If the log names a predecessor,
    # a holder waits as usual.
    terms = CallsDoNotTakeTurns.terms
    table = leases.LeaseTable()
    first, second = two_holders(terms)
    request_lease(table, first, 1, 0.0)
    assert first.may_order(False, 0.1)
    request_lease(table, second, 2, 0.2)
    assert not second.may_order(False, 0.3)
    restarted = leases.LeaseHolder(
        dandeliontrail.Identity("i2", "fd1", "r1", 2), "fd1", terms
    )
    request_lease(table, restarted, 3, 0.4)
    assert not restarted.may_order(False, 0.5)


def test_lease_is_measured_from_before_its_request():
    # The log's answer reaches the holder after 15 of its 20 seconds.  A
    # successor may have been granted the lease right after the request, and
    # its wait counts from then: the holder must stop at 20 s, not at 35 s.
    table = leases.LeaseTable()
    holder = make_holder("i1")
    request = holder.ask(table.holding("fd1"), 0.0)
    holder.answered(table.apply(1, request), 15.0)
    assert holder.may_order(True, 19.0)
    assert not holder.may_order(True, leases.LEASE_SECONDS)


def test_log_grants_one_of_two_that_replace_the_same_holder():
    table = leases.LeaseTable()
    one = make_holder("i1").ask(table.holding("fd1"), 0.0)
    two = make_holder("i2").ask(table.holding("fd1"), 0.0)
    assert table.apply(1, one).granted
    refused = table.apply(2, two)
    assert not refused.granted
    assert refused.holding.holder == "i1"


def request_slot(order, protected=False, fencing=1, domain="fd1"):
    step = downloads.DownloadStep.ASK
    return downloads.DownloadEntry(step, domain, fencing, order, 2, protected)


def release_slot(order, fencing=1):
    step = downloads.DownloadStep.DONE
    return downloads.DownloadEntry(step, "fd1", fencing, order)


def test_protected_models_are_downloaded_first():
    # A failure domain comes back with all engines cold.  The loads of the
    # review model request slots first; the protected lookup model must not
    # wait for them.
    table = downloads.DownloadTable()
    granted = [
        table.apply(1, request_slot(f"review{number}")).granted
        for number in range(4)
    ]
    assert granted == [True, True, False, False]
    lookup = request_slot("lookup", protected=True)
    assert not table.apply(2, lookup).granted
    table.apply(3, release_slot("review0"))
    assert not table.apply(4, request_slot("review2")).granted
    assert table.apply(5, lookup).granted


def test_successor_finds_the_slots_of_a_lost_holder():
    table = downloads.DownloadTable()
    table.apply(1, request_slot("a"))
    table.apply(2, request_slot("b"))
    table.apply(3, request_slot("c"))
    # The successor's request has a greater fencing token.  This removes the
    # queue place of "c", which only the lost holder could use, but not the
    # running loads.
    later = request_slot("d", fencing=9)
    assert not table.apply(4, later).granted
    assert {slot.order for slot in table.held_by("fd1")} == {"a", "b"}
    table.apply(5, release_slot("a", fencing=9))
    assert table.apply(6, later).granted


def test_budget_holds_after_a_checkpoint():
    table = downloads.DownloadTable()
    table.apply(1, request_slot("a"))
    table.apply(2, request_slot("b"))
    other = downloads.DownloadTable()
    other.restore(table.snapshot())
    assert not other.apply(3, request_slot("c")).granted


def test_fencing_token_never_decreases():
    table = leases.LeaseTable()
    table.apply(7, make_holder("i1").ask(table.holding("fd1"), 0.0))
    stale = make_holder("i2").ask(table.holding("fd1"), 0.0)
    with pytest.raises(dandeliontrail.InvariantBroken):
        table.apply(7, stale)
