"""What a whole configuration tells the policy of a service."""

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


def test_an_engine_whose_memory_is_not_told_has_the_usual_one():
    # A configuration names engines by their slots alone.  With no memory at
    # all every shared part counts as gone at once, and prompts that share
    # one are read anew each time.
    told = revision(engine=revisions.Engine(slots=64))
    assert service_traits.kv_tokens(told) == service_traits.KV_TOKENS
    assert service_traits.kv_tokens(None) == service_traits.KV_TOKENS
    large = revision(engine=revisions.Engine(64, 900_000))
    assert service_traits.kv_tokens(large) == 900_000


def test_steps_of_urgency_are_those_that_an_engine_is_told():
    # Routes have priorities 2 and 9.  Engines are told the same of both, so
    # the first is not read sooner and may not find seven times as much to
    # read before it.
    found = service_traits.read(
        revision([route("a", 2), route("b", 9)]), "llm"
    )
    works = [
        intake._routed_work(_received(), item, None, 0.0)
        for item in (route("a", 2), route("b", 9))
    ]
    assert works[0].start_priority == works[1].start_priority
    assert {work.route_priority for work in works} == {found.least_urgent}


def _received():
    return events.RoutedRequestReceived(
        "r1", "h", "/a/", "", 10.0, "m", (), 10, 10, 0.5
    )
