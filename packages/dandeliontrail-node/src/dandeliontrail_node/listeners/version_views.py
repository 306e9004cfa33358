"""Views of software versions and of the streams bound to them."""

import collections

import msgspec


class SoftwareVersionView(msgspec.Struct):
    """A version of a service's software, as this instance knows it.

    ``admitted`` tells whether streams that can be resumed may begin at it,
    ``serving`` how many of its ``servers`` get new work.
    """

    name: str
    service: str
    software_version: str
    admitted: bool
    serving: int
    servers: list[str]


def software_versions(host):
    """Return the versions of all services with their servers."""
    now = host.clock.now()
    state = host.state
    found = collections.defaultdict(list)
    for server in state.registry.servers.values():
        announcement = server.announcement
        found[announcement.service, announcement.software_version].append(
            server
        )
    for service in state.software_versions.services():
        for version in state.software_versions.of(service):
            found[service, version].extend(())
    return [
        SoftwareVersionView(
            f"{service}/{version}",
            service,
            version,
            version in state.software_versions.of(service),
            sum(server.serves(now) for server in servers),
            sorted(item.announcement.backend_server for item in servers),
        )
        for (service, version), servers in sorted(found.items())
    ]


def gauges(state):
    """Return gauges and counters about streams, by metric name."""
    found = {
        "stream_records": len(state.streams),
        "stream_records_dropped_total": state.streams.dropped,
    }
    for (service, version), count in sorted(state.stream_counts.begun.items()):
        labels = f'service="{service}",software_version="{_label(version)}"'
        found[f"streams_begun_total{{{labels}}}"] = count
    for source, count in sorted(state.stream_counts.resumed.items()):
        found[f'streams_resumed_total{{source="{source}"}}'] = count
    return found


def _label(text):
    """Return a text as the value of a Prometheus label."""
    return text.replace("\\", "\\\\").replace('"', '\\"')
