"""Placement by ``SharedServersPolicy`` on engines that instances share."""

import collections
import types

from dandeliontrail.components import server_loads as loads_component
from dandeliontrail.coordination import messages
from dandeliontrail.coordination import server_loads
from dandeliontrail.decisions import affinity
from dandeliontrail.decisions import engine_choice
from dandeliontrail.decisions import prefix_announcements
from dandeliontrail.decisions import unplaceable_work
from dandeliontrail.decisions import work as work_module
from dandeliontrail import sentinels
import pytest

from tests.common import shared_policy_harness


def test_requests_with_one_shared_prefix_go_to_one_engine():
    harness = shared_policy_harness.PolicyHarness()
    chosen = set()
    for number in range(8):
        work = harness.review(1)
        chosen.add(harness.next()[work.request_id])
        harness.policy.first_output(work.request_id, harness.now)
        harness.policy.ended(
            work_module.AttemptEnd(work.request_id, ""), harness.now
        )
        harness.now += 0.5
    assert len(chosen) == 1


def test_instances_choose_the_same_engine_for_a_new_prefix():
    # Two instances get a prefix for the first time at once.  With different
    # engines, it would be prefilled twice.
    first, second = (
        shared_policy_harness.PolicyHarness(),
        shared_policy_harness.PolicyHarness(),
    )
    work, other = first.review(5), second.review(5)
    assert first.next()[work.request_id] == second.next()[other.request_id]


def test_prefixes_sent_by_other_instances_count_as_cached():
    harness = shared_policy_harness.PolicyHarness()
    names = [
        server.announcement.backend_server
        for server in harness.directory.servers
    ]
    groups = affinity.EngineGroups()
    groups.set_engines("llm", sorted(names))
    last = groups.ranked("t7", False)[-1]
    harness.policy.heard_reads(
        [
            server_loads.Read(
                last, [("t7", shared_policy_harness.PREFIX_TOKENS)]
            )
        ],
        0.0,
    )
    work = harness.review(7)
    assert harness.next()[work.request_id] == last


def test_use_of_a_known_prefix_is_not_announced_again_at_once():
    # Ninety instances use one prefix within seconds.  When each announced
    # each use to all others, that took half of a 5 Mbit/s link.
    harness = shared_policy_harness.PolicyHarness()
    harness.review(7)
    harness.next()
    (read,) = harness.policy.take_reads()
    other = shared_policy_harness.PolicyHarness()
    other.policy.heard_reads([read], 0.0)
    other.review(7)
    other.next()
    assert other.policy.take_reads() == []
    other.now += prefix_announcements.REANNOUNCE_SECONDS + 1.0
    for attempt in list(other.policy._attempts):
        other.policy.first_output(attempt, other.now)
    other.review(7)
    other.next()
    assert len(other.policy.take_reads()) == 1


def test_a_burst_of_long_prompts_waits_here_and_not_at_the_engines():
    # Forty long prompts come within a second.  If they were placed at once,
    # each engine would make one token in the time of fifteen until all are
    # prefilled, and streams that began before would exceed their deadlines.
    harness = shared_policy_harness.PolicyHarness()
    for prefix_id in range(40):
        harness.review(prefix_id)
    placed = harness.next()
    unread = {}
    for load in harness.policy.own_loads():
        unread[load.server] = load.unread
    assert 4 <= len(placed) <= 12
    assert (
        max(unread.values())
        <= engine_choice.MAX_UNREAD_TOKENS
        + shared_policy_harness.PREFIX_TOKENS
    )


def test_while_a_large_prompt_waits_smaller_ones_wait_too():
    harness = shared_policy_harness.PolicyHarness(count=2)
    busy = [server_loads.Load(f"e{n}", 2, 3_000) for n in range(2)]
    harness.loads.replace_report("other", "fd1", busy, 0.0)
    large = harness.review(1, own=30_000)
    small = harness.review(1, own=4_000)
    assert harness.next() == {}
    harness.loads.replace_report("other", "fd1", [], 0.1)
    placed = harness.next()
    assert large.request_id in placed
    assert small.request_id not in placed


