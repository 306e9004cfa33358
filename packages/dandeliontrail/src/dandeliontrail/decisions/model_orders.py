"""Which models each engine of a failure domain should load or unload.

The declared placements are compared with what the engines report and with the
orders that are pending. The result is a list of orders to give now and, for
each placement, the reason why it is not yet as declared.

A failure domain has a few hundred engines. Some crash in the middle of a load
or report it late; a new version of a model may perform worse; a whole domain
may come back with nothing loaded. The plan must not give two orders for the
same purpose, must not unload the last copy of a model in use, and must not
keep so many engines busy with loads that a protected class lacks capacity.
"""

import enum
from urllib import parse

import msgspec

# Share of the engines (at least one engine) that may be disturbed at a time.
# Loading takes memory bandwidth, so the engine serves more slowly; at a tenth
# of the engines the loss stays within the tenth of capacity that queues
# absorb.
MAX_DISTURBED_SHARE = 0.1
# A load is given up if no report shows it after this many seconds. 400 GB of
# weights at 1 GB/s take 400 s, and reports lag by seconds.
MAX_LOAD_SECONDS = 900.0
# Seconds before a failed order is repeated on the same engine.
ORDER_RETRY_SECONDS = 60.0
# A roll-out is halted if the new version's attainment is lower than the old
# one's by more than this, with at least the given number of requests for each
# version.
MAX_ATTAINMENT_DROP = 0.05
MIN_ATTAINMENT_REQUESTS = 50


class OrderKind(enum.Enum):
    """What an engine is ordered to do; the values are sent to engines."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Order(msgspec.Struct, frozen=True):
    """One order. It is idempotent: it names a state, not a step."""

    kind: OrderKind
    server: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""

    @property
    def key(self):
        """The key that identifies repetitions of the order."""
        parts = [self.kind.value, self.server, self.model, self.version]
        parts += [self.adapter, self.role]
        return "/".join(parse.quote(part, safe="") for part in parts)


def parse_key(key):
    """Return the order that ``key`` identifies."""
    kind, *rest = [parse.unquote(part) for part in key.split("/")]
    return Order(OrderKind(kind), *rest)


class PendingOrder(msgspec.Struct):
    """An order that was given and does not yet show in a report.

    ``epoch`` is the engine's epoch when the order was given, -1 if unknown: an
    engine that was restarted since then has lost the order.
    """

    order: Order
    placement: str
    given_at: float
    fencing: int
    epoch: int = -1
    answered: bool = False
    attempts: int = 1


class DeclaredPlacement(msgspec.Struct):
    """One placement as it applies to this failure domain.

    ``servers`` names the engines that may hold copies. ``protected`` is true
    if a class of the highest priority uses the model, ``in_use`` if any
    request for it is waiting or running.
    """

    name: str
    spec: object
    servers: list
    protected: bool = False
    in_use: bool = True


class Attainment(msgspec.Struct):
    """How often the requests of one version met their targets."""

    requests: int = 0
    met: int = 0

    @property
    def share(self):
        """The share that met its targets; 1 with no requests."""
        return self.met / self.requests if self.requests else 1.0


class PlanInputs(msgspec.Struct):
    """The state that a plan is based on.

    ``announcements`` maps names of serving engines to their announcements and
    ``awaited`` keys of orders to those pending. ``refused_until`` maps keys of
    orders to the time before which they must not be repeated. ``attainment``
    is keyed by ``(model, version)``.
    """

    announcements: dict
    awaited: dict
    refused_until: dict
    attainment: dict


class Plan(msgspec.Struct):
    """The orders to give now, and a description of each placement's state."""

    orders: list = msgspec.field(default_factory=list)
    conditions: dict = msgspec.field(default_factory=dict)


def holds(announcement, model, version, adapter=""):
    """Return whether an engine reports a model (and an adapter) loaded."""
    return any(
        item.name == model
        and (not version or item.version == version)
        and (not adapter or adapter in item.adapters)
        for item in announcement.models
    )


