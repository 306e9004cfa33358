"""Convergence and costs of real instances, each in its own process."""

import dataclasses
import os
import time

import gevent
import geventhttpclient
import msgspec

from dandeliontrail_ctl import api

from dandeliontrail.resources import announcements

from . import processes

INSTANCE_COUNT = 9
DOMAIN_COUNT = 3
SERVER_COUNT = 13
CHANGE_ROUNDS = 10
SETTLE_SECONDS = 5.0
COST_SECONDS = 10.0
MAX_WAIT_SECONDS = 10.0
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(slots=True)
class Measurement:
    """The results of a measurement.

    ``leaves`` and ``joins`` are the seconds until each instance had learnt of
    the change.  ``bytes``, ``batches``, ``messages`` and ``busy_share`` are
    rates per second of one instance, ``memory_mb`` is the largest resident
    size.
    """

    leaves: list
    joins: list
    bytes: float
    batches: float
    messages: float
    busy_share: float
    memory_mb: float


class _Announcer:
    """Announces simulated servers, to all instances in turn."""

    def __init__(self, running):
        self._clients = [
            geventhttpclient.HTTPClient.from_url(f"http://{address}")
            for address in running.addresses("backend_servers")
        ]
        self._sequence = 0

    def announce(self, name, index, leaving=False):
        """Send one announcement of a server to instance number ``index``."""
        self._sequence += 1
        announcement = announcements.Announcement(
            name,
            1,
            self._sequence,
            "model_engine",
            "http://127.0.0.1:9",
            f"fd{len(name) % DOMAIN_COUNT}",
            [announcements.Model("small")],
            leaving=leaving,
        )
        body = msgspec.json.encode(announcement)
        client = self._clients[index % len(self._clients)]
        client.post("/v1/announcements", body).read()

    def keep_alive(self, names):
        """Announce all ``names`` every second, until killed."""
        turn = 0
        while True:
            turn += 1
            for index, name in enumerate(names):
                self.announce(name, index + turn)
            gevent.sleep(1.0)


def measure():
    """Measure nine instances on loopback."""
    names = [f"i{index}" for index in range(INSTANCE_COUNT)]
    domains = [f"fd{index // DOMAIN_COUNT}" for index in range(INSTANCE_COUNT)]
    extra = {"bootstrap_keepers": ["i0", "i3", "i6"]}
    with processes.Deployment(names, domains, extra) as running:
        announcer = _Announcer(running)
        server_names = [f"e{index}" for index in range(SERVER_COUNT)]
        greenlet = gevent.spawn(announcer.keep_alive, server_names)
        gevent.sleep(SETTLE_SECONDS)
        costs = _resource_rates(running)
        joins, leaves = [], []
        for index in range(CHANGE_ROUNDS):
            name = f"new{index}"
            joins.extend(
                _propagation_seconds(running, announcer, name, index, False)
            )
            leaves.extend(
                _propagation_seconds(running, announcer, name, index, True)
            )
        greenlet.kill()
        return Measurement(leaves, joins, *costs)


def _propagation_seconds(running, announcer, name, index, leaving):
    """Announce a server and return each instance's seconds to show it.

    Instances are polled in turn without a pause, so a value is too large by up
    to the time of one round of polling.
    """
    pending = [
        api.Api(f"http://{instance.addresses['operators']}")
        for instance in running.instances
    ]
    announcer.announce(name, index, leaving)
    started = time.monotonic()
    durations = []
    while pending and time.monotonic() - started < MAX_WAIT_SECONDS:
        for api_client in list(pending):
            if _is_serving(api_client, name) is not leaving:
                durations.append(time.monotonic() - started)
                pending.remove(api_client)
    return durations


def _is_serving(server, name):
    try:
        return server.get("backendservers", name)["serving"]
    except api.ApiError:
        return False


def _resource_rates(running):
    before = [_counters(item) for item in running.instances]
    gevent.sleep(COST_SECONDS)
    after = [_counters(item) for item in running.instances]
    rates = [
        sum(late[key] - early[key] for early, late in zip(before, after))
        / (COST_SECONDS * len(before))
        for key in ("bytes", "batches", "messages", "busy")
    ]
    memory = max(item["memory"] for item in after)
    return (*rates, memory)


def _counters(instance):
    operators = instance.addresses["operators"]
    client = geventhttpclient.HTTPClient.from_url(f"http://{operators}")
    text = client.get("/metrics").read().decode()
    client.close()
    counters = {}
    for key in ("bytes", "batches", "messages"):
        name = f"dandeliontrail_peer_sent_{key}_total "
        lines = [line for line in text.splitlines() if line.startswith(name)]
        counters[key] = float(lines[0].split()[-1]) if lines else 0.0
    return {**counters, **_process_counters(instance.process.pid)}


def _process_counters(pid):
    """Return processor seconds and resident MB, from /proc."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    busy = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND
    memory = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 2**20
    return {"busy": busy, "memory": memory}
