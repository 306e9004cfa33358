"""Which models each engine of a failure domain should load or drop.

The declared placements are compared with what the engines report and with
what was ordered and is awaited.  The result is a list of orders to give
now, and for each placement the reason why it is not yet as declared.

The load it is made for: a few hundred engines in a failure domain, some of
which crash in the middle of a load or report it late; a new version of a
model that turns out worse; a failure domain that comes back with all its
engines cold.  The harm it prevents: two orders for one purpose, the last
copy of a model taken from its callers, and so many engines busy with loads
at once that a protected class lacks capacity.
"""

import enum
from urllib import parse

import msgspec

# An engine that takes a load needs memory bandwidth for it and serves more
# slowly; a tenth of the engines at a time (and at least one) keeps the loss
# within the tenth of capacity that queues absorb.
DISTURBED_SHARE = 0.1
# A load is given up when no report shows it after this many seconds: 400 GB
# of weights at 1 GB/s are 400 s, and reports lag by seconds.
LONGEST_LOAD = 900.0
# After a failed load the same engine is tried again no sooner than this.
RETRY_AFTER = 60.0
# A roll-out stops when the new version's attainment is lower than the old
# one's by more than this, over at least the given number of requests.
ATTAINMENT_DROP = 0.05
ATTAINMENT_SAMPLE = 50


class OrderKind(enum.Enum):
    """What an engine is told to do, in the words of the contract."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Order(msgspec.Struct, frozen=True):
    """One order, which is idempotent: it names a state, not a step."""

    kind: OrderKind
    server: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""

    @property
    def key(self):
        """Return the name by which a repeated order is told."""
        parts = [self.kind.value, self.server, self.model, self.version]
        parts += [self.adapter, self.role]
        return "/".join(parse.quote(part, safe="") for part in parts)


def parse_key(key):
    """Return the order that ``key`` names."""
    kind, *rest = [parse.unquote(part) for part in key.split("/")]
    return Order(OrderKind(kind), *rest)


class Awaited(msgspec.Struct):
    """An order that was given and is not yet seen in a report.

    ``epoch`` is that of the engine when it was given, -1 if not known: an
    engine that was restarted since has forgotten the order.
    """

    order: Order
    placement: str
    given_at: float
    fencing: int
    epoch: int = -1
    answered: bool = False
    attempts: int = 1


class Wanted(msgspec.Struct):
    """One placement as it applies to this failure domain.

    ``servers`` are the names of the engines that may hold copies;
    ``protected`` is true where a class of the highest priority uses the
    model; ``in_use`` where any request for it is waiting or running.
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
        """Return the share that met its targets; 1 with no requests."""
        return self.met / self.requests if self.requests else 1.0


class View(msgspec.Struct):
    """All that the plan looks at.

    ``announcements`` holds those of the serving engines by name,
    ``awaited`` the orders under way by key, ``refused_until`` the time
    before which an order (by key) is not to be repeated, ``attainment`` by
    ``(model, version)``.
    """

    announcements: dict
    awaited: dict
    refused_until: dict
    attainment: dict


class Plan(msgspec.Struct):
    """What to order now, and each placement's condition in words."""

    orders: list = msgspec.field(default_factory=list)
    conditions: dict = msgspec.field(default_factory=dict)


def holds(announcement, model, version, adapter=""):
    """Tell whether an engine reports a model (and an adapter) loaded."""
    return any(
        item.name == model
        and (not version or item.version == version)
        and (not adapter or adapter in item.adapters)
        for item in announcement.models
    )


def safe_to_unload(order, view, planned=()):
    """Tell whether another engine keeps serving what ``order`` takes.

    Copies that were ordered away already, or are about to be (``planned``),
    do not count, even while they are still reported: two placements of one
    model would otherwise each see the other's copy and both take theirs.
    """
    under_way = [item.order for item in view.awaited.values()]
    going = {
        item.server
        for item in [*under_way, *planned]
        if item.kind is OrderKind.UNLOAD and item.model == order.model
    }
    return any(
        holds(announcement, order.model, "")
        for name, announcement in view.announcements.items()
        if name != order.server and name not in going
    )


def plan(wanted, view, now):
    """Return the :class:`Plan` for one failure domain.

    Placements whose model a protected class uses come first, since the
    number of engines that may be disturbed at a time is shared.
    """
    made = Plan()
    room = _room(view)
    for item in sorted(wanted, key=_rank):
        planned = [order for _, order in made.orders]
        step = _Step(item, view, planned, now)
        orders, condition = step.decide(room)
        made.orders.extend((item.name, order) for order in orders)
        made.conditions[item.name] = condition
        room -= sum(_is_at_work(view, order.server) for order in orders)
    return made


def _rank(item):
    return (not item.protected, item.name)


def _room(view):
    """Return how many more engines at work may be disturbed now.

    An engine without any model has no capacity to lose, so that a failure
    domain which comes back cold is limited by the weight store alone.
    """
    allowed = max(1, int(len(view.announcements) * DISTURBED_SHARE))
    disturbed = {
        item.order.server
        for item in view.awaited.values()
        if _is_at_work(view, item.order.server)
    }
    return allowed - len(disturbed)


def _is_at_work(view, name):
    announcement = view.announcements.get(name)
    return announcement is not None and bool(announcement.models)


