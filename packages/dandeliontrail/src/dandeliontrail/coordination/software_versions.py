"""Which software versions of a service streams may begin at.

The quorum log decides it.  A server of a version that is not admitted begins
no stream that may be resumed, so an instance whose state is proven recent
knows all versions at which such streams began.
"""

import msgspec


class VersionChange(msgspec.Struct, tag="software_version"):
    """A log entry that admits or retires a software version of a service."""

    service: str
    version: str
    admitted: bool


class VersionResult(msgspec.Struct):
    """The log position of a change."""

    version: int


class AdmittedVersions:
    """The admitted versions of each service; a pure function of the log.

    >>> admitted = AdmittedVersions()
    >>> admitted.apply(1, VersionChange("llm", "v1", True)).version
    1
    >>> admitted.of("llm")
    ('v1',)
    """

    __slots__ = ("_by_service",)

    def __init__(self):
        self._by_service = {}

    def of(self, service):
        """Return the admitted versions of a service, the oldest first."""
        return self._by_service.get(service, ())

    def services(self):
        """Return the services that have admitted versions."""
        return list(self._by_service)

    def apply(self, position, change):
        """Apply the change at ``position`` of the log."""
        kept = tuple(
            version
            for version in self.of(change.service)
            if version != change.version
        )
        if change.admitted:
            kept = (*kept, change.version)
        self._by_service[change.service] = kept
        if not kept:
            del self._by_service[change.service]
        return VersionResult(position)

    def snapshot(self):
        """Return the state for a checkpoint."""
        return list(self._by_service.items())

    def restore(self, state):
        """Replace the state by that of a checkpoint."""
        pairs = msgspec.convert(state, list[tuple[str, tuple[str, ...]]])
        self._by_service = dict(pairs)
