"""What the policy derives from a configuration about a service."""

import pytest

from dandeliontrail.components import intake
from dandeliontrail.decisions import service_traits
from dandeliontrail import events
from dandeliontrail.resources import revisions


def route(name, priority):
    split = [revisions.Split("llm")]
    return revisions.Route(name, "h", f"/{name}/", split, 10.0, 0.5, priority)


def revision(routes=(), engine=None):
    service = revisions.Service("llm", 100, engine)
    return revisions.Revision(1, "", list(routes), [service])


def test_engine_without_configured_memory_has_the_default():
    # A configuration gives only the slots of an engine.  With a memory of 0
    # tokens every prefix would count as evicted at once, and prompts with a
    # common prefix would be prefilled anew each time.
    slots_only = revision(engine=revisions.Engine(slots=64))
    assert (
        service_traits.max_kv_tokens(slots_only)
        == service_traits.DEFAULT_KV_TOKENS
    )
    assert (
        service_traits.max_kv_tokens(None) == service_traits.DEFAULT_KV_TOKENS
    )
    large = revision(engine=revisions.Engine(64, 900_000))
    assert service_traits.max_kv_tokens(large) == 900_000


def test_priority_steps_are_those_that_engines_are_told():
    # Routes have priorities 2 and 9, which engines receive as the same.  So
    # the first is not prefilled sooner, and must not be placed behind seven
    # times as many tokens.
    traits = service_traits.read_traits(
        revision([route("a", 2), route("b", 9)]), "llm"
    )
    works = [
        intake._routed_work(_received(), item, None, 0.0)
        for item in (route("a", 2), route("b", 9))
    ]
    assert works[0].start_priority == works[1].start_priority
    assert {work.route_priority for work in works} == {
        traits.least_urgent_step
    }


def _received():
    return events.RoutedRequestReceived(
        "r1", "h", "/a/", "", 10.0, "m", (), 10, 10, 0.5
    )


def streaming(priority, target):
    split = [revisions.Split("llm")]
    return revisions.Route(
        "a", "h", "/a/", split, 10.0, target, priority, streamed=True
    )


@pytest.mark.parametrize(
    "target, queues",
    ((0.39, False), (0.4, True), (0.56, True), (0.8, True), (0.81, False)),
)
def test_prefill_queues_where_a_wrong_choice_misses_the_target(target, queues):
    # With a shorter target nothing may wait, with a longer one old reports
    # are good enough; queues would cost messages for nothing.
    engine = revisions.Engine(slots=24)
    found = revision([streaming(1, target)], engine)
    assert service_traits.read_traits(found, "llm").queues_prefill is queues
    most_urgent = revision([streaming(0, target)], engine)
    assert not service_traits.read_traits(most_urgent, "llm").queues_prefill
    plain = revision([streaming(1, target)])
    assert not service_traits.read_traits(plain, "llm").queues_prefill


def test_contended_services_queue_prefill_only_at_engines():
    slow = [streaming(2, 2.56)]
    with_engine = revision(slow, revisions.Engine(slots=24))
    without = revision(slow)
    traits = service_traits.read_traits(with_engine, "llm", contended=True)
    assert traits.queues_prefill
    traits = service_traits.read_traits(without, "llm", contended=True)
    assert not traits.queues_prefill
