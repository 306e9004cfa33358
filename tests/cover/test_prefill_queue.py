"""Instances overload an engine, share it unfairly or leave it idle."""

import pytest

from dandeliontrail.coordination import prefill_messages
from dandeliontrail.decisions import permit_issuer
from dandeliontrail.decisions import prefill_outstanding
from dandeliontrail.decisions import prefill_pace
from dandeliontrail.decisions import prefill_queue
from dandeliontrail.decisions import prefill_usage

PACE = prefill_pace.TYPICAL_PACE
# Takes the engine 0.1 s.
TOKENS = 5_000
FIRST = permit_issuer.Asker("i1", 1, "10.0.0.1:1")
SECOND = permit_issuer.Asker("i2", 1, "10.0.0.2:1")
TTL = prefill_queue.ASK_TTL_SECONDS


def make_queue(epoch=1, least_urgent_step=0):
    return prefill_queue.PrefillQueue(epoch, 0.0, PACE, least_urgent_step)


def make_ask(number, tokens=TOKENS, step=0, organisation="o1", **fields):
    values = {"epoch": 1, "waited": 0.0, "target_left": 100.0} | fields
    return prefill_messages.PrefillAsk(
        "e1", values.pop("epoch"), number, tokens, step, organisation, **values
    )


def issue(queue, now=0.0):
    """Return the numbers of the prompts that are granted."""
    return [issued.number for issued in queue.issue(now)]


def serve_all(queue, now=0.0):
    """Prefill everything at the typical pace; return the order of grants."""
    order = []
    while issued := queue.issue(now):
        for item in issued:
            order.append(item.number)
        for item in issued:
            now += TOKENS / PACE
            queue.end(item.asker, item.number, True, now)
    return order


def fill(queue, now=0.0):
    """Grant a prompt that leaves no room, so that all others wait."""
    tokens = int(10 * prefill_outstanding.ROOM_SECONDS * PACE)
    queue.ask(SECOND, make_ask(999, tokens, organisation="filler"), now)
    assert issue(queue, now) == [999]


def withdraw_filler(queue, now):
    queue.end(SECOND, 999, False, now)


def test_the_engine_gets_no_more_than_it_has_room_for():
    queue = make_queue()
    for number in range(5):
        queue.ask(FIRST, make_ask(number), 0.0)
    assert issue(queue) == [0, 1]
    assert issue(queue) == []
    queue.end(FIRST, 0, True, 0.1)
    assert issue(queue, 0.1) == [2]


def test_a_prompt_that_exceeds_the_room_is_granted_alone():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1, 40_000), 0.0)
    queue.ask(FIRST, make_ask(2), 0.0)
    assert issue(queue) == [1]


def test_small_prompts_do_not_starve_a_large_one():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1), 0.0)
    assert issue(queue) == [1]
    queue.ask(FIRST, make_ask(2, 40_000), 0.01)
    queue.ask(FIRST, make_ask(3, 2_000), 0.02)
    assert issue(queue, 0.02) == []
    queue.end(FIRST, 1, True, 0.1)
    assert issue(queue, 0.1) == [2]


def test_more_urgent_steps_have_more_room_and_come_first():
    queue = make_queue(least_urgent_step=2)
    for number in range(4):
        queue.ask(FIRST, make_ask(number, step=2), 0.0)
    assert issue(queue) == [0, 1]
    for number in range(10, 20):
        queue.ask(FIRST, make_ask(number, step=0), 0.0)
    granted = issue(queue)
    assert granted == [10, 11, 12, 13, 14, 15, 16]


def test_the_least_urgent_step_of_the_service_may_change():
    queue = make_queue()
    for number in range(9):
        queue.ask(FIRST, make_ask(number), 0.0)
    assert len(issue(queue)) == 2
    queue.least_urgent_step = 1
    assert len(issue(queue)) == 3


def test_less_urgent_prompts_are_not_starved():
    queue = make_queue(least_urgent_step=1)
    fill(queue)
    for number in range(60):
        queue.ask(FIRST, make_ask(number, step=0), 0.0)
    for number in range(100, 103):
        queue.ask(FIRST, make_ask(number, step=1), 0.0)
    withdraw_filler(queue, 0.1)
    order = serve_all(queue, 0.1)
    places = [place for place, number in enumerate(order) if number >= 100]
    assert len(order) == 63
    assert places[0] in (18, 19)
    assert places[1] == places[0] + 20