def test_without_a_large_prompt_smaller_ones_fill_an_engine():
    harness = shared_policy_harness.PolicyHarness(count=2)
    busy = [server_loads.Load(f"e{n}", 2, 1_500) for n in range(2)]
    harness.loads.replace_report("other", "fd1", busy, 0.0)
    chat = harness.ask((("own", 4_000),))
    assert chat.request_id in harness.next()


def test_work_of_other_instances_counts():
    harness = shared_policy_harness.PolicyHarness(count=2)
    busy = [server_loads.Load(f"e{n}", 9, 50_000) for n in range(2)]
    harness.loads.replace_report("other", "fd1", busy, 0.0)
    work = harness.review(1)
    assert harness.next() == {}
    harness.loads.replace_report("other", "fd1", [], 0.1)
    assert work.request_id in harness.next()


def test_an_engine_that_has_prefilled_gets_the_next_prompt():
    harness = shared_policy_harness.PolicyHarness(count=2)
    works = [harness.review(1) for _ in range(9)]
    placed = harness.next()
    assert len(placed) < 9
    for request_id in placed:
        harness.policy.first_output(request_id, harness.now)
    assert harness.next()
    assert len(works) == 9


def test_urgent_work_goes_first_and_late_work_last():
    harness = shared_policy_harness.PolicyHarness(count=2)
    filler = [harness.review(0) for _ in range(9)]
    harness.next()
    harness.now = 2.5
    fresh = harness.review(0, own=3000)
    urgent = harness.review(0, own=3000, priority=1)
    late = [
        work for work in filler if work.request_id in harness.policy._queue
    ]
    for attempt in list(harness.policy._attempts):
        harness.policy.first_output(attempt, harness.now)
    order = list(harness.next())
    assert order[0] == urgent.request_id
    if fresh.request_id in order and late:
        assert order.index(fresh.request_id) == 1


def test_low_latency_streams_avoid_engines_with_long_prompts():
    # A chat whose gaps must stay below 0.3 s would share an engine with a
    # prompt of 16,000 tokens, which takes that long to prefill.
    harness = shared_policy_harness.PolicyHarness(count=9)
    reviews = set()
    for prefix_id in range(6):
        work = harness.review(prefix_id)
        placed = harness.next()
        while work.request_id not in placed:
            # Its candidate engines finish the prompts that they have.
            for attempt in list(harness.policy._attempts):
                harness.policy.first_output(attempt, harness.now)
            placed = harness.next()
        reviews.add(placed[work.request_id])
    chats = set()
    for _ in range(6):
        work = harness.chat()
        chats.add(harness.next()[work.request_id])
    assert not chats & reviews


def test_low_latency_streams_overflow_to_the_other_engines():
    harness = shared_policy_harness.PolicyHarness(count=6)
    chats = set()
    for _ in range(300):
        work = harness.chat()
        chats.add(harness.next()[work.request_id])
    assert len(chats) > 1


def test_low_latency_streams_leave_an_engine_whose_slots_are_taken():
    # Many chats come at once.  The engine reserved for them has 64 slots, so
    # the 65th request waits there for a free one, while the other engines
    # have half of theirs free.  Without a cost for that wait, 98 requests
    # went there before one went elsewhere, and half of the first tokens were
    # late.
    harness = shared_policy_harness.PolicyHarness(count=5)
    places = collections.Counter()
    for _ in range(110):
        work = harness.chat()
        name = harness.next()[work.request_id]
        places[name] += 1
        harness.policy.first_output(work.request_id, harness.now)
    assert max(places.values()) <= 64 + 2
    assert len(places) > 1


