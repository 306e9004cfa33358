"""Instances that share prefill queues while messages and processes fail."""

import pytest

from dandeliontrail.coordination import prefill_messages
from dandeliontrail.decisions import holder_silence
from dandeliontrail.decisions import prefill_asks
from dandeliontrail.decisions import prefill_outstanding
from dandeliontrail.decisions import prefill_queue
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail_node.listeners import prefill_views

from tests.common import limit_world
from tests.common import prefill_world

Asks = prefill_messages.PrefillAsks
Grants = prefill_messages.PrefillGrants
ENGINES = ("e0", "e1", "e2", "e3")
# The time in which instances agree that one of them is gone.
AGREEMENT_SECONDS = 9.0
TICK_SECONDS = 0.1


def only_once(matches):
    """Return a function that drops the first message that ``matches``."""
    dropped = []

    def drop(message, sender, receiver):
        if dropped or not matches(message, sender, receiver):
            return False
        dropped.append(message)
        return True

    return drop


def backlog_allowed(holders=1):
    """Return the longest backlog of an engine that holders allow.

    It is the room of the least urgent step, or one prompt, for each.
    """
    each = max(prefill_outstanding.ROOM_SECONDS, prefill_world.PREFILL_SECONDS)
    return holders * each + limit_world.TRANSIT_SECONDS


def dispatched(world):
    """Return the fields of the last line about a dispatch."""
    return [
        line.fields
        for line in world.logged("decision")
        if line.fields["reason"] == "dispatched"
    ][-1]


def waiting_asker(world):
    """Have two instances ask for an engine; return the one that waits."""
    first, second = world.askers()[:2]
    world.call(first)
    world.run(0.05)
    world.call(second)
    world.run(0.05)
    assert len(world.servers["e0"].arrivals) == 1
    assert world.backlog("e0") == 2 * prefill_world.PROMPT_TOKENS
    return second


@pytest.mark.parametrize("kind", [Asks, Grants])
def test_an_instance_decides_on_its_own_if_asks_or_answers_are_lost(kind):
    world = prefill_world.PrefillWorld()
    asker = world.askers()[0]
    world.dropped = lambda message, sender, receiver: (
        isinstance(message, kind) and asker in (sender, receiver)
    )
    world.call(asker)
    world.run(holder_silence.MAX_ANSWER_SECONDS + 2 * TICK_SECONDS)
    arrivals = world.servers["e0"].arrivals
    assert len(arrivals) == 1
    assert world.asks(asker).placed_unheld == 1
    assert "holder" not in dispatched(world)
    world.dropped = lambda message, sender, receiver: False
    # The renewal of the prompt may have extended the silence.
    world.run(prefill_asks.RENEWAL_SECONDS + holder_silence.SILENCE_SECONDS)
    world.call(asker)
    world.run(0.1)
    assert len(arrivals) == 2
    assert world.asks(asker).grants_used == 1
    lines = (
        "holder of a prefill queue is silent",
        "holder of a prefill queue answers again",
    )
    assert [len(world.logged(text)) for text in lines] == [1, 1]


def test_a_lost_grant_is_repeated_and_its_prompt_counts_until_then():
    world = prefill_world.PrefillWorld()
    asker = waiting_asker(world)
    world.dropped = only_once(
        lambda message, sender, receiver: (
            receiver == asker
            and isinstance(message, Grants)
            and any(grant.granted for grant in message.grants)
        )
    )
    world.run(0.25)
    arrivals = world.servers["e0"].arrivals
    assert len(arrivals) == 1
    assert world.backlog("e0") == prefill_world.PROMPT_TOKENS
    world.run(prefill_asks.RENEWAL_SECONDS + TICK_SECONDS - 0.25)
    assert len(arrivals) == 2
    assert world.asks(asker).grants_used == 1
    assert not world.asks(asker).placed_unheld


def test_a_prompt_whose_end_is_lost_does_not_block_the_engine():
    world = prefill_world.PrefillWorld()
    asker = world.askers()[0]
    world.dropped = lambda message, sender, receiver: (
        isinstance(message, Asks) and bool(message.ends)
    )
    world.call(asker)
    world.run(prefill_world.PREFILL_SECONDS + 0.3)
    assert world.backlog("e0") == prefill_world.PROMPT_TOKENS
    world.run(prefill_queue.ASK_TTL_SECONDS)
    assert world.backlog("e0") == 0


