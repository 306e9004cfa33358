"""Check of declared objects, and their differences, before they are applied.

The errors come from the same rules by which an instance accepts changes.
"""

from .. import errors
from . import changes
from . import checks
from . import findings
from . import object_differences
from . import object_warnings
from . import references
from . import specs
from . import store


def check(operations, in_force=()):
    """Return the findings about the objects that ``operations`` name.

    ``in_force`` has the objects, as operations, to which the operations
    would be applied.  An operation's ``if_match`` is ignored: versions are
    known to the instance only.
    """
    declared = _DeclaredObjects()
    declared.apply_all(in_force)
    found = declared.apply_all(operations)
    touched = {f"{item.kind}/{item.name}" for item in operations}
    index = _index_references(declared, touched)
    found.extend(_check_references(declared, index, touched))
    found.extend(_check_shares(declared, touched))
    found.extend(
        item
        for item in object_warnings.check(declared.specs())
        if item.field in touched
    )
    return findings.in_order(found)


def differences(before, after):
    """Return the differences between two lists of operations.

    See :func:`.object_differences.differences`.
    """
    return object_differences.differences(before, after)


class _DeclaredObjects:
    """The objects after some operations.

    ``objects`` maps kind and name to the object, which is ``None`` if it is
    invalid: references to it are valid all the same, since its errors are
    independent of theirs.  ``deleted`` has kind and name of deleted objects.
    """

    __slots__ = ("objects", "deleted")

    def __init__(self):
        self.objects = {kind: {} for kind in specs.Kind}
        self.deleted = set()

    def apply_all(self, operations):
        """Apply operations in order; return the errors of each of them."""
        found = []
        for operation in operations:
            field = f"{operation.kind}/{operation.name}"
            try:
                self._apply(operation)
            except errors.ResourceInvalid as exc:
                found.append(findings.invalid(exc, f"{field}.{exc.field}"))
            except checks.NoSuchObject as exc:
                found.append(
                    findings.error(
                        findings.INVALID, field, exc.message, exc.remedy
                    )
                )
        return found

    def _apply(self, operation):
        kind = checks.kind_of(operation.kind)
        by_name, name = self.objects[kind], operation.name
        if operation.verb is changes.Verb.DELETE:
            if name not in by_name:
                checks.require_present(None, operation)
            del by_name[name]
            self.deleted.add((kind, name))
            return
        by_name[name] = None
        self.deleted.discard((kind, name))
        spec = checks.decode_spec(kind, operation)
        by_name[name] = store.Resource(kind, name, 0, spec)

    def valid(self):
        """Yield each valid object with its kind and name."""
        for kind, by_name in self.objects.items():
            for name, resource in by_name.items():
                if resource:
                    yield f"{kind.value}/{name}", resource

    def specs(self):
        """Return the specs by kind and name, ``None`` if they are invalid."""
        return {
            kind: {
                name: resource and resource.spec
                for name, resource in by_name.items()
            }
            for kind, by_name in self.objects.items()
        }


def _index_references(declared, touched):
    """Return the index of all valid objects.

    Of two organisations with the same key the one that is in force already
    owns it.
    """
    index = references.References()
    for field, resource in sorted(
        declared.valid(), key=lambda item: item[0] in touched
    ):
        index.add(resource)
    return index


def _check_references(declared, index, touched):
    found = []
    for field, resource in declared.valid():
        if field in touched:
            found.extend(
                _error_of(index.check_present, resource, declared.objects)
            )
    for kind, name in declared.deleted:
        if f"{kind.value}/{name}" in touched:
            found.extend(_error_of(index.check_absent, kind, name))
    return found


def _check_shares(declared, touched):
    classes = {
        field: resource
        for field, resource in declared.valid()
        if resource.kind is specs.Kind.REQUEST_CLASSES
    }
    if classes.keys().isdisjoint(touched):
        return []
    return _error_of(references.check_shares, classes)


def _error_of(rule, *args):
    """Return a list with the error that a rule raises, if any."""
    try:
        rule(*args)
    except errors.ResourceInvalid as exc:
        return [findings.invalid(exc)]
    return []