def test_a_less_urgent_prompt_does_not_hold_up_the_more_urgent_ones():
    queue = make_queue(least_urgent_step=2)
    queue.ask(FIRST, make_ask(100, step=2), 0.0)
    queue.ask(FIRST, make_ask(200, 20_000, step=1, granted=True), 0.0)
    for number in range(30):
        queue.ask(FIRST, make_ask(number, step=0), 0.0)
    granted = issue(queue)
    for number in range(20):
        now = (number + 1) * TOKENS / PACE
        queue.end(FIRST, number, True, now)
        next_granted = issue(queue, now)
        # Nothing waits until there is room for a less urgent prompt.
        assert next_granted
        granted += next_granted
    assert 100 in granted


def test_prompts_that_miss_their_target_wait_for_those_that_can_meet_it():
    queue = make_queue()
    fill(queue)
    queue.ask(FIRST, make_ask(1, target_left=0.05), 0.0)
    queue.ask(FIRST, make_ask(2, target_left=3.0), 0.01)
    withdraw_filler(queue, 0.1)
    assert issue(queue, 0.1)[0] == 2


def test_a_prompt_that_has_become_late_meanwhile_waits_too():
    queue = make_queue()
    fill(queue)
    queue.ask(FIRST, make_ask(1, target_left=1.0), 0.0)
    queue.ask(FIRST, make_ask(2, target_left=5.0), 0.01)
    withdraw_filler(queue, 1.0)
    assert issue(queue, 1.0)[0] == 2


def test_a_renewal_corrects_the_target_of_an_ask_that_was_delayed():
    queue = make_queue()
    fill(queue)
    queue.ask(FIRST, make_ask(1, target_left=1.0), 0.3)
    queue.ask(FIRST, make_ask(1, target_left=0.55, waited=0.5), 0.5)
    queue.ask(FIRST, make_ask(2, target_left=5.0), 0.5)
    # The first prompt would have to be granted by 0.93 s.
    withdraw_filler(queue, 1.0)
    assert issue(queue, 1.0)[0] == 2


def test_a_prompt_is_late_if_it_is_behind_those_that_were_granted():
    queue = make_queue()
    for number in range(2):
        queue.ask(FIRST, make_ask(number), 0.0)
    assert issue(queue) == [0, 1]
    # It takes 0.1 s itself, after 0.2 s of those before.
    queue.ask(FIRST, make_ask(2, target_left=0.25), 0.0)
    queue.ask(FIRST, make_ask(3, target_left=0.5), 0.0)
    queue.end(FIRST, 0, True, 0.1)
    assert issue(queue, 0.1) == [3]


def test_late_prompts_are_in_time_again_when_the_engine_recovers():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1), 0.0)
    assert issue(queue) == [1]
    queue.ask(FIRST, make_ask(2, target_left=6.0), 0.0)
    queue.issue(4.0)
    queue.ask(FIRST, make_ask(3, target_left=60.0), 4.1)
    queue.end(FIRST, 1, False, 4.2)
    assert issue(queue, 4.2)[0] == 2


def test_a_flooding_organisation_does_not_delay_another():
    queue = make_queue()
    for number in range(50):
        queue.ask(FIRST, make_ask(number, organisation="flood"), 0.0)
    granted = issue(queue)
    queue.ask(SECOND, make_ask(100, organisation="calm"), 0.1)
    assert queue.answer(SECOND, 100, 0.1).ahead == TOKENS * len(granted)
    queue.end(FIRST, granted[0], True, 0.1)
    assert issue(queue, 0.1) == [100]


def test_an_organisation_pays_only_for_what_is_prefilled():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1, 40_000, organisation="o1"), 0.0)
    queue.ask(FIRST, make_ask(2, organisation="o1"), 0.0)
    assert issue(queue) == [1]
    queue.ask(SECOND, make_ask(3, organisation="o2"), 0.01)
    queue.end(FIRST, 1, False, 0.02)
    assert issue(queue, 0.02) == [2, 3]


def test_what_an_organisation_was_granted_is_forgotten_within_seconds():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1, 40_000, organisation="o1"), 0.0)
    assert issue(queue) == [1]
    queue.end(FIRST, 1, True, 0.8)
    queue.ask(FIRST, make_ask(2, 1_000, organisation="o2"), 20.0)
    assert issue(queue, 20.0) == [2]
    queue.ask(FIRST, make_ask(3, 20_000, organisation="o1"), 20.0)
    queue.ask(FIRST, make_ask(4, 20_000, organisation="o2"), 20.0)
    queue.end(FIRST, 2, True, 20.1)
    assert issue(queue, 20.1) == [3]


@pytest.mark.parametrize("spacing", [1.0, 7.0, 45.0, 10_000.0])
def test_usage_is_halved_every_two_seconds_however_old_the_queue(spacing):
    usage = prefill_usage.DecayedUsage(0.0)
    times = [spacing * count for count in range(60)]
    for at in times:
        usage.charge("o1", 10_000, at)
    now = times[-1] + 3.0
    expected = sum(10_000 * 0.5 ** ((now - at) / 2.0) for at in times)
    assert usage.tokens("o1", now) == pytest.approx(expected, abs=1.0)
    # An idle queue is asked about long after the last grant.
    assert usage.tokens("o1", now + 10_000.0) == pytest.approx(0.0)


