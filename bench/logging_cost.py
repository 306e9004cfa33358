"""What the log costs in processor time, a request.

    .venv/bin/python -m bench.logging_cost

The policy and the life of a routed request run as in an instance, with the
log's lines written to ``/dev/null`` within no budget, with the budget of an
instance under a storm, and with no line at all.  The verdict is the part of
the whole that a full log costs.
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
from dandeliontrail.decisions import shared
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail.resources import announcements
from dandeliontrail.resources import revisions
from dandeliontrail_node import bounded_log
from dandeliontrail_node import jsonlog
from dandeliontrail_node import request_log

REQUESTS = 2_000
ROUNDS = 5
# A virtual second for each request: the budget never runs out, or always.
STEP_FULL = 1.0
STEP_STORM = 0.0001
ENGINES = 9


class _Clock:
    """Virtual time for the log's budget."""

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
        new_policy=lambda rng, view, state: shared.Shared(
            rng, view, state, limits
        ),
    )
    reducer.apply(events.Started("10.0.0.1:1"), 0.0)
    split = [revisions.Split("llm")]
    route = revisions.Route("chat", "h", "/c/", split, 10.0, streamed=True)
    revision = revisions.Revision(1, "", [route], [revisions.Service("llm")])
    reducer.state.routing.replace(revision)
    for number in range(ENGINES):
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


def _serve(reducer, log, logger, number):
    """Take one request through its life, with its lines."""
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
        out = reducer.apply(event, 0.0)
        for effect in out:
            if isinstance(
                effect, effects.Log
            ) and not request_log.is_said_at_the_end(effect):
                logger.info(effect.message, extra=effect.fields)
        log.effects(out, 0.0)


def _measure(step, level):
    """Return the microseconds of processor time a request."""
    clock = _Clock(step)
    descriptor = os.open(os.devnull, os.O_WRONLY)
    handler = bounded_log.BoundedHandler(descriptor, clock)
    logger = jsonlog.make_logger("bench", "info", "i1", handler)
    logger.setLevel(level)
    counters = collections.Counter()
    log = request_log.RequestLog(logger, counters)
    reducer = _reducer()
    taken = []
    for round_number in range(ROUNDS):
        began = time.process_time()
        for number in range(REQUESTS):
            clock.now += step
            _serve(reducer, log, logger, round_number * REQUESTS + number)
            handler.flush()
        taken.append((time.process_time() - began) / REQUESTS * 1e6)
    if (
        reducer.lives
        or not counters['requests_ended_total{reason="complete"}']
    ):
        raise SystemExit("the requests did not end as they should")
    handler.close()
    os.close(descriptor)
    return statistics.median(taken)


def main():
    """Print the three figures and the part that a full log costs."""
    none = _measure(STEP_FULL, logging.CRITICAL)
    full = _measure(STEP_FULL, logging.INFO)
    storm = _measure(STEP_STORM, logging.INFO)
    print(f"no line:           {none:7.1f} us a request")
    print(f"all lines:         {full:7.1f} us a request")
    print(f"budget exhausted:  {storm:7.1f} us a request")
    print(f"the log's part:    {(full - none) / full:7.2f}")


if __name__ == "__main__":
    main()
