"""Which backend servers may run which work.

The answer depends on the pools of a class and on what each server has loaded.
Both change seldom, so results are cached until one of them changes. A load
report alone does not invalidate the cache: with 2,500 servers that report
every second, rebuilding the lists on every report would cost more than the
placement decisions.
"""

from ..resources import specs


def pool_has(select, announcement):
    """Return whether an announcement matches every given selector field."""
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
    """Return whether a server has the model, or an adapter, loaded."""
    return any(
        name == model.name or name in model.adapters
        for model in announcement.models
    )


def signature(announcement):
    """Return the fields of an announcement that affect the lists."""
    return (
        announcement.kind,
        announcement.service,
        announcement.failure_domain,
        announcement.leaving,
        announcement.software_version,
        tuple(
            (model.name, model.version, tuple(model.adapters))
            for model in announcement.models
        ),
    )


def eligible_for(directory, work):
    """Return the servers of a directory that a piece of work may use.

    A stream of which the caller holds events is bound to the version of the
    software that wrote them.
    """
    servers = directory.eligible(work.class_name, work.model, work.service)
    version = work.software_version
    if version is None:
        return servers
    return [
        item
        for item in servers
        if item.announcement.software_version == version
    ]


class Directory:
    """Lists of servers by class and target, built on first use."""

    __slots__ = ("_registry", "_store", "_cache")

    def __init__(self, registry, store):
        self._registry = registry
        self._store = store
        self._cache = {}

    def invalidate(self):
        """Drop the cached lists after a change of servers or objects."""
        self._cache.clear()

    def server(self, name):
        """Return the server called ``name``, or ``None``."""
        return self._registry.servers.get(name)

    def eligible(self, class_name, model, service):
        """Return the servers that a class may use for a target.

        The list may hold servers whose lease has lapsed since it was built:
        the caller checks ``serves(now)`` on the server that it picks.
        """
        key = (class_name, model, service)
        servers = self._cache.get(key)
        if servers is None:
            servers = self._find_servers(class_name, model, service)
            self._cache[key] = servers
        return servers

    def of_service(self, service):
        """Return the servers of a service, for routes, which use no pools.

        The list may hold servers whose lease has lapsed since it was built.
        """
        key = ("", "", service)
        servers = self._cache.get(key)
        if servers is None:
            servers = [
                server
                for server in self._registry.servers.values()
                if server.announcement.service == service
                and not server.announcement.leaving
            ]
            self._cache[key] = servers
        return servers

    def _find_servers(self, class_name, model, service):
        spec = self._store.spec(specs.Kind.REQUEST_CLASSES, class_name)
        pools = self._pools(spec)
        return [
            server
            for server in self._registry.servers.values()
            if _can_serve(server.announcement, model, service)
            and _in_any_pool(pools, server.announcement)
        ]

    def _pools(self, spec):
        names = spec.pools if spec else []
        pools = [
            self._store.spec(specs.Kind.BACKEND_POOLS, name) for name in names
        ]
        return [pool for pool in pools if pool]


def _can_serve(announcement, model, service):
    if announcement.leaving:
        return False
    if service:
        return announcement.service == service
    return has_model(announcement, model)


def _in_any_pool(pools, announcement):
    return any(pool_has(pool.select, announcement) for pool in pools)
