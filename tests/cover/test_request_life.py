"""The outcome that a request is given, over the pure reducer."""

import hashlib
import random

import msgspec
import pytest

import dandeliontrail
from dandeliontrail.components import life
from dandeliontrail.decisions import baselines
from dandeliontrail.decisions import work
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail.resources import announcements
from dandeliontrail.resources import changes

KEY_HASH = "sha256:" + hashlib.sha256(b"k").hexdigest()


def put(kind, name, spec):
    raw = msgspec.Raw(msgspec.json.encode(spec))
    return changes.Operation(changes.Verb.PUT, kind, name, raw)


def make_reducer(repeatable=True, servers=("e1", "e2"), policy=None):
    identity = dandeliontrail.Identity("i1", "fd1", "r1", 1)
    reducer = dandeliontrail.new_reducer(
        identity, random.Random(0), policy=policy
    )
    change = changes.Change(
        "op",
        [
            put("backendpools", "all", {}),
            put(
                "requestclasses",
                "lookup",
                {"pools": ["all"], "repeatable": repeatable},
            ),
            put(
                "organisations",
                "lab",
                {"keys": [KEY_HASH], "default_class": "lookup"},
            ),
        ],
    )
    reducer.apply(events.WriteSubmitted("w", change), 0.0)
    for name in servers:
        announcement = announcements.Announcement(
            name, 1, 1, "model_engine", "http://x", slots=1
        )
        announcement.models = [announcements.Model("small")]
        reducer.apply(events.Announced(announcement), 0.0)
    return reducer


def receive(reducer, request_id="r1"):
    event = events.RequestReceived(request_id, KEY_HASH, "", model="small")
    return reducer.apply(event, 0.1)


def only(out, kind):
    return [item for item in out if isinstance(item, kind)]


def test_refused_connection_is_tried_elsewhere_and_then_not_run():
    # A caller sees 503 "not-run" although engines are announced.  Both
    # engines refuse the connection, so no byte was sent to either.
    reducer = make_reducer(repeatable=False)
    (first,) = only(receive(reducer), effects.Dispatch)
    out = reducer.apply(events.NotBegun("r1", 1, False), 0.2)
    (second,) = only(out, effects.Dispatch)
    assert {first.backend_server, second.backend_server} == {"e1", "e2"}
    reducer.apply(events.NotBegun("r1", 2, False), 0.3)
    (refusal,) = only(reducer.tick(10_000.0), effects.Refuse)
    assert refusal.outcome == "not-run"


def test_does_not_run_a_non_repeatable_request_twice():
    # Two furan summaries on one report: the engine broke off after it had
    # begun, and the router sent the request to another engine.
    reducer = make_reducer(repeatable=False)
    receive(reducer)
    reducer.apply(events.AttemptBegan("r1", 1), 0.2)
    out = reducer.apply(events.AttemptFailed("r1", 1, 0, "reset"), 0.3)
    assert not only(out, effects.Dispatch)
    (refusal,) = only(out, effects.Refuse)
    assert refusal.outcome == "unknown"


def test_can_repeat_a_repeatable_request_that_broke_off():
    # The engine crashed before the first token; the caller notices nothing.
    reducer = make_reducer()
    receive(reducer)
    reducer.apply(events.AttemptBegan("r1", 1), 0.2)
    out = reducer.apply(events.AttemptFailed("r1", 1, 0, "reset"), 0.3)
    assert only(out, effects.Dispatch)


def test_a_request_that_took_two_attempts_is_counted_once():
    reducer = make_reducer()
    receive(reducer)
    reducer.apply(events.AttemptBegan("r1", 1), 0.2)
    reducer.apply(events.AttemptFailed("r1", 1, 5, "reset"), 0.3)
    reducer.apply(events.AttemptBegan("r1", 2), 0.4)
    reducer.apply(events.AnswerFinished("r1", 2, 100, 20), 0.5)
    used = reducer.state.usage.used_by("lab")
    assert used.requests == 1
    assert (used.prompt_tokens, used.output_tokens) == (100, 20)
    assert used.wasted_tokens == 5


def test_late_answer_of_an_abandoned_attempt_is_dropped():
    # An answer arrives after its request went to another engine: it must
    # not be taken for the second engine's answer.
    reducer = make_reducer()
    receive(reducer)
    reducer.apply(events.AttemptBegan("r1", 1), 0.2)
    reducer.apply(events.AttemptFailed("r1", 1, 0, "reset"), 0.3)
    assert reducer.apply(events.AnswerFinished("r1", 1), 0.4) == []


def test_not_run_cannot_be_said_of_work_that_may_have_begun():
    item = work.Work("r1", "lab", "lookup", "small", "", 0, 0.0, 1.0)
    held = life.Life(item)
    held.move(life.Phase.QUEUED)
    held.move(life.Phase.DISPATCHED)
    held.begin()
    with pytest.raises(dandeliontrail.InvariantBroken):
        held.move(life.Phase.NOT_RUN)


class StalePolicy(baselines.PriorityLeastOutstanding):
    """Goes on giving work to a server that it once picked."""

    def _pick(self, item, now, directory):
        return "e1"


def test_a_server_that_left_gets_nothing_whatever_the_policy_says():
    # A server says that it leaves; a policy that kept its name in a list
    # still picks it.  The request must fail loudly, not reach the server.
    reducer = make_reducer(policy=StalePolicy())
    gone = announcements.Announcement(
        "e1", 1, 2, "model_engine", "http://x", leaving=True
    )
    reducer.apply(events.Announced(gone), 0.05)
    with pytest.raises(dandeliontrail.InvariantBroken):
        receive(reducer)
