"""Reads declared objects from YAML files."""

import pathlib
import typing

import dandeliontrail
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
    Raises :class:`dandeliontrail.SettingsError` for a folder without YAML
    files, an unreadable file or an invalid document.
    """
    path = pathlib.Path(path)
    files = sorted(path.glob("*.yaml")) if path.is_dir() else [path]
    if not files:
        raise dandeliontrail.SettingsError(
            f"{path} holds no .yaml file.",
            "name a file, or a folder with such files",
        )
    documents = []
    for file in files:
        documents.extend(_read_file(file))
    return sorted(documents, key=_apply_order)


def _read_file(file):
    try:
        loaded = list(yaml.safe_load_all(file.read_text()))
        return [
            msgspec.convert(item, Document)
            for item in loaded
            if item is not None
        ]
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        raise dandeliontrail.SettingsError(
            f"{file}: {' '.join(str(exc).split())}.",
            "write kind, name and spec in each document",
        )


def _apply_order(document):
    if document.kind not in KINDS_IN_APPLY_ORDER:
        return len(KINDS_IN_APPLY_ORDER)
    return KINDS_IN_APPLY_ORDER.index(document.kind)
