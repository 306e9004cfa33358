"""Views of the limits that backend servers name, for operators."""


def gauges(state):
    """Return gauges and counters about limits and permits, by metric name.

    The limit of each server that names one is in requests per second.
    """
    if not state.limits.held:
        return {}
    counts = state.permits.counts
    found = {
        "backend_server_limits": state.limits.named,
        "backend_server_permits_granted_total": counts.granted,
        "backend_server_permits_used_total": counts.used,
        "backend_server_permits_expired_total": counts.expired,
        "backend_server_permits_without_holder_total": counts.without_holder,
    }
    for name, held in sorted(state.limits.held.items()):
        if held.record.limit is not None:
            label = f'backend_server_limit{{backend_server="{name}"}}'
            found[label] = held.record.limit
    return found
