"""Evaluates the declared model placements for one failure domain."""

from ..decisions import directory as directory_module
from ..decisions import model_orders
from ..resources import specs

MODEL_ENGINE = "model_engine"
PROTECTED_PRIORITY = 0


def local_engines(state, now):
    """Return the announcements of this domain's serving engines, by name."""
    domain = state.identity.failure_domain
    return {
        server.announcement.backend_server: server.announcement
        for server in state.registry.serving(now)
        if server.announcement.kind == MODEL_ENGINE
        and server.announcement.failure_domain == domain
    }


def wanted(state, engines, used_models):
    """Return each placement with the engines that may hold its copies."""
    placements = state.store.objects[specs.Kind.MODEL_PLACEMENTS]
    return [
        model_orders.DeclaredPlacement(
            name,
            placements[name].spec,
            _allowed_engines(state, placements[name].spec, engines),
            _is_protected(state, placements[name].spec),
            _in_use(placements[name].spec.model, engines, used_models),
        )
        for name in sorted(placements)
    ]


def _allowed_engines(state, spec, engines):
    pool = state.store.spec(specs.Kind.BACKEND_POOLS, spec.pool)
    if pool is None:
        return sorted(engines)
    # A pool that selects by model would never contain an engine that has yet
    # to load the model, so only its other fields are used here.
    select = specs.Select(
        pool.select.kind,
        "",
        pool.select.service,
        pool.select.failure_domain,
        pool.select.backend_servers,
    )
    return [
        name
        for name in sorted(engines)
        if directory_module.pool_has(select, engines[name])
    ]


def _is_protected(state, spec):
    """Return whether a class of the highest priority uses a placement."""
    classes = state.store.objects[specs.Kind.REQUEST_CLASSES]
    return any(
        resource.spec.priority == PROTECTED_PRIORITY
        and (not spec.pool or spec.pool in resource.spec.pools)
        for resource in classes.values()
    )


def _in_use(model, engines, used_models):
    """Return whether a model is in use.

    Requests that other instances relay are visible only in the loads that
    engines report: a busy engine that holds the model may be serving it.
    """
    if model in used_models:
        return True
    return any(
        announcement.load.running + announcement.load.waiting > 0
        for announcement in engines.values()
        if model_orders.holds(announcement, model, "")
    )


def checks_fencing(state, announcement):
    """Return whether an engine refuses orders with an old fencing number.

    The operators' settings for its pools override its own announcement.
    """
    pools = state.store.objects[specs.Kind.BACKEND_POOLS]
    declared = [
        resource.spec.checks_fencing
        for resource in pools.values()
        if resource.spec.checks_fencing is not None
        and directory_module.pool_has(resource.spec.select, announcement)
    ]
    if declared:
        # If pools disagree, assume the safe case: it does not check.
        return all(declared)
    return announcement.checks_fencing


def is_fulfilled(order, engines):
    """Return whether the engine reports the state that ``order`` names."""
    announcement = engines.get(order.server)
    if announcement is None:
        return False
    if order.kind is model_orders.OrderKind.ROLE:
        return announcement.role == order.role
    is_held = model_orders.holds(
        announcement, order.model, order.version, order.adapter
    )
    return is_held == (order.kind is model_orders.OrderKind.LOAD)
