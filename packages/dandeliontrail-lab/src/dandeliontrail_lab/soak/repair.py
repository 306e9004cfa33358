"""The operators' procedure for a keeper that lost its disk."""

import time

import gevent

from dandeliontrail_ctl import api

SECONDS = 40.0
PAUSE = 0.3


def replace_keeper(cluster, name):
    """Take a keeper out and put it in again; tell whether that was done."""
    deadline = time.monotonic() + SECONDS
    removed = _until(deadline, lambda: _remove(cluster, name))
    return removed and _until(deadline, lambda: _add(cluster, name))


def _until(deadline, step):
    """Repeat a step until it says that it is done."""
    while time.monotonic() < deadline:
        try:
            if step():
                return True
        except api.ApiError:
            # Another instance, or the same a little later, may do it.
            pass
        gevent.sleep(PAUSE)
    return False


def _remove(cluster, name):
    server = _server(cluster, name)
    if name not in _names(server):
        return True
    server.delete("keepers", name)
    return False


def _add(cluster, name):
    server = _server(cluster, name)
    if name in _names(server):
        return True
    server.post("keepers", name)
    return False


def _server(cluster, name):
    """Return the API of an instance other than the one repaired."""
    others = sorted(cluster.ready - {name})
    if not others:
        raise api.ApiError(0, "No instance is ready.", "wait")
    return api.Api(f"http://{cluster.operators(others[0])}")


def _names(server):
    return [item["name"] for item in server.get("keepers")["items"]]
