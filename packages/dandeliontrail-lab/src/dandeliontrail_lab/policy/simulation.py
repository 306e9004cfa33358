"""Several instances that decide alone, and engines, in virtual time.

There is no network model: a trip takes a constant time.  What is modelled
is what decisions suffer from: each instance sees its own work at once and
all else through reports that are late.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from dandeliontrail.decisions import work as work_module
from dandeliontrail.resources import announcements

from . import engine_model
from . import sides

TRIP = 0.001
TICK = 0.1
REPORT_INTERVAL = 1.0
# A report is measured, sent and passed on to the other instances.
REPORT_LAG = 0.5
# As in components.requests.
MOST_ATTEMPTS = 4
# A class is backlogged while some request has waited for this long.
LONG_WAIT = 2.0
# A run ends at the latest so long after its last arrival.
LONGEST_DRAIN = 1000.0


@dataclasses.dataclass(slots=True)
class Result:
    """What became of one request."""

    request: object
    outcome: str = "open"
    first: float | None = None
    ended: float = 0.0
    placed: float | None = None
    attempts: int = 0
    begun: int = 0


class Simulation:
    """One run of one scenario under one policy."""

    def __init__(self, scenario, make_policy, seed, instances=9):
        self.scenario = scenario
        self.rng = random.Random(seed * 7919 + 1)
        self.now = 0.0
        self.engines = [
            engine_model.EngineModel(
                f"e{number}", f"fd{number % 3}", scenario.pace
            )
            for number in range(scenario.engines)
        ]
        self._by_name = {item.name: item for item in self.engines}
        self.instances = [
            sides.Instance(make_policy(number, instances), sides.Directory())
            for number in range(instances)
        ]
        self._ranked = getattr(self.instances[0].policy, "ranked", True)
        self.results = [Result(item) for item in scenario.requests(seed)]
        self.wasted = 0
        self.samples = []
        self._waiting = collections.defaultdict(collections.deque)
        self._works = {}
        self._homes = {}
        self._queue = []
        self._order = itertools.count()
        self._open = len(self.results)
        self._sequence = 0

    def at(self, when, call, *arguments):
        """Have something happen later."""
        entry = (when, next(self._order), call, arguments)
        heapq.heappush(self._queue, entry)

    def run(self):
        """Run until every request has its outcome; return the results."""
        for engine in self.engines:
            self._report(engine)
        for number, result in enumerate(self.results):
            self.at(result.request.arrives, self._arrive, number)
        for fault in self.scenario.faults:
            self.at(fault.start, self._begin_fault, fault)
            if fault.until < LONGEST_DRAIN:
                self.at(fault.until, self._end_fault, fault)
        for number in range(len(self.instances)):
            self.at(TICK * number / len(self.instances), self._tick, number)
        self.at(1.0, self._sample)
        end = self.scenario.seconds + LONGEST_DRAIN
        while self._queue and self._open:
            when, _, call, arguments = heapq.heappop(self._queue)
            if when > end:
                break
            self.now = when
            call(*arguments)
        return self.results

    # Requests

    def _arrive(self, number):
        request = self.results[number].request
        home = self.rng.randrange(len(self.instances))
        item = sides.work_of(request)
        self._works[item.request_id] = number
        self._homes[number] = home
        self._waiting[request.shape.name].append(self.results[number])
        self.at(request.arrives + request.shape.timeout, self._leave, number)
        if not self.instances[home].policy.offer(item, self.now):
            self._close(number, "refused")
            return
        self._decide(home)

    def _tick(self, home):
        self._decide(home)
        self.at(self.now + TICK, self._tick, home)

    def _decide(self, home):
        instance = self.instances[home]
        for item in instance.policy.next(self.now, instance.directory):
            number = self._works[item.work.request_id]
            if self.results[number].outcome != "open":
                continue
            if isinstance(item, work_module.Placement):
                self._dispatch(number, item)
            else:
                begun = self.results[number].begun
                self._close(number, "failed" if begun else "refused")

    def _dispatch(self, number, placement):
        result = self.results[number]
        result.attempts += 1
        if result.placed is None:
            result.placed = self.now
        engine = self._by_name[placement.server]
        self.at(
            self.now + TRIP,
            self._reach,
            number,
            result.attempts,
            placement.work,
            engine,
        )

    def _reach(self, number, attempt, item, engine):
        result = self.results[number]
        if result.outcome != "open":
            return
        if engine.crashed:
            self._not_begun(number, item, engine)
            return
        result.begun += 1
        request = result.request
        stream = engine_model.Stream(
            f"{number}/{attempt}",
            item.priority if self._ranked else 0,
            request.prompt,
            request.output,
            request.prefix,
            request.prefix_tokens,
        )
        before = engine.next_bound()
        engine.submit(stream, self.now)
        self._schedule(engine, before)

    def _not_begun(self, number, item, engine):
        policy = self.instances[self._homes[number]].policy
        policy.ended(
            work_module.Ended(item.request_id, engine.name, failed=True),
            self.now,
        )
        item.avoid.add(engine.name)
        self._again(number, item)

    def _again(self, number, item):
        home = self._homes[number]
        if self.results[number].attempts >= MOST_ATTEMPTS:
            self._close(number, "failed")
        else:
            self.instances[home].policy.requeue(item, self.now)
        self._decide(home)

    def _leave(self, number):
        """Have the caller give up, as its timeout has passed."""
        result = self.results[number]
        if result.outcome != "open":
            return
        home = self._homes[number]
        policy = self.instances[home].policy
        request_id = str(number)
        self._close(number, "late")
        if policy.withdraw(request_id) is None and result.attempts:
            policy.ended(
                work_module.Ended(request_id, "", wasted=True), self.now
            )
            name = f"{number}/{result.attempts}"
            for engine in self.engines:
                self.wasted += engine.cancel(name, self.now)
        self._decide(home)

    def _close(self, number, outcome):
        result = self.results[number]
        result.outcome = outcome
        result.ended = self.now
        self._open -= 1

    # Engines

    def _schedule(self, engine, before):
        bound = engine.next_bound()
        if bound is not None and bound != before:
            self.at(bound, self._bound, engine, bound)

    def _bound(self, engine, bound):
        if engine.next_bound() != bound:
            return
        for happened in engine.advance(self.now):
            self.at(self.now + TRIP, self._hear, engine, happened)
        self._schedule(engine, None)

    def _hear(self, engine, happened):
        stream = happened.stream
        number, attempt = map(int, stream.attempt.split("/"))
        result = self.results[number]
        if result.outcome != "open" or result.attempts != attempt:
            return
        home = self._homes[number]
        policy = self.instances[home].policy
        if happened.kind == "first":
            if result.first is None:
                result.first = self.now
            policy.first_output(str(number), self.now)
            return
        self._close(number, "complete")
        gaps = []
        if stream.output > 1:
            spent = (happened.when - stream.first) * 1000.0
            gaps = [spent / (stream.output - 1)]
        policy.ended(
            work_module.Ended(
                str(number), engine.name, stream.output, gaps_ms=gaps
            ),
            self.now,
        )
        self._decide(home)

    def _begin_fault(self, fault):
        engine = self.engines[fault.engine]
        if fault.slow:
            engine.slow = fault.slow
            return
        for stream in engine.crash():
            self.at(self.now + TRIP, self._lost, engine, stream)

    def _end_fault(self, fault):
        engine = self.engines[fault.engine]
        engine.slow = 1.0
        engine.crashed = False

    def _lost(self, engine, stream):
        number = int(stream.attempt.split("/")[0])
        result = self.results[number]
        if result.outcome != "open":
            return
        self.wasted += stream.tokens
        home = self._homes[number]
        policy = self.instances[home].policy
        policy.ended(
            work_module.Ended(str(number), engine.name, failed=True),
            self.now,
        )
        item = sides.work_of(result.request)
        item.avoid.add(engine.name)
        repeats = result.request.shape.repeatable and not stream.tokens
        if repeats and result.attempts < MOST_ATTEMPTS:
            if policy.retry(item, self.now):
                self._decide(home)
                return
        self._close(number, "failed")
        self._decide(home)

    # Reports

    def _report(self, engine):
        number = self.engines.index(engine)
        if not engine.crashed:
            self._sequence += 1
            announcement = announcements.Announcement(
                engine.name,
                1,
                self._sequence,
                "model_engine",
                "",
                engine.domain,
                slots=engine.pace.slots,
                kv_tokens=engine.pace.kv_tokens,
            )
            announcement.load = announcements.Load(
                len(engine.running),
                len(engine.waiting),
                engine.kv_used(),
                REPORT_LAG * 1000.0,
            )
            lag = REPORT_LAG if self.now else 0.0
            self.at(self.now + lag, self._heard, announcement)
        offset = REPORT_INTERVAL * (1 + number / len(self.engines))
        wait = REPORT_INTERVAL if self.now else offset
        self.at(self.now + wait, self._report, engine)

    def _heard(self, announcement):
        for instance in self.instances:
            held = instance.directory.learn(announcement, self.now, 3.0)
            instance.policy.observe(held, self.now)

    def _sample(self):
        waited = set()
        for name, queue in self._waiting.items():
            while queue and _answered(queue[0]):
                queue.popleft()
            if queue and self.now - queue[0].request.arrives > LONG_WAIT:
                waited.add(name)
        self.samples.append((self.now, waited))
        self.at(self.now + 1.0, self._sample)


def _answered(result):
    return result.first is not None or result.outcome != "open"
