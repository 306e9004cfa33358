"""Each request is counted once, in the usage window in which it began."""

import pytest

import dandeliontrail
from dandeliontrail.components import duties_state
from dandeliontrail.components import request_lifecycle
from dandeliontrail.components import start_counter
from dandeliontrail.decisions import work

# A wall-clock time, in seconds, at which a window begins.
START = 1_700_000_000.0
WINDOW = 5.0
FIRST = int(START // WINDOW)


@pytest.fixture
def duties():
    identity = dandeliontrail.Identity("i1", "fd1", "r1", 1)
    options = duties_state.DutyOptions(reports_usage=True, window=WINDOW)
    state = duties_state.new_duties_state(identity, options)
    state.clock.observe(START, 0.0)
    return state


def make_request(dispatched, streamed=False, organisation="lab"):
    made = work.Work(
        "r", organisation, "read", "m", "app", 0, 0.0, 10.0, streamed=streamed
    )
    return request_lifecycle.RequestLifecycle(made, dispatched=dispatched)


def counted(duties):
    return {use.window: use.counts for use in duties.counter.open_windows()}


def test_a_stream_begins_with_its_first_event(duties):
    # The request queued at its engine across a window boundary.
    counter = start_counter.StartCounter(duties)
    counter.first_output(make_request(4.0, streamed=True), 5.5)
    assert counted(duties) == {FIRST + 1: {"lab": 1}}


def test_a_plain_request_begins_when_it_is_sent_or_has_waited(duties):
    counter = start_counter.StartCounter(duties)
    counter.first_output(make_request(1.0), 1.02)
    counter.first_output(make_request(4.99), 5.01)
    # The server was busy for a second before it took this one.
    counter.first_output(make_request(4.5), 5.5)
    assert counted(duties) == {FIRST: {"lab": 2}, FIRST + 1: {"lab": 1}}


def test_a_request_that_is_tried_again_counts_once(duties):
    # The first server crashes while running the request; the second answers.
    counter = start_counter.StartCounter(duties)
    request = make_request(1.0)
    counter.attempt_failed(request)
    counter.first_output(request, 1.5)
    assert counted(duties) == {FIRST: {"lab": 1}}
    assert request.first_output == 0.0


def test_a_stream_that_fails_before_its_first_event_did_not_begin(duties):
    counter = start_counter.StartCounter(duties)
    counter.attempt_failed(make_request(1.0, streamed=True))
    assert counted(duties) == {}


def test_requests_without_organisation_are_not_counted(duties):
    counter = start_counter.StartCounter(duties)
    counter.first_output(make_request(1.0, organisation=""), 1.02)
    assert counted(duties) == {}
