"""Failures of messages, holders, engines and callers, as an asker meets them.

An ask that waits for nobody keeps an engine idle; a prompt that waits for a
holder that is gone is late.
"""

import pytest

from dandeliontrail.coordination import prefill_messages
from dandeliontrail.decisions import holder_silence
from dandeliontrail.decisions import permit_issuer
from dandeliontrail.decisions import prefill_asks
from dandeliontrail.decisions import prefill_queue
from dandeliontrail.decisions import work as work_module

TOKENS = 17_000
ASKER = permit_issuer.Asker("i1", 1, "a")
OTHER = permit_issuer.Asker("i2", 1, "b")


def work_of(request_id="r1", received=0.0):
    return work_module.Work(
        request_id,
        "acme",
        "review",
        "",
        "llm",
        2,
        received,
        received + 10.0,
        prompt_tokens=TOKENS,
        first_token_ms=2000.0,
        route_priority=2,
    )


class Exchange:
    """One asker and the queue of one engine; ``now`` is their clock.

    ``is_up`` is false while the holder receives nothing.
    """

    def __init__(self):
        self.asks = prefill_asks.PrefillAsks()
        self.queue = prefill_queue.PrefillQueue(1, 0.0, 50_000.0)
        self.now = 0.0
        self.is_up = True

    def begin(self, request_id="r1", server="e1", epoch=1):
        work = work_of(request_id, self.now)
        self.asks.begin(work, server, epoch, TOKENS, self.now)

    def send(self):
        """Deliver what is due; return the answers and grants on the way."""
        message = self.asks.due(self.now).get("e1")
        if message is None or not self.is_up:
            return []
        return self.handle(message)

    def handle(self, message, asker=ASKER):
        for end in message.ends:
            self.queue.end(asker, end.number, end.prefilled, self.now)
        for ask in message.asks:
            self.queue.ask(asker, ask, self.now)
        issued = [
            self.queue.answer(ASKER, item.number, self.now)
            for item in self.queue.issue(self.now)
            if item.asker == ASKER
        ]
        answers = [
            self.queue.answer(asker, ask.number, self.now)
            for ask in message.asks
        ]
        return issued + answers

    def receive(self, grants):
        for grant in grants:
            self.asks.receive(grant, self.now)

    def fill(self, number=1):
        """Have another instance's prompt fill the engine."""
        ask = prefill_messages.PrefillAsk(
            "e1", 1, number, TOKENS, 2, "acme", 0.0, 2.0
        )
        self.handle(prefill_messages.PrefillAsks([ask]), OTHER)

    def empty(self, number=1):
        """Have the other instance's prompt be prefilled."""
        end = prefill_messages.PrefillEnd("e1", number, True)
        return self.handle(prefill_messages.PrefillAsks([], [end]), OTHER)

    def run(self, seconds):
        """Exchange messages without a loss for a while."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = round(self.now + 0.05, 3)
            self.queue.remove_expired(self.now)
            self.receive(self.send())


def begun(granted=True):
    """Return an exchange with one prompt, which is granted or waits."""
    exchange = Exchange()
    if not granted:
        exchange.fill()
    exchange.begin()
    exchange.receive(exchange.send())
    assert (exchange.asks.granted("r1") == "e1") is granted
    return exchange


def test_a_lost_ask_is_repeated_before_its_holder_counts_as_silent():
    exchange = Exchange()
    exchange.begin()
    exchange.is_up = False
    exchange.send()
    exchange.is_up = True
    exchange.run(0.1)
    assert exchange.asks.granted("r1") == "e1"
    assert exchange.asks.is_held("e1", exchange.now)


def test_an_instance_decides_on_its_own_while_a_holder_is_silent():
    exchange = begun(granted=False)
    exchange.is_up = False
    exchange.run(0.9)
    assert not exchange.asks.is_held("e1", exchange.now)
    assert not exchange.asks.of("r1")
    assert exchange.asks.backlog("e1", exchange.now) is None
    assert exchange.asks.asked_tokens("e1") == 0
    assert [item.is_silent for item in exchange.asks.silence.take_changes()]


def test_a_holder_that_returns_is_asked_again_after_a_second():
    exchange = begun(granted=False)
    exchange.is_up = False
    exchange.run(0.9)
    exchange.asks.silence.take_changes()
    exchange.is_up = True
    exchange.run(holder_silence.SILENCE_SECONDS)
    assert exchange.asks.is_held("e1", exchange.now)
    exchange.begin("r2")
    exchange.receive(exchange.send())
    assert exchange.asks.granted("r2") == "e1"
    changes = exchange.asks.silence.take_changes()
    assert [item.is_silent for item in changes] == [False]


def test_a_prompt_sent_without_a_holder_is_made_known_to_it():
    exchange = Exchange()
    exchange.asks.silence.begin("e1", exchange.now)
    exchange.asks.record_unheld(work_of(), "e1", 1, TOKENS, exchange.now)
    assert exchange.asks.asked_tokens("e1") == 0
    exchange.receive(exchange.send())
    assert exchange.queue.backlog() == TOKENS
    exchange.asks.prefilled("r1", "e1", exchange.now)
    exchange.send()
    assert exchange.queue.backlog() == 0


def test_an_instance_that_holds_no_queue_counts_as_a_silent_holder():
    exchange = Exchange()
    exchange.begin()
    exchange.asks.due(exchange.now)
    answer = prefill_messages.PrefillGrant("e1", 1, 1, False, holding=False)
    exchange.receive([answer])
    assert not exchange.asks.is_held("e1", exchange.now)
    assert not exchange.asks.of("r1")
    assert exchange.asks.unheld == 1


def test_a_lost_grant_comes_with_the_next_renewal():
    exchange = begun(granted=False)
    lost = exchange.empty()
    assert lost[0].granted
    exchange.run(0.4)
    assert exchange.asks.granted("r1") is None
    exchange.run(prefill_asks.RENEWAL_SECONDS - 0.4)
    assert exchange.asks.granted("r1") == "e1"


@pytest.mark.parametrize("prefilled", (True, False))
def test_a_duplicate_grant_does_not_end_a_prompt_that_was_sent(prefilled):
    exchange = begun()
    grant = exchange.queue.answer(ASKER, 1, exchange.now)
    exchange.asks.take("r1", "e1", exchange.now)
    exchange.receive([grant])
    assert exchange.asks.due(exchange.now) == {}
    if prefilled:
        exchange.asks.prefilled("r1", "e1", exchange.now)
    else:
        exchange.asks.ended("r1", "e1", exchange.now)
    ends = exchange.asks.due(exchange.now)["e1"].ends
    assert ends == [prefill_messages.PrefillEnd("e1", 1, prefilled)]


def test_a_grant_after_the_caller_has_gone_is_given_back():
    exchange = begun(granted=False)
    exchange.asks.withdraw("r1")
    late = exchange.empty()
    assert late[0].granted
    exchange.now += 0.01
    exchange.send()
    exchange.receive(late)
    message = exchange.asks.due(exchange.now)["e1"]
    assert message.ends == [prefill_messages.PrefillEnd("e1", 1, False)]
    assert exchange.queue.backlog() == 0


def test_a_request_that_leaves_frees_the_engine_and_the_reported_load():
    exchange = begun()
    exchange.asks.withdraw("r1")
    exchange.send()
    assert exchange.queue.backlog() == 0
    assert exchange.asks.asked_tokens("e1") == 0
    assert not exchange.asks.of("r1")


def test_the_other_asks_end_when_one_is_granted():
    exchange = begun(granted=False)
    exchange.begin(server="e2")
    exchange.asks.due(exchange.now)
    grant = prefill_messages.PrefillGrant("e2", 1, 2, True)
    exchange.receive([grant])
    assert exchange.asks.granted("r1") == "e2"
    exchange.asks.take("r1", "e2", exchange.now)
    exchange.send()
    assert exchange.queue.backlog() == TOKENS
    assert exchange.asks.asked_tokens("e1") == 0
    assert exchange.asks.asked_tokens("e2") == 0


def test_a_lost_end_is_repeated():
    exchange = begun()
    exchange.asks.take("r1", "e1", exchange.now)
    exchange.asks.prefilled("r1", "e1", exchange.now)
    exchange.is_up = False
    exchange.send()
    exchange.is_up = True
    exchange.run(0.1)
    assert exchange.queue.backlog() == 0


def test_a_prompt_in_prefill_is_renewed_for_the_next_holder():
    exchange = begun()
    exchange.asks.take("r1", "e1", exchange.now)
    exchange.queue = prefill_queue.PrefillQueue(1, exchange.now, 50_000.0)
    exchange.run(prefill_asks.RENEWAL_SECONDS)
    assert exchange.queue.backlog() == TOKENS
    exchange.begin("r2")
    exchange.receive(exchange.send())
    assert exchange.asks.granted("r2") is None


def test_holders_are_not_silent_because_their_asker_was_frozen():
    exchange = Exchange()
    exchange.begin()
    answers = exchange.send()
    exchange.now += 5.0
    exchange.asks.check_silence(exchange.now)
    assert exchange.asks.is_held("e1", exchange.now)
    exchange.receive(answers)
    assert exchange.asks.granted("r1") == "e1"


def test_grants_that_came_during_a_freeze_are_given_back():
    exchange = begun(granted=False)
    during_freeze = exchange.empty()
    exchange.now += 11.0
    exchange.asks.withdraw("r1")
    exchange.receive(during_freeze)
    exchange.send()
    assert exchange.queue.backlog() == 0


def test_a_restarted_engine_is_asked_anew():
    exchange = begun()
    old_grant = exchange.queue.answer(ASKER, 1, exchange.now)
    exchange.asks.take("r1", "e1", exchange.now)
    exchange.begin("r2")
    exchange.asks.forget_server("e1")
    assert exchange.asks.due(exchange.now) == {}
    assert exchange.asks.asked_tokens("e1") == 0
    exchange.begin("r3", epoch=2)
    exchange.receive([old_grant])
    exchange.receive(exchange.send())
    assert exchange.asks.granted("r3") == "e1"
    assert exchange.queue.backlog() == TOKENS


def test_an_answer_of_an_older_epoch_makes_no_holder_silent():
    exchange = Exchange()
    exchange.begin(epoch=1)
    exchange.asks.due(exchange.now)
    exchange.asks.forget_server("e1")
    exchange.begin("r2", epoch=2)
    stale = prefill_messages.PrefillGrant("e1", 1, 1, False, holding=False)
    exchange.receive([stale])
    assert exchange.asks.is_held("e1", exchange.now)


def test_what_was_asked_since_an_answer_counts_as_backlog():
    exchange = begun(granted=False)
    assert exchange.asks.backlog("e1", exchange.now) == 2 * TOKENS
    exchange.begin("r2")
    assert exchange.asks.backlog("e1", exchange.now) == 3 * TOKENS
    exchange.now += prefill_asks.BACKLOG_TTL_SECONDS + 0.1
    assert exchange.asks.backlog("e1", exchange.now) is None


def test_a_holder_that_stays_silent_is_tried_less_and_less_often():
    # Guards against prompts that wait in vain for it once a second.
    silence = holder_silence.HolderSilence()
    now = 0.0
    lengths = []
    for _ in range(5):
        silence.begin("e1", now)
        began = now
        while silence.is_silent("e1", now):
            now += 0.25
        lengths.append(now - began)
    assert lengths == [1.0, 2.0, 4.0, 8.0, 8.0]
    silence.record_answer("e1", now)
    silence.begin("e1", now)
    assert not silence.is_silent("e1", now + 1.0)


def test_an_instance_that_nobody_answers_asks_few_holders():
    # Guards against one wait in vain for each prompt of an instance that is
    # cut off: it seldom asks for the same engine twice.
    silence = holder_silence.HolderSilence()
    silence.begin("e1", 0.0)
    silence.begin("e2", 0.1)
    assert not silence.is_silent("e9", 0.2)
    silence.begin("e3", 0.2)
    assert silence.is_silent("e9", 1.1)
    assert not silence.is_silent("e9", 1.3)
    silence.begin("e4", 1.3)
    assert silence.is_silent("e9", 3.2)
    silence.record_answer("e5", 3.25)
    assert not silence.is_silent("e9", 3.25)
