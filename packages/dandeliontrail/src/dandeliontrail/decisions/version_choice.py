"""Which servers may take a stream, by the version of their software.

What two versions write does not fit together.  A stream of which a caller
holds an event goes on at the version that wrote it and nowhere else; a new
stream begins where it could go on.
"""

import collections

# How long work waits for a server of its version that is known but cannot be
# used: within an answer for the restart of a server or its next announcement,
# else, since the caller can be told, as long as other work waits.
CONTINUING_WAIT_SECONDS = 1.5
RETURNING_WAIT_SECONDS = 0.3
# How long a new stream waits until a version is admitted: several times what
# that takes.
ADMISSION_WAIT_SECONDS = 1.0


class VersionChoice:
    """Filters servers by the versions at which a piece of work may run.

    ``admitted`` are the :class:`.software_versions.AdmittedVersions`.
    """

    __slots__ = ("_admitted", "_sole")

    def __init__(self, admitted):
        self._admitted = admitted
        # The list of a service's servers, and their version if they have one.
        self._sole = {}

    def allowed(self, work, servers):
        """Return those of a service's ``servers`` that may take ``work``.

        It is the list itself if all of them may.
        """
        bound = work.software_version
        if bound is not None:
            return [item for item in servers if _version_of(item) == bound]
        if not work.begins_stream or self._are_alike(work.service, servers):
            return servers
        admitted = self._admitted.of(work.service)
        found = [item for item in servers if _version_of(item) in admitted]
        return servers if len(found) == len(servers) else found

    def preferred(self, work, servers, usable, now):
        """Return the ``usable`` servers at which new streams should begin.

        These are servers of versions that two or more servers serve.  Returns
        ``None`` if any usable server will do.
        """
        if not work.begins_stream or self._are_alike(work.service, servers):
            return None
        counts = collections.Counter(
            _version_of(item) for item in servers if item.serves(now)
        )
        found = {
            name: item
            for name, item in usable.items()
            if counts[_version_of(item)] > 1
        }
        return None if len(found) in (0, len(usable)) else found

    def _are_alike(self, service, servers):
        """Return whether all servers run the same admitted version.

        The list of servers is another one as soon as one of them changes.
        """
        cached = self._sole.get(service)
        if cached is None or cached[0] is not servers:
            versions = {_version_of(item) for item in servers}
            sole = versions.pop() if len(versions) == 1 else None
            cached = self._sole[service] = (servers, sole)
        return cached[1] is not None and cached[1] in self._admitted.of(
            service
        )


def _version_of(server):
    return server.announcement.software_version


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
