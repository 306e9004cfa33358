"""Which servers may take a stream, by the version of their software.

What two versions write does not fit together.  A stream of which a caller
holds an event goes on at the version that wrote it and nowhere else; a new
stream begins where it could go on.
"""

import collections

import msgspec

# How long work waits for a server of its version that is known but cannot be
# used: within an answer for the restart of a server or its next announcement,
# else, since the caller can be told, as long as other work waits.
CONTINUING_WAIT_SECONDS = 1.5
RETURNING_WAIT_SECONDS = 0.3
# How long a new stream waits until a version is admitted: several times what
# that takes.
ADMISSION_WAIT_SECONDS = 1.0


class VersionServers(msgspec.Struct):
    """The servers that may take work, as far as versions decide it.

    ``servers`` maps the names of all of them, ``preferred`` those at which a
    new stream should begin; both are the same object where any will do.
    """

    servers: dict
    preferred: dict


class VersionChoice:
    """Filters servers by the versions at which a piece of work may run.

    ``admitted`` are the :class:`.software_versions.AdmittedVersions`.
    """

    __slots__ = ("_admitted", "_round", "_sole")

    def __init__(self, admitted):
        self._admitted = admitted
        self._round = {}
        # The list of a service's servers, and their version if they have one.
        self._sole = {}

    def begin_round(self):
        """Forget the lists of the last round."""
        self._round.clear()

    def of(self, work, servers, usable, now):
        """Return the :class:`VersionServers` of ``work`` in ``usable``.

        ``servers`` are all servers of the service.  Where all of them run one
        version, which is admitted, the result has ``usable`` itself.
        """
        if work.software_version is not None:
            bound = _of_version(usable, work.software_version)
            return VersionServers(bound, bound)
        if not work.begins_stream:
            return VersionServers(usable, usable)
        if self._are_alike(work.service, servers):
            return VersionServers(usable, usable)
        cached = self._round.get(work.service)
        if cached is None or cached[0] is not usable:
            found = self._for_new_streams(work.service, servers, usable, now)
            cached = self._round[work.service] = (usable, found)
        return cached[1]

    def _are_alike(self, service, servers):
        """Return whether all servers run the same admitted version.

        The list of servers is another one as soon as one of them changes.
        """
        cached = self._sole.get(service)
        if cached is None or cached[0] is not servers:
            versions = {item.announcement.software_version for item in servers}
            sole = versions.pop() if len(versions) == 1 else None
            cached = self._sole[service] = (servers, sole)
        return cached[1] is not None and cached[1] in self._admitted.of(
            service
        )

    def _for_new_streams(self, service, servers, usable, now):
        admitted = self._admitted.of(service)
        counts = collections.Counter(
            server.announcement.software_version
            for server in servers
            if server.serves(now)
        )
        allowed = {
            name: server
            for name, server in usable.items()
            if server.announcement.software_version in admitted
        }
        if len(allowed) == len(usable):
            allowed = usable
        preferred = {
            name: server
            for name, server in allowed.items()
            if counts[server.announcement.software_version] > 1
        }
        if not preferred or len(preferred) == len(allowed):
            preferred = allowed
        return VersionServers(allowed, preferred)


def _of_version(servers, version):
    return {
        name: server
        for name, server in servers.items()
        if server.announcement.software_version == version
    }


def serving(work, servers, now):
    """Return the servers that serve the version of ``work``, by name."""
    return {
        server.announcement.backend_server: server
        for server in servers
        if server.announcement.software_version == work.software_version
        and server.serves(now)
    }


def wait_seconds(work):
    """Return how long ``work`` waits for a usable server of its version."""
    if work.software_version is None:
        return ADMISSION_WAIT_SECONDS
    if work.is_continuing:
        return CONTINUING_WAIT_SECONDS
    return RETURNING_WAIT_SECONDS
