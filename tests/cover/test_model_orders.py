"""The orders to load and unload models on the engines of a failure domain."""

import dataclasses

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st

from dandeliontrail.decisions import model_orders
from dandeliontrail.resources import announcements
from dandeliontrail.resources import specs

NAMES = ("e1", "e2", "e3", "e4")
# Other engines in the domain; with them, two may be disturbed at a time.
OTHER_ENGINES = tuple(f"x{number}" for number in range(20))


def announce(name, **models):
    announcement = announcements.Announcement(
        name, 1, 1, "model_engine", "http://x"
    )
    announcement.models = [
        announcements.Model(model, version)
        for model, version in models.items()
    ]
    return announcement


def make_wanted(version="1", minimum=1, maximum=2, **fields):
    spec = specs.ModelPlacementSpec("small", version, [], "", minimum, maximum)
    return model_orders.DeclaredPlacement("small", spec, list(NAMES), **fields)


def view_of(*engines, **fields):
    announcements_by_name = {item.backend_server: item for item in engines}
    return model_orders.PlanInputs(
        announcements_by_name, fields.get("awaited", {}), {}, {}
    )


def order_keys(plan):
    return [order.key for _, order in plan.orders]


def test_does_not_unload_the_last_copy_in_use():
    # The operator lowers maximum_copies to 0 while the model is still in use.
    # The last copy stays until no request needs it.
    engines = [announce("e1", small="1"), announce("e2", other="1")]
    item = make_wanted(minimum=0, maximum=0, in_use=True)
    assert order_keys(model_orders.plan([item], view_of(*engines), 0.0)) == []
    item.in_use = False
    plan = model_orders.plan([item], view_of(*engines), 0.0)
    assert order_keys(plan) == ["unload/e1/small/1//"]


def test_two_placements_do_not_take_each_others_copy():
    # Two placements of one model both want no copies. While the order of the
    # first is pending and its copy still reported, the second must not unload
    # the other copy.
    engines = [announce("e1", small="1"), announce("e2", small="1")]
    engines += [announce(name) for name in OTHER_ENGINES]
    order = model_orders.Order(
        model_orders.OrderKind.UNLOAD, "e1", "small", "1"
    )
    awaited = {order.key: model_orders.PendingOrder(order, "other", 0.0, 1)}
    item = make_wanted(minimum=0, maximum=1)
    item.spec.maximum_copies = 0
    view = view_of(*engines, awaited=awaited)
    assert order_keys(model_orders.plan([item], view, 0.0)) == []


def test_roll_out_stops_when_the_new_version_does_worse():
    # Version 2 runs on one of four engines and misses its targets.
    engines = [announce("e1", small="2")]
    engines += [announce(name, small="1") for name in NAMES[1:]]
    view = view_of(*engines)
    view.attainment = {
        ("small", "1"): model_orders.Attainment(100, 99),
        ("small", "2"): model_orders.Attainment(100, 80),
    }
    plan = model_orders.plan([make_wanted("2", 4, 4)], view, 0.0)
    assert plan.orders == []
    assert plan.conditions["small"].startswith("halted")


def test_protected_models_are_loaded_first():
    # All engines serve other models, and one may be disturbed at a time.
    engines = [announce(name, other="1") for name in NAMES]
    review = make_wanted()
    review.name = "a-review"
    lookup = make_wanted(protected=True)
    lookup.name = "z-lookup"
    plan = model_orders.plan([review, lookup], view_of(*engines), 0.0)
    assert [name for name, _ in plan.orders] == ["z-lookup"]


def test_cold_engines_are_all_loaded_at_once():
    # A failure domain comes back with nothing loaded. Loads disturb no
    # request, so that only the weight store limits them.
    engines = [announce(name) for name in NAMES]
    plan = model_orders.plan([make_wanted(minimum=4)], view_of(*engines), 0.0)
    assert len(plan.orders) == 4


@dataclasses.dataclass
class Engine:
    """An engine whose loads take time and whose reports are late."""

    models: dict
    reported: dict
    loading: list


class LastCopyNeverGoes(stateful.RuleBasedStateMachine):
    """The last copy of a model in use is never unloaded.

    Engines crash in the middle of a load, orders and their answers are lost,
    reports are late, and the operator keeps changing versions and counts.
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
        self.items = [make_wanted("1", 2, 3), make_wanted("1", 1, 2)]
        self.items[1].name = "second"

    def view(self):
        reported = {}
        for name, engine in self.engines.items():
            announcement = announce(name)
            announcement.models = [
                announcements.Model(model, version)
                for model, versions in engine.reported.items()
                for version in sorted(versions)
            ]
            reported[name] = announcement
        reported.update((name, announce(name)) for name in OTHER_ENGINES)
        return model_orders.PlanInputs(
            reported, self.awaited, self.refused, {}
        )

    @stateful.rule(
        index=st.integers(0, 1),
        version=st.sampled_from(["1", "2", "3"]),
        minimum=st.integers(0, 3),
        more=st.integers(0, 1),
    )
    def operator_declares(self, index, version, minimum, more):
        name = self.items[index].name
        self.items[index] = make_wanted(version, minimum, minimum + more)
        self.items[index].name = name

    @stateful.rule(lost=st.booleans())
    def holder_orders(self, lost):
        self.now += 1.0
        self.settle()
        plan = model_orders.plan(self.items, self.view(), self.now)
        for placement, order in plan.orders:
            self.awaited[order.key] = model_orders.PendingOrder(
                order, placement, self.now, 1
            )
            if not lost:
                self.obey(order)

    def settle(self):
        view = self.view()
        for key, item in list(self.awaited.items()):
            order = item.order
            is_loaded = model_orders.holds(
                view.announcements[order.server], order.model, order.version
            )
            should_be_loaded = order.kind is model_orders.OrderKind.LOAD
            if is_loaded == should_be_loaded:
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
