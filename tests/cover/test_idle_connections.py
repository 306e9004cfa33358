"""Idle connections in the choice of servers, where callers compete.

Guards against instances that open a connection for nearly each request,
although servers of about equal cost are connected already.
"""

import random
import types

from dandeliontrail.decisions import idle_connections
from dandeliontrail.decisions import path_checks
from dandeliontrail.decisions import plain_server_choice
from dandeliontrail.decisions import server_attempt
from dandeliontrail.decisions import server_table
from dandeliontrail.decisions import work as work_module

from tests.common import connection_world
from tests.common import prompt_engine
from tests.common import shared_policy_harness


class Loads:
    """What other instances report: ``running`` requests by server."""

    def __init__(self):
        self.running_at = {}

    def running(self, name):
        return self.running_at.get(name, 0)

    def unread(self, name):
        return 0

    def forget(self, name):
        """Keep the loads."""


def table_of(loads=None):
    return server_table.ServerTable(loads or Loads(), lambda: 1000)


def attempt_at(table, name, peer=""):
    return server_attempt.ServerAttempt(
        None, name, table.server(name), "fd0", 0.0, 0.0, peer
    )


def end(idle_seconds=0.0, **how):
    return work_module.AttemptEnd("r", "e1", idle_seconds=idle_seconds, **how)


def kept(table, count=1):
    """Return an estimate of ``count`` connections to e1, kept for 1 s."""
    idle = idle_connections.IdleConnections()
    for _ in range(count):
        idle.record_end(attempt_at(table, "e1"), end(1.0), 0.0)
    return idle


def test_a_request_uses_up_a_connection():
    table = table_of()
    idle = kept(table, count=2)
    idle.record_sent("e1")
    assert idle.count("e1", None, 0.5) == 1
    idle.record_sent("e1")
    idle.record_sent("e1")
    assert idle.connected(table, 0.5) == frozenset()


def test_a_connection_that_is_idle_for_too_long_does_not_count():
    table = table_of()
    idle = kept(table)
    assert idle.connected(table, 0.9) == {"e1"}
    assert idle.connected(table, 1.0) == frozenset()


def test_a_connection_to_an_earlier_incarnation_does_not_count():
    table = table_of()
    table.record_announcement("e1", 1)
    idle = kept(table)
    assert idle.connected(table, 0.1) == {"e1"}
    late = attempt_at(table, "e1")
    table.record_announcement("e1", 2)
    assert idle.connected(table, 0.1) == frozenset()
    idle.record_end(late, end(1.0), 0.2)
    assert idle.connected(table, 0.3) == frozenset()


def test_after_a_failure_no_connection_counts():
    table = table_of()
    for how in ("failed", "unreachable", "gone"):
        idle = kept(table, count=2)
        idle.record_end(attempt_at(table, "e1"), end(**{how: True}), 0.1)
        assert idle.connected(table, 0.2) == frozenset()


def test_a_hedge_that_was_overtaken_is_no_failure_of_its_server():
    table = table_of()
    idle = kept(table)
    overtaken = end(failed=True, overtaken=True)
    idle.record_end(attempt_at(table, "e1"), overtaken, 0.1)
    assert idle.connected(table, 0.2) == {"e1"}


def test_a_tunnel_leaves_no_idle_connection():
    table = table_of()
    idle = idle_connections.IdleConnections()
    idle.record_end(attempt_at(table, "e1", "peer"), end(1.0), 0.0)
    assert idle.connected(table, 0.1) == frozenset()


def choose_plain(loads, connected, through_peers=(), failures=0):
    """Choose among three servers of six slots in one failure domain."""
    table = table_of(loads)
    for _ in range(failures):
        table.server("e3").health.record_failure()
    usable = {
        f"e{number}": prompt_engine.server_of(number, "app", 6)
        for number in (0, 3, 6)
    }
    return plain_server_choice.choose(
        usable, table, "fd0", random.Random(1), through_peers, connected
    )


def test_a_plain_server_with_an_idle_connection_is_preferred():
    loads = Loads()
    loads.running_at = {"e0": 2, "e3": 3, "e6": 2}
    assert choose_plain(loads, ("e3",)) == "e3"
    loads.running_at["e3"] = 4
    assert choose_plain(loads, ("e3",)) != "e3"


def test_a_full_or_failing_plain_server_is_not_preferred():
    loads = Loads()
    loads.running_at = {"e0": 5, "e3": 6, "e6": 5}
    assert choose_plain(loads, ("e3",)) != "e3"
    loads.running_at = {"e0": 1, "e3": 1, "e6": 1}
    assert choose_plain(loads, ("e3",)) == "e3"
    assert choose_plain(loads, ("e3",), failures=1) != "e3"
    assert choose_plain(loads, ("e3",), through_peers=("e3",)) != "e3"