def safe_to_unload(order, view, planned=()):
    """Return whether another engine still serves the model after ``order``.

    Copies that are being unloaded, or are about to be (``planned``), do not
    count even while they are still reported. Otherwise two placements of one
    model would each see the other's copy and both unload their own.
    """
    pending = [item.order for item in view.awaited.values()]
    unloading = {
        item.server
        for item in [*pending, *planned]
        if item.kind is OrderKind.UNLOAD and item.model == order.model
    }
    return any(
        holds(announcement, order.model, "")
        for name, announcement in view.announcements.items()
        if name != order.server and name not in unloading
    )


def plan(wanted, view, now):
    """Return the :class:`Plan` for one failure domain.

    Placements of models that a protected class uses come first, since all
    placements share the number of engines that may be disturbed at a time.
    """
    result = Plan()
    allowance = _disturbance_allowance(view)
    for item in sorted(wanted, key=_sort_key):
        planned = [order for _, order in result.orders]
        planner = _PlacementPlanner(item, view, planned, now)
        orders, condition = planner.decide(allowance)
        result.orders.extend((item.name, order) for order in orders)
        result.conditions[item.name] = condition
        allowance -= sum(_is_serving(view, order.server) for order in orders)
    return result


def _sort_key(item):
    return (not item.protected, item.name)


def _disturbance_allowance(view):
    """Return how many more serving engines may be disturbed now.

    Engines without any model have no capacity to lose and do not count. So
    only the weight store limits how fast a failure domain loads that comes
    back with nothing loaded.
    """
    allowed = max(1, int(len(view.announcements) * MAX_DISTURBED_SHARE))
    disturbed = {
        item.order.server
        for item in view.awaited.values()
        if _is_serving(view, item.order.server)
    }
    return allowed - len(disturbed)


def _is_serving(view, name):
    announcement = view.announcements.get(name)
    return announcement is not None and bool(announcement.models)