def test_of_equally_loaded_engines_one_of_the_own_domain_is_chosen():
    # Both candidate engines of a prefix are idle, and one of them is in
    # another domain, from which a partition may cut it off.  When the
    # rendezvous order alone decided, two in three prompts went to another
    # domain.
    harness = shared_policy_harness.PolicyHarness(count=6)
    own = 0
    choices = 0
    for prefix_id in range(200):
        names = [f"e{number}" for number in range(6)]
        groups = affinity.EngineGroups()
        groups.set_engines("llm", names)
        candidates = groups.ranked(f"t{prefix_id}", False)[
            : affinity.CANDIDATES_PER_PREFIX
        ]
        domains = {int(name[1:]) % 3 for name in candidates}
        if 0 not in domains or len(domains) < 2:
            continue
        choices += 1
        work = harness.review(prefix_id)
        name = harness.next()[work.request_id]
        own += int(name[1:]) % 3 == 0
        harness.policy.first_output(work.request_id, harness.now)
        harness.policy.ended(
            work_module.AttemptEnd(work.request_id, name), harness.now
        )
    assert choices > 20
    assert own == choices


def test_a_queue_that_is_too_long_refuses_with_a_retry_after():
    # A burst exceeds what the engines can prefill.  The last in the queue are
    # refused at once with a Retry-After, and not only at their deadline.
    harness = shared_policy_harness.PolicyHarness(count=2)
    refused = {}
    for step in range(60):
        harness.now = step * 0.1
        harness.review(step, deadline=4.0)
        harness.review(step + 100, deadline=4.0)
        for request_id, decision in harness.next().items():
            if isinstance(decision, str):
                if step % 3 == 0:
                    harness.policy.first_output(request_id, harness.now)
            else:
                refused[request_id] = decision
    assert refused
    for refusal in refused.values():
        assert refusal.nothing.reason in (
            sentinels.Reason.QUEUE_FULL,
            sentinels.Reason.ALL_BUSY,
        )
        assert refusal.nothing.retry_after > 0


def test_an_unreachable_server_is_avoided_for_a_while():
    harness = shared_policy_harness.PolicyHarness(count=2)
    work = harness.review(1)
    server = harness.next()[work.request_id]
    ended = work_module.AttemptEnd(
        work.request_id, server, failed=True, unreachable=True
    )
    harness.policy.ended(ended, harness.now)
    again = harness.review(1)
    assert harness.next()[again.request_id] != server
    harness.now += 5.0
    for request_id in (again.request_id,):
        harness.policy.ended(
            work_module.AttemptEnd(request_id, ""), harness.now
        )
    later = harness.review(1)
    assert later.request_id in harness.next()


def test_without_a_usable_server_work_is_refused_soon():
    harness = shared_policy_harness.PolicyHarness(count=1)
    work = harness.review(1)
    server = harness.next()[work.request_id]
    harness.policy.ended(
        work_module.AttemptEnd(
            work.request_id, server, failed=True, unreachable=True
        ),
        harness.now,
    )
    waiting = harness.review(2)
    assert harness.next() == {}
    harness.now += unplaceable_work.NO_SERVER_WAIT_SECONDS + 0.01
    assert waiting.request_id in harness.next()


def test_of_two_servers_at_one_address_the_newer_is_used():
    harness = shared_policy_harness.PolicyHarness(count=2)
    old, new = harness.directory.servers
    new.announcement.url = old.announcement.url
    new.heard_at = 5.0
    for number in range(5):
        work = harness.review(number)
        assert harness.next()[work.request_id] == "e1"
        harness.policy.first_output(work.request_id, harness.now)


