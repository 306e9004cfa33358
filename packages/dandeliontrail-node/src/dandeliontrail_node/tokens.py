"""Authentication: token files and the key that all instances share."""

import hashlib
import hmac
import pathlib

import dandeliontrail

SCHEME = "Bearer "
UNSIGNED = "unsigned"


def hash_token(secret):
    """Return the hash of a secret, as it is stored and compared."""
    digest = hashlib.sha256(secret.encode()).hexdigest()
    return f"sha256:{digest}"


def bearer_token(environ):
    """Return the bearer token of a request, or ''."""
    header = environ.get("HTTP_AUTHORIZATION", "")
    if not header.startswith(SCHEME):
        return ""
    return header[len(SCHEME) :].strip()


class TokenFile:
    """The token file of a listener: names and the hashes of their tokens."""

    def __init__(self, path):
        self._path = path
        self._hashes = {}
        self.reload()

    def reload(self):
        """Read the file again; keep the present tokens if that fails.

        Raises :class:`dandeliontrail.SettingsError` if the file cannot be
        read or has a malformed line.
        """
        lines = _read(self._path).splitlines()
        hashes = {}
        for number, line in enumerate(lines, 1):
            fields = line.split()
            if not fields or line.startswith("#"):
                continue
            if len(fields) != 2 or not fields[1].startswith("sha256:"):
                raise dandeliontrail.SettingsError(
                    f"{self._path}:{number} is not a valid token line.",
                    "write one NAME sha256:HEX on each line",
                )
            hashes[fields[0]] = fields[1]
        self._hashes = hashes

    def name_of(self, token):
        """Return the name that ``token`` belongs to, or ''.

        All lines are compared, each in constant time, so that the response
        time reveals nothing about how close a guess is.
        """
        given = hash_token(token)
        matching = ""
        for name, stored in self._hashes.items():
            if hmac.compare_digest(given, stored):
                matching = name
        return matching


class OpenAccess:
    """Replaces the token file of a listener that is deliberately open."""

    def reload(self):
        """Do nothing, as there is no file."""

    def name_of(self, token):
        """Accept every token."""
        return "anonymous"


def new_authenticator(path, is_open):
    """Return the authenticator of a listener.

    Raises :class:`dandeliontrail.SettingsError` if there is neither a
    token file nor an entry in ``credentials.open``.
    """
    if path:
        return TokenFile(path)
    if is_open:
        return OpenAccess()
    raise dandeliontrail.SettingsError(
        "A listener has no token file and may not be open.",
        "name the file in credentials, or list it in credentials.open",
    )


class PeerKey:
    """Signs messages between instances (HMAC-SHA-256, RFC 2104)."""

    def __init__(self, path):
        self._path = path
        self._key = b""
        self.reload()

    def reload(self):
        """Read the key file again; keep the present key if that fails.

        Raises :class:`dandeliontrail.SettingsError` if the file cannot be
        read or is empty.
        """
        if not self._path:
            return
        key = _read(self._path).strip().encode()
        if not key:
            # With an empty key every peer would be accepted.
            raise dandeliontrail.SettingsError(
                f"{self._path} is empty.",
                "write one secret into it, the same for every instance",
            )
        self._key = key

    def sign(self, body):
        """Return the signature of ``body``.

        Without a key this is a constant, since no instance verifies it.
        """
        if not self._key:
            return UNSIGNED
        return hmac.digest(self._key, body, "sha256").hex()

    def verify(self, body, signature):
        """Return whether ``signature`` is valid for ``body``.

        Without a key every signature is accepted.
        """
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
