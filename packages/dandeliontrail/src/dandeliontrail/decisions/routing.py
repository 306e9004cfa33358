"""Which route a request takes, by the revision in force."""

import bisect


class RoutingTable:
    """The routes and keys of one revision, ready for look-ups."""

    __slots__ = ("revision", "_hosts", "_owners")

    def __init__(self, revision):
        self.revision = revision
        self._owners = {
            key: item for item in revision.organisations for key in item.keys
        }
        self._hosts = {}
        for route in revision.routes:
            held = self._hosts.setdefault(route.host.lower(), {})
            held[route.path_prefix] = route

    @property
    def keyed(self):
        """Tell whether requests need a key, unless their route is public."""
        return bool(self.revision.organisations)

    def find(self, host, path):
        """Return the route with the longest prefix of ``path``, or None.

        Prefixes end with a slash, so only the beginnings of ``path`` up to
        a slash are looked up, the longest first: however many routes a host
        has, a look-up costs as many steps as the path has parts.
        """
        routes = self._hosts.get(_bare(host))
        if routes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def owner(self, key_hash):
        """Return the organisation that a key belongs to, or ``None``."""
        return self._owners.get(key_hash)


def _bare(host):
    """Return a host without its port, in lower case."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()


def choose_service(split, draw):
    """Return the service of a weighted split for ``draw`` in [0, 1).

    >>> from dandeliontrail.resources import revisions
    >>> parts = [revisions.Split("a", 9), revisions.Split("b", 1)]
    >>> choose_service(parts, 0.95)
    'b'
    """
    if len(split) == 1:
        return split[0].service
    sums = []
    total = 0
    for part in split:
        total += part.weight
        sums.append(total)
    return split[bisect.bisect_right(sums, draw * total)].service
