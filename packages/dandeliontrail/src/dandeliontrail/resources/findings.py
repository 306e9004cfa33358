"""Findings of a configuration check, and differences of configurations."""

import enum
import typing

import msgspec

EXIT_CLEAN = 0
EXIT_WARNINGS = 1
EXIT_ERRORS = 2
INVALID = "invalid"
UNREADABLE = "unreadable"


class Level(enum.Enum):
    """How serious a finding is; an instance rejects a configuration of errors.

    An instance accepts a configuration that only has warnings.
    """

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """One finding; ``field`` is the part of the configuration it concerns."""

    level: Level
    code: str
    field: str
    message: str
    remedy: str


class AttributeChange(msgspec.Struct, frozen=True):
    """One attribute of a changed entry, with its value before and after."""

    name: str
    before: typing.Any
    after: typing.Any


class DifferenceKind(enum.Enum):
    """What happened to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(msgspec.Struct, frozen=True):
    """One difference; ``attributes`` is empty unless it is a change."""

    kind: DifferenceKind
    field: str
    attributes: list[AttributeChange] = []


class Report(msgspec.Struct, frozen=True):
    """The result of a check, in the form of its JSON output."""

    findings: list[Finding]
    differences: list[Difference] = []


def error(code, field, message, remedy):
    """Return a finding of level ``error``."""
    return Finding(Level.ERROR, code, field, message, remedy)


def warning(code, field, message, remedy):
    """Return a finding of level ``warning``."""
    return Finding(Level.WARNING, code, field, message, remedy)


def invalid(exc, field=None):
    """Return the error finding of a ``ResourceInvalid``.

    The message omits the field of the exception, which precedes it there.
    ``field`` replaces the field where the exception names a part of an
    object.
    """
    message = exc.message.removeprefix(f"{exc.field}: ")
    return error(INVALID, field or exc.field, message, exc.remedy)


def in_order(findings):
    """Return the findings sorted by level, errors first, field and code."""
    return sorted(
        findings,
        key=lambda item: (
            item.level is not Level.ERROR,
            item.field,
            item.code,
        ),
    )


def exit_status(findings):
    """Return the exit status of a check with these findings."""
    if any(item.level is Level.ERROR for item in findings):
        return EXIT_ERRORS
    return EXIT_WARNINGS if findings else EXIT_CLEAN
