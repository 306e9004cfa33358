"""A simulation of many instances and model engines with prefix caches.

It needs no sockets and runs in virtual time.  Each instance has its own
object of the real policy.  The engines prefill prompts in chunks between the
decode steps of their streams, and evict what they have cached when its memory
is needed.  The load reports that instances send to one another arrive late,
as they do through relays.  Callers retry once after a refusal, and give up at
their deadline or when a stream has been silent for too long.  A silent engine
keeps its stream until a hedge at another engine takes over.
"""

import collections
import dataclasses
import heapq
import math
import random
import types

from dandeliontrail.coordination import server_limits
from dandeliontrail.coordination import server_loads
from dandeliontrail.decisions import permits
from dandeliontrail.decisions import prefill_asks
from dandeliontrail.decisions import retry_budget
from dandeliontrail.decisions import routing
from dandeliontrail.decisions import shared_policy
from dandeliontrail.decisions import silence_timeouts
from dandeliontrail.decisions import view as view_module
from dandeliontrail.decisions import work as work_module
from dandeliontrail.resources import revisions

from tests.common import prefill_exchange
from tests.common import prompt_engine
from tests.common import shared_policy_harness

SERVICE = prompt_engine.SERVICE
TICK_SECONDS = 0.1
# Tolerance, in seconds, for comparing times in spite of rounding.
TIME_TOLERANCE_SECONDS = 1e-6


@dataclasses.dataclass(slots=True)
class RequestKind:
    """One kind of request; times in seconds, sizes in tokens.

    ``rate`` is in requests per second, and ``shared_parts`` is the number of
    different shared parts.  ``mean_own_tokens`` and ``mean_output_tokens``
    are the means of exponential distributions; with a ``log_deviation``,
    ``mean_own_tokens`` is the mean of a log-normal distribution whose
    logarithm has this standard deviation.  ``max_attempts`` is the largest
    number of attempts per request.
    """

    name: str
    rate: float
    shared_parts: int
    shared_tokens: int
    mean_own_tokens: int
    mean_output_tokens: int
    first_token_seconds: float
    deadline: float
    max_pause: float
    priority: int
    log_deviation: float = 0.0
    max_attempts: int = 1

    def draw_own_tokens(self, rng):
        """Draw the number of prompt tokens that no other request shares."""
        if not self.log_deviation:
            return max(50, int(rng.expovariate(1 / self.mean_own_tokens)))
        scale = math.log(self.mean_own_tokens) - self.log_deviation**2 / 2
        drawn = rng.lognormvariate(scale, self.log_deviation)
        return int(
            min(max(50, drawn), MAX_OWN_TOKENS_FACTOR * self.mean_own_tokens)
        )

    def max_silence(self):
        """Return after how many silent seconds a caller gives up."""
        return max(2.0, 4 * self.first_token_seconds, 8 * self.max_pause)


# The size of the longest prompts, as a multiple of the mean of their kind.
MAX_OWN_TOKENS_FACTOR = 8.0

# The traffic of the two users at its present size.
REVIEW = RequestKind("review", 103, 1269, 13300, 3720, 120, 2.0, 8.0, 1.5, 2)
SUMMARY = RequestKind("summary", 48.8, 638, 6300, 2890, 54, 1.2, 5.0, 0.6, 1)
CHAT = RequestKind("chat", 113, 1478, 350, 1110, 174, 1.2, 10.0, 0.4, 0)


