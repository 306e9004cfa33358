"""Which backend servers may take a request, and over which path.

Servers that cannot be reached directly are reached through peers.  All that
can be reached compete by their load, so that an instance with few direct paths
does not press everything into few servers.
"""

import msgspec


class UsableServers(msgspec.Struct):
    """The servers that may take a piece of work, by name.

    ``through_peers`` are the names of those without a direct path, and
    ``preferred`` those servers that are taken while they have room.
    """

    servers: dict
    through_peers: frozenset = frozenset()
    preferred: dict | None = None


class Rest(msgspec.Struct):
    """Servers rest, the first of them until ``until``.

    That is the present for one that is used again little by little.
    ``is_sole_reason`` tells that no other server may take the work.
    """

    until: float
    is_sole_reason: bool = True


class UsableServerLists:
    """Lists the usable servers of a service, cached for one round.

    ``table`` has the state of each server, ``checks`` (``PathChecks``) the
    lost paths, ``peer_paths`` (``PeerPaths``) the paths through peers, and
    ``domain_reach`` the partitioned failure domains, ``versions``
    (``VersionChoice``) what follows from the software versions.
    """

    def __init__(self, table, checks, peer_paths, domain_reach, versions):
        self._table = table
        self._checks = checks
        self._peer_paths = peer_paths
        self._domain_reach = domain_reach
        self._versions = versions
        self._round = {}

    def begin_round(self):
        """Forget the lists: time has passed, or a server is being probed."""
        self._round.clear()

    def of(self, work, servers, now):
        """Return the :class:`UsableServers` among ``servers``.

        Work that avoids servers after failed attempts is not cached, nor are
        streams that go on at one version.
        """
        if (
            work.excluded_servers
            or work.unreached_since is not None
            or work.software_version is not None
        ):
            return self._of_allowed(work, servers, now)
        key = (work.service, work.begins_stream)
        cached = self._round.get(key)
        if cached is None:
            cached = self._of_allowed(work, servers, now)
            self._round[key] = cached
        return cached

    def exist_of_any_version(self, work, servers, now):
        """Return whether any server is usable, whatever software it runs."""
        return bool(self._find(work, servers, now).servers)

    def rest_of(self, work, servers, now):
        """Return the :class:`Rest` that ``work`` may wait for, or ``None``."""
        found = Rest(float("inf"))
        for name, server in _newest_at_addresses(
            self._versions.allowed(work, servers)
        ):
            if not server.serves(now) or name in work.excluded_servers:
                continue
            if server.rests(now):
                found.until = min(found.until, server.rests_until)
            elif not self._table.server(name).health.has_room():
                found.until = now
            else:
                found.is_sole_reason = False
        return found if found.until < float("inf") else None

    def _of_allowed(self, work, servers, now):
        allowed = self._versions.allowed(work, servers)
        found = self._find(work, allowed, now)
        found.preferred = self._versions.preferred(
            work, allowed, found.servers, now
        )
        return found

    def _find(self, work, servers, now):
        direct = self._direct(work, servers, now)
        since = work.unreached_since
        if self._checks.all_suspect:
            since = max(self._checks.lost_since, since or 0.0)
        if since is not None:
            direct = self._heard_since(since, direct, now)
        if direct and not self._checks.unreachable:
            return UsableServers(direct)
        indirect = self._indirect(work, servers, direct, now)
        return UsableServers({**direct, **indirect}, frozenset(indirect))

    def _direct(self, work, servers, now):
        """Return the servers that may take the work directly, by name."""
        # While a peer can help, no request is spent on a path that was lost.
        lost = self._checks.unreachable
        if lost and not self._peer_paths.has_peers(now):
            lost = ()
        found = {}
        for name, server in _newest_at_addresses(servers):
            if not server.takes_work(now) or name in work.excluded_servers:
                continue
            health = self._table.server(name).health
            if name not in lost and health.usable(now) and health.has_room():
                found[name] = server
        return self._without_partitioned_domains(found, now)

    def _without_partitioned_domains(self, usable, now):
        """Leave out partitioned failure domains, unless no other is left."""
        domains = {
            server.announcement.failure_domain for server in usable.values()
        }
        partitioned = {
            domain
            for domain in domains
            if self._domain_reach.is_partitioned(domain, now)
        }
        if not partitioned or partitioned == domains:
            return usable
        return {
            name: server
            for name, server in usable.items()
            if server.announcement.failure_domain not in partitioned
        }

    def _heard_since(self, since, direct, now):
        """Return the servers heard since a path was lost, at ``since``.

        If none was, all paths may be lost: then the work goes through a peer
        or, without one, to any of the ``direct`` servers.
        """
        heard = {
            name: server
            for name, server in direct.items()
            if self._table.server(name).health.heard_at >= since
        }
        if heard or not self._peer_paths.has_peers(now):
            return heard or direct
        return {}

    def _indirect(self, work, servers, direct, now):
        """Return the servers that may take the work through peers, by name.

        While there are direct paths, only servers that a peer was seen to
        reach: most that cannot be reached have crashed.
        """
        found = {}
        for name, server in _newest_at_addresses(servers):
            health = self._table.server(name).health
            is_excluded = name in work.excluded_servers and (
                name not in work.unreached_servers
            )
            if name in direct or is_excluded or not server.takes_work(now):
                continue
            if not (health.usable_through_peer(now) and health.has_room()):
                continue
            if direct and not (
                name in self._checks.unreachable
                and self._peer_paths.is_confirmed(name, now)
            ):
                continue
            if self._peer_paths.exists(name, now):
                found[name] = server
        return found


def _newest_at_addresses(servers):
    """Yield the name and the server that announced itself last, by address.

    A server that restarts at the same address has a new name.
    """
    newest = {}
    for server in servers:
        url = server.announcement.url
        known = newest.get(url)
        if known is None or server.heard_at > known.heard_at:
            newest[url] = server
    for server in newest.values():
        yield server.announcement.backend_server, server