def test_retries_stay_within_the_budget():
    harness = shared_policy_harness.PolicyHarness(slack=58.0)
    works = [harness.chat() for _ in range(50)]
    assert len(harness.next()) == 50
    for work in works:
        ended = work_module.AttemptEnd(work.request_id, "e0", failed=True)
        harness.policy.ended(ended, harness.now)
        harness.policy.retry(work, harness.now)
    decisions = harness.policy.next(harness.now, harness.directory)
    placed = [
        item for item in decisions if isinstance(item, work_module.Placement)
    ]
    # Half of a fifth of the requests and nine tenths of a ninth of the slack.
    assert len(placed) == int(0.5 * 0.2 * 50 + 0.9 * 58.0 / 9)
    assert len(decisions) == len(works)


def test_the_loads_of_others_expire():
    held = server_loads.LoadTable()
    held.replace_report("a", "fd0", [server_loads.Load("e0", 3, 500)], 0.0)
    held.replace_report("b", "fd1", [server_loads.Load("e0", 1, 100)], 0.8)
    assert (held.running("e0"), held.unread("e0")) == (4, 600)
    held.expire(1.5)
    assert (held.running("e0"), held.unread("e0")) == (1, 100)


def test_a_relay_sums_the_loads_of_its_domain_and_of_all():
    held = server_loads.LoadTable()
    held.replace_report("a", "fd0", [server_loads.Load("e0", 3, 500)], 0.0)
    held.replace_report("fd1", "fd1", [server_loads.Load("e0", 10, 1000)], 0.0)
    own = [server_loads.Load("e0", 1, 1)]
    assert held.sum_of(own, "fd0") == [server_loads.Load("e0", 4, 501)]
    whole = held.sum_of_all(own)
    assert whole == [server_loads.Load("e0", 14, 1501)]
    own = [server_loads.Load("e0", 3, 500)]
    assert server_loads.subtract_own(whole, own) == [
        server_loads.Load("e0", 11, 1001)
    ]


def test_an_instance_that_becomes_a_relay_counts_nobody_twice():
    # It got the sum of all from the former relay, and now gets each
    # instance's own loads.  Counted twice, the work would seem twice what it
    # is, and its domain would leave engines idle.
    held = server_loads.LoadTable()
    held.replace_report(
        server_loads.ALL, "fd0", [server_loads.Load("e0", 3, 500)], 0.0
    )
    held.replace_report("a", "fd0", [server_loads.Load("e0", 3, 500)], 0.1)
    assert held.sum_of_all([]) == [server_loads.Load("e0", 3, 500)]


def test_only_large_changes_are_announced_at_once():
    held = [server_loads.Load("e0", 10, 5000)]
    assert not server_loads.changed_significantly(held, held)
    near = [server_loads.Load("e0", 11, 5900)]
    assert not server_loads.changed_significantly(near, held)
    assert server_loads.changed_significantly(
        [server_loads.Load("e0", 10, 9000)], held
    )
    assert server_loads.changed_significantly([], held)
    assert server_loads.changed_significantly(held, [])


def relay_of_two_domains():
    """Return the ``ServerLoads`` component of the first relay of ``fd0``."""
    far = types.SimpleNamespace(address="far", failure_domain="fd1")
    members = types.SimpleNamespace(
        full_mesh=lambda: False,
        is_relay=lambda: True,
        is_first_relay=lambda: True,
        relayed_domains=lambda: ["fd0", "fd1"],
        relays_of=lambda domain: [far] if domain == "fd1" else [],
        silent_domains=lambda now: set(),
        note_told_silent=lambda domains, now: None,
    )
    state = types.SimpleNamespace(
        members=members,
        loads=server_loads.LoadTable(),
        identity=types.SimpleNamespace(failure_domain="fd0", instance="r"),
    )
    return loads_component.ServerLoads(
        state, shared_policy_harness.PolicyHarness().policy
    )


FAR = messages.Sender("b", "far", "fd1", "r", 1)
NEAR = messages.Sender("a", "near", "fd0", "r", 1)