class _PlacementPlanner:
    """Chooses the next orders for one placement."""

    def __init__(self, item, view, planned, now):
        self._wanted = item
        self._planned = planned
        self._spec = item.spec
        self._view = view
        self._now = now

    def decide(self, allowance):
        """Return the orders to give now and a description of the state."""
        halt_reason = self._halt_reason()
        if halt_reason:
            return [], halt_reason
        awaited = self._pending_orders()
        missing = self._spec.minimum_copies - len(
            self._current_or_loading(awaited)
        )
        if missing > 0 and not (awaited and self._outdated_copies()):
            return self._load_copies(missing, allowance, awaited)
        if awaited:
            names = ", ".join(item.order.key for item in awaited)
            return [], f"awaiting {names}"
        if allowance <= 0:
            return [], "waiting: enough engines are being changed now"
        for find_orders in (
            self._load_adapter,
            self._unload_outdated,
            self._unload_surplus,
        ):
            orders = find_orders()
            if orders:
                keys = ", ".join(order.key for order in orders)
                return orders[:allowance], f"ordering {keys}"
        return self._assign_role(allowance)

    def _pending_orders(self):
        """Return the pending orders that concern this model.

        Orders taken over from a failed predecessor carry no placement name, so
        they are matched by model.
        """
        return [
            item
            for item in self._view.awaited.values()
            if item.placement == self._wanted.name
            or item.order.model == self._spec.model
        ]

    def _current_or_loading(self, awaited):
        """Return the engines that hold or are loading the declared version."""
        spec = self._spec
        loading = {
            item.order.server
            for item in awaited
            if item.order.kind is OrderKind.LOAD
            and item.order.version == spec.version
            and not item.order.adapter
        }
        return loading | set(self._current_servers())

    def _announcements(self):
        announcements = self._view.announcements
        return [
            (name, announcements[name])
            for name in self._wanted.servers
            if name in announcements
        ]

    def _current_servers(self):
        """Return the engines that report the declared version."""
        spec = self._spec
        return [
            name
            for name, announcement in self._announcements()
            if holds(announcement, spec.model, spec.version)
        ]

    def _outdated_copies(self):
        """Return each engine that holds another version, with that version."""
        spec = self._spec
        return [
            (name, item.version)
            for name, announcement in self._announcements()
            for item in announcement.models
            if spec.version
            and item.name == spec.model
            and item.version != spec.version
        ]

    def _load_copies(self, missing, allowance, awaited):
        """Load on empty engines first, then on those with the fewest models.

        A new version is loaded on a single engine before any other gets it.
        """
        if self._outdated_copies():
            missing = 1
        holding = self._current_or_loading(awaited)
        candidates = [
            (len(announcement.models), name)
            for name, announcement in self._announcements()
            if name not in holding and self._may_order(self._load_order(name))
        ]
        chosen = []
        for loaded_count, name in sorted(candidates):
            if loaded_count and allowance <= 0:
                break
            allowance -= bool(loaded_count)
            chosen.append(name)
            if len(chosen) == missing:
                break
        if not chosen:
            return [], f"{missing} copies missing and no engine free to load"
        return [self._load_order(name) for name in chosen], (
            f"loading on {', '.join(chosen)}"
        )

    def _load_order(self, name):
        spec = self._spec
        return Order(OrderKind.LOAD, name, spec.model, spec.version)

    def _may_order(self, order):
        return self._now >= self._view.refused_until.get(order.key, 0.0)

    def _load_adapter(self):
        """Load a missing adapter, on one engine at a time."""
        spec = self._spec
        for adapter in spec.adapters:
            for name, announcement in self._announcements():
                if not holds(announcement, spec.model, spec.version):
                    continue
                if holds(announcement, spec.model, spec.version, adapter):
                    continue
                order = Order(
                    OrderKind.LOAD, name, spec.model, spec.version, adapter
                )
                if self._may_order(order):
                    return [order]
        return []

    def _halt_reason(self):
        """Return why the roll-out is halted, or ``''``."""
        spec = self._spec
        new = self._attainment_of(spec.version)
        if new.requests < MIN_ATTAINMENT_REQUESTS:
            return ""
        for version in sorted(
            {version for _, version in self._outdated_copies()}
        ):
            old = self._attainment_of(version)
            if old.requests < MIN_ATTAINMENT_REQUESTS:
                continue
            if new.share < old.share - MAX_ATTAINMENT_DROP:
                return (
                    f"halted: version {spec.version} meets"
                    f" {new.share:.0%} of targets, {version} {old.share:.0%}"
                )
        return ""

    def _attainment_of(self, version):
        key = (self._spec.model, version)
        return self._view.attainment.get(key) or Attainment()

    def _unload_outdated(self):
        """Unload one outdated copy once the declared ones are up.

        The declared copies are counted from reports: a load that was only
        ordered may still fail, so it does not allow an unload.
        """
        outdated = self._outdated_copies()
        current = self._current_servers()
        if not outdated or len(current) < max(1, self._spec.minimum_copies):
            return []
        name, version = outdated[0]
        order = Order(OrderKind.UNLOAD, name, self._spec.model, version)
        return self._unload_if_safe(order, keeps_model=name in current)

    def _unload_surplus(self):
        """Unload one copy above the declared maximum.

        The last copy of a model in use stays even if the maximum is 0, since
        without it requests for the model would be refused.
        """
        current = self._current_servers()
        kept_copies = max(
            self._spec.maximum_copies, 1 if self._wanted.in_use else 0
        )
        if len(current) <= kept_copies:
            return []
        spec = self._spec
        order = Order(OrderKind.UNLOAD, current[-1], spec.model, spec.version)
        return self._unload_if_safe(order, keeps_model=False)

    def _unload_if_safe(self, order, keeps_model):
        """Return the order, unless it would unload the last copy in use."""
        if not self._may_order(order):
            return []
        takes_last_copy = not keeps_model and not safe_to_unload(
            order, self._view, self._planned
        )
        if takes_last_copy and self._wanted.in_use:
            return []
        return [order]

    def _assign_role(self, allowance):
        """Assign the declared role, one engine at a time."""
        role = self._spec.role
        current = set(self._current_servers())
        for name, announcement in self._announcements():
            if not role or name not in current or announcement.role == role:
                continue
            order = Order(OrderKind.ROLE, name, role=role)
            if self._may_order(order):
                return [order], f"ordering {order.key}"
        return [], "as declared"
