"""Many instances before model engines that keep prompt parts, without sockets.

The policy is the real one, one object an instance.  The engines read prompts
in chunks between the tokens of their streams and keep what they have read
until its room is needed.  What instances tell one another of their work
arrives late, as through relays.  Callers ask, come back once after a refusal,
and leave when their time is up.
"""

import collections
import dataclasses
import heapq
import random
import types

from dandeliontrail.coordination import server_loads
from dandeliontrail.decisions import retry_budget
from dandeliontrail.decisions import routing
from dandeliontrail.decisions import shared
from dandeliontrail.decisions import view as view_module
from dandeliontrail.decisions import work as work_module
from dandeliontrail.resources import revisions

from tests.common import prompt_engine

SERVICE = prompt_engine.SERVICE
TICK = 0.1


@dataclasses.dataclass(slots=True)
class Kind:
    """One kind of request; times in seconds, sizes in tokens.

    ``things`` is how many different shared parts there are.  ``output`` is
    the mean of an exponential law.
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
            self.servers.append(prompt_engine.server_of(number))
        self.instances = [
            Instance(self, number, f"fd{number % 3}")
            for number in range(instances)
        ]
        self.streams = {}
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
            self.at(at, self._ask, kind, at, 0)

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

    def _ask(self, kind, asked, tries):
        self._count += 1
        rng = self.rng
        instance = rng.choice(self.instances)
        own = max(50, int(rng.expovariate(1 / kind.own)))
        thing = int(kind.things * rng.random() ** 1.25)
        parts = (
            (f"{kind.name}{thing}", kind.shared),
            (f"own{self._count}", own),
        )
        deadline = asked + kind.deadline
        work = work_module.Work(
            f"r{self._count}",
            "acme",
            kind.name,
            "m",
            SERVICE,
            kind.priority,
            self.now,
            deadline,
            prompt_tokens=kind.shared + own,
            max_output_tokens=kind.output,
            first_token_ms=kind.target * 1000.0,
            between_tokens_ms=kind.pause * 1000.0,
            parts=parts,
            routed=True,
            start_priority=kind.priority,
            route_priority=kind.priority,
        )
        if not tries:
            self.asked[kind.name] += 1
        output = max(1, int(rng.expovariate(1 / kind.output)))
        stream = prompt_engine.Stream(
            work, instance, kind, output, asked, tries
        )
        self.streams[work.request_id] = stream
        self.at(deadline, self._time_up, stream)
        instance.policy.offer(work, self.now)
        instance.decide()

    def placed(self, instance, placement):
        """Send a request to its engine."""
        stream = self.streams[placement.work.request_id]
        self.busiest[placement.server] += 1
        self.at(
            self.now + 0.002, self.engines[placement.server].submit, stream
        )

    def refused(self, instance, refusal):
        """Tell the caller, who comes back once if there is time."""
        stream = self.streams.pop(refusal.work.request_id)
        stream.gone = True
        self.refusals[stream.kind.name] += 1
        wait = refusal.nothing.retry_after or 0.0
        left = stream.sent + stream.kind.deadline - self.now
        if not stream.tries and wait < left / 3:
            self.at(
                self.now + max(0.01, wait),
                self._ask,
                stream.kind,
                stream.sent,
                1,
            )

    def _time_up(self, stream):
        if stream.gone:
            return
        stream.gone = True
        instance = stream.instance
        if instance.policy.withdraw(stream.work.request_id) is None:
            ended = work_module.Ended(stream.work.request_id, "", wasted=True)
            instance.policy.ended(ended, self.now)
        instance.decide()

    def first(self, stream):
        """Take note of a first token; a late one counts as a long pause."""
        waited = self.now - stream.sent
        if waited > stream.kind.target:
            stream.longest = 1e9
        stream.instance.policy.first_output(stream.work.request_id, self.now)
        stream.instance.decide()

    def finished(self, stream):
        """Take note of a whole answer."""
        ended = work_module.Ended(
            stream.work.request_id, "", output_tokens=stream.output
        )
        stream.instance.policy.ended(ended, self.now)
        if stream.longest <= stream.kind.pause:
            self.on_time[stream.kind.name] += 1
        else:
            self.late[stream.kind.name] += 1
        stream.instance.decide()

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