def place_chat(harness, idle_seconds=0.0):
    """Place and end a chat; return the name of its engine."""
    work = harness.chat()
    work.parts = (work.parts[-1],)
    name = harness.next()[work.request_id]
    harness.policy.first_output(work.request_id, harness.now)
    ended = work_module.AttemptEnd(
        work.request_id, name, idle_seconds=idle_seconds
    )
    harness.policy.ended(ended, harness.now)
    return name


def chat_beside_idle_connection(contended, wait=0.1, full=False):
    """Return the usual engine, a second one, and the one that is chosen.

    The second is connected and costs at most one running request more.
    """
    harness = shared_policy_harness.PolicyHarness(45, contended=contended)
    usual = second = place_chat(harness)
    running = 0
    while second == usual:
        running += 1
        harness.report({usual: running})
        second = place_chat(harness)
    assert place_chat(harness, idle_seconds=1.0) == second
    harness.now += wait
    harness.report({usual: running - 1, second: 64 * full})
    return usual, second, place_chat(harness)


def test_a_chat_goes_where_a_connection_is_idle():
    _, second, chosen = chat_beside_idle_connection(contended=True)
    assert chosen == second


def test_a_connection_idle_for_too_long_attracts_no_chat():
    usual, _, chosen = chat_beside_idle_connection(contended=True, wait=1.1)
    assert chosen == usual


def test_a_full_engine_gets_no_chat_for_its_connection():
    usual, _, chosen = chat_beside_idle_connection(contended=True, full=True)
    assert chosen == usual


def test_without_competition_idle_connections_do_not_count():
    usual, _, chosen = chat_beside_idle_connection(contended=False)
    assert chosen == usual


def test_long_prompts_ignore_idle_connections():
    def reviews(keep):
        harness = shared_policy_harness.PolicyHarness(15, contended=True)
        found = []
        for number in range(30):
            work = harness.review(number % 7)
            name = harness.next()[work.request_id]
            found.append(name)
            harness.policy.first_output(work.request_id, harness.now)
            ended = work_module.AttemptEnd(
                work.request_id, name, idle_seconds=keep
            )
            harness.policy.ended(ended, harness.now)
            harness.now += 0.1
        return found

    assert reviews(1.0) == reviews(0.0)


def checks_of(spaced, unread, seconds=3.0):
    """Return when a server is checked beside one silent attempt."""
    table = table_of()
    checks = path_checks.PathChecks(
        table,
        types.SimpleNamespace(exists=lambda *args: False),
        random.Random(1),
        lambda work: spaced,
    )
    attempt = attempt_at(table, "e1")
    attempt.unread = unread
    found = []
    for tick in range(int(seconds * 8) + 1):
        # Eighths of a second are exact, unlike tenths.
        now = tick / 8
        for check in checks.due([attempt], now):
            found.append(now)
            table.server("e1").health.heard_at = now
            checks.end(check.server)
    return found


def test_a_prompt_that_waits_long_is_checked_ever_less_often():
    # Each check opens a connection.  On an otherwise idle instance, a prompt
    # that waited for 1.9 s had its server checked six times.
    assert len(checks_of(spaced=False, unread=900.0)) == 8
    assert checks_of(spaced=True, unread=900.0) == [0.375, 0.75, 1.5, 2.75]


def test_a_long_prompt_is_checked_after_the_time_that_its_prefill_takes():
    # 17,000 tokens take an idle engine 0.34 s.  In a simulation of the first
    # deployment, checks after 0.3 s opened a connection for 9.5 % of requests.
    assert checks_of(spaced=True, unread=17_000.0) == [0.75, 1.5, 2.75]


def test_a_stream_that_falls_silent_is_checked_as_before():
    assert checks_of(spaced=True, unread=0.0) == checks_of(False, 0.0)


def test_many_instances_open_fewer_connections_without_more_imbalance():
    # 88 instances send 54 plain requests and 39 chats a second.  Each pair of
    # an instance and a server is seldom used twice within the second for
    # which a connection is kept.
    plain, chat = [], []
    for seed in (1, 2, 3):
        before = connection_world.World(False, seed=seed)
        after = connection_world.World(True, seed=seed)
        for world in (before, after):
            world.run(40.0)
        plain.append(opened_fewer(before, after, "app"))
        chat.append(opened_fewer(before, after, "llm"))
        assert after.busiest("app") <= before.busiest("app") + 0.05
        assert after.busiest("llm") <= before.busiest("llm") + 0.05
        assert after.mean_wait() <= before.mean_wait() + 0.002
    # Measured: 0.79 to 0.70 per plain request, 0.925 to 0.905 per chat.
    assert sum(plain) / 3 > 0.07
    assert sum(chat) / 3 > 0.01


def opened_fewer(before, after, service):
    return before.opened_per_request(service) - (
        after.opened_per_request(service)
    )
