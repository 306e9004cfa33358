"""Who gets in: token files and the key that instances share."""

import hashlib
import hmac
import pathlib

import dandeliontrail

SCHEME = "Bearer "
UNSIGNED = "unsigned"


def hash_of(secret):
    """Return a secret in the form in which it is kept and compared."""
    digest = hashlib.sha256(secret.encode()).hexdigest()
    return f"sha256:{digest}"


def bearer(environ):
    """Return the bearer token of a request, or ''."""
    header = environ.get("HTTP_AUTHORIZATION", "")
    if not header.startswith(SCHEME):
        return ""
    return header[len(SCHEME) :].strip()


class TokenFile:
    """The names that may use a listener, by the hash of their token."""

    def __init__(self, path):
        self._path = path
        self._hashes = {}
        self.reload()

    def reload(self):
        """Read the file again; an unreadable one leaves all as it was."""
        lines = _read(self._path).splitlines()
        hashes = {}
        for number, line in enumerate(lines, 1):
            words = line.split()
            if not words or line.startswith("#"):
                continue
            if len(words) != 2 or not words[1].startswith("sha256:"):
                raise dandeliontrail.SettingsError(
                    f"{self._path}:{number} is not a token line.",
                    "write NAME sha256:HEX, one a line",
                )
            hashes[words[0]] = words[1]
        self._hashes = hashes

    def name_of(self, token):
        """Return the name that ``token`` belongs to, or ''.

        Every line is compared, each in constant time, so that the time
        taken tells nothing of how close a guess came.
        """
        given = hash_of(token)
        found = ""
        for name, held in self._hashes.items():
            if hmac.compare_digest(given, held):
                found = name
        return found


class OpenDoor:
    """Stands in for a token file on a listener knowingly left open."""

    def reload(self):
        """Nothing to read."""

    def name_of(self, token):
        """Let everybody in."""
        return "anonymous"


def doorkeeper(path, is_open):
    """Return what decides who may use a listener."""
    if path:
        return TokenFile(path)
    if is_open:
        return OpenDoor()
    raise dandeliontrail.SettingsError(
        "A listener has neither a token file nor leave to be open.",
        "name the file in credentials, or the listener in credentials.open",
    )


class PeerKey:
    """Signs what instances send one another (HMAC-SHA-256, RFC 2104)."""

    def __init__(self, path):
        self._path = path
        self._key = b""
        self.reload()

    def reload(self):
        """Read the file again; an unreadable one leaves the key as it was."""
        if not self._path:
            return
        key = _read(self._path).strip().encode()
        if not key:
            # An empty key would let every peer in.
            raise dandeliontrail.SettingsError(
                f"{self._path} is empty.",
                "write one secret into it, the same for every instance",
            )
        self._key = key

    def sign(self, body):
        """Return the signature of ``body``.

        Where there is no key nobody would check one.
        """
        if not self._key:
            return UNSIGNED
        return hmac.digest(self._key, body, "sha256").hex()

    def verify(self, body, signature):
        """Tell whether ``signature`` is that of ``body``."""
        if not self._key:
            return True
        given = signature.encode("latin-1", "replace")
        return hmac.compare_digest(self.sign(body).encode(), given)


def _read(path):
    try:
        return pathlib.Path(path).read_text()
    except OSError as exc:
        raise dandeliontrail.SettingsError(
            f"{path} cannot be read: {exc.strerror}.",
            "give the path of a file that this user may read",
        )
