"""Outcomes of requests, tested on the pure reducer."""

import hashlib
import random

import msgspec
import pytest

import dandeliontrail
from dandeliontrail.components import dispatching
from dandeliontrail.components import request_lifecycle
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
    # Both engines refuse the connection, so no byte was sent to either: the
    # caller must get "not-run" although engines are announced.
    reducer = make_reducer(repeatable=False)
    (first,) = only(receive(reducer), effects.Dispatch)
    out = reducer.apply(events.NotBegun("r1", 1, False), 0.2)
    (second,) = only(out, effects.Dispatch)
    assert {first.backend_server, second.backend_server} == {"e1", "e2"}
    reducer.apply(events.NotBegun("r1", 2, False), 0.3)
    (refusal,) = only(reducer.tick(10_000.0), effects.Refuse)
    assert refusal.outcome == "not-run"


def test_does_not_run_a_non_repeatable_request_twice():
    # Guards against a report that contains its summary twice: an engine
    # failed after it had begun, and the request was sent to a second engine.
    reducer = make_reducer(repeatable=False)
    receive(reducer)
    reducer.apply(events.AttemptBegan("r1", 1), 0.2)
    out = reducer.apply(events.AttemptFailed("r1", 1, 0, "reset"), 0.3)
    assert not only(out, effects.Dispatch)
    (refusal,) = only(out, effects.Refuse)
    assert refusal.outcome == "unknown"


def test_repeatable_request_is_retried_after_a_failure():
    # The engine crashes before the first token, which the caller must not
    # notice.
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
    # The first engine answers after the request was retried on another: this
    # must not be mistaken for the second engine's answer.
    reducer = make_reducer()
    receive(reducer)
    reducer.apply(events.AttemptBegan("r1", 1), 0.2)
    reducer.apply(events.AttemptFailed("r1", 1, 0, "reset"), 0.3)
    assert reducer.apply(events.AnswerFinished("r1", 1), 0.4) == []


def test_not_run_cannot_be_reported_once_work_may_have_begun():
    item = work.Work("r1", "lab", "lookup", "small", "", 0, 0.0, 1.0)
    request = request_lifecycle.RequestLifecycle(item)
    request.transition_to(request_lifecycle.Phase.QUEUED)
    request.transition_to(request_lifecycle.Phase.DISPATCHED)
    request.mark_begun()
    with pytest.raises(dandeliontrail.InvariantBroken):
        request.transition_to(request_lifecycle.Phase.NOT_RUN)


class StalePolicy(baselines.PriorityLeastOutstanding):
    """Always picks the same server, even after it has left."""

    def _pick(self, item, now, directory):
        return "e1"


def test_a_leaving_server_gets_no_work_even_if_the_policy_picks_it():
    # A server announces that it leaves, but a policy still picks it from a
    # stale list.  The request must raise an error, not reach the server.
    reducer = make_reducer(policy=StalePolicy())
    gone = announcements.Announcement(
        "e1", 1, 2, "model_engine", "http://x", leaving=True
    )
    reducer.apply(events.Announced(gone), 0.05)
    with pytest.raises(dandeliontrail.InvariantBroken):
        receive(reducer)


class FailedRequests:
    """Collects the requests at which the reducer failed."""

    def __init__(self):
        self.ids = []

    def component_failed(self, failure):
        self.ids.append(failure.request_id)


def fail_to_dispatch(monkeypatch, request_id):
    dispatch = dispatching.dispatch

    def failing(state, request, placement, now):
        if placement.work.request_id == request_id:
            raise KeyError(request_id)
        return dispatch(state, request, placement, now)

    monkeypatch.setattr(dispatching, "dispatch", failing)


def announce(reducer, name):
    announcement = announcements.Announcement(
        name, 1, 1, "model_engine", "http://x", slots=1
    )
    announcement.models = [announcements.Model("small")]
    reducer.apply(events.Announced(announcement), 0.2)


@pytest.mark.parametrize("failing", ["r1", "r2"])
def test_a_failed_dispatch_takes_none_of_its_round_with_it(
    failing, monkeypatch
):
    reducer = make_reducer(servers=("e1",))
    reducer.failure_handler = failed = FailedRequests()
    receive(reducer, "r0")
    receive(reducer, "r1")
    receive(reducer, "r2")
    fail_to_dispatch(monkeypatch, failing)
    announce(reducer, "e2")
    announce(reducer, "e3")
    dispatched = only(reducer.tick(0.3), effects.Dispatch)
    assert {"r1", "r2"} - {failing} == {item.request_id for item in dispatched}
    assert failed.ids == [failing]
    assert failing not in reducer.lives


def test_a_failed_dispatch_leaves_its_slot_to_others(monkeypatch):
    reducer = make_reducer(servers=("e1",))
    reducer.failure_handler = FailedRequests()
    fail_to_dispatch(monkeypatch, "r1")
    assert not only(receive(reducer, "r1"), effects.Dispatch)
    assert only(receive(reducer, "r2"), effects.Dispatch)


def test_a_failed_hedge_leaves_the_first_attempt(monkeypatch):
    reducer = make_reducer()
    reducer.failure_handler = failed = FailedRequests()
    receive(reducer, "r1")
    reducer.apply(events.AttemptBegan("r1", 1), 0.2)
    fail_to_dispatch(monkeypatch, "r1")
    reducer.apply(events.AttemptSilent("r1", 1), 0.3)
    assert failed.ids == [""]
    assert reducer.lives["r1"].has_attempt(1)
    reducer.apply(events.FirstOutput("r1", 1), 0.4)
    reducer.apply(events.AnswerFinished("r1", 1, 10, 5), 0.5)
    assert not reducer.lives
