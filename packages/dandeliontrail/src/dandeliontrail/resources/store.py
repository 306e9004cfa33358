"""The declared objects at one version of the log.

``ResourceStore`` is a pure state machine: the same changes in the same
order give the same objects and the same results on every instance.
"""

import dataclasses
import typing

import msgspec

from .. import errors
from .. import invariants
from . import changes
from . import checks
from . import specs


@dataclasses.dataclass(slots=True)
class Resource:
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
    """All objects, as checkpoints carry them."""

    version: int
    objects: list[StoredObject]


class ResourceStore:
    """All objects and the version they stand at."""

    __slots__ = ("version", "objects", "_by_key")

    def __init__(self):
        self.version = 0
        self.objects = {kind: {} for kind in specs.Kind}
        self._by_key = {}

    def get(self, kind, name):
        """Return the object, or ``None`` where there is none."""
        return self.objects[kind].get(name)

    def spec(self, kind, name):
        """Return the spec of an object, or ``None``."""
        resource = self.objects[kind].get(name)
        return resource.spec if resource else None

    def organisation_of(self, key_hash):
        """Return the name of the organisation that owns a key, or ''."""
        return self._by_key.get(key_hash, "")

    def apply(self, version, change):
        """Apply one logged change at ``version`` and return its result."""
        invariants.check(
            version > self.version,
            "applied-version-never-falls",
            f"{version} after {self.version}",
        )
        result = self._apply_fresh(version, change)
        self.version = version
        return result

    def _apply_fresh(self, version, change):
        try:
            staged = self._stage(version, change)
        except errors.VersionConflict as exc:
            return _result(changes.ResultKind.CONFLICT, exc, exc.present)
        except checks.NoSuchObject as exc:
            return _result(changes.ResultKind.NOT_FOUND, exc)
        except errors.ResourceInvalid as exc:
            return _result(changes.ResultKind.INVALID, exc, 0, field=exc.field)
        self.objects = staged
        self._index_keys()
        return changes.Result(changes.ResultKind.ACCEPTED, version)

    def _stage(self, version, change):
        staged = {kind: dict(held) for kind, held in self.objects.items()}
        for operation in change.operations:
            kind = checks.kind_of(operation.kind)
            held = staged[kind].get(operation.name)
            _check_version(operation, held)
            if operation.verb is changes.Verb.DELETE:
                checks.present(held, operation)
                del staged[kind][operation.name]
                continue
            spec = checks.decode(kind, operation)
            staged[kind][operation.name] = Resource(
                kind, operation.name, version, spec
            )
        checks.across(staged)
        return staged

    def dump(self):
        """Return all objects as a :class:`StoredState`."""
        objects = [
            StoredObject(
                kind, name, held.version, msgspec.Raw(encode_spec(held.spec))
            )
            for kind, named in self.objects.items()
            for name, held in named.items()
        ]
        return StoredState(self.version, objects)

    def load(self, state):
        """Take over the JSON of a :class:`StoredState`."""
        found = msgspec.json.decode(state, type=StoredState)
        objects = {kind: {} for kind in specs.Kind}
        for item in found.objects:
            spec = msgspec.json.decode(
                item.spec, type=specs.SPEC_TYPES[item.kind]
            )
            objects[item.kind][item.name] = Resource(
                item.kind, item.name, item.version, spec
            )
        self.objects = objects
        self.version = found.version
        self._index_keys()

    def _index_keys(self):
        organisations = self.objects[specs.Kind.ORGANISATIONS]
        self._by_key = {
            key: name
            for name, resource in organisations.items()
            for key in resource.spec.keys
        }


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