class _Step:
    """The next orders for one placement."""

    def __init__(self, item, view, planned, now):
        self._item = item
        self._planned = planned
        self._spec = item.spec
        self._view = view
        self._now = now

    def decide(self, room):
        """Return the orders for now and the condition in words."""
        halted = self._halted()
        if halted:
            return [], halted
        awaited = self._awaited()
        missing = self._spec.minimum_copies - len(self._expected(awaited))
        if missing > 0 and not (awaited and self._outdated()):
            return self._load(missing, room, awaited)
        if awaited:
            names = ", ".join(item.order.key for item in awaited)
            return [], f"awaiting {names}"
        if room <= 0:
            return [], "waiting: enough engines are being changed now"
        for look in (self._adapters, self._old_versions, self._surplus):
            orders = look()
            if orders:
                keys = ", ".join(order.key for order in orders)
                return orders[:room], f"ordering {keys}"
        return self._roles(room)

    def _awaited(self):
        """Return the orders under way that are about this model.

        Those that a lost predecessor gave have no placement's name, so
        that the model counts too.
        """
        return [
            item
            for item in self._view.awaited.values()
            if item.placement == self._item.name
            or item.order.model == self._spec.model
        ]

    def _expected(self, awaited):
        """Return the engines that have the declared version, or soon will."""
        spec = self._spec
        loading = {
            item.order.server
            for item in awaited
            if item.order.kind is OrderKind.LOAD
            and item.order.version == spec.version
            and not item.order.adapter
        }
        return loading | set(self._current())

    def _announced(self):
        found = self._view.announcements
        return [
            (name, found[name]) for name in self._item.servers if name in found
        ]

    def _current(self):
        """Return the engines that report the declared version."""
        spec = self._spec
        return [
            name
            for name, announcement in self._announced()
            if holds(announcement, spec.model, spec.version)
        ]

    def _outdated(self):
        """Return each engine with another version, and that version."""
        spec = self._spec
        return [
            (name, item.version)
            for name, announcement in self._announced()
            for item in announcement.models
            if spec.version
            and item.name == spec.model
            and item.version != spec.version
        ]

    def _load(self, missing, room, awaited):
        """Load on empty engines first, then on those with the fewest models.

        A new version is tried on one engine before any other gets it.
        """
        if self._outdated():
            missing = 1
        taken = self._expected(awaited)
        able = [
            (len(announcement.models), name)
            for name, announcement in self._announced()
            if name not in taken and self._may_try(self._load_on(name))
        ]
        chosen = []
        for models, name in sorted(able):
            if models and room <= 0:
                break
            room -= bool(models)
            chosen.append(name)
            if len(chosen) == missing:
                break
        if not chosen:
            return [], f"{missing} copies missing and no engine free to load"
        return [self._load_on(name) for name in chosen], (
            f"loading on {', '.join(chosen)}"
        )

    def _load_on(self, name):
        spec = self._spec
        return Order(OrderKind.LOAD, name, spec.model, spec.version)

    def _may_try(self, order):
        return self._now >= self._view.refused_until.get(order.key, 0.0)

    def _adapters(self):
        """Load a missing adapter, on one engine at a time."""
        spec = self._spec
        for adapter in spec.adapters:
            for name, announcement in self._announced():
                if not holds(announcement, spec.model, spec.version):
                    continue
                if holds(announcement, spec.model, spec.version, adapter):
                    continue
                order = Order(
                    OrderKind.LOAD, name, spec.model, spec.version, adapter
                )
                if self._may_try(order):
                    return [order]
        return []

    def _halted(self):
        """Return why the roll-out stands still, or ''."""
        spec = self._spec
        new = self._measured(spec.version)
        if new.requests < ATTAINMENT_SAMPLE:
            return ""
        for version in sorted({version for _, version in self._outdated()}):
            old = self._measured(version)
            if old.requests < ATTAINMENT_SAMPLE:
                continue
            if new.share < old.share - ATTAINMENT_DROP:
                return (
                    f"halted: version {spec.version} meets"
                    f" {new.share:.0%} of targets, {version} {old.share:.0%}"
                )
        return ""

    def _measured(self, version):
        key = (self._spec.model, version)
        return self._view.attainment.get(key) or Attainment()

    def _old_versions(self):
        """Drop one old copy, now that the declared ones are there.

        The declared copies are counted from reports, so that a load that
        was only ordered, and may yet fail, frees nothing.
        """
        outdated = self._outdated()
        current = self._current()
        if not outdated or len(current) < max(1, self._spec.minimum_copies):
            return []
        name, version = outdated[0]
        order = Order(OrderKind.UNLOAD, name, self._spec.model, version)
        return self._unload(order, keeps_model=name in current)

    def _surplus(self):
        """Drop one copy above the declared maximum.

        The last copy of a model that is in use stays, whatever the
        maximum says: taking it would refuse its callers.
        """
        current = self._current()
        keep = max(self._spec.maximum_copies, 1 if self._item.in_use else 0)
        if len(current) <= keep:
            return []
        spec = self._spec
        order = Order(OrderKind.UNLOAD, current[-1], spec.model, spec.version)
        return self._unload(order, keeps_model=False)

    def _unload(self, order, keeps_model):
        """Return the order, unless it would take the last copy in use."""
        if not self._may_try(order):
            return []
        last = not keeps_model and not safe_to_unload(
            order, self._view, self._planned
        )
        if last and self._item.in_use:
            return []
        return [order]

    def _roles(self, room):
        """Give engines the declared role, one at a time."""
        role = self._spec.role
        current = set(self._current())
        for name, announcement in self._announced():
            if not role or name not in current or announcement.role == role:
                continue
            order = Order(OrderKind.ROLE, name, role=role)
            if self._may_try(order):
                return [order], f"ordering {order.key}"
        return [], "as declared"
