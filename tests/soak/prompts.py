"""Model engines and long prompts, so that prefill queues are in use.

The engines are a service of their own, whose routes have targets that enable
the queues.  They are no servers of the other parts, which therefore keep
their plans; above all, no engine names a limit.
"""

import json
import time

import gevent
from gevent import lock

from tests.common import platform_world
from tests.common import world as node_world
from tests.soak import faults as faults_module
from tests.soak import processes
from tests.soak import proxy
from tests.soak import servers

SERVICE = "llm"
MODEL = "m1"
# One engine for each of these prompt tokens per second.
PACES = (30_000, 50_000, 80_000)
SLOTS = 16
SHARED_TOKENS = 3000
OWN_TOKENS = 6000
SHARED_PARTS = 4
TIMEOUT_SECONDS = 4.0
BURST = (4, 14)
PAUSE_SECONDS = (0.6, 1.6)
FAULT_PAUSE_SECONDS = (1.5, 6.0)
# A disruption counts for this long, as on the platform.
CONTACT_SECONDS = 3.0
POLL_SECONDS = 0.05
# An entry that was killed has started again by then.
SETTLE_SECONDS = 30.0
CALM_SECONDS = 5.0
# A prompt that is granted at once has a round trip to the holder behind it.
MIN_WAIT_MS = 100.0
# What holders of queues meet while no server names a limit.
FAULT_SECONDS = 8.0
MIX = faults_module.Mix(
    (
        "entry_killed",
        "entry_stopped",
        "entry_frozen",
        "entry_cut_off",
        "keeper_killed",
        "peers_reset",
    ),
    strikes_early=False,
    has_end=False,
)
ENGINE_KINDS = (
    "server_restarts",
    "server_leaves",
    "server_path",
    "server_reset",
)
# Attempts at the first route must not be repeated, those at the second may.
ROUTES = tuple(
    platform_world.route(
        name,
        "streaming",
        service=SERVICE,
        priority=priority,
        target_latency_ms=target_ms,
        timeout_ms=TIMEOUT_SECONDS * 1000.0,
        **more,
    )
    for name, priority, target_ms, more in (
        ("prompt", 1, 500, {"max_attempts": 1}),
        ("document", 2, 700, {"resumable": True}),
    )
)
MANIFEST = {
    "routes": (*platform_world.ROUTES, *ROUTES),
    "services": [
        *platform_world.manifest(0)["services"],
        {"name": SERVICE, "max_connections": 100, "engine": {"slots": SLOTS}},
    ],
}


class Engine(servers.RecordingServer):
    """A model engine that prefills one prompt at a time at its own pace."""

    def __init__(self, number, world, zone, seed):
        super().__init__(number, world)
        self._rng = processes.seeded_random(seed, "engine", number)
        self._pace = PACES[number]
        self._prefilling = lock.BoundedSemaphore()
        self._cached = set()
        self.heartbeat_fields = {
            "service": SERVICE,
            "zone": zone,
            "slots": SLOTS,
            "models": [{"name": MODEL}],
        }

    @property
    def id(self):
        """Return the id of this incarnation."""
        return f"e{self._number}-{self.incarnation}"

    def restart(self, version=None):
        """Start a new incarnation, which has no prompt part in its cache."""
        super().restart(version)
        self._cached = set()

    def _keepers(self):
        return self._rng.sample(self._world.keepers, len(self._world.keepers))

    def _respond(self, sock, head, request_id):
        parts = platform_world.header(head, "X-Dandeliontrail-Prompt-Prefix")
        with self._prefilling:
            for part in parts.split(","):
                name, _, tokens = part.partition(":")
                if name not in self._cached:
                    gevent.sleep(int(tokens) / self._pace)
                self._cached.add(name)
        self._stream(sock, head, request_id, self.version)


