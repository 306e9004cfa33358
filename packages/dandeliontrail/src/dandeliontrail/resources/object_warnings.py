"""Warnings about objects: settings without effect, limits that contradict.

An instance accepts objects that have warnings.
"""

from . import findings
from . import specs

Kind = specs.Kind


def check(objects):
    """Return the warnings about ``objects``.

    ``objects`` maps each kind to the specs by name.  The spec of an object
    that is invalid is ``None``.
    """
    found = []
    for kind, rules in _RULES.items():
        for name, spec in objects[kind].items():
            if spec is None:
                continue
            for rule in rules:
                for code, message, remedy in rule(spec):
                    field = f"{kind.value}/{name}"
                    found.append(
                        findings.warning(code, field, message, remedy)
                    )
    return found + _unused_classes(objects) + _unused_pools(objects)


def _no_keys(spec):
    if not spec.keys:
        yield (
            "no-keys",
            "the organisation has no keys, so none of its requests is"
            " accepted.",
            "add the hash of a key to spec.keys",
        )


def _no_class(spec):
    if not spec.classes and not spec.default_class:
        yield (
            "no-class",
            "the organisation has no request class, so none of its requests"
            " is accepted.",
            "add a class to spec.classes or set spec.default_class",
        )


def _targets(spec):
    first_ms, total_ms = spec.targets.first_token_ms, spec.targets.total_ms
    # A target of 0 is unset, as ``None`` is.
    if first_ms and total_ms and first_ms > total_ms:
        yield (
            "target-beyond-total",
            f"the first-token target, {first_ms:g} ms, is longer than the"
            f" total target, {total_ms:g} ms.",
            "lower first_token_ms or raise total_ms",
        )


def _zero_limits(spec):
    for name in spec.limits.__struct_fields__:
        limit = getattr(spec.limits, name)
        if limit is not None and limit <= 0:
            yield (
                "limit-zero",
                f"limits.{name} is {limit:g}, so it rejects everything.",
                "give a limit above 0, or omit it for no limit",
            )


def _contradicting_limits(spec):
    per_second = spec.limits.tokens_per_second
    per_day = spec.limits.tokens_per_day
    if per_second is None or per_day is None:
        return
    if 0 < per_day < per_second:
        yield (
            "limits-contradict",
            f"tokens_per_day, {per_day:g}, is below one second of"
            f" tokens_per_second, {per_second:g}.",
            "raise tokens_per_day or lower tokens_per_second",
        )


def _unmatched_select(spec):
    if spec.select.model and spec.select.kind == "service":
        yield (
            "never-matches",
            f"the pool selects servers of kind service with model"
            f" {spec.select.model!r}, but services have no models.",
            "select kind model_engine, or remove the model",
        )


def _unused_classes(objects):
    organisations = objects[Kind.ORGANISATIONS].values()
    if None in organisations:
        return []
    # An organisation may use a default class that it does not list.
    usable = {spec.default_class for spec in organisations}
    usable.update(*(spec.classes for spec in organisations))
    return _unused(
        objects,
        Kind.REQUEST_CLASSES,
        usable,
        "unused-class",
        "no organisation may use the class.",
        "add it to the classes of an organisation, or delete it",
    )


def _unused_pools(objects):
    classes = objects[Kind.REQUEST_CLASSES].values()
    placements = objects[Kind.MODEL_PLACEMENTS].values()
    if None in [*classes, *placements]:
        return []
    used = {spec.pool for spec in placements}
    used.update(*(spec.pools for spec in classes))
    return _unused(
        objects,
        Kind.BACKEND_POOLS,
        used,
        "unused-pool",
        "neither a request class nor a model placement refers to the pool.",
        "add it to the pools of a request class, or delete it",
    )


def _unused(objects, kind, used, code, message, remedy):
    return [
        findings.warning(code, f"{kind.value}/{name}", message, remedy)
        for name in objects[kind]
        if name not in used
    ]


_LIMITS = (_zero_limits, _contradicting_limits)
_RULES = {
    Kind.ORGANISATIONS: (_no_keys, _no_class, *_LIMITS),
    Kind.REQUEST_CLASSES: (_targets, *_LIMITS),
    Kind.BACKEND_POOLS: (_unmatched_select,),
}
