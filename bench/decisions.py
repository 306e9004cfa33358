"""The cost of one decision at 10, 250 and 2,500 backend servers.

    .venv/bin/python -m bench.decisions

A decision admits and places one request.  The second figure is the total
policy time of a request: the decision, the first output, the end of the
request with the placements that it allows, and one load report.  The result
that counts is the ratio within one run: from 250 to 2,500 servers, the time
must grow less than linearly.
"""

import random
import statistics
import time

from dandeliontrail.coordination import servers
from dandeliontrail.decisions import adaptive
from dandeliontrail.decisions import view
from dandeliontrail.decisions import work as work_module
from dandeliontrail.resources import announcements

SERVER_COUNTS = (10, 250, 2_500)
# Number of instances that share the servers, by number of servers.
INSTANCE_COUNTS = {10: 9, 250: 53, 2_500: 530}
REQUESTS = 4_000
ROUNDS = 5
WARM_UP_REQUESTS = 1_000


class _Directory:
    def __init__(self, count):
        self.listed = [_server(number) for number in range(count)]

    def eligible(self, class_name, model, service):
        return self.listed


def _server(number):
    announcement = announcements.Announcement(
        f"e{number}", 1, 1, "model_engine", "", f"fd{number % 10}", slots=32
    )
    return servers.Server(announcement, 0.0, 1e9)


def _work(number):
    shape = number % 3
    return work_module.Work(
        f"r{number}",
        f"org{number % 40}",
        ("lookup", "draft", "review")[shape],
        "small",
        "",
        shape,
        0.0,
        1e9,
        prompt_tokens=300,
        first_token_ms=300.0 if shape == 0 else None,
        minimum_share=0.1,
    )


def _measure(count):
    """Return the time of a decision and of a request, in microseconds.

    Both are medians over the rounds; the first round is a warm-up.
    """
    policy = adaptive.Adaptive(
        random.Random(1),
        view.FixedView(INSTANCE_COUNTS[count]),
        ("i1", "fd1"),
    )
    directory = _Directory(count)
    clock = _Clock()
    running = []
    number = 0
    decision_times = []
    request_times = []
    for round_number in range(ROUNDS + 1):
        requests = REQUESTS if round_number else WARM_UP_REQUESTS
        started_at = time.perf_counter()
        decision_seconds = 0.0
        for _ in range(requests):
            number += 1
            decision_seconds += _process_request(
                policy, directory, clock, running, number
            )
        elapsed = time.perf_counter() - started_at
        if round_number:
            decision_times.append(decision_seconds / requests * 1e6)
            request_times.append(elapsed / requests * 1e6)
    return statistics.median(decision_times), statistics.median(request_times)


class _Clock:
    now = 0.0


def _process_request(policy, directory, clock, running, number):
    """Start one request, finish an older one; return the decision time."""
    clock.now += 0.01
    work = _work(number)
    started_at = time.perf_counter()
    policy.offer(work, clock.now)
    placed = policy.next(clock.now, directory)
    decision_seconds = time.perf_counter() - started_at
    running.extend(placed)
    for item in placed:
        policy.first_output(item.work.request_id, clock.now)
    if len(running) > 20:
        item = running.pop(0)
        ended = work_module.AttemptEnd(
            item.work.request_id, item.server, 100, gaps_ms=[20.0]
        )
        policy.ended(ended, clock.now)
        running.extend(policy.next(clock.now, directory))
    server = directory.listed[number % len(directory.listed)]
    server.heard_at = clock.now
    policy.observe(server, clock.now)
    return decision_seconds


def main():
    """Print the measurements and the ratio."""
    measured = {count: _measure(count) for count in SERVER_COUNTS}
    for count, (decision_time, request_time) in measured.items():
        print(
            f"{count:5} servers: {decision_time:6.1f} us a decision,"
            f" {request_time:6.1f} us a request"
        )
    ratio = measured[2_500][0] / measured[250][0]
    print(f"2,500 to 250 servers: {ratio:.2f} times the time")


if __name__ == "__main__":
    main()
