"""Fingerprints that identify a request across retries and instances.

A retry by the caller has another request id and may reach another instance.
The sender, the target and the body stay the same.
"""

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
