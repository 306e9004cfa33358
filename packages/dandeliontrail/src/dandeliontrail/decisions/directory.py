"""Which backend servers may take which work.

The answer depends on the pools of a class and on what a server has loaded,
both of which change seldom, so it is kept until one of them changes.  A
load report alone keeps it: at 2,500 servers that report each second, a
directory rebuilt on every report would cost more than the decisions.
"""

from ..resources import specs


def pool_has(select, announcement):
    """Tell whether an announcement matches every given field."""
    if select.kind and select.kind != announcement.kind:
        return False
    if select.service and select.service != announcement.service:
        return False
    if (
        select.failure_domain
        and select.failure_domain != announcement.failure_domain
    ):
        return False
    if select.backend_servers and (
        announcement.backend_server not in select.backend_servers
    ):
        return False
    if select.model and not has_model(announcement, select.model):
        return False
    return True


def has_model(announcement, name):
    """Tell whether a server has the model, or an adapter, loaded."""
    return any(
        name == model.name or name in model.adapters
        for model in announcement.models
    )


def signature(announcement):
    """Return what of an announcement decides where it is listed."""
    return (
        announcement.kind,
        announcement.service,
        announcement.failure_domain,
        announcement.leaving,
        tuple(
            (model.name, model.version, tuple(model.adapters))
            for model in announcement.models
        ),
    )


class Directory:
    """Servers by class and target, built on first use."""

    __slots__ = ("_registry", "_store", "_lists")

    def __init__(self, registry, store):
        self._registry = registry
        self._store = store
        self._lists = {}

    def invalidate(self):
        """Forget the lists, after a change of servers or of objects."""
        self._lists.clear()

    def server(self, name):
        """Return the server called ``name``, or ``None``."""
        return self._registry.servers.get(name)

    def eligible(self, class_name, model, service):
        """Return the servers that a class may use for a target.

        The list may hold servers whose lease has lapsed since it was
        built: whoever picks one checks ``serves(now)``.
        """
        key = (class_name, model, service)
        held = self._lists.get(key)
        if held is None:
            held = self._build(class_name, model, service)
            self._lists[key] = held
        return held

    def of_service(self, service):
        """Return the servers of a service, for routes, which need no pool.

        The list may hold servers whose lease has lapsed since.
        """
        key = ("", "", service)
        held = self._lists.get(key)
        if held is None:
            held = [
                server
                for server in self._registry.servers.values()
                if server.announcement.service == service
                and not server.announcement.leaving
            ]
            self._lists[key] = held
        return held

    def _build(self, class_name, model, service):
        spec = self._store.spec(specs.Kind.REQUEST_CLASSES, class_name)
        pools = self._pools(spec)
        return [
            server
            for server in self._registry.servers.values()
            if _offers(server.announcement, model, service)
            and _in_any(pools, server.announcement)
        ]

    def _pools(self, spec):
        names = spec.pools if spec else []
        found = [
            self._store.spec(specs.Kind.BACKEND_POOLS, name) for name in names
        ]
        return [pool for pool in found if pool]


def _offers(announcement, model, service):
    if announcement.leaving:
        return False
    if service:
        return announcement.service == service
    return has_model(announcement, model)


def _in_any(pools, announcement):
    return any(pool_has(pool.select, announcement) for pool in pools)
