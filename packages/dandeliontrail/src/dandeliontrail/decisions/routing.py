"""Finds the route and the service of a request."""

import bisect


class RoutingTable:
    """The routes and keys of one revision, indexed for lookups.

    ``keyed`` tells whether requests need a key, unless their route is public.
    """

    __slots__ = ("revision", "keyed", "_hosts", "_owners")

    def __init__(self, revision, document_needs_key=None):
        self.revision = revision
        self.keyed = _needs_key(revision, document_needs_key)
        self._owners = {
            key: item for item in revision.organisations for key in item.keys
        }
        self._hosts = {}
        for route in revision.routes:
            by_prefix = self._hosts.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    def find(self, host, path):
        """Return the route with the longest prefix of ``path``, or None.

        Prefixes end with a slash, so only the beginnings of ``path`` up to
        a slash are looked up, the longest first.  The cost of a lookup grows
        with the segments of the path, not with the routes of the host.
        """
        routes = self._hosts.get(without_port(host))
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
        """Return the organisation that owns a key, or ``None``.

        ``key_hash`` is the key as organisations list it.
        """
        return self._owners.get(key_hash)


def _needs_key(revision, document_needs_key):
    """Return whether requests need a key.

    A revision of an older release may not tell; its document does, by
    ``document_needs_key(document)``.
    """
    if revision.needs_key is not None:
        return revision.needs_key
    if revision.organisations or document_needs_key is None:
        return bool(revision.organisations)
    return document_needs_key(revision.document)


def without_port(host):
    """Return a host without its port, in lower case."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()


def choose_service(split, draw):
    """Return the service that a weighted split selects for a random draw.

    ``draw`` is in [0, 1).

    >>> from dandeliontrail.resources import revisions
    >>> parts = [revisions.Split("a", 9), revisions.Split("b", 1)]
    >>> choose_service(parts, 0.95)
    'b'
    """
    if len(split) == 1:
        return split[0].service
    cumulative = []
    total = 0
    for part in split:
        total += part.weight
        cumulative.append(total)
    return split[bisect.bisect_right(cumulative, draw * total)].service
