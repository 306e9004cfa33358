"""Views of the rests that backend servers asked for, for operators."""


def gauges(host):
    """Return gauges and counters by metric name."""
    now = host.clock.now()
    servers = host.state.registry.servers.values()
    found = {
        "backend_servers_resting": sum(server.rests(now) for server in servers)
    }
    held = host.reducer.policy.held_for_rest
    for service, count in sorted(held.items()):
        name = f'requests_held_for_rest_total{{service="{service}"}}'
        found[name] = count
    return found
