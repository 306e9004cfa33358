"""CPU time of logging per request.

    .venv/bin/python -m bench.logging_cost

Routed requests pass through the reducer as in an instance, with the log
written to ``/dev/null``: once with all lines, once with the log budget
exhausted as under overload, and once without logging.  The result that
counts is the share of the total time that a full log takes.
"""

import collections
import logging
import os
import random
import statistics
import time

import dandeliontrail
from dandeliontrail.components import revisions as revisions_component
from dandeliontrail.decisions import retry_budget
from dandeliontrail.decisions import shared_policy
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail.resources import announcements
from dandeliontrail.resources import revisions
from dandeliontrail_node import bounded_log
from dandeliontrail_node import jsonlog
from dandeliontrail_node import request_log

REQUESTS = 2_000
ROUNDS = 5
# Virtual seconds between requests: the log budget never runs out with the
# first value, and always does with the second.
UNLIMITED_STEP_SECONDS = 1.0
EXHAUSTED_STEP_SECONDS = 0.0001
ENGINE_COUNT = 9


class _Clock:
    """Virtual clock for the log's budget."""

    def __init__(self, step):
        self.step = step
        self.now = 0.0

    def __call__(self):
        return self.now


def _reducer():
    identity = dandeliontrail.Identity("i1", "fd1", "r1", 1)
    limits = retry_budget.RetryLimits()
    reducer = dandeliontrail.new_reducer(
        identity,
        random.Random(1),
        [],
        routing_options=revisions_component.RoutingOptions(key_proof=None),
        new_policy=lambda rng, view, state: shared_policy.SharedServersPolicy(
            rng, view, state, limits
        ),
    )
    reducer.apply(events.Started("10.0.0.1:1"), 0.0)
    split = [revisions.Split("llm")]
    route = revisions.Route("chat", "h", "/c/", split, 10.0, streamed=True)
    revision = revisions.Revision(1, "", [route], [revisions.Service("llm")])
    reducer.state.routing.replace(revision)
    for number in range(ENGINE_COUNT):
        reducer.apply(events.Announced(_engine(number)), 0.0)
    return reducer


def _engine(number):
    return announcements.Announcement(
        f"e{number}",
        1,
        1,
        "model_engine",
        f"http://10.0.0.{number}:1",
        failure_domain="fd1",
        service="llm",
        slots=64,
        lease=1e6,
    )


def _process_request(reducer, log, logger, number):
    """Process one request from arrival to end, with its log lines."""
    name = f"request-{number}"
    parts = ((f"part{number % 50}", 300), (f"own{number}", 900))
    received = events.RoutedRequestReceived(
        name, "h", "/c/x", "", 10.0, "m", parts, 1200, 200, 0.5
    )
    for event in (
        received,
        events.AttemptBegan(name, 1),
        events.FirstOutput(name, 1),
        events.AnswerFinished(name, 1, 1200, 40),
    ):
        log.event(event, 0.0)
        produced = reducer.apply(event, 0.0)
        for effect in produced:
            if isinstance(
                effect, effects.Log
            ) and not request_log.is_covered_by_end_line(effect):
                logger.info(effect.message, extra=effect.fields)
        log.effects(produced, 0.0)


def _measure(step, level):
    """Return the CPU time per request, in microseconds."""
    clock = _Clock(step)
    descriptor = os.open(os.devnull, os.O_WRONLY)
    handler = bounded_log.BoundedHandler(descriptor, clock)
    logger = jsonlog.make_logger("bench", "info", "i1", handler)
    logger.setLevel(level)
    counters = collections.Counter()
    log = request_log.RequestLog(logger, counters)
    reducer = _reducer()
    durations = []
    for round_number in range(ROUNDS):
        began = time.process_time()
        for number in range(REQUESTS):
            clock.now += step
            _process_request(
                reducer, log, logger, round_number * REQUESTS + number
            )
            handler.flush()
        durations.append((time.process_time() - began) / REQUESTS * 1e6)
    if (
        reducer.lives
        or not counters['requests_ended_total{reason="complete"}']
    ):
        raise SystemExit("the requests did not end as they should")
    handler.close()
    os.close(descriptor)
    return statistics.median(durations)


def main():
    """Print the three measurements and the share of a full log."""
    without_log = _measure(UNLIMITED_STEP_SECONDS, logging.CRITICAL)
    full_log = _measure(UNLIMITED_STEP_SECONDS, logging.INFO)
    exhausted_budget = _measure(EXHAUSTED_STEP_SECONDS, logging.INFO)
    print(f"no line:           {without_log:7.1f} us a request")
    print(f"all lines:         {full_log:7.1f} us a request")
    print(f"budget exhausted:  {exhausted_budget:7.1f} us a request")
    print(f"the log's part:    {(full_log - without_log) / full_log:7.2f}")


if __name__ == "__main__":
    main()
