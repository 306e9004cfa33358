"""Checks on what backend servers say of themselves.

An announcement is spread to every instance and decides where requests go,
so an absurd one must be stopped at the instance that it reaches first.  The
bounds are far beyond any real server: they keep one faulty server from
taking memory or arithmetic beyond what the decisions are made for.
"""

import math
import urllib.parse

from .. import errors

KINDS = ("model_engine", "service")
LONGEST_TEXT = 256
LONGEST_URL = 1024
MOST_MODELS = 256
MOST_ADAPTERS = 1024
MOST_SLOTS = 65_536
# Numbers are kept within what JSON readers everywhere hold exactly
# (RFC 8259, section 6).
MOST = 2**53 - 1


def check(announcement):
    """Raise ``ResourceInvalid`` unless an announcement makes sense."""
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
    for field in ("backend_server", "failure_domain", "service", "role"):
        value = getattr(announcement, field)
        needed = field == "backend_server" or (
            field == "service" and announcement.kind == "service"
        )
        _require(
            len(value) <= LONGEST_TEXT
            and value.isprintable()
            and (value or not needed),
            field,
            value,
            f"{'1' if needed else '0'} to {LONGEST_TEXT} printable letters",
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
        _require(0 <= value <= MOST, field, value, f"0 to {MOST}")
    _require(
        0 <= announcement.slots <= MOST_SLOTS,
        "slots",
        announcement.slots,
        f"0 to {MOST_SLOTS}",
    )
    _require(
        math.isfinite(announcement.lease) and announcement.lease > 0,
        "lease",
        announcement.lease,
        "a number of seconds above 0",
    )


def _check_models(announcement):
    _require(
        len(announcement.models) <= MOST_MODELS,
        "models",
        len(announcement.models),
        f"at most {MOST_MODELS} models",
    )
    for model in announcement.models:
        _require(
            len(model.adapters) <= MOST_ADAPTERS,
            "models.adapters",
            len(model.adapters),
            f"at most {MOST_ADAPTERS} adapters",
        )
        for name in (model.name, model.version, *model.adapters):
            _require(
                len(name) <= LONGEST_TEXT,
                "models",
                name,
                f"names of at most {LONGEST_TEXT} letters",
            )


def _is_url(text):
    """Tell whether a client could connect to ``text``."""
    if len(text) > LONGEST_URL or not text.isprintable() or " " in text:
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


def _require(holds, field, value, allowed):
    if not holds:
        shown = repr(value)[:80]
        raise errors.ResourceInvalid(
            field,
            f"{shown} is not allowed; allowed: {allowed}.",
            "correct it in what the backend server announces",
        )
