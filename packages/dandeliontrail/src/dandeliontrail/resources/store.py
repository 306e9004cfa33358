"""The declared objects at one version of the log.

``ResourceStore`` is a pure state machine: the same changes in the same
order give the same objects and the same results on every instance.
"""

import typing

import msgspec

from .. import errors
from .. import invariants
from . import changes
from . import checks
from . import history as history_module
from . import references
from . import specs


class Resource(msgspec.Struct):
    """One object: ``version`` is the log position of its last change."""

    kind: specs.Kind
    name: str
    version: int
    spec: typing.Any


class StoredObject(msgspec.Struct):
    """One object, as checkpoints carry it."""

    kind: specs.Kind
    name: str
    version: int
    spec: msgspec.Raw


class StoredState(msgspec.Struct):
    """All objects and recent changes, as checkpoints carry them."""

    version: int
    objects: list[StoredObject]
    floor: int
    items: list[history_module.HistoryItem]


class ResourceStore:
    """All objects, the version they stand at, and recent changes."""

    __slots__ = ("version", "objects", "history", "_references")

    def __init__(self):
        self.version = 0
        self.objects = {kind: {} for kind in specs.Kind}
        self.history = history_module.History()
        self._references = references.References()

    def get(self, kind, name):
        """Return the object, or ``None`` where there is none."""
        return self.objects[kind].get(name)

    def spec(self, kind, name):
        """Return the spec of an object, or ``None``."""
        resource = self.objects[kind].get(name)
        return resource.spec if resource else None

    def organisation_of(self, key_hash):
        """Return the name of the organisation that owns a key, or ''."""
        return self._references.owners.get(key_hash, "")

    def apply(self, version, change):
        """Apply one logged change at ``version`` and return its result."""
        invariants.check(
            version > self.version,
            "applied-version-never-falls",
            f"{version} after {self.version}",
        )
        self.version = version
        staged = self._stage(version, change)
        if isinstance(staged, changes.Result):
            return staged
        steps = staged.steps()
        if steps:
            self.history.add(
                history_module.HistoryItem(
                    version, change.author, change.operation_id, steps
                )
            )
        return changes.Result(changes.ResultKind.ACCEPTED, version)

    def check(self, change):
        """Return the result that ``change`` would have now."""
        staged = self._stage(self.version, change)
        if isinstance(staged, changes.Result):
            return staged
        staged.undo()
        return changes.Result(changes.ResultKind.ACCEPTED, self.version)

    def _stage(self, version, change):
        """Make the change in place; return it, or why it was undone."""
        staged = _Staged(self.objects, self._references)
        try:
            staged.run(version, change)
        except errors.VersionConflict as exc:
            failed = _result(changes.ResultKind.CONFLICT, exc, exc.present)
        except checks.NoSuchObject as exc:
            failed = _result(changes.ResultKind.NOT_FOUND, exc)
        except errors.ResourceInvalid as exc:
            failed = _result(
                changes.ResultKind.INVALID, exc, 0, field=exc.field
            )
        else:
            return staged
        staged.undo()
        return failed

    def rollback(self, version):
        """Return the operations that bring all back to ``version``.

        Each names the present version of its object, so that what others
        change meanwhile is not overwritten.  Raises
        :class:`.history.HistoryGone` for a version no longer held.
        """
        operations = []
        for (kind, name), spec in self.history.specs_at(version).items():
            held = self.get(kind, name)
            present = held.version if held else 0
            if spec == _encoded(held):
                continue
            if spec == history_module.ABSENT:
                operation = changes.Operation(
                    changes.Verb.DELETE, kind.value, name, if_match=present
                )
            else:
                operation = changes.Operation(
                    changes.Verb.PUT,
                    kind.value,
                    name,
                    msgspec.Raw(spec),
                    present,
                )
            operations.append(operation)
        return operations

    def dump(self):
        """Return all objects as a :class:`StoredState`."""
        objects = [
            StoredObject(
                kind, name, held.version, msgspec.Raw(encode_spec(held.spec))
            )
            for kind, named in self.objects.items()
            for name, held in named.items()
        ]
        return StoredState(
            self.version, objects, self.history.floor, list(self.history.items)
        )

    def load(self, state):
        """Take over the JSON of a :class:`StoredState`."""
        found = msgspec.json.decode(state, type=StoredState)
        objects = {kind: {} for kind in specs.Kind}
        index = references.References()
        for item in found.objects:
            spec = msgspec.json.decode(
                item.spec, type=specs.SPEC_TYPES[item.kind]
            )
            resource = Resource(item.kind, item.name, item.version, spec)
            objects[item.kind][item.name] = resource
            index.add(resource)
        self.objects = objects
        self._references = index
        self.version = found.version
        self.history = history_module.History(found.floor, found.items)


