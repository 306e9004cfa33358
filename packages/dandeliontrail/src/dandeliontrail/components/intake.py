"""Turns a caller's request into ``Work``, the input of decisions."""

from .. import sentinels
from ..coordination import fingerprints
from ..decisions import routing
from ..decisions import service_traits
from ..decisions import work as work_module
from ..resources import specs

# Timeout, in seconds, of a request that sets none: overnight batch reviews of
# the users wait for minutes, not for days.
DEFAULT_TIMEOUT_SECONDS = 600.0


def work_of(state, event, now):
    """Return the work of a request, or a ``Nothing`` with the reason."""
    if not state.log.ready:
        # State older than the failure domain's could reject a valid key as
        # unknown, or serve a class that was deleted.
        return sentinels.Nothing(sentinels.Reason.NO_CONFIGURATION, 1.0)
    store = state.store
    organisation = store.organisation_of(event.key_hash)
    if not organisation:
        return sentinels.Nothing(sentinels.Reason.UNKNOWN_KEY)
    spec = store.spec(specs.Kind.ORGANISATIONS, organisation)
    class_name = event.class_name or spec.default_class
    if class_name not in spec.classes and (class_name != spec.default_class):
        return sentinels.Nothing(sentinels.Reason.UNKNOWN_CLASS)
    class_spec = store.spec(specs.Kind.REQUEST_CLASSES, class_name)
    if class_spec is None:
        return sentinels.Nothing(sentinels.Reason.UNKNOWN_CLASS)
    if not state.directory.eligible(class_name, event.model, event.service):
        return sentinels.Nothing(sentinels.Reason.UNKNOWN_TARGET)
    timeout = event.timeout or DEFAULT_TIMEOUT_SECONDS
    return work_module.Work(
        request_id=event.request_id,
        organisation=organisation,
        class_name=class_name,
        model=event.model,
        service=event.service,
        priority=class_spec.priority,
        received=now,
        deadline=now + timeout,
        prompt_tokens=event.prompt_tokens,
        max_output_tokens=event.max_output_tokens,
        prefix_hash=event.prefix_hash,
        sheddable=class_spec.sheddable,
        repeatable=class_spec.repeatable,
        minimum_share=class_spec.minimum_share,
        weight=spec.weight,
        first_token_ms=class_spec.targets.first_token_ms,
        total_ms=class_spec.targets.total_ms,
        between_tokens_ms=class_spec.targets.between_tokens_ms,
        limits=spec.limits,
        class_limits=class_spec.limits,
        fingerprint=fingerprints.of_request(
            organisation, class_name, event.body_digest
        ),
        part_fingerprints=_prefix_fingerprints(organisation, event),
    )


def _prefix_fingerprints(organisation, event):
    """Return the fingerprint of the prompt's prefix, which others share."""
    if not event.prefix_hash:
        return ()
    target = event.service or event.model
    return (fingerprints.of_part(organisation, target, event.prefix_hash),)


# The lowest priority that model engines support (0 is the highest).
LOWEST_PRIORITY = 9
# Retry-After of an instance that cannot prove its state recent: short, since
# the load balancer sends the retry to another instance.
UNPROVEN_RETRY_SECONDS = 0.3
# Retry-After of an instance without state: the caller has waited already, and
# its retry goes to another instance as well.
NO_STATE_RETRY_SECONDS = 0.3


def has_state(state):
    """Return whether this instance has the state to handle routed requests."""
    return state.log.ready and state.routing.table is not None


def routed_work_of(state, event, received, now):
    """Return the work of a routed request, or a ``Nothing``.

    Its deadline counts from ``received``, which may be earlier than ``now`` if
    the request waited for the state.
    """
    if not has_state(state):
        return sentinels.Nothing(
            sentinels.Reason.NO_CONFIGURATION, NO_STATE_RETRY_SECONDS
        )
    table = state.routing.table
    proven_ago = state.log.proven_ago(now)
    route = table.find(event.host, event.path)
    if route is None:
        return _not_found(state, sentinels.Reason.UNKNOWN_ROUTE, proven_ago)
    organisation = None
    if table.keyed and not route.public:
        organisation = table.owner(event.key_hash)
        if organisation is None:
            return _not_found(state, sentinels.Reason.UNKNOWN_KEY, proven_ago)
        max_age = state.routing.options.key_proof
        if max_age is not None and not _proven_within(proven_ago, max_age):
            return _not_proven()
    return _routed_work(event, route, organisation, received)


def resumes_stream(work, event):
    """Return whether a routed request resumes a stream that was begun."""
    return work.streamed and bool(event.resumes or event.has_events)


def _proven_within(proven_ago, max_age):
    return proven_ago is not None and proven_ago <= max_age


def _not_proven():
    return sentinels.Nothing(
        sentinels.Reason.NOT_PROVEN, UNPROVEN_RETRY_SECONDS
    )


def _not_found(state, reason, proven_ago):
    """Return ``reason`` if the state is recent enough to be certain."""
    if _proven_within(proven_ago, state.routing.options.refusal_proof):
        return sentinels.Nothing(reason)
    return _not_proven()


def _routed_work(event, route, organisation, received):
    timeout = route.timeout
    if event.timeout is not None:
        timeout = min(timeout, event.timeout)
    organisation_rank = organisation.priority if organisation else 0
    route_step = service_traits.step_of(route.priority)
    priority = organisation_rank * service_traits.ROUTE_PRIORITIES + route_step
    organisation_name = organisation.name if organisation else ""
    service = routing.choose_service(route.split, event.draw)
    return work_module.Work(
        request_id=event.request_id,
        organisation=organisation_name,
        class_name=route.name,
        model=event.model,
        service=service,
        priority=priority,
        received=received,
        deadline=received + timeout,
        prompt_tokens=event.prompt_tokens,
        max_output_tokens=event.max_output_tokens,
        repeatable=route.allows_repeats,
        first_token_ms=route.target * 1000.0 or None,
        between_tokens_ms=route.longest_pause * 1000.0 or None,
        parts=event.parts,
        max_attempts=max(1, route.max_attempts),
        routed=True,
        streamed=route.streamed,
        start_priority=min(priority, LOWEST_PRIORITY),
        route_priority=route_step,
        fingerprint=fingerprints.of_request(
            organisation_name, event.host, event.content
        ),
        part_fingerprints=fingerprints.of_shared_parts(
            organisation_name, service, event.parts
        ),
        resumes=event.resumes,
    )
