"""Many instances before model engines that keep prompt parts, without sockets.

The policy is the real one, one object an instance.  The engines read prompts
in chunks between the tokens of their streams and keep what they have read
until its room is needed.  What instances tell one another of their work
arrives late, as through relays.  Callers ask, come back once after a refusal,
and leave when their time is up, or a stream has been silent for too long.  An
engine that is silent keeps its stream until another one goes on with it.
"""

import collections
import dataclasses
import heapq
import math
import random
import types

from dandeliontrail.coordination import server_loads
from dandeliontrail.decisions import patience
from dandeliontrail.decisions import retry_budget
from dandeliontrail.decisions import routing
from dandeliontrail.decisions import shared
from dandeliontrail.decisions import view as view_module
from dandeliontrail.decisions import work as work_module
from dandeliontrail.resources import revisions

from tests.common import prompt_engine

SERVICE = prompt_engine.SERVICE
TICK = 0.1
# Two moments that are the same but for rounding.
EPSILON = 1e-6


@dataclasses.dataclass(slots=True)
class Kind:
    """One kind of request; times in seconds, sizes in tokens.

    ``things`` is how many different shared parts there are.  ``own`` and
    ``output`` are means of exponential laws; with a ``spread``, ``own`` is
    that of a log-normal one with this deviation of the logarithm.  A request
    may begin at so many engines as ``attempts`` says.
    """

    name: str
    rate: float
    things: int
    shared: int
    own: int
    output: int
    target: float
    deadline: float
    pause: float
    priority: int
    spread: float = 0.0
    attempts: int = 1

    def draw_own(self, rng):
        """Return how many tokens of a prompt are its own."""
        if not self.spread:
            return max(50, int(rng.expovariate(1 / self.own)))
        scale = math.log(self.own) - self.spread**2 / 2
        drawn = rng.lognormvariate(scale, self.spread)
        return int(min(max(50, drawn), MOST_OWN * self.own))

    def silence(self):
        """Return for how long a caller bears a stream that is silent."""
        return max(2.0, 4 * self.target, 8 * self.pause)


# The longest prompts, in parts of the mean of their kind.
MOST_OWN = 8.0

# What the two users send, at the size they have grown to.
REVIEW = Kind("review", 103, 1269, 13300, 3720, 120, 2.0, 8.0, 1.5, 2)
SUMMARY = Kind("summary", 48.8, 638, 6300, 2890, 54, 1.2, 5.0, 0.6, 1)
CHAT = Kind("chat", 113, 1478, 350, 1110, 174, 1.2, 10.0, 0.4, 0)


class Instance:
    """One instance with its policy, and what it heard of the others."""

    def __init__(self, world, number, domain):
        self.world = world
        self.loads = server_loads.LoadTable()
        state = types.SimpleNamespace(
            routing=types.SimpleNamespace(table=world.table),
            loads=self.loads,
            identity=types.SimpleNamespace(failure_domain=domain),
        )
        limits = retry_budget.RetryLimits(0.2, 220.0, 10.0)
        view = view_module.FixedView(world.count_of_instances)
        self.policy = shared.Shared(random.Random(number), view, state, limits)

    def decide(self):
        """Place or refuse what waits here."""
        world = self.world
        for item in self.policy.next(world.now, world):
            if isinstance(item, work_module.Placement):
                world.placed(self, item)
            else:
                world.refused(self, item)


