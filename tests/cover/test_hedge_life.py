"""What else may happen to a request while two servers have it."""

import types

import pytest

from dandeliontrail.components import server_ends
from dandeliontrail import effects
from dandeliontrail import events

from tests.cover import test_hedge_machine


class Play:
    """One request, at a server that is silent and at another one."""

    def __init__(self, path, streaming):
        made = test_hedge_machine.HedgedLife()
        self.reducer = made.reducer
        self.now = made.now
        (first,) = self.apply(
            events.RoutedRequestReceived("q", "h", path, timeout=30.0)
        )
        self.apply(events.AttemptBegan("q", first.attempt))
        if streaming:
            self.apply(events.FirstOutput("q", first.attempt))
        (second,) = self.apply(events.AttemptSilent("q", first.attempt))
        self.apply(events.AttemptBegan("q", second.attempt))
        self.first = first
        self.second = second

    @property
    def life(self):
        return self.reducer.lives["q"]

    def apply(self, event):
        """Return what the request's greenlet is told."""
        return self.told(self.reducer.apply(event, self.now))

    def tick(self):
        self.now += 0.1
        return self.told(self.reducer.tick(self.now))

    def told(self, out):
        kinds = (
            effects.Dispatch,
            effects.Withdraw,
            effects.Refuse,
            effects.CutOff,
        )
        return [effect for effect in out if isinstance(effect, kinds)]

    def running(self):
        loads = self.reducer.policy.own_loads()
        return {load.server: load.running for load in loads}

    def hold_back(self):
        """Have three servers end under the request elsewhere."""
        (ends,) = [
            item
            for item in self.reducer.components
            if isinstance(item, server_ends.ServerEnds)
        ]
        for name in ("x1", "x2", "x3"):
            attempt = types.SimpleNamespace(
                work=self.life.work, incarnation=(name, 0), output_at=0.0
            )
            failed = events.AttemptFailed("q", 1, 0, "", closed=True)
            ends.ended_under(attempt, failed, self.now)


def test_a_hedge_is_withdrawn_when_its_request_is_held_back():
    play = Play("/chat/", streaming=True)
    play.hold_back()
    (told,) = play.tick()
    assert isinstance(told, effects.Withdraw)
    assert told.attempt == play.second.attempt
    assert play.running() == {play.first.backend_server: 1}
    play.apply(events.AttemptSilent("q", play.first.attempt))
    assert play.life.hedge is None and not play.life.seeking


def test_both_attempts_are_taken_back_before_anything_came():
    play = Play("/chat/", streaming=False)
    play.hold_back()
    told = play.tick()
    (refusal,) = [
        item.refusal for item in told if isinstance(item, effects.CutOff)
    ]
    assert refusal.outcome == "unknown"
    assert play.running() == {} and not play.reducer.lives


@pytest.mark.parametrize(
    "event", [events.CutShort, events.CallerGone, events.Overdue]
)
@pytest.mark.parametrize("path", ["/chat/", "/read/"])
def test_both_attempts_end_with_their_request(path, event):
    play = Play(path, streaming=False)
    play.apply(event("q"))
    assert play.running() == {} and not play.reducer.lives


def test_no_third_server_is_asked_after_the_first_spoke_again():
    play = Play("/chat/", streaming=True)
    assert not play.apply(events.AttemptSpoke("q", play.first.attempt))
    assert play.running() == {play.first.backend_server: 1}
    assert not play.apply(events.AttemptSilent("q", play.first.attempt))
    assert not play.tick()


def test_what_the_hedge_says_later_is_about_nothing():
    play = Play("/chat/", streaming=True)
    play.apply(events.AttemptSpoke("q", play.first.attempt))
    late = play.second.attempt
    for event in (
        events.AttemptSpoke("q", late),
        events.FirstOutput("q", late),
        events.AnswerFinished("q", late),
        events.AttemptFailed("q", late, 0, "late"),
        events.NotBegun("q", late, True),
    ):
        assert not play.apply(event)
    assert play.life.attempt == play.first.attempt
    assert play.running() == {play.first.backend_server: 1}


def test_a_crash_of_the_hedges_server_counts_against_the_request():
    play = Play("/chat/", streaming=True)
    play.apply(
        events.AttemptFailed("q", play.second.attempt, 0, "", closed=True)
    )
    table = play.reducer.state.ends
    (suspect,) = table.suspects.values()
    assert len(suspect.ends) == 1
