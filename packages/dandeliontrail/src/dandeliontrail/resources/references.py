"""Index of the references between objects, updated with each change.

It allows validating a change against only the objects that it affects: with
1,600 organisations, scanning all of them for each of 100,000 changes would
make a restart take minutes.
"""

import math

from .. import errors
from . import specs

Kind = specs.Kind


def references_of(resource):
    """Return ``(kind, name, field)`` of each reference in a spec."""
    spec = resource.spec
    if resource.kind is Kind.REQUEST_CLASSES:
        return [(Kind.BACKEND_POOLS, name, "pools") for name in spec.pools]
    if resource.kind is Kind.MODEL_PLACEMENTS and spec.pool:
        return [(Kind.BACKEND_POOLS, spec.pool, "pool")]
    if resource.kind is not Kind.ORGANISATIONS:
        return []
    references = [
        (Kind.REQUEST_CLASSES, name, "classes") for name in spec.classes
    ]
    if spec.default_class:
        references.append(
            (Kind.REQUEST_CLASSES, spec.default_class, "default_class")
        )
    return references


def _invalid_field(resource, field, message, remedy):
    place = f"{resource.kind.value}/{resource.name}.spec.{field}"
    return errors.ResourceInvalid(place, message, remedy)


class References:
    """The objects that refer to each object, and the owner of each key.

    ``owners`` maps the hash of a key to the name of its organisation.
    """

    __slots__ = ("_users", "owners")

    def __init__(self):
        self._users = {}
        self.owners = {}

    def remove(self, resource):
        """Remove the references and keys of an object from the index."""
        for kind, name, _ in references_of(resource):
            users = self._users.get((kind, name))
            if users:
                users.discard((resource.kind.value, resource.name))
                if not users:
                    del self._users[(kind, name)]
        for key in _keys(resource):
            if self.owners.get(key) == resource.name:
                del self.owners[key]

    def add(self, resource):
        """Add the references and keys of an object to the index."""
        user = (resource.kind.value, resource.name)
        for kind, name, _ in references_of(resource):
            self._users.setdefault((kind, name), set()).add(user)
        for key in _keys(resource):
            self.owners.setdefault(key, resource.name)

    def check_present(self, resource, objects):
        """Check the references and keys of a changed object.

        Raises ``ResourceInvalid`` if an object that it refers to does not
        exist or if another organisation owns one of its keys.
        """
        for kind, name, field in references_of(resource):
            if name not in objects[kind]:
                raise _invalid_field(
                    resource,
                    field,
                    f"there is no {kind.value}/{name}.",
                    "create it first, or in the same change",
                )
        for key in _keys(resource):
            owner = self.owners.get(key, resource.name)
            if owner != resource.name:
                raise _invalid_field(
                    resource,
                    "keys",
                    f"a key belongs to organisation {owner!r} already.",
                    "give each organisation keys of its own",
                )

    def check_absent(self, kind, name):
        """Check that no object refers to a deleted one.

        Raises ``ResourceInvalid`` if one does.
        """
        users = self._users.get((kind, name))
        if not users:
            return
        user = "/".join(min(users))
        raise errors.ResourceInvalid(
            f"{kind.value}/{name}",
            f"it is in use by {user} and {len(users) - 1} more objects.",
            f"take it out of {user} first, or in the same change",
        )


def check_shares(classes):
    """Check that the guaranteed shares add up to less than 1.

    Raises ``ResourceInvalid`` if they don't.  ``fsum`` returns the same sum
    for any order of the summands: the order of the dict differs between an
    instance that replayed the log and one that loaded a checkpoint, and both
    must accept the same changes.
    """
    shares = math.fsum(item.spec.minimum_share for item in classes.values())
    if shares >= 1:
        raise errors.ResourceInvalid(
            "spec.minimum_share",
            f"the shares of all classes add up to {shares:.2f}.",
            "lower them until the sum is below 1",
        )


def _keys(resource):
    if resource.kind is Kind.ORGANISATIONS:
        return resource.spec.keys
    return ()
