"""Validation of operators' changes before they are accepted."""

import re

import msgspec

from .. import errors
from . import specs

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
KEY_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")
LOWEST_PRIORITY = 15


class NoSuchObject(errors.DandeliontrailError):
    """The change names an object that does not exist."""


def kind_of(text):
    """Return the :class:`.specs.Kind` named ``text``.

    Raises ``ResourceInvalid`` for an unknown kind.
    """
    try:
        return specs.Kind(text)
    except ValueError:
        known = ", ".join(kind.value for kind in specs.Kind)
        raise errors.ResourceInvalid(
            "kind", f"{text!r} is not a kind.", f"use one of {known}"
        )


def require_present(resource, operation):
    """Raise :class:`NoSuchObject` if ``resource`` is ``None``.

    ``resource`` is the object that ``operation`` names.
    """
    if resource is None:
        raise NoSuchObject(
            f"There is no {operation.kind}/{operation.name}.",
            "list the kind to see the names that exist",
        )


def decode_spec(kind, operation):
    """Return the decoded and validated spec of a put operation.

    Raises ``ResourceInvalid`` if the name or the spec is invalid.
    """
    if not NAME_PATTERN.fullmatch(operation.name):
        raise errors.ResourceInvalid(
            "name",
            f"{operation.name!r} is not a name.",
            "use at most 63 lower-case letters, digits, dots and hyphens",
        )
    try:
        spec = msgspec.json.decode(operation.spec, type=specs.SPEC_TYPES[kind])
    except msgspec.ValidationError as exc:
        raise errors.ResourceInvalid(
            "spec", f"{exc}.", "correct the field at the path named"
        )
    _CHECKS[kind](spec)
    return spec


def _require(condition, field, message, remedy):
    if not condition:
        raise errors.ResourceInvalid(field, message, remedy)


def _check_organisation(spec):
    for key in spec.keys:
        _require(
            KEY_PATTERN.fullmatch(key),
            "spec.keys",
            "a key is not a hash.",
            "give sha256: and the 64 hex digits of the key's hash",
        )
    _require(
        spec.weight > 0,
        "spec.weight",
        f"{spec.weight} is not a weight.",
        "give a number above 0",
    )


def _check_request_class(spec):
    _require(
        0 <= spec.priority <= LOWEST_PRIORITY,
        "spec.priority",
        f"{spec.priority} is out of range.",
        f"give a whole number from 0 to {LOWEST_PRIORITY}",
    )
    _require(
        0 <= spec.minimum_share < 1,
        "spec.minimum_share",
        f"{spec.minimum_share} is out of range.",
        "give a share from 0 to below 1",
    )


def _check_backend_pool(spec):
    _require(
        spec.select.kind in ("", "model_engine", "service"),
        "spec.select.kind",
        f"{spec.select.kind!r} is not a kind of backend server.",
        "use model_engine or service",
    )


def _check_model_placement(spec):
    _require(
        0 <= spec.minimum_copies <= spec.maximum_copies,
        "spec.minimum_copies",
        "it is above maximum_copies or below 0.",
        "give 0 <= minimum_copies <= maximum_copies",
    )


_CHECKS = {
    specs.Kind.ORGANISATIONS: _check_organisation,
    specs.Kind.REQUEST_CLASSES: _check_request_class,
    specs.Kind.BACKEND_POOLS: _check_backend_pool,
    specs.Kind.MODEL_PLACEMENTS: _check_model_placement,
}
