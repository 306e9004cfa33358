"""Gauges and counters of the configuration log, for operators."""


def gauges(status):
    """Return the metrics of a replica, by name, from its ``LogStatus``.

    What only the leader knows is left out on all other instances.
    """
    named = {
        "applied": status.applied,
        "stale": int(status.stale),
        "ready": int(status.ready),
        "leads": int(status.role == "leader"),
        "keeper_stopped": int(status.keeper_stopped),
        "confirmed_ago_seconds": status.confirmed_ago,
        "voters": len(status.voters),
        "voters_answering": status.voters_answering,
        "losses_survived": status.losses_survived,
        "spares": len(status.spares),
        "repair_waits_seconds": status.repair_waits_seconds,
        "elections_begun_total": status.elections_begun,
        "voter_changes_total": status.voter_changes,
    }
    return {
        f"configuration_{name}": value
        for name, value in named.items()
        if value is not None
    }