class World:
    """All of it, in virtual time.

    ``lag`` is how old the others' word is when it arrives, and how often it
    does.
    """

    def __init__(self, instances, engines, kinds, lag=0.3, pace=None, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.kinds = {kind.name: kind for kind in kinds}
        self.pace = pace or prompt_engine.Pace()
        self.table = _table(kinds, self.pace)
        self.lag = lag
        self._events = []
        self._order = 0
        self._count = 0
        self.count_of_instances = instances
        self.engines = {}
        self.servers = []
        for number in range(engines):
            name = f"e{number}"
            self.engines[name] = prompt_engine.Engine(name, self.pace, self)
            self.servers.append(
                prompt_engine.server_of(number, slots=self.pace.slots)
            )
        self.instances = [
            Instance(self, number, f"fd{number % 3}")
            for number in range(instances)
        ]
        # By request: its stream, and the one beside it where it is silent.
        self.streams = {}
        self.hedges = {}
        self.requests = []
        self.silences = collections.Counter()
        self.overtaken = collections.Counter()
        self.asked = collections.Counter()
        self.on_time = collections.Counter()
        self.late = collections.Counter()
        self.refusals = collections.Counter()
        self.read_tokens = 0
        self.read_again = 0
        self.hits = 0
        self._seen = set()
        self.busiest = collections.Counter()

    def of_service(self, service):
        """Return the servers, as the policy's directory."""
        return self.servers

    # -- time -------------------------------------------------------------

    def at(self, when, call, *args):
        """Have ``call`` made at a moment."""
        self._order += 1
        heapq.heappush(self._events, (when, self._order, call, args))

    def run(self, seconds, bursts=()):
        """Play ``seconds``; ``bursts`` are (kind, begin, end, factor)."""
        for kind in self.kinds.values():
            self._arrivals(kind, seconds, bursts)
        steps = int(seconds / TICK) + 1
        for step in range(steps):
            self.at(step * TICK, self._tick)
        for step in range(int(seconds / self.lag)):
            self.at(step * self.lag, self._tell)
        while self._events:
            when, _, call, args = heapq.heappop(self._events)
            if when > seconds + 10.0:
                break
            self.now = when
            call(*args)

    def _arrivals(self, kind, seconds, bursts):
        at = 0.0
        while at < seconds:
            factor = 1.0
            for name, begin, end, times in bursts:
                if name == kind.name and begin <= at < end:
                    factor = times
            at += self.rng.expovariate(kind.rate * factor)
            self.at(at, self._ask, kind, at)

    def _tick(self):
        for instance in self.instances:
            instance.decide()

    def _tell(self):
        """Let what all instances do now reach the others after the lag."""
        loads = [item.policy.own_loads() for item in self.instances]
        reads = [item.policy.take_reads() for item in self.instances]
        self.at(self.now + self.lag, self._heard, loads, reads)

    def _heard(self, loads, reads):
        total = collections.defaultdict(lambda: [0, 0])
        for said in loads:
            for load in said:
                total[load.server][0] += load.running
                total[load.server][1] += load.unread
        everyone = [
            server_loads.Load(name, running, unread)
            for name, (running, unread) in total.items()
        ]
        for instance, own, mine in zip(self.instances, loads, reads):
            others = server_loads.without(everyone, own)
            instance.loads.take("others", "fd", others, self.now)
            for said in reads:
                if said is not mine and said:
                    instance.policy.heard_reads(said, self.now)
            instance.decide()

    # -- a request's life -------------------------------------------------

    def _ask(self, kind, asked):
        """Have a new request asked for."""
        rng = self.rng
        instance = rng.choice(self.instances)
        own = kind.draw_own(rng)
        thing = int(kind.things * rng.random() ** 1.25)
        output = max(1, int(rng.expovariate(1 / kind.output)))
        self.asked[kind.name] += 1
        request = prompt_engine.Request(kind, asked, own, thing, output)
        self.requests.append(request)
        self._submit(request, instance)

    def _submit(self, request, instance):
        """Send a request, for the first time or once more."""
        self._count += 1
        kind = request.kind
        parts = (
            (f"{kind.name}{request.thing}", kind.shared),
            (f"own{self._count}", request.own),
        )
        deadline = request.sent + kind.deadline
        work = work_module.Work(
            f"r{self._count}",
            "acme",
            kind.name,
            "m",
            SERVICE,
            kind.priority,
            self.now,
            deadline,
            prompt_tokens=kind.shared + request.own,
            max_output_tokens=request.output,
            first_token_ms=kind.target * 1000.0,
            between_tokens_ms=kind.pause * 1000.0,
            parts=parts,
            routed=True,
            streamed=True,
            max_attempts=kind.attempts,
            repeatable=kind.attempts > 1,
            start_priority=kind.priority,
            route_priority=kind.priority,
        )
        stream = prompt_engine.Stream(work, instance, request)
        stream.event_at = self.now
        self.streams[work.request_id] = stream
        self.at(deadline, self._time_up, work.request_id)
        self._watch_caller(work.request_id)
        instance.policy.offer(work, self.now)
        instance.decide()

    def placed(self, instance, placement):
        """Send a request to its engine."""
        work = placement.work
        self.busiest[placement.server] += 1
        stream = self.streams[work.request_id]
        if placement.hedge:
            stream.begun += 1
            stream = stream.elsewhere()
            self.hedges[work.request_id] = stream
        else:
            stream.begun += 1
        stream.server = placement.server
        waits = patience.of_attempt(work, stream.begun - 1)
        stream.sent = self.now
        self.at(
            self.now + 0.002, self.engines[placement.server].submit, stream
        )
        self._watch_engine(stream, waits)

    def _watch_engine(self, stream, waits):
        """Look for another engine once this one is silent for too long."""
        if stream.gone or self.streams.get(stream.work.request_id) is None:
            return
        heard = max(stream.sent, stream.event_at)
        limit = waits.between if stream.made else waits.first
        if limit is None:
            return
        if self.now >= heard + limit - EPSILON:
            self._silent(stream)
            heard = self.now
        self.at(heard + limit, self._watch_engine, stream, waits)

    def _silent(self, stream):
        work = stream.work
        is_first = self.streams[work.request_id] is stream
        if not is_first or stream.sought or stream.begun >= work.max_attempts:
            return
        self.silences[stream.request.kind.name] += 1
        stream.sought = True
        work.avoid.add(stream.server)
        stream.instance.policy.seek(work, self.now)
        stream.instance.decide()

    def spoke(self, stream):
        """Take note of an event: what else has the request is let go."""
        request_id = stream.work.request_id
        first = self.streams.get(request_id)
        hedge = self.hedges.get(request_id)
        if stream is hedge:
            del self.hedges[request_id]
            self.streams[request_id] = hedge
            self.overtaken[stream.request.kind.name] += 1
            self._let_go(first, failed=True)
        elif first is stream and stream.sought:
            self._drop_hedge(stream)
        if stream.here == 1 and stream.made > 1:
            stream.instance.policy.first_output(request_id, self.now)

    def _drop_hedge(self, stream):
        """Look for nothing beside a stream any more, and keep nothing."""
        if not stream.sought:
            return
        stream.sought = False
        request_id = stream.work.request_id
        stream.instance.policy.stop_seeking(request_id)
        hedge = self.hedges.pop(request_id, None)
        if hedge is not None:
            self._let_go(hedge, wasted=True)

    def _let_go(self, stream, **how):
        stream.gone = True
        ended = work_module.Ended(stream.work.request_id, stream.server, **how)
        stream.instance.policy.ended(ended, self.now)

    def _watch_caller(self, request_id):
        """Let a caller leave whose stream has been silent for too long."""
        stream = self.streams.get(request_id)
        if stream is None:
            return
        leaves = stream.event_at + stream.request.kind.silence()
        if self.now >= leaves - EPSILON:
            self._time_up(request_id)
        else:
            self.at(leaves, self._watch_caller, request_id)

    def refused(self, instance, refusal):
        """Tell the caller, who comes back once if there is time."""
        stream = self.streams.pop(refusal.work.request_id)
        stream.gone = True
        request = stream.request
        self.refusals[request.kind.name] += 1
        wait = refusal.nothing.retry_after or 0.0
        left = request.sent + request.kind.deadline - self.now
        if not request.tries and wait < left / 3:
            request.tries += 1
            self.at(self.now + max(0.01, wait), self._again, request)

    def _again(self, request):
        self._submit(request, self.rng.choice(self.instances))

    def _time_up(self, request_id):
        stream = self.streams.get(request_id)
        if stream is not None:
            self._lost(request_id)

    def _lost(self, request_id):
        """End a request without its whole answer."""
        stream = self.streams.pop(request_id)
        stream.gone = True
        self._drop_hedge(stream)
        instance = stream.instance
        if instance.policy.withdraw(request_id) is None:
            ended = work_module.Ended(request_id, "", wasted=True)
            instance.policy.ended(ended, self.now)
        instance.decide()

    def first(self, stream):
        """Take note of a first token; a late one counts as a long pause."""
        waited = self.now - stream.request.sent
        if waited > stream.request.kind.target:
            stream.longest = 1e9
        stream.instance.policy.first_output(stream.work.request_id, self.now)
        stream.instance.decide()

    def finished(self, stream):
        """Take note of a whole answer."""
        self._drop_hedge(stream)
        del self.streams[stream.work.request_id]
        request = stream.request
        ended = work_module.Ended(
            stream.work.request_id, "", output_tokens=request.output
        )
        stream.instance.policy.ended(ended, self.now)
        request.served = True
        if stream.longest <= request.kind.pause:
            self.on_time[request.kind.name] += 1
        else:
            self.late[request.kind.name] += 1
        stream.instance.decide()

    def served_by_size(self, kind):
        """Return the share served of the largest tenth, and of all."""
        asked = [item for item in self.requests if item.kind.name == kind]
        asked.sort(key=prompt_engine.Request.size)
        largest = asked[-(len(asked) // 10) :]
        return _share_served(largest), _share_served(asked)

    # -- what engines read ------------------------------------------------

    def hit(self, stream, tokens):
        """Take note of tokens that an engine held."""
        self.hits += tokens

    def read(self, stream, name, tokens):
        """Take note of tokens that an engine reads."""
        self.read_tokens += tokens
        if name in self._seen:
            self.read_again += tokens
        self._seen.add(name)

    def report(self):
        """Return the figures as text, a line a kind."""
        lines = [
            f"read {self.read_tokens / 1e6:.1f}M, again"
            f" {self.read_again / 1e6:.1f}M, kept {self.hits / 1e6:.1f}M"
        ]
        mean = sum(self.busiest.values()) / len(self.engines)
        lines[0] += f", busiest {max(self.busiest.values()) / mean:.2f}"
        for name, asked in self.asked.items():
            lines.append(
                f"{name}: asked {asked}, on time"
                f" {self.on_time[name] / asked:.3f}, late"
                f" {self.late[name] / asked:.3f}, refused"
                f" {self.refusals[name]}"
            )
        return "\n".join(lines)


def _share_served(requests):
    return sum(item.served for item in requests) / len(requests)


def _table(kinds, pace):
    split = [revisions.Split(SERVICE)]
    routes = [
        revisions.Route(
            kind.name,
            "h",
            f"/{kind.name}/",
            split,
            kind.deadline,
            priority=kind.priority,
            longest_pause=kind.pause,
        )
        for kind in kinds
    ]
    engine = revisions.Engine(pace.slots, pace.kv_tokens, pace.event)
    service = revisions.Service(SERVICE, 800, engine)
    return routing.RoutingTable(revisions.Revision(1, "", routes, [service]))
