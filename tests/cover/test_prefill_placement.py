"""What the shared policy does where long prompts wait in prefill queues.

Without a grant a long prompt must not reach an engine whose holder answers;
all other work must not wait for one.
"""

import pytest

from dandeliontrail.coordination import prefill_messages
from dandeliontrail.coordination import server_loads
from dandeliontrail.decisions import prefill_placement
from dandeliontrail import sentinels

from tests.common import shared_policy_harness

PACE = 50_000


def new_harness(count=6, queues=True):
    return shared_policy_harness.PolicyHarness(count, queues=queues)


def asked(harness):
    """Return what is due, as a list of ``(server, ask)``."""
    return [
        (server, ask)
        for server, message in harness.prefill.due(harness.now).items()
        for ask in message.asks
    ]


def answer(harness, ask, granted=False, ahead=0, backlog=0):
    grant = prefill_messages.PrefillGrant(
        ask.server, ask.epoch, ask.number, granted, True, ahead, backlog, PACE
    )
    harness.prefill.receive(grant, harness.now)


def ask_once(harness, **more):
    """Offer a review; return its work and the ask made for it."""
    work = harness.review(1, **more)
    assert harness.next() == {}
    [(server, ask)] = asked(harness)
    assert ask.server == server
    return work, ask


def test_a_long_prompt_goes_only_where_it_is_granted():
    harness = new_harness()
    work, ask = ask_once(harness)
    answer(harness, ask)
    assert harness.next() == {}
    answer(harness, ask, granted=True)
    assert harness.next() == {work.request_id: ask.server}


def test_no_asks_where_no_service_queues_prefill():
    harness = new_harness(queues=False)
    work = harness.review(1)
    assert list(harness.next()) == [work.request_id]
    assert asked(harness) == []


def test_chats_do_not_wait_for_grants():
    harness = new_harness()
    chat = harness.chat()
    assert list(harness.next()) == [chat.request_id]
    assert asked(harness) == []


def test_a_prompt_that_waits_asks_for_two_further_engines():
    harness = new_harness()
    work, ask = ask_once(harness)
    servers = {ask.server}
    for _ in range(3):
        answer(harness, ask, ahead=20_000, backlog=40_000)
        harness.next()
        for _, ask in asked(harness):
            servers.add(ask.server)
    assert len(servers) == 3
    answer(harness, ask, granted=True)
    assert harness.next() == {work.request_id: ask.server}
    ends = [
        (message.ends[0].server, message.ends[0].prefilled)
        for message in harness.prefill.due(harness.now).values()
    ]
    assert sorted(ends) == sorted(
        (server, False) for server in servers - {ask.server}
    )


def test_a_short_wait_asks_for_no_further_engine():
    harness = new_harness()
    _, ask = ask_once(harness)
    answer(harness, ask, ahead=4_000, backlog=40_000)
    harness.next()
    assert asked(harness) == []


def test_a_prefix_is_not_prefilled_twice_for_a_wait_of_a_second():
    # The engine that has the prefix would begin in a second, another one
    # would prefill all of the prompt in a third of that.
    harness = new_harness()
    work, ask = ask_once(harness)
    answer(harness, ask, granted=True)
    harness.next()
    harness.finish(work, ask.server)
    harness.review(1)
    harness.next()
    [(server, again)] = asked(harness)
    assert (server, again.tokens) == (ask.server, 3000)
    answer(harness, again, ahead=PACE, backlog=PACE)
    harness.next()
    assert asked(harness) == []


def test_asked_tokens_are_reported_as_unread():
    harness = new_harness()
    _, ask = ask_once(harness)
    expected = [server_loads.Load(ask.server, 0, 16_000)]
    assert harness.policy.own_loads() == expected
    harness.prefill.held_paces["e5" if ask.server != "e5" else "e4"] = PACE
    assert sorted(load.pace for load in harness.policy.own_loads()) == [
        0,
        PACE,
    ]
    answer(harness, ask, granted=True)
    harness.next()
    load = harness.policy.own_loads()[0]
    assert (load.running, load.unread) == (1, 16_000)


def test_a_request_that_leaves_the_queue_ends_its_asks():
    harness = new_harness()
    work, ask = ask_once(harness)
    harness.policy.withdraw(work.request_id)
    [message] = harness.prefill.due(harness.now).values()
    assert message.ends == [
        prefill_messages.PrefillEnd(ask.server, ask.number, False)
    ]


