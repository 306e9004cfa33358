"""Reads declared objects from YAML files."""

import os
import pathlib
import typing

import dandeliontrail
from dandeliontrail.resources import changes
import msgspec
import yaml

# Later kinds refer to objects of earlier ones, so they are applied after
# them.
KINDS_IN_APPLY_ORDER = (
    "backendpools",
    "requestclasses",
    "organisations",
    "modelplacements",
)

# ``ValueError`` includes text that is not UTF-8, and dates that do not exist.
# PyYAML raises ``AttributeError`` and ``LookupError`` for scalars that do not
# fit an explicit tag, such as ``!!bool x``.
READ_ERRORS = (
    AttributeError,
    LookupError,
    OSError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
    yaml.YAMLError,
    msgspec.MsgspecError,
)


class UnreadablePath(dandeliontrail.SettingsError):
    """A file or folder cannot be read; ``path`` names it."""

    def __init__(self, path, message, remedy):
        super().__init__(message, remedy)
        self.path = path


class Document(msgspec.Struct, forbid_unknown_fields=True):
    """One object in a file.

    What ``get`` prints for one object as YAML is accepted too.
    """

    kind: str
    name: str
    spec: dict[str, typing.Any] = {}
    version: int | None = None
    status: typing.Any = None


def read_documents(path):
    """Return the objects in a file, or in all YAML files of a folder.

    They are sorted so that an object comes after those it refers to.
    Raises :class:`UnreadablePath` for a folder without YAML files, an
    unreadable file or an invalid document.
    """
    documents, errors = read_all(path)
    if errors:
        raise errors[0]
    return documents


def read_all(path):
    """Return the objects of the readable files, and the errors of others.

    The objects are those of :func:`read_documents`, the errors are its
    exceptions, one for each unreadable file.
    """
    path = pathlib.Path(path)
    # ``Path.is_dir`` raises an error for a name that is too long, and in a
    # folder without permission; reading the file reports it with its path.
    is_folder = os.path.isdir(path)
    files = sorted(path.glob("*.yaml")) if is_folder else [path]
    if not files:
        return [], [_empty_folder(path)]
    documents, errors = [], []
    for file in files:
        try:
            documents.extend(_read_file(file))
        except UnreadablePath as exc:
            errors.append(exc)
    return sorted(documents, key=_apply_order), errors


def operations_of(documents):
    """Return the operations that declare the objects."""
    return [
        changes.Operation(
            changes.Verb.PUT,
            item.kind,
            item.name,
            msgspec.Raw(msgspec.json.encode(item.spec)),
        )
        for item in documents
    ]


def encode_change(documents):
    """Return the body of a change that declares the objects."""
    return msgspec.json.encode({"operations": operations_of(documents)})


def _empty_folder(path):
    return UnreadablePath(
        path,
        f"{path} holds no .yaml file.",
        "name a file, or a folder with such files",
    )


def _read_file(file):
    try:
        loaded = list(yaml.safe_load_all(file.read_text(encoding="utf-8")))
        found = [
            msgspec.convert(item, Document)
            for item in loaded
            if item is not None
        ]
        # YAML can hold what JSON cannot, such as a list that contains itself.
        msgspec.json.encode(found)
    except READ_ERRORS as exc:
        raise UnreadablePath(
            file,
            f"{file}: {_reason(exc)}.",
            "write kind, name and spec in each document",
        )
    return found


def _reason(exc):
    """Return the reason of a read error in one line.

    Errors of PyYAML quote the lines around their position, which may contain
    keys, so only their description and position are used.
    """
    if not isinstance(exc, yaml.MarkedYAMLError):
        return " ".join(str(exc).split())
    parts = [text for text in (exc.context, exc.problem) if text]
    reason = " ".join(", ".join(parts).split())
    mark = exc.problem_mark or exc.context_mark
    if mark is None:
        return reason
    return f"{reason} (line {mark.line + 1}, column {mark.column + 1})"


def _apply_order(document):
    if document.kind not in KINDS_IN_APPLY_ORDER:
        return len(KINDS_IN_APPLY_ORDER)
    return KINDS_IN_APPLY_ORDER.index(document.kind)
