"""Requests whose servers go silent, under any order of events."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

import dandeliontrail
from dandeliontrail.decisions import retry_budget
from dandeliontrail.decisions import routing
from dandeliontrail.decisions import shared_policy
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail.resources import announcements
from dandeliontrail.resources import revisions

NUMBERS = st.integers(0, 1000)
SERVERS = ("e1", "e2", "e3", "e4")
LEASE = 3.0
MAX_ATTEMPTS = {"/once/": 1, "/chat/": 2, "/read/": 3}
ROUTES = [
    revisions.Route(
        path.strip("/"),
        "h",
        path,
        [revisions.Split("llm")],
        30.0,
        repeatable=path == "/read/",
        resumable=path == "/chat/",
        streamed=path != "/read/",
        max_attempts=max_attempts,
    )
    for path, max_attempts in MAX_ATTEMPTS.items()
]


def version_of(server):
    """Return the software version of a server."""
    return f"v{SERVERS.index(server) % 2}"


class Seen:
    """What the caller and the servers have observed of a request.

    ``open`` maps the open attempts to their servers, ``began`` has those that
    may have begun, and ``ran`` counts all attempts that may have begun, except
    those whose server reported otherwise.  ``first`` is the attempt whose
    answer the caller gets, and ``versions`` are those of the servers that
    wrote it.
    """

    def __init__(self, path):
        self.max_attempts = MAX_ATTEMPTS[path]
        self.is_stream = path != "/read/"
        self.first = 0
        self.open = {}
        self.began = set()
        self.spoke = set()
        self.versions = set()
        self.ran = 0
        self.silent = False
        self.outcome = ""

    def close(self, attempt):
        del self.open[attempt]
        self.began.discard(attempt)
        self.first = next(iter(self.open), 0)


def unsent(seen, attempt):
    return attempt not in seen.began


def begun(seen, attempt):
    return attempt in seen.began


def may_be_rejected(seen, attempt):
    return attempt in seen.began and attempt not in seen.spoke


def may_fall_silent(seen, attempt):
    return attempt == seen.first and attempt in seen.began and not seen.silent


def may_finish(seen, attempt):
    return attempt in seen.began and not seen.silent


def rule_of(predicate, **arguments):
    """Return a decorator for rules on attempts that satisfy ``predicate``."""

    def decorate(function):
        decorated = stateful.rule(number=NUMBERS, **arguments)(function)
        return stateful.precondition(lambda self: self.among(predicate))(
            decorated
        )

    return decorate


class HedgedLife(stateful.RuleBasedStateMachine):
    """One instance and four servers, whose attempts the rules control."""

    def __init__(self):
        super().__init__()
        identity = dandeliontrail.Identity("i1", "fd1", "r1", 1)
        limits = retry_budget.RetryLimits(0.2, 100.0, 10.0)
        self.reducer = dandeliontrail.new_reducer(
            identity,
            random.Random(0),
            new_policy=lambda rng, view, state: (
                shared_policy.SharedServersPolicy(rng, view, state, limits)
            ),
        )
        self.reducer.state.routing.table = routing.RoutingTable(
            revisions.Revision(1, "", ROUTES, [revisions.Service("llm")])
        )
        self.now = 1.0
        self.sequence = 0
        self.seen = {}
        for name in SERVERS:
            self.announce(name)
        # The versions of the servers are admitted.
        self.process(self.reducer.tick(self.now))

    def announce(self, name):
        self.sequence += 1
        made = announcements.Announcement(
            name,
            1,
            self.sequence,
            "service",
            f"http://{name}",
            service="llm",
            slots=4,
            failure_domain="fd1",
            software_version=version_of(name),
        )
        self.apply(events.Announced(made))

    def apply(self, event):
        self.process(self.reducer.apply(event, self.now))

    def process(self, out):
        for effect in out:
            if isinstance(effect, effects.Dispatch):
                self.dispatched(effect)
            elif isinstance(effect, effects.Withdraw):
                self.seen[effect.request_id].close(effect.attempt)
            elif isinstance(effect, effects.Refuse):
                self.refused(effect)
            elif isinstance(effect, effects.CutOff):
                self.seen[effect.refusal.request_id].open.clear()
                self.refused(effect.refusal)

    def dispatched(self, effect):
        seen = self.seen[effect.request_id]
        assert not seen.outcome
        assert effect.backend_server not in seen.open.values()
        assert not seen.open or seen.silent
        assert seen.ran < seen.max_attempts
        assert not seen.versions or seen.versions == {
            version_of(effect.backend_server)
        }
        seen.open[effect.attempt] = effect.backend_server
        assert len(seen.open) <= 2
        seen.first = seen.first or effect.attempt

    def refused(self, effect):
        seen = self.seen[effect.request_id]
        # No request is refused while a server may still answer it.
        assert not seen.open and not seen.outcome
        seen.outcome = effect.outcome
        assert (effect.outcome == "not-run") == (not seen.ran)

    def among(self, predicate):
        """Return the requests and attempts that satisfy ``predicate``."""
        return [
            (request_id, attempt)
            for request_id, seen in self.seen.items()
            for attempt in seen.open
            if predicate(seen, attempt)
        ]

    def choose(self, number, predicate):
        found = self.among(predicate)
        return found[number % len(found)]

    @stateful.rule(
        path=st.sampled_from(sorted(MAX_ATTEMPTS)), alike=st.booleans()
    )
    def receive(self, path, alike):
        request_id = f"q{len(self.seen)}"
        self.seen[request_id] = Seen(path)
        content = "alike" if alike else request_id
        self.apply(
            events.RoutedRequestReceived(
                request_id, "h", path, timeout=30.0, content=content
            )
        )

    @rule_of(unsent)
    def began(self, number):
        request_id, attempt = self.choose(number, unsent)
        seen = self.seen[request_id]
        seen.began.add(attempt)
        seen.ran += 1
        assert seen.ran <= seen.max_attempts
        self.apply(events.AttemptBegan(request_id, attempt))

    @rule_of(unsent)
    def is_not_reached(self, number):
        self.not_begun(*self.choose(number, unsent), said=False)

    @rule_of(may_be_rejected)
    def is_rejected(self, number):
        self.not_begun(*self.choose(number, may_be_rejected), said=True)

    def not_begun(self, request_id, attempt, said):
        seen = self.seen[request_id]
        seen.ran -= attempt in seen.began
        seen.close(attempt)
        seen.silent = seen.silent and bool(seen.open)
        self.apply(events.NotBegun(request_id, attempt, said))

    @rule_of(may_fall_silent)
    def falls_silent(self, number):
        request_id, attempt = self.choose(number, may_fall_silent)
        self.seen[request_id].silent = True
        self.apply(events.AttemptSilent(request_id, attempt))

    @rule_of(begun)
    def speaks(self, number):
        request_id, attempt = self.choose(number, begun)
        seen = self.seen[request_id]
        if seen.silent:
            seen.silent = False
            for other in [item for item in seen.open if item != attempt]:
                seen.close(other)
            self.apply(events.AttemptSpoke(request_id, attempt))
        if attempt not in seen.spoke:
            seen.spoke.add(attempt)
            if seen.is_stream:
                seen.versions.add(version_of(seen.open[attempt]))
                assert len(seen.versions) == 1
            self.apply(events.FirstOutput(request_id, attempt, is_event=True))

    @rule_of(begun, closed=st.booleans())
    def breaks_off(self, number, closed):
        request_id, attempt = self.choose(number, begun)
        seen = self.seen[request_id]
        seen.close(attempt)
        seen.silent = seen.silent and bool(seen.open)
        self.apply(
            events.AttemptFailed(request_id, attempt, 0, "", closed=closed)
        )

    @rule_of(may_finish)
    def finishes(self, number):
        request_id, attempt = self.choose(number, may_finish)
        seen = self.seen[request_id]
        seen.open.clear()
        seen.outcome = "complete"
        self.apply(events.AnswerFinished(request_id, attempt))

    @stateful.precondition(lambda self: self.seen)
    @stateful.rule(
        number=NUMBERS,
        kind=st.sampled_from(
            [events.CallerGone, events.Overdue, events.CutShort]
        ),
    )
    def caller_or_instance_ends(self, number, kind):
        request_id = f"q{number % len(self.seen)}"
        seen = self.seen[request_id]
        if kind is not events.CutShort and not seen.open:
            return
        if seen.outcome:
            return
        seen.open.clear()
        self.apply(kind(request_id))
        assert request_id not in self.reducer.lives
        seen.outcome = seen.outcome or "nobody waits"

    @stateful.rule(
        seconds=st.sampled_from([0.05, 0.3, 2.0]), announcing=st.booleans()
    )
    def pass_time(self, seconds, announcing):
        self.now += seconds
        if announcing:
            for name in SERVERS:
                self.announce(name)
        self.process(self.reducer.tick(self.now))

    @stateful.invariant()
    def every_attempt_is_counted_once(self):
        opened = {}
        for seen in self.seen.values():
            for server in seen.open.values():
                opened[server] = opened.get(server, 0) + 1
        counted = {
            load.server: load.running
            for load in self.reducer.policy.own_loads()
        }
        assert counted == opened


class TestHedgedLife(HedgedLife.TestCase):
    """Silence alone ends no answer, and every open attempt is counted."""

    settings = hypothesis.settings(
        max_examples=100, stateful_step_count=50, deadline=None
    )
