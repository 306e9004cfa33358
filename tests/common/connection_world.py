"""Many instances that open and reuse connections to servers, in virtual time.

Each instance has its own object of the real policy and a pool like that of
``forwarding.connections``.  Load reports arrive late, as they do through
relays.  Servers answer after a drawn time; plain servers with all slots taken
queue, engines run all their streams.
"""

import collections
import heapq
import math
import random
import types

from dandeliontrail.coordination import server_limits
from dandeliontrail.coordination import server_loads
from dandeliontrail.decisions import permits
from dandeliontrail.decisions import retry_budget
from dandeliontrail.decisions import shared_policy
from dandeliontrail.decisions import view as view_module
from dandeliontrail.decisions import work as work_module

from tests.common import prompt_engine
from tests.common import shared_policy_harness

INSTANCES = 88
ENGINES = 45
PLAIN_SERVERS = 4
PLAIN_SLOTS = 6
PLAIN_RATE = 54.0
CHAT_RATE = 39.0
# Mean seconds of a plain answer, and of a chat of 174 tokens.
PLAIN_SECONDS = 0.15
CHAT_SECONDS = 0.8
FIRST_EVENT_SECONDS = 0.05
LAG_SECONDS = 0.27


class Instance:
    """One instance: its policy, its idle connections and reported loads."""

    def __init__(self, number, contended):
        self.loads = server_loads.LoadTable()
        self.idle = collections.defaultdict(list)
        state = types.SimpleNamespace(
            routing=types.SimpleNamespace(
                table=shared_policy_harness.routing_table()
            ),
            loads=self.loads,
            permits=permits.Permits(server_limits.LimitTable()),
            identity=types.SimpleNamespace(failure_domain=f"fd{number % 3}"),
            software_versions=shared_policy_harness.admitted_versions(
                "llm", ""
            ),
        )
        self.policy = shared_policy.SharedServersPolicy(
            random.Random(number),
            view_module.FixedView(INSTANCES),
            state,
            retry_budget.RetryLimits(0.2, 220.0, 10.0),
            contended,
        )

    def connects(self, server, now):
        """Take the connection used last; return whether there was none."""
        kept = self.idle[server]
        while kept:
            if kept.pop() > now:
                return False
        return True


class World:
    """The instances and servers; ``idle_seconds`` is how long pools keep."""

    def __init__(self, contended, idle_seconds=1.0, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self._events = []
        self._count = 0
        self._idle_seconds = idle_seconds
        self.instances = [
            Instance(number, contended) for number in range(INSTANCES)
        ]
        self._services = {
            "llm": [
                prompt_engine.server_of(number) for number in range(ENGINES)
            ],
            "app": [
                prompt_engine.server_of(100 + number, "app", PLAIN_SLOTS)
                for number in range(PLAIN_SERVERS)
            ],
        }
        self.requests = collections.Counter()
        self.opened = collections.Counter()
        self.running = collections.Counter()
        self._waiting = collections.defaultdict(collections.deque)
        # Seconds of running requests, samples of them, and of waiting.
        self.busy_seconds = collections.Counter()
        self.samples = collections.defaultdict(list)
        self.waited = []

    def of_service(self, service):
        """Return the servers; the policy uses this as its directory."""
        return self._services[service]

    def _schedule(self, when, call, *args):
        self._count += 1
        heapq.heappush(self._events, (when, self._count, call, args))

    def run(self, seconds):
        """Simulate ``seconds`` of arrivals."""
        for service, rate in (("app", PLAIN_RATE), ("llm", CHAT_RATE)):
            at = 0.0
            while at < seconds:
                at += self.rng.expovariate(rate)
                self._schedule(at, self._arrive, service)
        for step in range(int(seconds / LAG_SECONDS)):
            self._schedule(step * LAG_SECONDS, self._report_loads)
        while self._events:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)

    def _report_loads(self):
        for name in ["e100", "e101", "e102", "e103"]:
            self.samples[name].append(self.running[name])
        loads = [item.policy.own_loads() for item in self.instances]
        self._schedule(self.now + LAG_SECONDS, self._receive_loads, loads)

    def _receive_loads(self, loads):
        total = collections.defaultdict(lambda: [0, 0])
        for load in (load for own in loads for load in own):
            total[load.server][0] += load.running
            total[load.server][1] += load.unread
        everyone = [
            server_loads.Load(name, *sums) for name, sums in total.items()
        ]
        for instance, own in zip(self.instances, loads):
            others = server_loads.subtract_own(everyone, own)
            instance.loads.replace_report("others", "fd", others, self.now)

    def _arrive(self, service):
        self._count += 1
        is_chat = service == "llm"
        parts = ()
        if is_chat:
            parts = ((f"c{self.rng.randrange(480)}", 350), ("own", 1110))
        work = work_module.Work(
            f"r{self._count}",
            "acme",
            "chat" if is_chat else "read",
            "",
            service,
            0,
            self.now,
            self.now + 10.0,
            prompt_tokens=1460 if is_chat else 0,
            between_tokens_ms=300.0 if is_chat else None,
            parts=parts,
            routed=True,
        )
        instance = self.rng.choice(self.instances)
        instance.policy.offer(work, self.now)
        (placed,) = instance.policy.next(self.now, self)
        server = placed.server
        self.requests[service] += 1
        self.opened[service] += instance.connects(server, self.now)
        mean = CHAT_SECONDS if is_chat else PLAIN_SECONDS
        seconds = self.rng.expovariate(1.0 / mean)
        attempt = (instance, work, server, seconds, self.now)
        if not is_chat and self.running[server] >= PLAIN_SLOTS:
            self._waiting[server].append(attempt)
        else:
            self._start(*attempt)

    def _start(self, instance, work, server, seconds, arrived):
        self.running[server] += 1
        self.busy_seconds[server] += seconds
        if work.service == "app":
            self.waited.append(self.now - arrived)
        else:
            self._schedule(
                self.now + min(seconds, FIRST_EVENT_SECONDS),
                self._first_output,
                instance,
                work,
            )
        self._schedule(
            self.now + seconds, self._finish, instance, work, server
        )

    def _first_output(self, instance, work):
        instance.policy.first_output(work.request_id, self.now)

    def _finish(self, instance, work, server):
        self.running[server] -= 1
        instance.idle[server].append(self.now + self._idle_seconds)
        ended = work_module.AttemptEnd(
            work.request_id, server, idle_seconds=self._idle_seconds
        )
        instance.policy.ended(ended, self.now)
        if self._waiting[server]:
            self._start(*self._waiting[server].popleft())

    # -- results ------------------------------------------------------------

    def opened_per_request(self, service):
        """Return the new connections per request of a service."""
        return self.opened[service] / self.requests[service]

    def busiest(self, service):
        """Return the load of the busiest server relative to the mean.

        The mean is over the servers that got any requests.
        """
        loads = [
            self.busy_seconds[server.announcement.backend_server]
            for server in self._services[service]
        ]
        used = [load for load in loads if load]
        return max(used) * len(used) / math.fsum(used)

    def mean_wait(self):
        """Return the mean wait for a slot of a plain server, in seconds."""
        return math.fsum(self.waited) / len(self.waited)
