"""Convergence and costs between real instances, each its own process."""

import dataclasses
import os
import time

import gevent
import geventhttpclient
import msgspec

from dandeliontrail_ctl import api

from dandeliontrail.resources import announcements

from . import processes

INSTANCES = 9
DOMAINS = 3
SERVERS = 13
ROUNDS = 10
SETTLE_SECONDS = 5.0
COST_SECONDS = 10.0
LIMIT_SECONDS = 10.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(slots=True)
class Found:
    """Seconds until each instance knew, and costs a second of each."""

    leaves: list
    joins: list
    bytes: float
    batches: float
    messages: float
    busy_share: float
    memory_mb: float


class _Announcer:
    """Announces stand-in servers, in turn at all instances."""

    def __init__(self, running):
        self._clients = [
            geventhttpclient.HTTPClient.from_url(f"http://{address}")
            for address in running.addresses("backend_servers")
        ]
        self._sequence = 0

    def announce(self, name, at, leaving=False):
        """Send one announcement of a server to instance ``at``."""
        self._sequence += 1
        said = announcements.Announcement(
            name,
            1,
            self._sequence,
            "model_engine",
            "http://127.0.0.1:9",
            f"fd{len(name) % DOMAINS}",
            [announcements.Model("small")],
            leaving=leaving,
        )
        body = msgspec.json.encode(said)
        client = self._clients[at % len(self._clients)]
        client.post("/v1/announcements", body).read()

    def keep_alive(self, names):
        """Announce all ``names`` every second, for ever."""
        turn = 0
        while True:
            turn += 1
            for index, name in enumerate(names):
                self.announce(name, index + turn)
            gevent.sleep(1.0)


def measure():
    """Return what nine instances on loopback take and cost."""
    names = [f"i{index}" for index in range(INSTANCES)]
    domains = [f"fd{index // DOMAINS}" for index in range(INSTANCES)]
    extra = {"bootstrap_keepers": ["i0", "i3", "i6"]}
    with processes.Deployment(names, domains, extra) as running:
        announcer = _Announcer(running)
        held = [f"e{index}" for index in range(SERVERS)]
        greenlet = gevent.spawn(announcer.keep_alive, held)
        gevent.sleep(SETTLE_SECONDS)
        costs = _costs(running)
        joins, leaves = [], []
        for index in range(ROUNDS):
            name = f"new{index}"
            joins.extend(_spread(running, announcer, name, index, False))
            leaves.extend(_spread(running, announcer, name, index, True))
        greenlet.kill()
        return Found(leaves, joins, *costs)


def _spread(running, announcer, name, at, leaving):
    """Announce and return how long each instance takes to show it.

    Instances are asked in turn without a pause, so that a value is too
    large by up to the time of one round of questions.
    """
    servers = [
        api.Api(f"http://{item.addresses['operators']}")
        for item in running.instances
    ]
    announcer.announce(name, at, leaving)
    began = time.monotonic()
    took = []
    while servers and time.monotonic() - began < LIMIT_SECONDS:
        for server in list(servers):
            if _serves(server, name) is not leaving:
                took.append(time.monotonic() - began)
                servers.remove(server)
    return took


def _serves(server, name):
    try:
        return server.get("backendservers", name)["serving"]
    except api.ApiError:
        return False


def _costs(running):
    before = [_counts(item) for item in running.instances]
    gevent.sleep(COST_SECONDS)
    after = [_counts(item) for item in running.instances]
    rates = [
        sum(late[key] - early[key] for early, late in zip(before, after))
        / (COST_SECONDS * len(before))
        for key in ("bytes", "batches", "messages", "busy")
    ]
    memory = max(item["memory"] for item in after)
    return (*rates, memory)


def _counts(instance):
    operators = instance.addresses["operators"]
    client = geventhttpclient.HTTPClient.from_url(f"http://{operators}")
    text = client.get("/metrics").read().decode()
    client.close()
    found = {}
    for key in ("bytes", "batches", "messages"):
        name = f"dandeliontrail_peer_sent_{key}_total "
        lines = [line for line in text.splitlines() if line.startswith(name)]
        found[key] = float(lines[0].split()[-1]) if lines else 0.0
    return {**found, **_process_counts(instance.process.pid)}


def _process_counts(pid):
    """Return processor seconds and resident MB, from /proc."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    busy = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    memory = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 2**20
    return {"busy": busy, "memory": memory}
