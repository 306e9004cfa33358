"""Compares two configurations, entry by entry.

An entry is a pair of its field and its attributes, a mapping whose values are
of the types that JSON has.
"""

import collections

from . import findings

# As many digits identify a key; tables of dandelionctl show as many.
SHOWN_HASH_CHARACTERS = 12
HASH_PREFIX = "sha256:"


def differences(before, after):
    """Return the differences of two lists of entries, sorted by field.

    Entries of the same field are compared without regard to their order.
    """
    old, new = _by_field(before), _by_field(after)
    found = []
    for field in sorted(old.keys() | new.keys()):
        found.extend(_compare(field, old[field], new[field]))
    return found


def _by_field(entries):
    by_field = collections.defaultdict(list)
    for field, attributes in entries:
        by_field[field].append(attributes)
    return by_field


def _compare(field, old, new):
    old, new = _without(old, new), _without(new, old)
    common = min(len(old), len(new))
    for before, after in zip(old, new):
        yield findings.Difference(
            findings.DifferenceKind.CHANGED,
            field,
            list(_changes("", before, after)),
        )
    for _ in old[common:]:
        yield findings.Difference(findings.DifferenceKind.REMOVED, field)
    for _ in new[common:]:
        yield findings.Difference(findings.DifferenceKind.ADDED, field)


def _without(items, others):
    """Return the items that ``others`` does not have, in a fixed order."""
    others = list(others)
    rest = []
    for item in items:
        if item in others:
            others.remove(item)
        else:
            rest.append(item)
    return sorted(rest, key=repr)


def _changes(prefix, before, after):
    """Yield the changed attributes; those of nested mappings have a path."""
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if old == new:
            continue
        if isinstance(old, dict) and isinstance(new, dict):
            yield from _changes(f"{prefix}{name}.", old, new)
        else:
            yield findings.AttributeChange(
                prefix + name, shortened(old), shortened(new)
            )


def shortened(value):
    """Return a value in which the hashes of keys are cut off."""
    if isinstance(value, list):
        return [shortened(item) for item in value]
    if isinstance(value, str) and value.startswith(HASH_PREFIX):
        return value[: len(HASH_PREFIX) + SHOWN_HASH_CHARACTERS]
    return value
