"""What the policy derives from a configuration about a service."""

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
