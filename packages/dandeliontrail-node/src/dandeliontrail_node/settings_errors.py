"""Words for what the settings checker of ``msgspec`` finds.

The library names the place and the types.  Whoever mends a settings file
also wants the value that stands there and what to write instead, so the
place is looked up in the file and in the types of the settings.
"""

import difflib
import re
import types
import typing

import msgspec

import dandeliontrail

PLACE = re.compile(r"(?P<what>.*?)(?: - at `\$\.?(?P<path>.*)`)?")
UNKNOWN = re.compile(r"Object contains unknown field `(?P<key>.*)`")
MISSING = re.compile(r"Object missing required field `(?P<key>.*)`")
EXPECTED = re.compile(r"Expected `(?P<wanted>.*?)`.*")
PAGE = "docs/operators/settings.md lists all keys"

_WANTED = {
    "str": ("a text", "write a text, in quotes if it looks like a number"),
    "int": ("a whole number", "write a whole number without quotes"),
    "float": ("a number", "write a number without quotes"),
    "bool": ("true or false", "write true or false without quotes"),
    "array": ("a list", "write a list, as in [first, second]"),
    "object": ("a map of keys", "write its keys below it, indented"),
}


def reworded(exc, loaded, cfg_type):
    """Return the ``SettingsError`` for a ``msgspec.ValidationError``.

    ``loaded`` is the content of the file and ``cfg_type`` the struct that
    it was to become.
    """
    found = PLACE.fullmatch(str(exc))
    path = found["path"] or ""
    unknown = UNKNOWN.fullmatch(found["what"])
    if unknown:
        return _unknown(path, unknown["key"], loaded, cfg_type)
    missing = MISSING.fullmatch(found["what"])
    if missing:
        return _missing(path, missing["key"])
    wanted = EXPECTED.fullmatch(found["what"])
    return _mistyped(path, wanted["wanted"], loaded)


def _unknown(path, key, loaded, cfg_type):
    value = _value_at(loaded, path)
    known = _fields_at(cfg_type, path)
    close = difflib.get_close_matches(key, known, 1)
    remedy = f"write {close[0]}" if close else "take the key out"
    return _error(
        _join(path, key),
        f"is {value.get(key)!r}, but there is no such key",
        ", ".join(known),
        f"{remedy}; {PAGE}",
    )


def _missing(path, key):
    return _error(
        _join(path, key), "is missing", "a value", f"add the key; {PAGE}"
    )


def _mistyped(path, wanted, loaded):
    words = [_WANTED.get(word, (word, "")) for word in wanted.split(" | ")]
    allowed = " or ".join(word for word, _ in words)
    return _error(
        path or "the file",
        f"is {_value_at(loaded, path)!r}",
        allowed,
        words[0][1] or f"write {allowed}",
    )


def _error(key, fault, allowed, remedy):
    return dandeliontrail.SettingsError(
        f"{key} {fault}; allowed: {allowed}.", remedy
    )


def _join(path, key):
    return f"{path}.{key}" if path else key


def _steps(path):
    return re.findall(r"[^.\[\]]+", path)


def _value_at(loaded, path):
    """Return what stands at ``path``; ``[...]`` stands for any element."""
    for step in _steps(path):
        if isinstance(loaded, dict):
            loaded = loaded.get(step, next(iter(loaded.values()), None))
        elif isinstance(loaded, list) and step.isdigit():
            loaded = loaded[int(step)]
    return loaded


def _fields_at(cfg_type, path):
    for step in _steps(path):
        if _is_struct(cfg_type):
            cfg_type = typing.get_type_hints(cfg_type)[step]
        else:
            cfg_type = typing.get_args(cfg_type)[-1]
        cfg_type = _not_none(cfg_type)
    return cfg_type.__struct_fields__


def _not_none(cfg_type):
    if isinstance(cfg_type, types.UnionType):
        return typing.get_args(cfg_type)[0]
    return cfg_type


def _is_struct(cfg_type):
    return isinstance(cfg_type, type) and issubclass(cfg_type, msgspec.Struct)
