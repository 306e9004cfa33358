"""The orders component as the holder of its failure domain's lease."""

import random

import msgspec

import dandeliontrail
from dandeliontrail.components import attainment
from dandeliontrail.components import request_lifecycle
from dandeliontrail.decisions import work
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail.resources import announcements
from dandeliontrail.resources import changes

STEP = 0.5


class Holder:
    """A single instance, and engines that announce ``models``."""

    def __init__(self, engines=("e1",)):
        identity = dandeliontrail.Identity("i1", "fd1", "r1", 1)
        self.reducer = dandeliontrail.new_reducer(identity, random.Random(0))
        self.now = 0.0
        self.sequence = 0
        self.models = {name: {"small": "1"} for name in engines}
        self.sent_orders = []

    def declare(self, **spec):
        raw = msgspec.Raw(msgspec.json.encode({"model": "medium", **spec}))
        put = changes.Operation(
            changes.Verb.PUT, "modelplacements", "medium", raw
        )
        change = changes.Change(f"op{self.sequence}", [put])
        self.apply(events.WriteSubmitted("w", change))

    def apply(self, event):
        self.collect_orders(self.reducer.apply(event, self.now))

    def collect_orders(self, out):
        self.sent_orders += [
            x for x in out if isinstance(x, effects.GiveOrder)
        ]

    def run(self, seconds):
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            self.announce()
            self.collect_orders(self.reducer.tick(self.now))

    def announce(self):
        self.sequence += 1
        for name, models in self.models.items():
            made = announcements.Announcement(
                name, 1, self.sequence, "model_engine", "http://127.0.0.1:1"
            )
            made.failure_domain = "fd1"
            made.checks_fencing = True
            made.models = [
                announcements.Model(*item) for item in models.items()
            ]
            self.apply(events.Announced(made))

    def answer(self, answer):
        last = self.sent_orders[-1]
        self.apply(events.OrderAnswered(last.order.key, last.fencing, answer))


def test_holder_does_not_take_its_own_slot_for_a_predecessors():
    # Guards against a declared model being loaded ten seconds late: the slot
    # just granted to this holder was taken for a lost predecessor's load, so
    # the order was sent only when unanswered orders were repeated.
    holder = Holder()
    holder.declare(version="1")
    holder.run(5.0)
    assert len(holder.sent_orders) == 1


def test_order_without_an_answer_is_repeated_as_it_was():
    holder = Holder()
    holder.declare(version="1")
    holder.run(15.0)
    first, second = holder.sent_orders
    assert first.order == second.order
    holder.answer(events.OrderAnswer.ACCEPTED)
    holder.run(30.0)
    assert len(holder.sent_orders) == 2


def test_refused_order_is_tried_on_another_engine():
    holder = Holder(["e1", "e2"])
    holder.declare(version="1")
    holder.run(5.0)
    holder.answer(events.OrderAnswer.REFUSED)
    holder.run(5.0)
    first, second = [item.order.server for item in holder.sent_orders]
    assert {first, second} == {"e1", "e2"}


def test_engine_lost_in_a_load_is_replaced():
    # The engine crashes during the load and never reports the model.
    holder = Holder(["e1", "e2"])
    holder.declare(version="1")
    holder.run(5.0)
    holder.answer(events.OrderAnswer.ACCEPTED)
    del holder.models[holder.sent_orders[0].order.server]
    holder.run(10.0)
    assert len({item.order.server for item in holder.sent_orders}) == 2


def test_stale_fencing_ends_the_lease():
    # An engine has seen a greater fencing number, so another holder exists.
    holder = Holder()
    holder.declare(version="1")
    holder.run(5.0)
    holder.answer(events.OrderAnswer.STALE_FENCING)
    lease = holder.reducer.state.orders.lease
    assert not lease.may_order(True, holder.now)


def test_versions_are_judged_by_the_targets_of_their_requests():
    # Version 2 of a model misses its latency target.  Without these counts,
    # its roll-out would continue to the last engine.
    state = dandeliontrail.new_reducer(
        dandeliontrail.Identity("i1", "fd1", "r1", 1), random.Random(0)
    ).state
    put_class(state, {"targets": {"first_token_ms": 100.0}})
    made = announcements.Announcement("e1", 1, 1, "model_engine", "http://x")
    made.models = [announcements.Model("small", "2")]
    state.registry.learn(made, 0.0, 0.0)
    item = work.Work("r", "lab", "lookup", "small", "", 0, 0.0, 9.0)
    held = request_lifecycle.RequestLifecycle(
        item, server="e1", dispatched=1.0
    )
    for first_output in (1.05, 1.2):
        held.first_output = first_output
        attainment.count(state, held, 2.0)
    assert state.orders.attainment["small", "2"].share == 0.5


def put_class(state, spec):
    raw = msgspec.Raw(msgspec.json.encode(spec))
    put = changes.Operation(changes.Verb.PUT, "requestclasses", "lookup", raw)
    state.store.apply(1, changes.Change("op", [put]))