class Instance:
    """One instance: its policy and the load reports of the others."""

    def __init__(self, world, number, domain):
        self.world = world
        self.name = f"i{number}"
        self.domain = domain
        self.loads = server_loads.LoadTable()
        self.prefill = prefill_asks.PrefillAsks()
        state = types.SimpleNamespace(
            routing=types.SimpleNamespace(table=world.table),
            loads=self.loads,
            permits=permits.Permits(server_limits.LimitTable()),
            identity=types.SimpleNamespace(failure_domain=domain),
            software_versions=shared_policy_harness.admitted_versions(
                prompt_engine.SERVICE, ""
            ),
            prefill=self.prefill if world.queues_prefill else None,
        )
        limits = retry_budget.RetryLimits(0.2, 220.0, 10.0)
        view = view_module.FixedView(world.instance_count)
        self.policy = shared_policy.SharedServersPolicy(
            random.Random(number),
            view,
            state,
            limits,
            contended=world.queues_prefill,
        )
        self.policy.retry_budget.share = 1.0 / world.instance_count

    def decide(self):
        """Place or refuse the requests that wait at this instance."""
        world = self.world
        for item in self.policy.next(world.now, world):
            if isinstance(item, work_module.Placement):
                world.dispatch(self, item)
            else:
                world.handle_refusal(self, item)
        if world.exchange is not None:
            world.exchange.send_due(self)

    def pace(self, server):
        """Return the known pace of an engine, or 0."""
        return self.prefill.held_paces.get(server) or self.loads.pace(server)