def test_the_answer_says_what_is_ahead():
    queue = make_queue(least_urgent_step=1)
    fill(queue)
    filled = queue.backlog()
    queue.ask(FIRST, make_ask(1, step=1), 0.0)
    queue.ask(FIRST, make_ask(2, step=1), 0.01)
    queue.ask(FIRST, make_ask(3, step=0), 0.02)
    answers = [queue.answer(FIRST, number, 0.02) for number in (1, 2, 3)]
    assert [answer.ahead for answer in answers] == [
        filled + TOKENS,
        filled + 2 * TOKENS,
        filled,
    ]
    assert {answer.backlog for answer in answers} == {filled + 3 * TOKENS}
    assert {answer.pace for answer in answers} == {int(PACE)}
    assert not any(answer.granted for answer in answers)


def test_the_answer_foresees_the_turns_of_the_organisations():
    queue = make_queue()
    fill(queue)
    number = 0
    for organisation in ("o1", "o2", "o3"):
        for _ in range(4):
            number += 1
            ask = make_ask(number, organisation=organisation)
            queue.ask(FIRST, ask, 0.001 * number)
    filled = 10 * prefill_outstanding.ROOM_SECONDS * PACE
    foreseen = {
        number: (queue.answer(FIRST, number, 0.02).ahead - filled) / TOKENS
        for number in range(1, 13)
    }
    withdraw_filler(queue, 0.02)
    order = serve_all(queue, 0.02)
    for place, number in enumerate(order):
        assert foreseen[number] == pytest.approx(place, abs=2)


# The failures of the page's table.


def test_a_lost_grant_is_given_again_by_the_renewal():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1), 0.0)
    assert issue(queue) == [1]
    queue.ask(FIRST, make_ask(1, waited=0.5), 0.5)
    answer = queue.answer(FIRST, 1, 0.5)
    assert answer.granted and answer.holding
    assert queue.backlog() == TOKENS
    assert issue(queue, 0.5) == []
    # The time in which the grant was lost is not taken for the engine's.
    assert queue.pace(0.6) == PACE
    queue.end(FIRST, 1, True, 0.6)
    assert queue.pace(0.6) == PACE


def test_a_prompt_whose_end_is_lost_is_dropped():
    queue = make_queue()
    fill(queue)
    queue.ask(FIRST, make_ask(1), 1.0)
    queue.remove_expired(TTL)
    assert issue(queue, TTL) == []
    queue.remove_expired(TTL + 0.01)
    assert issue(queue, TTL + 0.01) == [1]


def test_a_killed_asker_leaves_nothing():
    queue = make_queue()
    for number in range(5):
        queue.ask(FIRST, make_ask(number), 0.0)
    queue.issue(0.0)
    queue.remove_expired(TTL + 0.01)
    assert queue.backlog() == 0
    assert len(queue) == 0


def test_the_prompts_of_a_forgotten_asker_are_dropped_at_once():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1), 0.0)
    queue.ask(FIRST, make_ask(2), 0.0)
    queue.ask(SECOND, make_ask(2), 0.0)
    queue.issue(0.0)
    # The news that an earlier start is gone arrives late.
    queue.forget_asker("i1", incarnation=0)
    assert len(queue) == 3
    queue.forget_asker("i1")
    assert len(queue) == 1
    assert queue.backlog() == TOKENS


def test_duplicated_asks_count_once():
    queue = make_queue()
    for _ in range(3):
        queue.ask(FIRST, make_ask(1), 0.0)
    assert queue.backlog() == TOKENS
    assert issue(queue) == [1]
    queue.ask(FIRST, make_ask(1), 0.05)
    assert queue.backlog() == TOKENS
    assert issue(queue, 0.05) == []


def test_duplicated_ends_count_once():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1, 10_000), 0.0)
    queue.issue(0.0)
    for at in (0.2, 0.3, 0.4):
        queue.end(FIRST, 1, True, at)
    assert queue.backlog() == 0
    assert queue.pace(0.4) == pytest.approx(PACE)


def test_a_late_copy_of_an_ask_does_not_revive_an_ended_prompt():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1), 0.0)
    queue.issue(0.0)
    queue.end(FIRST, 1, True, 0.1)
    for granted in (False, True):
        queue.ask(FIRST, make_ask(1, waited=0.05, granted=granted), 0.8)
        assert queue.backlog() == 0
        answer = queue.answer(FIRST, 1, 0.8)
        assert answer.holding and not answer.granted


