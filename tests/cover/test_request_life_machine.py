"""Request life cycles under any order of events, on the pure reducer."""

import hashlib
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

import dandeliontrail
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail.resources import announcements
from dandeliontrail.resources import changes

KEY_HASH = "sha256:" + hashlib.sha256(b"k").hexdigest()
NUMBERS = st.integers(0, 1000)
LEASE = 3.0


def put(kind, name, spec):
    raw = msgspec.Raw(msgspec.json.encode(spec))
    return changes.Operation(changes.Verb.PUT, kind, name, raw)


OBJECTS = [
    put("backendpools", "all", {}),
    put("requestclasses", "lookup", {"pools": ["all"], "priority": 0}),
    put("requestclasses", "order", {"pools": ["all"], "repeatable": False}),
    put(
        "organisations",
        "lab",
        {
            "keys": [KEY_HASH],
            "classes": ["lookup", "order"],
            "default_class": "lookup",
        },
    ),
]


def choose(items, number):
    return items[number % len(items)]


class Seen:
    """What the caller and the engines have observed of a request."""

    def __init__(self, class_name):
        self.repeatable = class_name == "lookup"
        self.attempt = 0
        self.server = ""
        # Attempts that began, except those whose server reported otherwise.
        self.begun = set()
        self.outcome = ""


class RequestLife(stateful.RuleBasedStateMachine):
    """One instance, three engines, and callers that connect and leave."""

    def __init__(self):
        super().__init__()
        identity = dandeliontrail.Identity("i1", "fd1", "r1", 1)
        self.reducer = dandeliontrail.new_reducer(identity, random.Random(0))
        self.now = 1.0
        self.seen = {}
        self.leaving = {}
        self.sequence = 1
        change = changes.Change("op", list(OBJECTS))
        self.apply(events.WriteSubmitted("w", change))
        for name in ("e1", "e2", "e3"):
            self.announce(name, False)

    def announce(self, name, leaving):
        self.sequence += 1
        made = announcements.Announcement(
            name,
            1,
            self.sequence,
            "model_engine",
            f"http://{name}",
            slots=2,
            leaving=leaving,
        )
        made.models = [announcements.Model("small")]
        self.apply(events.Announced(made))
        if leaving:
            self.leaving.setdefault(name, self.now)
        else:
            self.leaving.pop(name, None)

    def apply(self, event):
        self.process(self.reducer.apply(event, self.now))

    def process(self, out):
        for effect in out:
            if isinstance(effect, effects.Dispatch):
                self.dispatched(effect)
            elif isinstance(effect, effects.Refuse):
                self.refused(effect)
            elif isinstance(effect, effects.CutOff):
                self.refused(effect.refusal)

    def dispatched(self, effect):
        seen = self.seen[effect.request_id]
        assert not seen.outcome
        assert effect.attempt == seen.attempt + 1
        assert seen.repeatable or not seen.begun
        left = self.leaving.get(effect.backend_server)
        assert left is None or self.now - left < LEASE
        seen.attempt = effect.attempt
        seen.server = effect.backend_server

    def refused(self, effect):
        seen = self.seen[effect.request_id]
        assert not seen.outcome
        seen.outcome = effect.outcome
        assert (effect.outcome == "not-run") == (not seen.begun)
        assert effect.status != 503 or effect.outcome == "not-run"

    @stateful.rule(class_name=st.sampled_from(["lookup", "order"]))
    def receive(self, class_name):
        request_id = f"q{len(self.seen)}"
        self.seen[request_id] = Seen(class_name)
        self.apply(
            events.RequestReceived(
                request_id, KEY_HASH, class_name, model="small", timeout=30.0
            )
        )

    def among(self, *phases):
        """Return the requests that are in one of ``phases``."""
        return [name for name in self.seen if self.phase(name) in phases]

    def phase(self, request_id):
        """Return 0 while dispatched, 1 once begun, 2 once streaming."""
        (component,) = [
            item for item in self.reducer.components if hasattr(item, "lives")
        ]
        request = component.lives.get(request_id)
        names = {"dispatched": 0, "may_have_begun": 1, "streaming": 2}
        return names.get(request.phase.value) if request else None

    @stateful.precondition(lambda self: self.among(0))
    @stateful.rule(number=NUMBERS)
    def began(self, number):
        request_id = choose(self.among(0), number)
        seen = self.seen[request_id]
        seen.begun.add(seen.attempt)
        self.apply(events.AttemptBegan(request_id, seen.attempt))

    @stateful.precondition(lambda self: self.among(0, 1))
    @stateful.rule(number=NUMBERS)
    def not_begun(self, number):
        request_id = choose(self.among(0, 1), number)
        seen = self.seen[request_id]
        said = self.phase(request_id) == 1
        seen.begun.discard(seen.attempt)
        self.apply(events.NotBegun(request_id, seen.attempt, said))

    @stateful.precondition(lambda self: self.among(1))
    @stateful.rule(number=NUMBERS)
    def first_output(self, number):
        request_id = choose(self.among(1), number)
        attempt = self.seen[request_id].attempt
        self.apply(events.FirstOutput(request_id, attempt))

    @stateful.precondition(lambda self: self.among(1, 2))
    @stateful.rule(number=NUMBERS, whole=st.booleans())
    def end_attempt(self, number, whole):
        request_id = choose(self.among(1, 2), number)
        seen = self.seen[request_id]
        if whole:
            self.apply(events.AnswerFinished(request_id, seen.attempt))
            assert not seen.outcome
            seen.outcome = "complete"
        else:
            failed = events.AttemptFailed(request_id, seen.attempt, 0, "cut")
            self.apply(failed)

    @stateful.precondition(lambda self: self.seen)
    @stateful.rule(number=NUMBERS, kind=st.integers(0, 3))
    def late_event(self, number, kind):
        request_id = choose(sorted(self.seen), number)
        attempt = self.seen[request_id].attempt - 1
        late = (
            events.AttemptBegan(request_id, attempt),
            events.FirstOutput(request_id, attempt),
            events.AnswerFinished(request_id, attempt),
            events.AttemptFailed(request_id, attempt, 0, "late"),
        )
        assert self.reducer.apply(late[kind], self.now) == []

    @stateful.precondition(lambda self: self.seen)
    @stateful.rule(
        number=NUMBERS,
        kind=st.sampled_from(
            [events.CallerGone, events.Overdue, events.CutShort]
        ),
    )
    def caller_or_instance_ends(self, number, kind):
        request_id = f"q{number % len(self.seen)}"
        before = self.phase(request_id)
        self.apply(kind(request_id))
        seen = self.seen[request_id]
        if before is not None and self.phase(request_id) is None:
            seen.outcome = seen.outcome or "nobody waits"

    @stateful.rule(
        seconds=st.sampled_from([0.1, 0.3, 2.0, 40.0]),
        announcing=st.booleans(),
    )
    def pass_time(self, seconds, announcing):
        self.now += seconds
        if announcing:
            for name in ("e1", "e2", "e3"):
                self.announce(name, name in self.leaving)
        self.process(self.reducer.tick(self.now))

    @stateful.rule(
        name=st.sampled_from(["e1", "e2", "e3"]), leaving=st.booleans()
    )
    def announced(self, name, leaving):
        self.announce(name, leaving)


class TestRequestLife(RequestLife.TestCase):
    """Outcomes are true, and non-repeatable requests run at most once."""

    settings = hypothesis.settings(
        max_examples=100, stateful_step_count=40, deadline=None
    )
