"""The declared objects at one version of the log.

``ResourceStore`` is a deterministic state machine: the same changes in the
same order produce the same objects and results on every instance.
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
    """A declared object.

    ``version`` is the log position of its last change.
    """

    kind: specs.Kind
    name: str
    version: int
    spec: typing.Any


class StoredObject(msgspec.Struct):
    """The format of an object in a checkpoint."""

    kind: specs.Kind
    name: str
    version: int
    spec: msgspec.Raw


class StoredState(msgspec.Struct):
    """The format of all objects and recent changes in a checkpoint."""

    version: int
    objects: list[StoredObject]
    floor: int
    items: list[history_module.HistoryItem]


class ResourceStore:
    """All declared objects, their version, and the recent changes."""

    __slots__ = ("version", "objects", "history", "_references")

    def __init__(self):
        self.version = 0
        self.objects = {kind: {} for kind in specs.Kind}
        self.history = history_module.History()
        self._references = references.References()

    def get(self, kind, name):
        """Return an object, or ``None`` if it does not exist."""
        return self.objects[kind].get(name)

    def spec(self, kind, name):
        """Return the spec of an object, or ``None`` if it does not exist."""
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
        """Return the result that ``change`` would have at this version."""
        staged = self._stage(self.version, change)
        if isinstance(staged, changes.Result):
            return staged
        staged.undo()
        return changes.Result(changes.ResultKind.ACCEPTED, self.version)

    def _stage(self, version, change):
        """Make the change in place.

        Returns the :class:`_StagedChange`, or if the change is invalid, its
        result after undoing it.
        """
        staged = _StagedChange(self.objects, self._references)
        try:
            staged.run(version, change)
        except errors.VersionConflict as exc:
            failed = _failed_result(
                changes.ResultKind.CONFLICT, exc, exc.present
            )
        except checks.NoSuchObject as exc:
            failed = _failed_result(changes.ResultKind.NOT_FOUND, exc)
        except errors.ResourceInvalid as exc:
            failed = _failed_result(
                changes.ResultKind.INVALID, exc, 0, field=exc.field
            )
        else:
            return staged
        staged.undo()
        return failed

    def rollback(self, version):
        """Return the operations that restore the objects of ``version``.

        Each is conditional on the current version of its object, so that
        concurrent changes are not overwritten.  Raises
        :class:`.history.HistoryGone` if the history does not reach back that
        far.
        """
        operations = []
        for (kind, name), spec in self.history.specs_at(version).items():
            resource = self.get(kind, name)
            current_version = resource.version if resource else 0
            if spec == _encoded_spec(resource):
                continue
            if spec == history_module.ABSENT:
                operation = changes.Operation(
                    changes.Verb.DELETE,
                    kind.value,
                    name,
                    if_match=current_version,
                )
            else:
                operation = changes.Operation(
                    changes.Verb.PUT,
                    kind.value,
                    name,
                    msgspec.Raw(spec),
                    current_version,
                )
            operations.append(operation)
        return operations

    def dump(self):
        """Return all objects as a :class:`StoredState`."""
        objects = [
            StoredObject(
                kind,
                name,
                resource.version,
                msgspec.Raw(encode_spec(resource.spec)),
            )
            for kind, by_name in self.objects.items()
            for name, resource in by_name.items()
        ]
        return StoredState(
            self.version, objects, self.history.floor, list(self.history.items)
        )

    def replace(self, other):
        """Replace the contents by those of another store."""
        self.objects = other.objects
        self._references = other._references
        self.version = other.version
        self.history = other.history


def read(state):
    """Return a store with the contents of a :class:`StoredState` in JSON."""
    stored = msgspec.json.decode(state, type=StoredState)
    found = ResourceStore()
    for item in stored.objects:
        spec = msgspec.json.decode(item.spec, type=specs.SPEC_TYPES[item.kind])
        resource = Resource(item.kind, item.name, item.version, spec)
        found.objects[item.kind][item.name] = resource
        found._references.add(resource)
    found.version = stored.version
    found.history = history_module.History(stored.floor, stored.items)
    return found


class _StagedChange:
    """A change made in place that can be undone as a whole.

    ``_before`` has the previous state of each changed object, and
    ``_indexed`` tells whether the references have been updated.
    """

    __slots__ = ("_objects", "_references", "_before", "_indexed")

    def __init__(self, objects, index):
        self._objects = objects
        self._references = index
        self._before = {}
        self._indexed = False

    def run(self, version, change):
        """Make the change.

        Raises ``VersionConflict``, ``NoSuchObject`` or ``ResourceInvalid``
        if it must not take effect; the caller must undo it then.
        """
        for operation in change.operations:
            self._apply_operation(version, operation)
        self._reindex(self._before.items(), self._current())
        self._indexed = True
        self._check()

    def _apply_operation(self, version, operation):
        kind = checks.kind_of(operation.kind)
        by_name = self._objects[kind]
        resource = by_name.get(operation.name)
        _check_version(operation, resource)
        if operation.verb is changes.Verb.DELETE:
            checks.require_present(resource, operation)
            self._before.setdefault((kind, operation.name), resource)
            del by_name[operation.name]
            return
        spec = checks.decode_spec(kind, operation)
        # Writing an identical spec leaves the version as it is, so that
        # applying a folder again has no effect on others.  A conditional
        # write does change the version: of two writes with the same
        # ``if_match`` only one may succeed.
        if operation.if_match is None and resource and resource.spec == spec:
            return
        self._before.setdefault((kind, operation.name), resource)
        by_name[operation.name] = Resource(kind, operation.name, version, spec)

    def _current(self):
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
        for (kind, name), resource in self._current():
            kinds.add(kind)
            if resource:
                self._references.check_present(resource, self._objects)
            else:
                self._references.check_absent(kind, name)
        if specs.Kind.REQUEST_CLASSES in kinds:
            references.check_shares(self._objects[specs.Kind.REQUEST_CLASSES])

    def undo(self):
        """Restore the objects and references from before the change."""
        after = self._current()
        for (kind, name), resource in self._before.items():
            if resource:
                self._objects[kind][name] = resource
            else:
                self._objects[kind].pop(name, None)
        if self._indexed:
            self._reindex(after, self._before.items())

    def steps(self):
        """Return the effects of the change, for the history."""
        return [
            history_module.Step(
                kind,
                name,
                msgspec.Raw(_encoded_spec(before)),
                msgspec.Raw(_encoded_spec(after)),
            )
            for ((kind, name), before), (_, after) in zip(
                self._before.items(), self._current()
            )
            if before is not after
        ]


def _encoded_spec(resource):
    """Return the JSON of an object's spec, or ``ABSENT`` for ``None``."""
    if resource is None:
        return history_module.ABSENT
    return encode_spec(resource.spec)


def _check_version(operation, resource):
    if operation.if_match is None:
        return
    current_version = resource.version if resource else 0
    if operation.if_match != current_version:
        raise errors.VersionConflict(current_version)


def _failed_result(kind, exc, version=0, field=""):
    return changes.Result(kind, version, field, exc.message, exc.remedy)


def encode_spec(spec):
    """Return the JSON of a spec, as stored in logs and snapshots."""
    return msgspec.json.encode(spec)
