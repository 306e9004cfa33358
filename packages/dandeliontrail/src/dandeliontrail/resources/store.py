"""The declared objects at one version of the log.

``ResourceStore`` is a pure state machine: the same changes in the same
order give the same objects and the same results on every instance.
"""

import collections
import dataclasses
import typing

import msgspec

from .. import errors
from .. import invariants
from . import changes
from . import checks
from . import specs

# A resend comes within minutes of a lost answer; at the 2,100 changes a day
# of the largest deployment this many results reach back almost two days.
KEPT_RESULTS = 4096


@dataclasses.dataclass(slots=True)
class Resource:
    """One object: ``version`` is the log position of its last change."""

    kind: specs.Kind
    name: str
    version: int
    spec: typing.Any


class ResourceStore:
    """All objects, the version they stand at, and recent results."""

    __slots__ = ("version", "objects", "results", "_by_key")

    def __init__(self):
        self.version = 0
        self.objects = {kind: {} for kind in specs.Kind}
        self.results = collections.OrderedDict()
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
        """Apply one logged change at ``version`` and return its result.

        A change whose ``operation_id`` was seen before is not applied
        again: its first result is returned.  That is what makes a resend
        after a lost answer safe.
        """
        invariants.check(
            version > self.version,
            "applied-version-never-falls",
            f"{version} after {self.version}",
        )
        earlier = self.results.get(change.operation_id)
        if earlier is not None:
            self.version = version
            return earlier
        result = self._apply_fresh(version, change)
        self.version = version
        self._remember(change.operation_id, result)
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

    def _remember(self, operation_id, result):
        if not operation_id:
            return
        self.results[operation_id] = result
        while len(self.results) > KEPT_RESULTS:
            self.results.popitem(last=False)

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
