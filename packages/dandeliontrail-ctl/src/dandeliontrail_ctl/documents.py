"""Objects in files, as operators keep them."""

import pathlib
import typing

import dandeliontrail
import msgspec
import yaml

# Objects are applied in this order, since later kinds name earlier ones.
KINDS = (
    "backendpools",
    "requestclasses",
    "organisations",
    "modelplacements",
)


class Document(msgspec.Struct, forbid_unknown_fields=True):
    """One object in a file; what ``get`` prints is one too."""

    kind: str
    name: str
    spec: dict[str, typing.Any] = {}
    version: int | None = None
    status: typing.Any = None


def read_documents(path):
    """Return the objects in a file, or in all files of a folder.

    They come in an order in which each finds what it names.
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
    return sorted(documents, key=_kind_order)


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


def _kind_order(document):
    if document.kind not in KINDS:
        return len(KINDS)
    return KINDS.index(document.kind)
