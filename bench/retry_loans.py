"""Cost of the shared retry budget, in messages and processor time.

Entries and three keepers without sockets; all servers reject what they get.
This prints the messages and bytes per second of loans, with the failures at
all entries and at one, and the processor time that a request and a retry
spend in the budget.

    python -m bench.retry_loans
"""

import sys
import time

from dandeliontrail.decisions import retry_budget

from tests.common import retry_network

DURATION_SECONDS = 10.0
REQUESTS_PER_SECOND = 40.0
KINDS = ("RetryLoanAsk", "RetryLoan")
TIMED_CALLS = 100_000


def measure(count, names):
    """Print the cost of loans with ``count`` entries, trouble at ``names``."""
    network = retry_network.RetryNetwork(count, count_bytes=True)
    network.press(REQUESTS_PER_SECOND, names)
    network.run(12.0)
    for node in network.nodes.values():
        node.by_kind.clear()
        node.messages_by_kind.clear()
    network.fail("reject")
    began = network.now
    network.run(DURATION_SECONDS)
    nodes = network.nodes.values()
    sent = [sum(node.by_kind[kind] for kind in KINDS) for node in nodes]
    messages = sum(
        node.messages_by_kind[kind] for node in nodes for kind in KINDS
    )
    used, allowed = network.judge.used(began)
    where = "one entry" if names else "all entries"
    print(
        f"{count} entries, failures at {where}: {used} of {allowed:.0f}"
        f" repeats, {messages / DURATION_SECONDS:.1f} messages/s, mean"
        f" {sum(sent) / len(sent) / DURATION_SECONDS:,.0f} B/s, most"
        f" {max(sent) / DURATION_SECONDS:,.0f} B/s"
    )


def time_calls():
    """Print the processor time of a request and of a retry."""
    budget = retry_budget.RetryBudget(retry_network.RETRY_LIMITS, 1.0)

    def retry(service, now):
        repeat = budget.begin(service, now)
        if repeat is not None:
            budget.settle(repeat, now)

    for call in (budget.record_request, retry):
        began = time.process_time()
        for number in range(TIMED_CALLS):
            call("s", number / 100.0)
        spent = time.process_time() - began
        print(f"{call.__name__}: {spent / TIMED_CALLS * 1e6:.2f} us")


if __name__ == "__main__":
    time_calls()
    for size in [int(item) for item in sys.argv[1:]] or [9, 100]:
        measure(size, None)
        measure(size, ["i0"])
