"""Turns a caller's request into the unit that decisions are about."""

from .. import sentinels
from ..decisions import work as work_module
from ..resources import specs

# Without a class target or a caller's own limit a request may wait this
# long: the overnight reviews of the users wait for minutes, not for days.
DEFAULT_TIMEOUT = 600.0


def work_of(state, event, now):
    """Return the work of a request, or why there can be none."""
    if not state.log.ready:
        # A valid key would be called unknown, or a class that is gone be
        # served, by a state older than the failure domain had.
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
    timeout = event.timeout or DEFAULT_TIMEOUT
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
    )
