"""Validation of the announcements of backend servers.

An announcement is replicated to every instance and decides where requests
go, so an invalid one must be rejected by the instance that receives it
first.  The bounds are far above the values of any real server: they prevent
a single faulty server from using excessive memory or from exceeding the
range of numbers that the decisions are designed for.
"""

import math
import urllib.parse

from .. import errors

KINDS = ("model_engine", "service")
MAX_TEXT_LENGTH = 256
MAX_URL_LENGTH = 1024
MAX_MODELS = 256
MAX_ADAPTERS = 1024
MAX_SLOTS = 65_536
# The largest integer that all JSON implementations represent exactly
# (RFC 8259, section 6).
MAX_INTEGER = 2**53 - 1


def check(announcement):
    """Raise ``ResourceInvalid`` unless an announcement is valid."""
    _check_texts(announcement)
    _require(
        announcement.kind in KINDS,
        "kind",
        announcement.kind,
        " or ".join(KINDS),
    )
    _require(
        _is_url(announcement.url),
        "url",
        announcement.url,
        "http://HOST:PORT or https://HOST:PORT",
    )
    _check_numbers(announcement)
    _check_models(announcement)


def _check_texts(announcement):
    for field in (
        "backend_server",
        "failure_domain",
        "service",
        "role",
        "software_version",
    ):
        value = getattr(announcement, field)
        required = field == "backend_server" or (
            field == "service" and announcement.kind == "service"
        )
        _require(
            len(value) <= MAX_TEXT_LENGTH
            and value.isprintable()
            and (value or not required),
            field,
            value,
            f"{'1' if required else '0'} to {MAX_TEXT_LENGTH} printable"
            " characters",
        )


def _check_numbers(announcement):
    load = announcement.load
    for field, value in (
        ("epoch", announcement.epoch),
        ("sequence", announcement.sequence),
        ("kv_tokens", announcement.kv_tokens),
        ("load.running", load.running),
        ("load.waiting", load.waiting),
        ("load.kv_used", load.kv_used),
        ("load.measured_ms_ago", load.measured_ms_ago),
    ):
        _require(
            0 <= value <= MAX_INTEGER, field, value, f"0 to {MAX_INTEGER}"
        )
    _require(
        0 <= announcement.slots <= MAX_SLOTS,
        "slots",
        announcement.slots,
        f"0 to {MAX_SLOTS}",
    )
    _require(
        math.isfinite(announcement.lease) and announcement.lease > 0,
        "lease",
        announcement.lease,
        "a number of seconds above 0",
    )


def _check_models(announcement):
    _require(
        len(announcement.models) <= MAX_MODELS,
        "models",
        len(announcement.models),
        f"at most {MAX_MODELS} models",
    )
    for model in announcement.models:
        _require(
            len(model.adapters) <= MAX_ADAPTERS,
            "models.adapters",
            len(model.adapters),
            f"at most {MAX_ADAPTERS} adapters",
        )
        for name in (model.name, model.version, *model.adapters):
            _require(
                len(name) <= MAX_TEXT_LENGTH,
                "models",
                name,
                f"names of at most {MAX_TEXT_LENGTH} characters",
            )


def _is_url(text):
    """Return whether ``text`` is a URL that a client can connect to."""
    if len(text) > MAX_URL_LENGTH or not text.isprintable() or " " in text:
        return False
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    return (
        parts.scheme in ("http", "https")
        and bool(parts.hostname)
        and port != 0
    )


def _require(condition, field, value, allowed):
    if not condition:
        shown = repr(value)[:80]
        raise errors.ResourceInvalid(
            field,
            f"{shown} is not allowed; allowed: {allowed}.",
            "correct the field in the announcement of the backend server",
        )