class Prompts:
    """Sends long prompts; what it does depends on the seed alone.

    It has a generator of its own, so that the faults of a seed stay the same.
    """

    def __init__(self, world, seed):
        self._world = world
        self._seed = seed
        self._rng = processes.seeded_random(seed, "prompts")
        self._served = {}
        self._ready_pids = set()
        self._disrupted_at = time.monotonic()
        self._is_settling = False
        self._first_count = 0
        self._injected = []
        self._judged = 0
        self._engines = []

    def run_first(self):
        """Disrupt the holders of queues, and judge what follows.

        Queues are used only while no server at all names a limit, so this
        comes before the other parts.  Callers go on until the end.
        """
        world = self._world
        world.manifest_parts = MANIFEST
        # The last engine has a failure domain without any instance.
        zones = [entry.zone for entry in world.entries[: len(PACES) - 1]]
        for number, zone in enumerate([*zones, "engines"]):
            engine = Engine(number, world, zone, self._seed)
            self._engines.append(engine)
            world.spawn(engine.send_heartbeats)
        for job in (self._watch, self._disrupt_engines, self._send_bursts):
            world.spawn(job)
        faults = faults_module.Faults(world, f"{self._seed}/prompts", MIX)
        faults.run(FAULT_SECONDS)
        faults.finish()
        self._injected = faults.injected
        self._settle()
        self._first_count = len(self._served)

    def _send_bursts(self):
        rng = self._rng
        while True:
            for _ in range(rng.randint(*BURST)):
                route = rng.choice(ROUTES)["name"]
                gevent.spawn(
                    self._send, route, rng.choice(self._world.entries)
                )
            gevent.sleep(rng.uniform(*PAUSE_SECONDS))

    def _send(self, route, entry):
        world = self._world
        number = len(self._served)
        request_id = f"{route}-{number}"
        # The oldest key is one that a keeper has accepted.
        key = world.keys[0]
        sent = time.monotonic()
        self._served[request_id] = False
        world.retries.requested(sent)
        world.sent_with[request_id] = (key, sent)
        world.taken_by[request_id] = entry
        if route == "prompt":
            world.orders.append(request_id)
        reply = self._call(entry, route, request_id, key)
        self._served[request_id] = (
            reply is not None
            and reply.status == 200
            and reply.whole
            and reply.body.count(b"id: ") == servers.STREAM_PIECES
        )
        if reply is not None and reply.status in (408, 421, 429, 503):
            world.refused.append(request_id)
        # The watch may not have seen what disrupted this request.
        self._update_disrupted()
        if self._disrupted_at < sent - CONTACT_SECONDS:
            self._judge(request_id, entry, reply, sent)

    def _call(self, entry, route, request_id, key):
        shared = self._rng.randrange(SHARED_PARTS)
        parts = f"p{shared}:{SHARED_TOKENS},{request_id}:{OWN_TOKENS}"
        headers = platform_world.caller_headers(
            request_id,
            key=key,
            left=str(int(TIMEOUT_SECONDS * 1000)),
            headers=[
                ("X-Dandeliontrail-Model", MODEL),
                ("X-Dandeliontrail-Prompt-Prefix", parts),
                (
                    "X-Dandeliontrail-Token-Usage",
                    f"{SHARED_TOKENS + OWN_TOKENS},{servers.STREAM_PIECES}",
                ),
            ],
        )
        address = (entry.ip, self._world.ports["callers"])
        body = request_id.encode()
        return self._world.call(
            address, "POST", f"/{route}/", headers, body, TIMEOUT_SECONDS
        )

    def _judge(self, request_id, entry, reply, sent):
        """Report a request that was not served though all was calm."""
        self._judged += 1
        if self._served[request_id]:
            return
        got = "no answer" if reply is None else f"{reply.status} {reply.body}"
        self._world.report_violation(
            "long prompts are served while all is calm",
            f"{request_id} at {entry.ip}, left after"
            f" {time.monotonic() - sent:.2f} s: {got[:300]}",
        )

    # -- engines and their faults -------------------------------------------

    def _disrupt_engines(self):
        rng = processes.seeded_random(self._seed, "prompts", "engines")
        faults = faults_module.ServerFaults(self._engines)
        while True:
            gevent.sleep(rng.uniform(*FAULT_PAUSE_SECONDS))
            kind = rng.choice(ENGINE_KINDS)
            if not self._is_settling:
                self._world.note(f"engines: {kind}")
                getattr(faults, kind)(rng)

    # -- calm ---------------------------------------------------------------

    def _watch(self):
        while True:
            self._update_disrupted()
            gevent.sleep(POLL_SECONDS)

    def _update_disrupted(self):
        """Record now as the last time of a disruption if there is one."""
        if self._world.active_faults or self._is_disrupted():
            self._disrupted_at = time.monotonic()

    def _is_disrupted(self):
        """Return whether an engine, entry or keeper is disrupted now.

        Planned departures of engines and reloads are no disruptions.
        """
        world = self._world
        marks = (*self._engines, *world.keepers, *world.entries)
        return (
            any(item.disrupted_at > self._disrupted_at for item in marks)
            or any(
                item.proxy.mode is not proxy.Mode.PASS
                for item in self._engines
            )
            or any(item.is_cut for item in world.entries)
            or any(item.listening_at is None for item in world.keepers)
            or not all(self._has_started(item) for item in world.entries)
        )

    def _has_started(self, entry):
        """Return whether the process of an entry has been ready once."""
        if not entry.running:
            return False
        pid = entry.pid
        if pid not in self._ready_pids and self._world.ready(entry):
            self._ready_pids.add(pid)
        return pid in self._ready_pids

    def _settle(self):
        """Wait until all is calm, and let the callers send for a while."""
        self._is_settling = True
        try:
            node_world.wait_until(self._is_calm, SETTLE_SECONDS)
        except AssertionError:
            self._world.note("all is never calm")
        gevent.sleep(CALM_SECONDS)
        self._is_settling = False

    def _is_calm(self):
        return time.monotonic() > self._disrupted_at + CONTACT_SECONDS

    # -- report -------------------------------------------------------------

    def check(self):
        """Report a run in which no prompt waited in a queue."""
        if not self.summary()["waited"]:
            self._world.report_violation(
                "prompts wait in queues", f"none of {len(self._served)}"
            )

    def summary(self):
        """Return what was sent, served and judged, and what queues held.

        ``granted`` and ``waited`` are the prompts that a holder granted, and
        those of them that waited; ``waited_first`` those before other parts.
        """
        waits = self._read_waits()
        waited = [item for item in waits if waits[item] >= MIN_WAIT_MS]
        first = set(list(self._served)[: self._first_count])
        return {
            "sent": len(self._served),
            "served": sum(self._served.values()),
            "judged": self._judged,
            "faults": self._injected,
            "granted": len(waits),
            "waited": len(waited),
            "waited_first": len(first.intersection(waited)),
        }

    def _read_waits(self):
        """Return the milliseconds in queues of prompts that were granted."""
        waits = {}
        for entry in self._world.entries:
            for line in entry.log().splitlines():
                if '"queued_ms":' in line and '"holder":' in line:
                    fields = json.loads(line)
                    waits[fields["request_id"]] = fields["queued_ms"]
        return waits