def test_relays_do_not_pass_on_what_another_relay_announced():
    # If a relay passed on to other relays what one of them announced, it
    # would get it back from them: each announcement would circulate for ever
    # and fill the links of the relays.
    relay = relay_of_two_domains()
    outside = server_loads.Read("e0", [("x", 9)])
    inside = server_loads.Read("e0", [("y", 9)])
    relay._handle_loads(
        FAR, server_loads.ServerLoads([], [outside], "fd1"), 0.0
    )
    relay._handle_loads(NEAR, server_loads.ServerLoads([], [inside]), 0.0)
    (sent,) = relay.tick(1.0)
    assert sent.address == "far"
    assert sent.message.reads == [inside]
    other = messages.Sender("c", "near2", "fd0", "r", 1)
    (answer,) = relay._handle_loads(other, server_loads.ServerLoads([]), 1.0)
    assert answer.address == "near2"
    assert answer.message.reads == [outside, inside]
    again = [*relay.tick(2.0)]
    again += relay._handle_loads(other, server_loads.ServerLoads([]), 2.0)
    assert [item.message.reads for item in again] == [[], []]


def test_relay_answers_with_all_loads_and_sends_the_idle_nothing():
    # When a relay sent the loads of all to each of the 39 instances of its
    # domain five times a second, whether they had work or not, it sent 235
    # batches a second, with half a core and callers of its own to serve.
    relay = relay_of_two_domains()
    loads = [server_loads.Load("e0", 2, 500)]
    relay._handle_loads(FAR, server_loads.ServerLoads(loads, [], "fd1"), 0.0)
    own = [server_loads.Load("e0", 1, 100)]
    (answer,) = relay._handle_loads(NEAR, server_loads.ServerLoads(own), 0.1)
    assert answer.message.loads == [server_loads.Load("e0", 3, 600)]
    (outer,) = relay.tick(0.2)
    assert (outer.address, outer.message.loads) == ("far", own)
    # All loads expire, which is announced once to the other domain.
    sent = [relay.tick(1.0 + step / 10.0) for step in range(100)]
    assert [len(item) for item in sent].count(1) <= 3
    assert sent[-1] == []


def test_instance_that_has_just_started_gets_recent_prefixes():
    # Half of all instances are killed and restart.  If they did not learn
    # which engines have which prefixes, their first prompts would be
    # prefilled again at other engines.
    relay = relay_of_two_domains()
    read = server_loads.Read("e0", [("y", 9)])
    relay._handle_loads(NEAR, server_loads.ServerLoads([], [read]), 0.0)
    newcomer = messages.Sender("c", "near2", "fd0", "r", 7)
    (answer,) = relay._handle_loads(
        newcomer, server_loads.ServerLoads([]), 5.0
    )
    assert answer.message.reads == [read]
    (answer,) = relay._handle_loads(
        newcomer, server_loads.ServerLoads([]), 5.5
    )
    assert answer.message.reads == []
    restarted = messages.Sender("c", "near2", "fd0", "r", 8)
    (answer,) = relay._handle_loads(
        restarted, server_loads.ServerLoads([]), 6.0
    )
    assert answer.message.reads == [read]
    late = messages.Sender("d", "near3", "fd0", "r", 1)
    (answer,) = relay._handle_loads(late, server_loads.ServerLoads([]), 60.0)
    assert answer.message.reads == []


def test_a_second_relay_does_not_count_the_other_domains_twice():
    # The standby relay gets the sum of all from the first relay, and the sum
    # of another domain from a relay there that takes it for the first.
    standby = relay_of_two_domains()
    standby._state.members.is_first_relay = lambda: False
    loads = [server_loads.Load("e0", 2, 500)]
    first = messages.Sender("a", "near", "fd0", "r", 1)
    standby._handle_loads(first, server_loads.ServerLoads(loads, [], "*"), 0.0)
    standby._handle_loads(FAR, server_loads.ServerLoads(loads, [], "fd1"), 0.0)
    assert standby._state.loads.running("e0") == 2


