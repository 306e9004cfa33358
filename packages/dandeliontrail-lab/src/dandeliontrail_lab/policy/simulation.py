"""Discrete-event simulation of instances, engines and callers.

The simulation runs in virtual time.  The network is not modelled: each message
takes a constant time.  What is modelled is stale information, which placement
decisions suffer from: an instance sees its own work immediately and everything
else only through delayed load reports.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from dandeliontrail.decisions import work as work_module
from dandeliontrail.resources import announcements

from . import engine_model
from . import instance_view

NETWORK_DELAY_SECONDS = 0.001
TICK_SECONDS = 0.1
REPORT_INTERVAL_SECONDS = 1.0
# The age of a load report on arrival: an engine measures its load and sends
# it, and an instance passes it on to the others.
REPORT_DELAY_SECONDS = 0.5
# The same limit as in components.requests.
MAX_ATTEMPTS = 4
# A class counts as backlogged while one of its requests has waited longer than
# this for its first token.
BACKLOG_WAIT_SECONDS = 2.0
# A run is stopped this long after the end of its arrivals, even if requests
# are still open.
MAX_DRAIN_SECONDS = 1000.0


@dataclasses.dataclass(slots=True)
class Result:
    """The outcome of one request and the times at which it progressed.

    ``first_token_at`` and ``first_placed_at`` are the times of the first token
    and of the first placement, ``started_attempts`` counts the attempts that
    reached a running engine.  Times are in seconds of virtual time.
    """

    request: object
    outcome: str = "open"
    first_token_at: float | None = None
    ended_at: float = 0.0
    first_placed_at: float | None = None
    attempts: int = 0
    started_attempts: int = 0


class Simulation:
    """One run of a scenario under one policy."""

    def __init__(self, scenario, make_policy, seed, instances=9):
        self.scenario = scenario
        self.rng = random.Random(seed * 7919 + 1)
        self.now = 0.0
        self.engines = [
            engine_model.EngineModel(
                f"e{number}", f"fd{number % 3}", scenario.parameters
            )
            for number in range(scenario.engines)
        ]
        self._engines_by_name = {item.name: item for item in self.engines}
        self.instances = [
            instance_view.Instance(
                make_policy(number, instances), instance_view.Directory()
            )
            for number in range(instances)
        ]
        self._sends_priority = getattr(
            self.instances[0].policy, "ranked", True
        )
        self.results = [Result(item) for item in scenario.requests(seed)]
        self.wasted_tokens = 0
        self.backlog_samples = []
        self._unanswered = collections.defaultdict(collections.deque)
        self._numbers_by_id = {}
        self._instance_indices = {}
        self._queue = []
        self._event_order = itertools.count()
        self._open = len(self.results)
        self._sequence = 0

    def schedule(self, when, callback, *arguments):
        """Schedule ``callback(*arguments)`` at the virtual time ``when``."""
        entry = (when, next(self._event_order), callback, arguments)
        heapq.heappush(self._queue, entry)

    def run(self):
        """Run until every request has an outcome and return the results."""
        for engine in self.engines:
            self._send_report(engine)
        for number, result in enumerate(self.results):
            self.schedule(result.request.arrives, self._on_arrival, number)
        for fault in self.scenario.faults:
            self.schedule(fault.start, self._start_fault, fault)
            if fault.until < MAX_DRAIN_SECONDS:
                self.schedule(fault.until, self._end_fault, fault)
        for number in range(len(self.instances)):
            self.schedule(
                TICK_SECONDS * number / len(self.instances), self._tick, number
            )
        self.schedule(1.0, self._sample_backlog)
        end = self.scenario.seconds + MAX_DRAIN_SECONDS
        while self._queue and self._open:
            when, _, callback, arguments = heapq.heappop(self._queue)
            if when > end:
                break
            self.now = when
            callback(*arguments)
        return self.results

    # Requests

    def _on_arrival(self, number):
        request = self.results[number].request
        instance_index = self.rng.randrange(len(self.instances))
        item = instance_view.work_of(request)
        self._numbers_by_id[item.request_id] = number
        self._instance_indices[number] = instance_index
        self._unanswered[request.request_class.name].append(
            self.results[number]
        )
        self.schedule(
            request.arrives + request.request_class.timeout,
            self._on_caller_timeout,
            number,
        )
        if not self.instances[instance_index].policy.offer(item, self.now):
            self._close(number, "refused")
            return
        self._decide(instance_index)

    def _tick(self, instance_index):
        self._decide(instance_index)
        self.schedule(self.now + TICK_SECONDS, self._tick, instance_index)

    def _decide(self, instance_index):
        instance = self.instances[instance_index]
        for item in instance.policy.next(self.now, instance.directory):
            number = self._numbers_by_id[item.work.request_id]
            if self.results[number].outcome != "open":
                continue
            if isinstance(item, work_module.Placement):
                self._dispatch(number, item)
            else:
                started_attempts = self.results[number].started_attempts
                self._close(
                    number, "failed" if started_attempts else "refused"
                )

    def _dispatch(self, number, placement):
        result = self.results[number]
        result.attempts += 1
        if result.first_placed_at is None:
            result.first_placed_at = self.now
        engine = self._engines_by_name[placement.server]
        self.schedule(
            self.now + NETWORK_DELAY_SECONDS,
            self._on_engine_received,
            number,
            result.attempts,
            placement.work,
            engine,
        )

    def _on_engine_received(self, number, attempt, item, engine):
        result = self.results[number]
        if result.outcome != "open":
            return
        if engine.crashed:
            self._on_attempt_rejected(number, item, engine)
            return
        result.started_attempts += 1
        request = result.request
        stream = engine_model.Stream(
            f"{number}/{attempt}",
            item.priority if self._sends_priority else 0,
            request.prompt,
            request.output,
            request.prefix,
            request.prefix_tokens,
        )
        previous_change_time = engine.next_change_time()
        engine.submit(stream, self.now)
        self._schedule_batch_change(engine, previous_change_time)

    def _on_attempt_rejected(self, number, item, engine):
        policy = self.instances[self._instance_indices[number]].policy
        policy.ended(
            work_module.AttemptEnd(item.request_id, engine.name, failed=True),
            self.now,
        )
        item.excluded_servers.add(engine.name)
        self._requeue_or_fail(number, item)

    def _requeue_or_fail(self, number, item):
        instance_index = self._instance_indices[number]
        if self.results[number].attempts >= MAX_ATTEMPTS:
            self._close(number, "failed")
        else:
            self.instances[instance_index].policy.requeue(item, self.now)
        self._decide(instance_index)

    def _on_caller_timeout(self, number):
        """Handle the caller's timeout: cancel the request everywhere."""
        result = self.results[number]
        if result.outcome != "open":
            return
        instance_index = self._instance_indices[number]
        policy = self.instances[instance_index].policy
        request_id = str(number)
        self._close(number, "late")
        if policy.withdraw(request_id) is None and result.attempts:
            policy.ended(
                work_module.AttemptEnd(request_id, "", wasted=True), self.now
            )
            name = f"{number}/{result.attempts}"
            for engine in self.engines:
                self.wasted_tokens += engine.cancel(name, self.now)
        self._decide(instance_index)

    def _close(self, number, outcome):
        result = self.results[number]
        result.outcome = outcome
        result.ended_at = self.now
        self._open -= 1

    # Engines

    def _schedule_batch_change(self, engine, previous_change_time):
        change_time = engine.next_change_time()
        if change_time is not None and change_time != previous_change_time:
            self.schedule(
                change_time, self._on_batch_change, engine, change_time
            )

    def _on_batch_change(self, engine, change_time):
        if engine.next_change_time() != change_time:
            return
        for event in engine.advance(self.now):
            self.schedule(
                self.now + NETWORK_DELAY_SECONDS,
                self._on_engine_event,
                engine,
                event,
            )
        self._schedule_batch_change(engine, None)

    def _on_engine_event(self, engine, event):
        stream = event.stream
        number, attempt = map(int, stream.attempt_id.split("/"))
        result = self.results[number]
        if result.outcome != "open" or result.attempts != attempt:
            return
        instance_index = self._instance_indices[number]
        policy = self.instances[instance_index].policy
        if event.kind == "first":
            if result.first_token_at is None:
                result.first_token_at = self.now
            policy.first_output(str(number), self.now)
            return
        self._close(number, "complete")
        gaps = []
        if stream.output > 1:
            spent = (event.when - stream.first_token_at) * 1000.0
            gaps = [spent / (stream.output - 1)]
        policy.ended(
            work_module.AttemptEnd(
                str(number), engine.name, stream.output, gaps_ms=gaps
            ),
            self.now,
        )
        self._decide(instance_index)

    def _start_fault(self, fault):
        engine = self.engines[fault.engine]
        if fault.slowdown:
            engine.slowdown = fault.slowdown
            return
        for stream in engine.crash():
            self.schedule(
                self.now + NETWORK_DELAY_SECONDS,
                self._on_stream_lost,
                engine,
                stream,
            )

    def _end_fault(self, fault):
        engine = self.engines[fault.engine]
        engine.slowdown = 1.0
        engine.crashed = False

    def _on_stream_lost(self, engine, stream):
        number = int(stream.attempt_id.split("/")[0])
        result = self.results[number]
        if result.outcome != "open":
            return
        self.wasted_tokens += stream.generated_tokens
        instance_index = self._instance_indices[number]
        policy = self.instances[instance_index].policy
        policy.ended(
            work_module.AttemptEnd(str(number), engine.name, failed=True),
            self.now,
        )
        item = instance_view.work_of(result.request)
        item.excluded_servers.add(engine.name)
        repeats = (
            result.request.request_class.repeatable
            and not stream.generated_tokens
        )
        if repeats and result.attempts < MAX_ATTEMPTS:
            if policy.retry(item, self.now):
                self._decide(instance_index)
                return
        self._close(number, "failed")
        self._decide(instance_index)

    # Reports

    def _send_report(self, engine):
        number = self.engines.index(engine)
        if not engine.crashed:
            self._sequence += 1
            announcement = announcements.Announcement(
                engine.name,
                1,
                self._sequence,
                "model_engine",
                "",
                engine.failure_domain,
                slots=engine.parameters.slots,
                kv_tokens=engine.parameters.kv_tokens,
            )
            announcement.load = announcements.Load(
                len(engine.running),
                len(engine.waiting),
                engine.kv_used(),
                REPORT_DELAY_SECONDS * 1000.0,
            )
            delay = REPORT_DELAY_SECONDS if self.now else 0.0
            self.schedule(
                self.now + delay, self._on_report_received, announcement
            )
        offset = REPORT_INTERVAL_SECONDS * (1 + number / len(self.engines))
        wait = REPORT_INTERVAL_SECONDS if self.now else offset
        self.schedule(self.now + wait, self._send_report, engine)

    def _on_report_received(self, announcement):
        for instance in self.instances:
            server_record = instance.directory.learn(
                announcement, self.now, 3.0
            )
            instance.policy.observe(server_record, self.now)

    def _sample_backlog(self):
        backlogged_classes = set()
        for name, queue in self._unanswered.items():
            while queue and _answered(queue[0]):
                queue.popleft()
            if (
                queue
                and self.now - queue[0].request.arrives > BACKLOG_WAIT_SECONDS
            ):
                backlogged_classes.add(name)
        self.backlog_samples.append((self.now, backlogged_classes))
        self.schedule(self.now + 1.0, self._sample_backlog)


def _answered(result):
    return result.first_token_at is not None or result.outcome != "open"
