"""Whether a stream may go on whose version nobody knows.

It may only if no second version can have begun it.  A stream begins at an
admitted version, so that is certain where one version is admitted and the
proof of that is younger than the request: whatever its caller holds was sent
before.
"""


def sole_version(route, admitted, proven_at, received):
    """Return the service and version at which it began, else ``None``.

    ``admitted`` are the :class:`.software_versions.AdmittedVersions` that this
    instance had applied at ``proven_at``, ``None`` for no proof; ``received``
    is when the request arrived.
    """
    if proven_at is None or proven_at < received:
        return None
    services = [part.service for part in route.split if part.weight > 0]
    if len(services) != 1:
        return None
    versions = admitted.of(services[0])
    if len(versions) != 1:
        return None
    return services[0], versions[0]