@pytest.mark.parametrize("count", [1, 2, 6, 9, 45])
def test_each_kind_of_stream_has_an_engine(count):
    groups = affinity.EngineGroups()
    groups.set_engines("s", [f"e{n}" for n in range(count)])
    assert groups.members(low_latency=True)
    assert groups.members(low_latency=False)


def idle(name):
    return 0


@pytest.mark.parametrize("count", [1, 2, 6, 9, 45])
def test_a_burst_of_low_latency_streams_leaves_engines_for_others(count):
    groups = affinity.EngineGroups()
    groups.set_engines("s", [f"e{n}" for n in range(count)])
    for step in range(100):
        groups.resize(lambda name: 1000, idle, 64, step * 1.0)
    assert 2 * len(groups.members(low_latency=False)) >= count


def test_reserved_engines_are_released_one_by_one():
    # Long prompts that move to another engine are prefilled again there, so a
    # quiet second must not move many of them at once.
    groups = affinity.EngineGroups()
    groups.set_engines("s", [f"e{n}" for n in range(40)])
    for step in range(20):
        groups.resize(lambda name: 40, idle, 64, step * 0.5)
    others = [len(groups.members(low_latency=False))]
    for step in range(20, 90):
        groups.resize(idle, idle, 64, step * 0.5)
        others.append(len(groups.members(low_latency=False)))
    assert others[0] == 20 and others[-1] == 32
    steps = [after - before for before, after in zip(others, others[1:])]
    assert set(steps) == {0, 1}


def test_low_latency_streams_keep_engines_when_many_are_lost():
    # All spot servers of two failure domains are taken away: 16 engines of
    # 46 are left.  A fifth of these is not enough for the chats that nine
    # engines served before.
    groups = affinity.EngineGroups()
    groups.set_engines("s", [f"e{n}" for n in range(46)])
    for step in range(20):
        groups.resize(lambda name: 12, idle, 64, step * 0.5)
    groups.set_engines("s", [f"e{n}" for n in range(16)])
    reserved = 16 - len(groups.members(low_latency=False))
    for step in range(20, 60):
        running = 108 / reserved
        groups.resize(lambda name: running, idle, 64, step * 0.5)
        reserved = 16 - len(groups.members(low_latency=False))
    assert reserved >= 4


def test_no_engine_is_reserved_where_no_stream_is_a_low_latency_one():
    # Guards against an engine that idles while long prompts are refused.
    groups = affinity.EngineGroups()
    names = ["e0", "e1", "e2"]
    groups.set_engines("s", names, has_low_latency=False)
    assert sorted(groups.members(low_latency=False)) == names
    groups.set_engines("s", names, has_low_latency=True)
    assert len(groups.members(low_latency=False)) == 2


def test_no_more_engines_are_reserved_while_long_prompts_wait_too():
    # Chats and reviews triple at once.  What the chats would gain by further
    # engines, the reviews would lose, which are worth more and take longer
    # to prefill.
    groups = affinity.EngineGroups()
    groups.set_engines("s", [f"e{n}" for n in range(40)])
    for step in range(60):
        groups.resize(lambda name: 40, lambda name: 16_000, 64, step * 0.5)
        assert len(groups.members(low_latency=False)) == 32
    for step in range(60, 80):
        groups.resize(lambda name: 40, idle, 64, step * 0.5)
    assert len(groups.members(low_latency=False)) < 32


def test_work_that_waits_for_servers_at_rest_is_not_refused_for_their_pace():
    harness = shared_policy_harness.PolicyHarness(count=2)
    for step in range(30):
        harness.now = step * 0.1
        harness.review(step)
        for request_id, server in harness.next().items():
            harness.policy.first_output(request_id, harness.now)
    for server in harness.directory.of_service("llm"):
        server.rests_until = harness.now + 3.0
    for step in range(20):
        harness.now += 0.1
        harness.review(100 + step, deadline=6.0)
        assert harness.next() == {}
