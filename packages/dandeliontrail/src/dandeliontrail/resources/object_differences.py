"""Differences between two sets of declared objects."""

import msgspec

from .. import errors
from . import changes
from . import checks
from . import comparison
from . import findings


def differences(before, after):
    """Return how the objects that ``after`` declares differ from ``before``.

    Both are lists of operations.  Of several operations on an object the
    last one counts.  Specs are compared with their defaults filled in and
    without the order of lists, all of which are sets of names.  A changed
    object with an invalid spec has no attributes.
    """
    old, new = _puts(before), _puts(after)
    found = []
    for key in sorted(old.keys() | new.keys()):
        field = "/".join(key)
        if key not in old:
            found.append(_difference(findings.DifferenceKind.ADDED, field))
        elif key not in new:
            found.append(_difference(findings.DifferenceKind.REMOVED, field))
        else:
            found.extend(_changes(field, old[key], new[key]))
    return found


def _puts(operations):
    """Return the last put of each object that is not deleted after it."""
    puts = {}
    for operation in operations:
        key = (operation.kind, operation.name)
        if operation.verb is changes.Verb.DELETE:
            puts.pop(key, None)
        else:
            puts[key] = operation
    return puts


def _difference(kind, field, attributes=()):
    return findings.Difference(kind, field, list(attributes))


def _changes(field, old, new):
    if bytes(old.spec) == bytes(new.spec):
        return []
    try:
        before, after = _attributes(old), _attributes(new)
    except errors.ResourceInvalid:
        return [_difference(findings.DifferenceKind.CHANGED, field)]
    attributes = [
        findings.AttributeChange(
            name,
            comparison.shortened(before[name]),
            comparison.shortened(after[name]),
        )
        for name in before
        if before[name] != after[name]
    ]
    if not attributes:
        return []
    return [_difference(findings.DifferenceKind.CHANGED, field, attributes)]


def _attributes(operation):
    """Return the attributes of a put by name, ``limits.tokens_per_day``.

    Raises ``ResourceInvalid`` if the spec is invalid.
    """
    spec = checks.decode_spec(checks.kind_of(operation.kind), operation)
    return dict(_flatten("", msgspec.to_builtins(spec)))


def _flatten(prefix, values):
    for name, value in values.items():
        if isinstance(value, dict):
            yield from _flatten(f"{prefix}{name}.", value)
        elif isinstance(value, list):
            yield prefix + name, sorted(value)
        else:
            yield prefix + name, value