@pytest.mark.parametrize("delay", [0.002, 0.03])
def test_messages_that_come_twice_or_late_grant_nothing_twice(delay):
    world = prefill_world.PrefillWorld(engines=ENGINES, delay=delay)
    world.doubled = True
    world.press(8.0, path=prefill_world.PATH)
    world.run(6.0)
    world.press(0.0, path=prefill_world.PATH)
    worst = max(item.worst_backlog() for item in world.servers.values())
    assert worst <= backlog_allowed() + 4 * delay
    world.run(1.0)
    assert not any(world.backlog(name) for name in ENGINES)
    # No prompt is on its way any more.
    arrivals = sum(len(item.arrivals) for item in world.servers.values())
    assert arrivals == sum(world.sent.values()) > 20


def test_a_grant_that_nobody_waits_for_is_ended():
    world = prefill_world.PrefillWorld()
    asker = waiting_asker(world)
    world.dropped = only_once(
        lambda message, sender, receiver: (
            sender == asker and isinstance(message, Asks)
        )
    )
    request_id = list(world.open)[-1]
    world.apply(world.nodes[asker], events.CallerGone(request_id))
    world.run(prefill_world.PREFILL_SECONDS + 0.2)
    assert len(world.servers["e0"].arrivals) == 1
    assert world.backlog("e0") == 0


def lose_holder(world, holder, how):
    """Kill or freeze a holder, or cut it off in one direction."""
    if how == "killed":
        world.kill(holder)
    elif how == "frozen":
        world.freeze(holder)
    else:
        others = [name for name in world.names if name != holder]
        world.partition([holder], others, both_ways=False)


@pytest.mark.parametrize("how", ["killed", "frozen", "cut off"])
def test_engines_go_on_while_their_holder_is_lost(how):
    world = prefill_world.PrefillWorld(engines=ENGINES)
    holder = world.holder_of("e1")
    others = [name for name in world.names if name != holder]
    world.press(8.0, names=others, path=prefill_world.PATH)
    world.run(4.0)
    lose_holder(world, holder, how)
    before = sum(world.sent.values())
    world.run(4.0)
    assert sum(world.sent.values()) - before > 20
    world.run(AGREEMENT_SECONDS)
    found = {world.component(name).holder_of("e1") for name in others}
    assert len(found) == 1
    assert found != {holder}
    since = world.now
    granted = sum(world.asks(name).grants_used for name in others)
    world.run(4.0)
    assert sum(world.asks(name).grants_used for name in others) > granted + 20
    worst = max(item.worst_backlog(since) for item in world.servers.values())
    assert worst <= backlog_allowed() + 0.05


def test_a_new_holder_rebuilds_the_queue_from_renewals():
    world = prefill_world.PrefillWorld()
    holder = world.holder_of("e0")
    first, second = world.askers()[:2]
    world.call(first)
    world.run(0.05)
    world.call(second)
    world.run(0.05)
    for name in world.names:
        domains = world.component(name)._holders
        members = {
            item: world.nodes[item].domain
            for item in world.names
            if item != holder
        }
        domains.set_domains(members)
    new_holder = world.component(first).holder_of("e0")
    assert new_holder != holder
    world.run(0.1)
    world.kill(holder)
    world.run(prefill_asks.RENEWAL_SECONDS)
    assert world.queue("e0", new_holder) is not None
    world.run(1.0)
    assert len(world.servers["e0"].arrivals) == 2
    assert world.servers["e0"].worst_backlog() <= backlog_allowed()


def test_two_holders_allow_at_most_twice_the_room():
    world = prefill_world.PrefillWorld()
    holder = world.holder_of("e0")
    side = [holder, *world.askers()[:2]]
    rest = [name for name in world.names if name not in side]
    world.cut_off(side)
    world.press(8.0, path=prefill_world.PATH)
    world.run(AGREEMENT_SECONDS)
    other = world.component(rest[0]).holder_of("e0")
    assert other in rest
    since = world.now
    world.run(6.0)
    assert world.queue("e0", holder) is not None
    assert world.queue("e0", other) is not None
    engine = world.servers["e0"]
    assert engine.worst_backlog(since) <= backlog_allowed(2)
    world.heal()
    world.run(AGREEMENT_SECONDS)
    since = world.now
    world.run(4.0)
    assert engine.worst_backlog(since) <= backlog_allowed()


@pytest.mark.parametrize("how", ["killed", "frozen", "cut off"])
def test_prompts_of_a_lost_asker_are_dropped(how):
    world = prefill_world.PrefillWorld()
    asker = waiting_asker(world)
    lose_holder(world, asker, how)
    world.run(prefill_queue.ASK_TTL_SECONDS + 2 * TICK_SECONDS)
    assert world.backlog("e0") == 0
    third = next(name for name in world.askers() if name != asker)
    world.call(third)
    world.run(0.1)
    assert world.asks(third).grants_used >= 1