class World:
    """The instances, the engines and the clock of the simulation.

    ``lag`` is both the age of load reports on arrival and the interval at
    which they are sent, in seconds.  The engines prefill at ``rates`` times
    the rate of ``config``, in turn.  Requests are from ``organisations``.
    With ``exchange`` (:class:`.prefill_exchange.ExchangeOptions`), prefill
    queues are enabled.
    """

    def __init__(
        self,
        instances,
        engines,
        kinds,
        lag=0.3,
        config=None,
        seed=1,
        *,
        rates=(1.0,),
        organisations=("acme",),
        exchange=None,
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.kinds = {kind.name: kind for kind in kinds}
        self.config = config or prompt_engine.EngineConfig()
        self.table = _routing_table(kinds, self.config)
        self.lag = lag
        self.organisations = organisations
        self.queues_prefill = exchange is not None
        self.least_urgent_step = max(kind.priority for kind in kinds)
        self.exchange = None
        self._events = []
        self._order = 0
        self._count = 0
        self.instance_count = instances
        self.engines = {}
        self.servers = []
        for number in range(engines):
            name = f"e{number}"
            config = dataclasses.replace(self.config)
            config.read_tokens_per_second *= rates[number % len(rates)]
            self.engines[name] = prompt_engine.Engine(name, config, self)
            self.servers.append(
                prompt_engine.server_of(number, slots=self.config.slots)
            )
        self.instances = [
            Instance(self, number, f"fd{number % 3}")
            for number in range(instances)
        ]
        if exchange is not None:
            self.exchange = prefill_exchange.PrefillExchange(self, exchange)
        # The streams by request id, and the hedges of silent streams.
        self.streams = {}
        self.hedges = {}
        self.requests = []
        self.hedges_sought = collections.Counter()
        self.hedges_won = collections.Counter()
        self.arrivals = collections.Counter()
        self.on_time = collections.Counter()
        self.late = collections.Counter()
        self.refusals = collections.Counter()
        self.read_tokens = 0
        self.reread_tokens = 0
        self.hit_tokens = 0
        self._parts_read = set()
        self.placements = collections.Counter()

    def of_service(self, service):
        """Return the servers; the policy uses this as its directory."""
        return self.servers

    # -- time -------------------------------------------------------------

    def schedule(self, when, call, *args):
        """Schedule ``call`` for the time ``when``."""
        self._order += 1
        heapq.heappush(self._events, (when, self._order, call, args))

    def run(self, seconds, bursts=(), floods=()):
        """Simulate ``seconds``; ``bursts`` are (kind, begin, end, factor).

        ``floods`` are (organisation, begin, end, factor): the organisation
        sends all kinds at that many times its share of the rate.
        """
        for kind in self.kinds.values():
            self._schedule_arrivals(kind, seconds, bursts)
            for flood in floods:
                self._schedule_flood(kind, *flood)
        steps = int(seconds / TICK_SECONDS) + 1
        for step in range(steps):
            self.schedule(step * TICK_SECONDS, self._tick)
        for step in range(int(seconds / self.lag)):
            self.schedule(step * self.lag, self._send_loads)
        while self._events:
            when, _, call, args = heapq.heappop(self._events)
            if when > seconds + 10.0:
                break
            self.now = when
            call(*args)

    def _schedule_arrivals(self, kind, seconds, bursts):
        at = 0.0
        while at < seconds:
            factor = 1.0
            for name, begin, end, times in bursts:
                if name == kind.name and begin <= at < end:
                    factor = times
            at += self.rng.expovariate(kind.rate * factor)
            self.schedule(at, self._create_request, kind, at)

    def _schedule_flood(self, kind, organisation, begin, end, factor):
        rate = kind.rate * (factor - 1.0) / len(self.organisations)
        at = begin + self.rng.expovariate(rate)
        while at < end:
            self.schedule(at, self._create_request, kind, at, organisation)
            at += self.rng.expovariate(rate)

    def _tick(self):
        if self.exchange is not None:
            self.exchange.tick()
        for instance in self.instances:
            instance.decide()

    def _send_loads(self):
        """Send the load reports of all instances, to arrive after the lag."""
        loads = [item.policy.own_loads() for item in self.instances]
        reads = [item.policy.take_reads() for item in self.instances]
        self.schedule(self.now + self.lag, self._receive_loads, loads, reads)

    def _receive_loads(self, loads, reads):
        total = collections.defaultdict(lambda: [0, 0, 0])
        for said in loads:
            for load in said:
                total[load.server][0] += load.running
                total[load.server][1] += load.unread
                total[load.server][2] += load.pace
        everyone = [
            server_loads.Load(name, *sums) for name, sums in total.items()
        ]
        for instance, own, mine in zip(self.instances, loads, reads):
            others = server_loads.subtract_own(everyone, own)
            instance.loads.replace_report("others", "fd", others, self.now)
            for said in reads:
                if said is not mine and said:
                    instance.policy.heard_reads(said, self.now)
            instance.decide()

    # -- the life cycle of a request --------------------------------------

    def _create_request(self, kind, asked, organisation=None):
        """Create a new request and send it to a random instance."""
        rng = self.rng
        if organisation is None:
            organisation = self.organisations[0]
            if len(self.organisations) > 1:
                organisation = rng.choice(self.organisations)
        instance = rng.choice(self.instances)
        own = kind.draw_own_tokens(rng)
        shared_part = int(kind.shared_parts * rng.random() ** 1.25)
        output = max(1, int(rng.expovariate(1 / kind.mean_output_tokens)))
        self.arrivals[kind.name] += 1
        request = prompt_engine.Request(
            kind,
            asked,
            own,
            shared_part,
            output,
            organisation=organisation,
        )
        self.requests.append(request)
        self._submit(request, instance)

    def _submit(self, request, instance):
        """Submit a request to the policy, for the first time or as a retry."""
        self._count += 1
        kind = request.kind
        parts = (
            (f"{kind.name}{request.shared_part}", kind.shared_tokens),
            (f"own{self._count}", request.own_tokens),
        )
        deadline = request.first_sent_at + kind.deadline
        work = work_module.Work(
            f"r{self._count}",
            request.organisation,
            kind.name,
            "m",
            SERVICE,
            kind.priority,
            self.now,
            deadline,
            prompt_tokens=kind.shared_tokens + request.own_tokens,
            max_output_tokens=request.output_tokens,
            first_token_ms=kind.first_token_seconds * 1000.0,
            between_tokens_ms=kind.max_pause * 1000.0,
            parts=parts,
            routed=True,
            streamed=True,
            max_attempts=kind.max_attempts,
            repeatable=kind.max_attempts > 1,
            start_priority=kind.priority,
            route_priority=kind.priority,
        )
        stream = prompt_engine.Stream(work, instance, request)
        stream.last_event_at = self.now
        self.streams[work.request_id] = stream
        self.schedule(deadline, self._expire, work.request_id)
        self._watch_caller(work.request_id)
        instance.policy.offer(work, self.now)
        instance.decide()

    def dispatch(self, instance, placement):
        """Send a request to the engine that the policy chose."""
        work = placement.work
        self.placements[placement.server] += 1
        stream = self.streams[work.request_id]
        if placement.hedge:
            stream.attempts_begun += 1
            stream = stream.copy_for_hedge()
            self.hedges[work.request_id] = stream
        else:
            stream.attempts_begun += 1
        stream.server = placement.server
        timeouts = silence_timeouts.of_attempt(work, stream.attempts_begun - 1)
        stream.sent_at = self.now
        self.schedule(
            self.now + 0.002, self.engines[placement.server].submit, stream
        )
        self._watch_engine(stream, timeouts)

    def _watch_engine(self, stream, timeouts):
        """Request a hedge when the engine has been silent for too long."""
        if stream.closed or self.streams.get(stream.work.request_id) is None:
            return
        last_heard_at = max(stream.sent_at, stream.last_event_at)
        limit = timeouts.between if stream.generated else timeouts.first
        if limit is None:
            return
        if self.now >= last_heard_at + limit - TIME_TOLERANCE_SECONDS:
            self._seek_hedge(stream)
            last_heard_at = self.now
        self.schedule(
            last_heard_at + limit, self._watch_engine, stream, timeouts
        )

    def _seek_hedge(self, stream):
        work = stream.work
        is_first = self.streams[work.request_id] is stream
        if (
            not is_first
            or stream.hedge_sought
            or stream.attempts_begun >= work.max_attempts
        ):
            return
        self.hedges_sought[stream.request.kind.name] += 1
        stream.hedge_sought = True
        work.excluded_servers.add(stream.server)
        stream.instance.policy.seek(work, self.now)
        stream.instance.decide()

    def handle_event(self, stream):
        """Record an event and cancel the other attempt of the request."""
        request_id = stream.work.request_id
        first = self.streams.get(request_id)
        hedge = self.hedges.get(request_id)
        if stream is hedge:
            del self.hedges[request_id]
            self.streams[request_id] = hedge
            self.hedges_won[stream.request.kind.name] += 1
            self._cancel(first, failed=True)
        elif first is stream and stream.hedge_sought:
            self._cancel_hedge(stream)
        if stream.generated_here == 1 and stream.generated > 1:
            stream.instance.policy.first_output(request_id, self.now)

    def _cancel_hedge(self, stream):
        """Cancel the hedge of a stream, whether sought or already running."""
        if not stream.hedge_sought:
            return
        stream.hedge_sought = False
        request_id = stream.work.request_id
        stream.instance.policy.stop_seeking(request_id)
        hedge = self.hedges.pop(request_id, None)
        if hedge is not None:
            self._cancel(hedge, wasted=True)

    def _cancel(self, stream, **how):
        stream.closed = True
        ended = work_module.AttemptEnd(
            stream.work.request_id, stream.server, **how
        )
        stream.instance.policy.ended(ended, self.now)

    def _watch_caller(self, request_id):
        """End a request when its caller has seen no event for too long."""
        stream = self.streams.get(request_id)
        if stream is None:
            return
        leaves = stream.last_event_at + stream.request.kind.max_silence()
        if self.now >= leaves - TIME_TOLERANCE_SECONDS:
            self._expire(request_id)
        else:
            self.schedule(leaves, self._watch_caller, request_id)

    def handle_refusal(self, instance, refusal):
        """Refuse a request; its caller retries once if there is time."""
        stream = self.streams.pop(refusal.work.request_id)
        stream.closed = True
        request = stream.request
        self.refusals[request.kind.name] += 1
        wait = refusal.nothing.retry_after or 0.0
        left = request.first_sent_at + request.kind.deadline - self.now
        if not request.retries and wait < left / 3:
            request.retries += 1
            self.schedule(self.now + max(0.01, wait), self._retry, request)

    def _retry(self, request):
        self._submit(request, self.rng.choice(self.instances))

    def _expire(self, request_id):
        stream = self.streams.get(request_id)
        if stream is not None:
            self._abandon(request_id)

    def _abandon(self, request_id):
        """End a request whose answer is incomplete."""
        stream = self.streams.pop(request_id)
        stream.closed = True
        self._cancel_hedge(stream)
        instance = stream.instance
        if instance.policy.withdraw(request_id) is None:
            ended = work_module.AttemptEnd(request_id, "", wasted=True)
            instance.policy.ended(ended, self.now)
        instance.decide()

    def handle_first_token(self, stream):
        """Record a first token; if it is late, it counts as a long pause."""
        waited = self.now - stream.request.first_sent_at
        if waited > stream.request.kind.first_token_seconds:
            stream.longest_pause_seen = 1e9
        stream.instance.policy.first_output(stream.work.request_id, self.now)
        stream.instance.decide()

    def handle_finished(self, stream):
        """Record a complete answer."""
        self._cancel_hedge(stream)
        del self.streams[stream.work.request_id]
        request = stream.request
        ended = work_module.AttemptEnd(
            stream.work.request_id, "", output_tokens=request.output_tokens
        )
        stream.instance.policy.ended(ended, self.now)
        request.served = True
        if stream.longest_pause_seen <= request.kind.max_pause:
            self.on_time[request.kind.name] += 1
            request.on_time = True
        else:
            self.late[request.kind.name] += 1
        stream.instance.decide()

    def on_time_fraction(self, *kinds, organisation=None):
        """Return the fraction of requests that were answered on time.

        Those of the ``kinds``, from one organisation or from all.
        """
        asked = [
            item
            for item in self.requests
            if item.kind.name in kinds
            and organisation in (None, item.organisation)
        ]
        return sum(item.on_time for item in asked) / len(asked)

    def served_fractions(self, kind):
        """Return the fractions served: of the largest tenth, and of all."""
        asked = [item for item in self.requests if item.kind.name == kind]
        asked.sort(key=prompt_engine.Request.size)
        largest = asked[-(len(asked) // 10) :]
        return _served_fraction(largest), _served_fraction(asked)

    # -- cache statistics of the engines ----------------------------------

    def record_cache_hit(self, stream, tokens):
        """Count prompt tokens found in an engine's cache."""
        self.hit_tokens += tokens

    def record_read(self, stream, name, tokens):
        """Count prompt tokens that an engine reads."""
        self.read_tokens += tokens
        if name in self._parts_read:
            self.reread_tokens += tokens
        self._parts_read.add(name)

    def report(self):
        """Return the statistics as text, with one line per kind."""
        lines = [
            f"read {self.read_tokens / 1e6:.1f}M, again"
            f" {self.reread_tokens / 1e6:.1f}M, kept"
            f" {self.hit_tokens / 1e6:.1f}M"
        ]
        mean = sum(self.placements.values()) / len(self.engines)
        lines[0] += f", busiest {max(self.placements.values()) / mean:.2f}"
        for name, asked in self.arrivals.items():
            lines.append(
                f"{name}: asked {asked}, on time"
                f" {self.on_time[name] / asked:.3f}, late"
                f" {self.late[name] / asked:.3f}, refused"
                f" {self.refusals[name]}"
            )
        return "\n".join(lines)


def _served_fraction(requests):
    return sum(item.served for item in requests) / len(requests)


def _routing_table(kinds, config):
    split = [revisions.Split(SERVICE)]
    routes = [
        revisions.Route(
            kind.name,
            "h",
            f"/{kind.name}/",
            split,
            kind.deadline,
            priority=kind.priority,
            longest_pause=kind.max_pause,
        )
        for kind in kinds
    ]
    engine = revisions.Engine(
        config.slots, config.kv_tokens, config.tokens_per_event
    )
    service = revisions.Service(SERVICE, 800, engine)
    return routing.RoutingTable(revisions.Revision(1, "", routes, [service]))