def test_a_request_refused_at_its_deadline_ends_its_asks():
    harness = new_harness()
    work, ask = ask_once(harness)
    answer(harness, ask)
    harness.now = 9.6
    refusal = harness.next()[work.request_id]
    assert refusal.nothing.reason is sentinels.Reason.ALL_BUSY
    assert not harness.prefill.of(work.request_id)


@pytest.mark.parametrize("step", (0, 1, 2))
def test_what_would_wait_too_long_is_refused_unless_most_urgent(step):
    # 0.7 times (10 s - 0.5 s) is 6.65 s.  Three engines that are asked for it
    # share the prompts that wait.
    harness = new_harness()
    work, ask = ask_once(harness, priority=step, route_priority=step)
    answer(harness, ask, ahead=int(6.5 * PACE))
    for _ in range(2):
        harness.now += prefill_placement.SEARCH_INTERVAL_SECONDS
        assert harness.next() == {}
        [(_, further)] = asked(harness)
        answer(harness, further, ahead=int(3 * 6.5 * PACE))
    answer(harness, ask, ahead=int(3 * 6.5 * PACE))
    assert harness.next() == {}
    assert len(harness.prefill.of(work.request_id)) == 3
    for item in list(harness.prefill.of(work.request_id)):
        item.ahead = int(3 * 6.7 * PACE)
    decision = harness.next().get(work.request_id)
    if step == 0:
        assert decision is None
        return
    assert decision.nothing.reason is sentinels.Reason.QUEUE_FULL
    retry = decision.nothing.retry_after
    assert 3.3 + 0.2 * step <= retry <= (3.4 + 0.2 * step) * 1.25


def test_an_engine_whose_holder_is_silent_gets_prompts_as_before():
    harness = new_harness(count=2)
    work, ask = ask_once(harness)
    harness.now += 0.2
    assert harness.next() == {work.request_id: ask.server}
    renewals = [item for _, item in asked(harness) if item.granted]
    assert [item.server for item in renewals] == [ask.server]


def test_an_engine_that_becomes_unusable_is_not_waited_for():
    harness = new_harness()
    work, ask = ask_once(harness)
    work.excluded_servers.add(ask.server)
    answer(harness, ask, granted=True)
    assert harness.next() == {}
    [(server, _)] = asked(harness)
    assert server != ask.server


def test_a_restarted_engine_is_asked_with_its_new_epoch():
    harness = new_harness()
    _, ask = ask_once(harness)
    for server in harness.directory.servers:
        harness.policy.observe(server, harness.now)
        server.announcement.epoch += 1
        harness.policy.observe(server, harness.now)
    harness.next()
    [(_, again)] = asked(harness)
    assert again.epoch == ask.epoch + 1


def asks_at_slow_engines(fast, slow):
    """Return how many of 40 prompts ask for the slow ones of five engines."""
    harness = new_harness(count=5)
    loads = [
        server_loads.Load(
            f"e{number}", 0, 10_000, slow if number % 2 else fast
        )
        for number in range(5)
    ]
    harness.loads.replace_report("other", "fd1", loads, harness.now)
    for number in range(40):
        harness.review(number)
    harness.next()
    return sum(int(server[1:]) % 2 for server, _ in asked(harness))


def test_slow_engines_get_less():
    # With the same tokens to prefill, an engine at a quarter of the pace would
    # get as many prompts as the others and prefill them all too late.
    alike = asks_at_slow_engines(50_000, 50_000)
    assert asks_at_slow_engines(80_000, 20_000) <= 0.6 * alike


def test_chats_of_many_instances_do_not_all_choose_one_engine():
    # The reserved engine that was idle in the last report would get the
    # chats of all instances until the next report.
    chosen = set()
    for seed in range(12):
        harness = new_harness(count=15)
        harness.policy._rng.seed(seed)
        chat = harness.chat()
        chosen.add(harness.next()[chat.request_id])
    assert len(chosen) >= 2


def test_paces_are_summed_and_not_taken_off_by_their_reporter():
    table = server_loads.LoadTable()
    table.replace_report("a", "fd0", [server_loads.Load("e0", 1, 5, 7)], 0.0)
    assert table.pace("e0") == 7
    total = table.sum_of_all([server_loads.Load("e1", 0, 0, 9)])
    own = [server_loads.Load("e1", 0, 0, 9)]
    others = server_loads.subtract_own(total, own)
    assert others == [
        server_loads.Load("e0", 1, 5, 7),
        server_loads.Load("e1", 0, 0, 0),
    ]
    table.replace_report("a", "fd0", [], 0.1)
    assert table.pace("e0") == 0