def test_grants_that_came_during_a_freeze_are_ended():
    world = prefill_world.PrefillWorld()
    asker = waiting_asker(world)
    world.freeze(asker)
    world.run(3.0)
    world.thaw(asker)
    world.run(0.5)
    assert len(world.servers["e0"].arrivals) == 1
    assert world.backlog("e0") == 0
    assert not world.asks(asker)._by_number


def test_a_restarted_engine_has_an_empty_queue():
    world = prefill_world.PrefillWorld()
    waiting_asker(world)
    world.restart_server("e0")
    world.run(0.6)
    assert world.backlog("e0") <= prefill_world.PROMPT_TOKENS
    assert world.queue("e0").epoch == 2


def test_an_ask_for_an_earlier_start_of_an_engine_is_not_held():
    world = prefill_world.PrefillWorld()
    world.restart_server("e0")
    world.run(1.0)
    holder = world.nodes[world.holder_of("e0")]
    asker = world.nodes[world.askers()[0]]
    ask = prefill_messages.PrefillAsk("e0", 1, 7, 9000, 2, "large", 0.0, 0.5)
    message = events.PeerMessageReceived(world._sender(asker), Asks([ask]))
    out = holder.reducer.apply(message, world.now)
    answers = [
        grant
        for effect in out
        if isinstance(effect, effects.SendPeer)
        for grant in effect.message.grants
    ]
    assert [(item.number, item.holding) for item in answers] == [(7, False)]
    assert world.queue("e0") is None


def test_all_queues_start_empty_after_a_loss_of_all_power():
    world = prefill_world.PrefillWorld()
    waiting_asker(world)
    for name in world.names:
        world.kill(name)
    for name in world.names:
        world.restart(name)
    world.run(prefill_world.JOIN_SECONDS)
    world.start_server(prefill_world.Engine("e0", "a"))
    assert world.queue("e0") is None
    asker = world.askers()[0]
    world.call(asker)
    world.run(0.1)
    assert world.asks(asker).grants_used == 1


def test_an_instance_that_starts_again_uses_numbers_anew():
    # Otherwise the holder would answer the new prompt as the one that the
    # earlier start had ended, and it would never be granted.
    world = prefill_world.PrefillWorld()
    asker = world.askers()[0]
    world.call(asker)
    world.run(0.1)
    world.kill(asker)
    world.restart(asker)
    world.run(0.3)
    world.start_server(world.servers["e0"])
    world.call(asker)
    world.run(0.4)
    assert world.asks(asker).grants_used == 1


def test_a_service_without_prefill_queues_causes_no_messages():
    class TolerantWorld(prefill_world.PrefillWorld):
        target_seconds = 2.0

    world = TolerantWorld(engines=ENGINES)
    world.press(8.0, path=prefill_world.PATH)
    world.run(3.0)
    assert sum(world.sent.values()) > 10
    assert not world.sent_kinds & {Asks, Grants}
    for name in world.names:
        state = world.nodes[name].state
        assert not state.held_queues.contents
        assert not prefill_views.gauges(state, world.now)


@pytest.mark.parametrize("count", [6, 18])
def test_all_instances_learn_the_pace_that_the_holder_measured(count):
    # 18 instances report loads through relays, 6 to one another.
    world = prefill_world.PrefillWorld(count, ENGINES)
    world.press(12.0, path=prefill_world.PATH)
    world.run(6.0)
    server = max(
        world.servers.values(), key=lambda item: len(item.arrivals)
    ).name
    for name in world.names:
        state = world.nodes[name].state
        pace = state.prefill.held_paces.get(server)
        pace = pace or state.loads.pace(server)
        assert pace == pytest.approx(prefill_world.PACE, rel=0.15)


def test_long_queues_are_logged_once_a_second_and_counted():
    world = prefill_world.PrefillWorld()
    world.press(12.0, path="/urgent/")
    world.run(5.0)
    lines = world.logged("prefill queue is long")
    assert 1 <= len(lines) <= 5
    assert lines[0].fields["backend_server"] == "e0"
    assert lines[0].fields["seconds"] > 1.0
    state = world.nodes[world.holder_of("e0")].state
    found = prefill_views.gauges(state, world.now)
    assert found["prefill_queues_held"] == 1
    assert found["prefill_queue_longest_tokens"] > 0
    assert found["prefill_queue_longest_seconds"] > 0.0


def test_the_dispatch_line_names_the_holder_and_the_wait():
    world = prefill_world.PrefillWorld()
    waiting_asker(world)
    world.run(0.5)
    fields = dispatched(world)
    assert fields["holder"] == world.holder_of("e0")
    assert fields["asked"] == 1
    assert 100.0 < fields["queued_ms"] < 300.0
