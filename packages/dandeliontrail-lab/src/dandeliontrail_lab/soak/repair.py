"""Replaces a keeper that lost its disk, as an operator would."""

import time

import gevent

from dandeliontrail_ctl import api

MAX_WAIT_SECONDS = 40.0
RETRY_PAUSE_SECONDS = 0.3


def replace_keeper(cluster, name):
    """Remove a keeper and add it again; return whether both succeeded."""
    deadline = time.monotonic() + MAX_WAIT_SECONDS
    removed = _retry_until_done(deadline, lambda: _remove(cluster, name))
    return removed and _retry_until_done(deadline, lambda: _add(cluster, name))


def _retry_until_done(deadline, step):
    """Call ``step`` until it returns true; return false at the deadline."""
    while time.monotonic() < deadline:
        try:
            if step():
                return True
        except api.ApiError:
            # A retry may succeed, at another instance or a little later.
            pass
        gevent.sleep(RETRY_PAUSE_SECONDS)
    return False


def _remove(cluster, name):
    server = _other_instance_api(cluster, name)
    if name not in _keeper_names(server):
        return True
    server.delete("keepers", name)
    return False


def _add(cluster, name):
    server = _other_instance_api(cluster, name)
    if name in _keeper_names(server):
        return True
    server.post("keepers", name)
    return False


def _other_instance_api(cluster, name):
    """Return a client for a ready instance other than ``name``."""
    others = sorted(cluster.ready - {name})
    if not others:
        raise api.ApiError(0, "No instance is ready.", "wait")
    return api.Api(f"http://{cluster.operators(others[0])}")


def _keeper_names(server):
    return [item["name"] for item in server.get("keepers")["items"]]