def test_an_end_that_overtakes_its_ask_ends_it():
    queue = make_queue()
    queue.end(FIRST, 1, False, 0.0)
    queue.ask(FIRST, make_ask(1), 0.1)
    assert queue.backlog() == 0


def test_a_withdrawn_prompt_may_be_asked_for_again():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1), 0.0)
    queue.end(FIRST, 1, False, 0.1)
    queue.ask(FIRST, make_ask(1, waited=1.1), 1.1)
    assert issue(queue, 1.1) == [1]


def test_a_new_holder_rebuilds_the_queue_from_renewals():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1, waited=0.3), 0.0)
    queue.ask(FIRST, make_ask(2, waited=0.9, granted=True), 0.0)
    queue.ask(SECOND, make_ask(3, waited=0.6), 0.0)
    queue.ask(SECOND, make_ask(4, waited=0.8, granted=True), 0.0)
    assert issue(queue) == []
    assert queue.backlog() == 4 * TOKENS
    assert queue.answer(SECOND, 4, 0.0).granted
    queue.end(FIRST, 2, True, 0.01)
    assert issue(queue, 0.01) == [3]
    # When the prompts were granted is unknown, so they measure nothing.
    assert queue.known_pace(0.01) is None


def test_a_grant_of_another_holder_uses_room_here_too():
    queue = make_queue()
    fill(queue)
    queue.ask(FIRST, make_ask(1), 0.0)
    before = queue.backlog()
    queue.ask(FIRST, make_ask(1, waited=0.5, granted=True), 0.5)
    assert queue.backlog() == before
    assert queue.answer(FIRST, 1, 0.5).granted
    queue.end(FIRST, 1, True, 0.6)
    assert queue.backlog() == before - TOKENS


def test_a_new_start_of_an_asker_replaces_its_prompts():
    queue = make_queue()
    restarted = permit_issuer.Asker("i1", 2, "10.0.0.1:1")
    for number in range(5):
        queue.ask(FIRST, make_ask(number), 0.0)
    queue.issue(0.0)
    queue.ask(restarted, make_ask(1), 0.1)
    assert queue.backlog() == TOKENS
    # Late messages of the start before change nothing.
    queue.ask(FIRST, make_ask(7), 0.1)
    queue.end(FIRST, 1, True, 0.1)
    assert queue.backlog() == TOKENS
    assert [item.asker for item in queue.issue(0.1)] == [restarted]
    assert queue.answer(restarted, 1, 0.1).granted
    assert not queue.answer(FIRST, 1, 0.1).granted


def test_a_restarted_engine_starts_with_an_empty_queue():
    queue = make_queue()
    fill(queue)
    queue.ask(FIRST, make_ask(1), 0.0)
    queue.ask(SECOND, make_ask(1, epoch=2), 0.1)
    assert queue.epoch == 2
    assert queue.backlog() == TOKENS
    assert issue(queue, 0.1) == [1]
    queue.ask(FIRST, make_ask(1, waited=0.5), 0.5)
    answer = queue.answer(FIRST, 1, 0.5)
    assert (answer.epoch, answer.holding, answer.granted) == (1, False, False)
    assert queue.backlog() == TOKENS


def test_an_engine_that_stops_answering_gets_no_more():
    queue = make_queue()
    for number in range(5):
        queue.ask(FIRST, make_ask(number), 0.0)
    queue.issue(0.0)
    assert queue.pace(0.2) == PACE
    assert queue.pace(1.0) == TOKENS / 1.0
    queue.end(FIRST, 0, True, 1.0)
    assert issue(queue, 1.0) == []


def test_an_engine_that_prefills_urgent_prompts_first_is_not_slow():
    queue = make_queue(least_urgent_step=1)
    queue.ask(FIRST, make_ask(1, step=1), 0.0)
    assert issue(queue) == [1]
    queue.ask(FIRST, make_ask(2, 17_000, step=0), 0.0)
    assert issue(queue) == [2]
    assert queue.pace(0.34) == PACE


def test_the_answer_follows_what_has_changed():
    queue = make_queue()
    fill(queue)
    for number in range(3):
        queue.ask(FIRST, make_ask(number), 0.0)
    before = queue.answer(FIRST, 2, 0.0).ahead
    queue.end(FIRST, 0, False, 0.1)
    assert queue.answer(FIRST, 2, 0.1).ahead == before - TOKENS


def test_a_queue_without_prompts_becomes_idle():
    queue = make_queue()
    queue.ask(FIRST, make_ask(1), 0.0)
    assert not queue.is_idle(100.0)
    queue.end(FIRST, 1, False, 100.0)
    assert not queue.is_idle(100.0 + prefill_queue.IDLE_SECONDS)
    assert queue.is_idle(100.1 + prefill_queue.IDLE_SECONDS)
