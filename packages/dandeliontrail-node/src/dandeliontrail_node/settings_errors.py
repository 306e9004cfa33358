"""Turns validation errors of ``msgspec`` into helpful ``SettingsError``s.

The library names the path and the types.  Whoever corrects a settings file
also needs the present value and what to write instead, so the path is looked
up in the file and in the types of the settings.
"""

import re
import types
import typing

import msgspec

import dandeliontrail

ERROR_WITH_PATH = re.compile(r"(?P<what>.*?)(?: - at `\$\.?(?P<path>.*)`)?")
UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(?P<key>.*)`")
MISSING_FIELD = re.compile(r"Object missing required field `(?P<key>.*)`")
EXPECTED_TYPE = re.compile(r"Expected `(?P<wanted>.*?)`.*")
DOCS_HINT = "docs/operators/settings.md lists all keys"

_TYPE_DESCRIPTIONS = {
    "str": ("a text", "write a text, in quotes if it looks like a number"),
    "int": ("a whole number", "write a whole number without quotes"),
    "float": ("a number", "write a number without quotes"),
    "bool": ("true or false", "write true or false without quotes"),
    "array": ("a list", "write a list, as in [first, second]"),
    "object": ("a map of keys", "write its keys below it, indented"),
}


def from_validation_error(exc, loaded, cfg_type):
    """Return the ``SettingsError`` for a ``msgspec.ValidationError``.

    ``loaded`` is the content of the file and ``cfg_type`` the struct to which
    it was to be converted.
    """
    parsed = ERROR_WITH_PATH.fullmatch(str(exc))
    path = parsed["path"] or ""
    unknown = UNKNOWN_FIELD.fullmatch(parsed["what"])
    if unknown:
        return _unknown_key_error(path, unknown["key"], loaded, cfg_type)
    missing = MISSING_FIELD.fullmatch(parsed["what"])
    if missing:
        return _missing_key_error(path, missing["key"])
    expected = EXPECTED_TYPE.fullmatch(parsed["what"])
    return _wrong_type_error(path, expected["wanted"], loaded)


def _unknown_key_error(path, key, loaded, cfg_type):
    value = _value_at(loaded, path)
    known = _fields_at(cfg_type, path)
    import difflib

    close = difflib.get_close_matches(key, known, 1)
    remedy = f"write {close[0]}" if close else "take the key out"
    return _settings_error(
        _join_path(path, key),
        f"is {value.get(key)!r}, but there is no such key",
        ", ".join(known),
        f"{remedy}; {DOCS_HINT}",
    )


def _missing_key_error(path, key):
    return _settings_error(
        _join_path(path, key),
        "is missing",
        "a value",
        f"add the key; {DOCS_HINT}",
    )


def _wrong_type_error(path, expected, loaded):
    words = [
        _TYPE_DESCRIPTIONS.get(word, (word, ""))
        for word in expected.split(" | ")
    ]
    allowed = " or ".join(word for word, _ in words)
    return _settings_error(
        path or "the file",
        f"is {_value_at(loaded, path)!r}",
        allowed,
        words[0][1] or f"write {allowed}",
    )


def _settings_error(key, fault, allowed, remedy):
    return dandeliontrail.SettingsError(
        f"{key} {fault}; allowed: {allowed}.", remedy
    )


def _join_path(path, key):
    return f"{path}.{key}" if path else key


def _split_path(path):
    return re.findall(r"[^.\[\]]+", path)


def _value_at(loaded, path):
    """Return the value at ``path``; ``[...]`` means any element."""
    for step in _split_path(path):
        if isinstance(loaded, dict):
            loaded = loaded.get(step, next(iter(loaded.values()), None))
        elif isinstance(loaded, list) and step.isdigit():
            loaded = loaded[int(step)]
    return loaded


def _fields_at(cfg_type, path):
    for step in _split_path(path):
        if _is_struct(cfg_type):
            cfg_type = typing.get_type_hints(cfg_type)[step]
        else:
            cfg_type = typing.get_args(cfg_type)[-1]
        cfg_type = _without_none(cfg_type)
    return cfg_type.__struct_fields__


def _without_none(cfg_type):
    if isinstance(cfg_type, types.UnionType):
        return typing.get_args(cfg_type)[0]
    return cfg_type


def _is_struct(cfg_type):
    return isinstance(cfg_type, type) and issubclass(cfg_type, msgspec.Struct)
