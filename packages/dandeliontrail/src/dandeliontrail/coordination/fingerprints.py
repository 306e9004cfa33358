"""Fingerprints that identify a request, or a part of its prompt.

A retry by the caller has another request id and may reach another instance.
The sender, the target and the body stay the same.  Other requests may share
parts of the prompt: a fingerprint of a part stands for the part, the service
and the sender, since callers choose the ids of parts.
"""

import base64
import functools
import hashlib

# Among 100,000 requests, any two collide with a probability of about one in a
# billion.
FINGERPRINT_BYTES = 8


def of_content(method, target, body):
    """Return the fingerprint of a request's method, target and body.

    >>> of_content("POST", "/chat/", b"{}")
    '391c7af76fe133d1'
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(f"{method} {target}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def of_request(organisation, place, content):
    """Return the fingerprint of a request of ``organisation``.

    ``place`` is the host that it is sent to, or its request class;
    ``content`` is the fingerprint returned by :func:`of_content`.
    """
    text = f"{organisation}\n{place}\n{content}"
    return hashlib.blake2b(
        text.encode(), digest_size=FINGERPRINT_BYTES
    ).hexdigest()


# Tells fingerprints of parts from those of requests, which are hexadecimal.
_PART_PREFIX = "~"
_SENDER_SEPARATOR = "."
SENDER_BYTES = 4
# Most requests share their parts with others; an entry takes 0.2 KB.
MAX_REMEMBERED_PARTS = 4096
# Callers choose how many parts they name; further ones have no fingerprint.
MAX_SHARED_PARTS = 32


@functools.lru_cache(MAX_REMEMBERED_PARTS)
def of_part(organisation, service, part_id):
    """Return the fingerprint of a part of a prompt.

    >>> one = of_part("acme", "llm", "5c1e07a2")
    >>> other = of_part("lab", "llm", "5c1e07a2")
    >>> one == other, of_any_sender(one) == of_any_sender(other)
    (False, True)
    """
    part = _short_digest(f"{service}\n{part_id}", FINGERPRINT_BYTES)
    sender = _short_digest(organisation, SENDER_BYTES)
    return f"{_PART_PREFIX}{part}{_SENDER_SEPARATOR}{sender}"


def _short_digest(text, size):
    """Return a digest of ``size`` bytes as base64 without padding."""
    digest = hashlib.blake2b(text.encode(), digest_size=size).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


def of_shared_parts(organisation, service, parts):
    """Return the fingerprints of all parts but the last, each once.

    ``parts`` are pairs of an id and a number of tokens.  The last part
    belongs to the request itself.
    """
    shared = parts[:-1][:MAX_SHARED_PARTS]
    names = dict.fromkeys(name for name, _ in shared)
    return tuple(of_part(organisation, service, name) for name in names)


def is_part(fingerprint):
    """Return whether this is the fingerprint of a part of a prompt."""
    return fingerprint.startswith(_PART_PREFIX)


def of_any_sender(fingerprint):
    """Return what the fingerprints of a part have in common."""
    return fingerprint.partition(_SENDER_SEPARATOR)[0]