class _Staged:
    """One change made in place, so that it can be undone as a whole."""

    __slots__ = ("_objects", "_references", "_before", "_indexed")

    def __init__(self, objects, index):
        self._objects = objects
        self._references = index
        self._before = {}
        self._indexed = False

    def run(self, version, change):
        """Make the change; raises where it must not take effect."""
        for operation in change.operations:
            self._operate(version, operation)
        self._reindex(self._before.items(), self._after())
        self._indexed = True
        self._check()

    def _operate(self, version, operation):
        kind = checks.kind_of(operation.kind)
        named = self._objects[kind]
        held = named.get(operation.name)
        _check_version(operation, held)
        if operation.verb is changes.Verb.DELETE:
            checks.present(held, operation)
            self._before.setdefault((kind, operation.name), held)
            del named[operation.name]
            return
        spec = checks.decode(kind, operation)
        # Writing what is there already changes nothing, so that applying a
        # folder again disturbs nobody.  A conditional write does count:
        # of two against one version only one may win.
        if operation.if_match is None and held and held.spec == spec:
            return
        self._before.setdefault((kind, operation.name), held)
        named[operation.name] = Resource(kind, operation.name, version, spec)

    def _after(self):
        return [
            (key, self._objects[key[0]].get(key[1])) for key in self._before
        ]

    def _reindex(self, old, new):
        for _, resource in old:
            if resource:
                self._references.remove(resource)
        for _, resource in new:
            if resource:
                self._references.add(resource)

    def _check(self):
        kinds = set()
        for (kind, name), resource in self._after():
            kinds.add(kind)
            if resource:
                self._references.check_present(resource, self._objects)
            else:
                self._references.check_absent(kind, name)
        if specs.Kind.REQUEST_CLASSES in kinds:
            references.check_shares(self._objects[specs.Kind.REQUEST_CLASSES])

    def undo(self):
        """Put everything back as it was."""
        after = self._after()
        for (kind, name), resource in self._before.items():
            if resource:
                self._objects[kind][name] = resource
            else:
                self._objects[kind].pop(name, None)
        if self._indexed:
            self._reindex(after, self._before.items())

    def steps(self):
        """Return what the change did, for the history."""
        return [
            history_module.Step(
                kind,
                name,
                msgspec.Raw(_encoded(before)),
                msgspec.Raw(_encoded(after)),
            )
            for ((kind, name), before), (_, after) in zip(
                self._before.items(), self._after()
            )
            if before is not after
        ]


def _encoded(resource):
    """Return the bytes of a spec, or those that stand for none."""
    if resource is None:
        return history_module.ABSENT
    return encode_spec(resource.spec)


def _check_version(operation, held):
    if operation.if_match is None:
        return
    present = held.version if held else 0
    if operation.if_match != present:
        raise errors.VersionConflict(present)


def _result(kind, exc, version=0, field=""):
    return changes.Result(kind, version, field, exc.message, exc.remedy)


def encode_spec(spec):
    """Return the JSON of a spec, as logs and snapshots carry it."""
    return msgspec.json.encode(spec)
