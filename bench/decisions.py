"""The cost of one decision at 10, 250 and 2,500 backend servers.

    .venv/bin/python -m bench.decisions

A decision is to admit and place one request.  The second figure is all that
the policy does in the life of one: besides, the first output, the end with
what is placed then, and one load report.  The verdict is the ratio within
one run: from 250 to 2,500 servers the time must grow less than linearly.
"""

import random
import statistics
import time

from dandeliontrail.coordination import servers
from dandeliontrail.decisions import adaptive
from dandeliontrail.decisions import view
from dandeliontrail.decisions import work as work_module
from dandeliontrail.resources import announcements

SIZES = (10, 250, 2_500)
# How many instances share the servers at each size.
INSTANCES = {10: 9, 250: 53, 2_500: 530}
REQUESTS = 4_000
ROUNDS = 5
WARM = 1_000


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
    """Return the microseconds of a decision and of a whole request.

    Both are medians over the rounds.
    """
    policy = adaptive.Adaptive(
        random.Random(1),
        view.FixedView(INSTANCES[count]),
        ("i1", "fd1"),
    )
    directory = _Directory(count)
    clock = _Clock()
    running = []
    number = 0
    decisions = []
    wholes = []
    for round_number in range(ROUNDS + 1):
        requests = REQUESTS if round_number else WARM
        began = time.perf_counter()
        deciding = 0.0
        for _ in range(requests):
            number += 1
            deciding += _one(policy, directory, clock, running, number)
        spent = time.perf_counter() - began
        if round_number:
            decisions.append(deciding / requests * 1e6)
            wholes.append(spent / requests * 1e6)
    return statistics.median(decisions), statistics.median(wholes)


class _Clock:
    now = 0.0


def _one(policy, directory, clock, running, number):
    """Take one request in and another out; return the time to decide."""
    clock.now += 0.01
    work = _work(number)
    began = time.perf_counter()
    policy.offer(work, clock.now)
    placed = policy.next(clock.now, directory)
    deciding = time.perf_counter() - began
    running.extend(placed)
    for item in placed:
        policy.first_output(item.work.request_id, clock.now)
    if len(running) > 20:
        item = running.pop(0)
        ended = work_module.Ended(
            item.work.request_id, item.server, 100, gaps_ms=[20.0]
        )
        policy.ended(ended, clock.now)
        running.extend(policy.next(clock.now, directory))
    server = directory.listed[number % len(directory.listed)]
    server.heard = clock.now
    policy.observe(server, clock.now)
    return deciding


def main():
    """Print the figures and the ratio."""
    held = {count: _measure(count) for count in SIZES}
    for count, (decision, whole) in held.items():
        print(
            f"{count:5} servers: {decision:6.1f} us a decision,"
            f" {whole:6.1f} us a request"
        )
    ratio = held[2_500][0] / held[250][0]
    print(f"2,500 to 250 servers: {ratio:.2f} times the time")


if __name__ == "__main__":
    main()
