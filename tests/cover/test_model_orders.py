"""What the engines of a failure domain are told to load and drop."""

import dataclasses

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st

from dandeliontrail.decisions import model_orders
from dandeliontrail.resources import announcements
from dandeliontrail.resources import specs

NAMES = ("e1", "e2", "e3", "e4")
# Engines of other models: with them, two may be disturbed at a time.
OTHERS = tuple(f"x{number}" for number in range(20))


def announce(name, **models):
    made = announcements.Announcement(name, 1, 1, "model_engine", "http://x")
    made.models = [
        announcements.Model(model, version)
        for model, version in models.items()
    ]
    return made


def want(version="1", minimum=1, maximum=2, **fields):
    spec = specs.ModelPlacementSpec("small", version, [], "", minimum, maximum)
    return model_orders.Wanted("small", spec, list(NAMES), **fields)


def view_of(*engines, **fields):
    found = {item.backend_server: item for item in engines}
    return model_orders.View(found, fields.get("awaited", {}), {}, {})


def order_keys(made):
    return [order.key for _, order in made.orders]


def test_does_not_unload_the_last_copy_in_use():
    # The operator lowers maximum_copies to 0 while crews still look
    # certificates up: the last copy stays until nobody asks for it.
    engines = [announce("e1", small="1"), announce("e2", other="1")]
    item = want(minimum=0, maximum=0, in_use=True)
    assert order_keys(model_orders.plan([item], view_of(*engines), 0.0)) == []
    item.in_use = False
    made = model_orders.plan([item], view_of(*engines), 0.0)
    assert order_keys(made) == ["unload/e1/small/1//"]


def test_two_placements_do_not_take_each_others_copy():
    # Two placements of one model each want none.  The first order is
    # still under way and its copy still reported when the second asks.
    engines = [announce("e1", small="1"), announce("e2", small="1")]
    engines += [announce(name) for name in OTHERS]
    order = model_orders.Order(
        model_orders.OrderKind.UNLOAD, "e1", "small", "1"
    )
    awaited = {order.key: model_orders.Awaited(order, "other", 0.0, 1)}
    item = want(minimum=0, maximum=1)
    item.spec.maximum_copies = 0
    view = view_of(*engines, awaited=awaited)
    assert order_keys(model_orders.plan([item], view, 0.0)) == []


def test_roll_out_stops_when_the_new_version_does_worse():
    # Version 2 is up on one of four engines and misses its targets.
    engines = [announce("e1", small="2")]
    engines += [announce(name, small="1") for name in NAMES[1:]]
    view = view_of(*engines)
    view.attainment = {
        ("small", "1"): model_orders.Attainment(100, 99),
        ("small", "2"): model_orders.Attainment(100, 80),
    }
    made = model_orders.plan([want("2", 4, 4)], view, 0.0)
    assert made.orders == []
    assert made.conditions["small"].startswith("halted")


def test_protected_models_are_loaded_first():
    # All engines are at work on other models; one may be disturbed.
    engines = [announce(name, other="1") for name in NAMES]
    review = want()
    review.name = "a-review"
    lookup = want(protected=True)
    lookup.name = "z-lookup"
    made = model_orders.plan([review, lookup], view_of(*engines), 0.0)
    assert [name for name, _ in made.orders] == ["z-lookup"]


def test_cold_engines_are_all_loaded_at_once():
    # A failure domain comes back with nothing loaded: nobody is disturbed
    # by a load, and the weight store sets the pace.
    engines = [announce(name) for name in NAMES]
    made = model_orders.plan([want(minimum=4)], view_of(*engines), 0.0)
    assert len(made.orders) == 4


@dataclasses.dataclass
class Engine:
    """An engine that loads for a while and reports late."""

    models: dict
    reported: dict
    loading: list


class LastCopyNeverGoes(stateful.RuleBasedStateMachine):
    """Callers of a model in use find no engine that has it.

    Engines crash in the middle of a load, orders and their answers are
    lost, reports come late, and the operator changes his mind about
    versions and counts all the while.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.engines = {
            name: Engine({"small": {"1"}}, {"small": {"1"}}, [])
            for name in NAMES
        }
        self.awaited = {}
        self.refused = {}
        self.items = [want("1", 2, 3), want("1", 1, 2)]
        self.items[1].name = "second"

    def view(self):
        found = {}
        for name, engine in self.engines.items():
            made = announce(name)
            made.models = [
                announcements.Model(model, version)
                for model, versions in engine.reported.items()
                for version in sorted(versions)
            ]
            found[name] = made
        found.update((name, announce(name)) for name in OTHERS)
        return model_orders.View(found, self.awaited, self.refused, {})

    @stateful.rule(
        index=st.integers(0, 1),
        version=st.sampled_from(["1", "2", "3"]),
        minimum=st.integers(0, 3),
        more=st.integers(0, 1),
    )
    def operator_declares(self, index, version, minimum, more):
        name = self.items[index].name
        self.items[index] = want(version, minimum, minimum + more)
        self.items[index].name = name

    @stateful.rule(lost=st.booleans())
    def holder_orders(self, lost):
        self.now += 1.0
        self.settle()
        made = model_orders.plan(self.items, self.view(), self.now)
        for placement, order in made.orders:
            self.awaited[order.key] = model_orders.Awaited(
                order, placement, self.now, 1
            )
            if not lost:
                self.obey(order)

    def settle(self):
        view = self.view()
        for key, item in list(self.awaited.items()):
            order = item.order
            held = model_orders.holds(
                view.announcements[order.server], order.model, order.version
            )
            wanted = order.kind is model_orders.OrderKind.LOAD
            if held == wanted:
                del self.awaited[key]
            elif self.now - item.given_at > 30.0:
                del self.awaited[key]
                self.refused[key] = self.now + 5.0

    def obey(self, order):
        engine = self.engines[order.server]
        if order.kind is model_orders.OrderKind.LOAD:
            engine.loading.append(order.version)
            return
        before = self.copies()
        engine.models["small"].discard(order.version)
        assert self.copies() or not before, "the last copy went"

    def copies(self):
        return [
            name
            for name, engine in self.engines.items()
            if engine.models["small"]
        ]

    @stateful.rule(name=st.sampled_from(NAMES))
    def load_ends(self, name):
        engine = self.engines[name]
        if engine.loading:
            engine.models["small"].add(engine.loading.pop(0))

    @stateful.rule(name=st.sampled_from(NAMES))
    def crash_in_a_load(self, name):
        self.engines[name].loading.clear()

    @stateful.rule(name=st.sampled_from(NAMES))
    def report(self, name):
        engine = self.engines[name]
        engine.reported = {"small": set(engine.models["small"])}

    @stateful.rule(seconds=st.sampled_from([5.0, 60.0]))
    def time_passes(self, seconds):
        self.now += seconds


LastCopyNeverGoes.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=50
)
TestLastCopyNeverGoes = LastCopyNeverGoes.TestCase
