"""The listener for backend servers: announcements."""

import dandeliontrail
import msgspec

from dandeliontrail.coordination import servers
from dandeliontrail import events
from dandeliontrail.resources import announcement_checks
from dandeliontrail.resources import announcements

from .. import tokens
from .. import wsgi

BODY_BYTES = 256 * 1024
BODY_SECONDS = 5.0


class Accepted(msgspec.Struct):
    """The answer to an announcement; ``lease`` is in seconds."""

    lease: float
    accepted: bool = True


class BackendServersApp:
    """Takes in what backend servers say of themselves."""

    def __init__(self, host, door):
        self._host = host
        self._door = door

    def __call__(self, environ, start_response):
        """Serve one request."""
        if environ["PATH_INFO"] == "/healthz":
            return wsgi.reply_json(start_response, {"ok": True})
        if not self._door.name_of(tokens.bearer(environ)):
            raise wsgi.Problem(
                401,
                "unknown_token",
                "The token is not in backend_tokens_file.",
                "send Authorization: Bearer with a registered token",
            )
        if environ["PATH_INFO"] == "/v1/announcements":
            return self._announce(environ, start_response)
        if environ["PATH_INFO"] == "/v1/cache-events":
            return self._cache_events(environ, start_response)
        raise wsgi.not_found(environ["PATH_INFO"])

    def _cache_events(self, environ, start_response):
        batch = _read(environ, announcements.CacheEvents)
        self._host.submit(events.CacheChanged(batch))
        return wsgi.reply_json(start_response, {"accepted": True})

    def _announce(self, environ, start_response):
        announcement = _read(environ, announcements.Announcement)
        try:
            announcement_checks.check(announcement)
        except dandeliontrail.ResourceInvalid as exc:
            raise wsgi.Problem(
                400, "invalid_announcement", exc.message, exc.remedy
            )
        self._host.submit(events.Announced(announcement))
        lease = min(announcement.lease, servers.LONGEST_LEASE)
        return wsgi.reply_json(start_response, Accepted(lease))


def _read(environ, kind):
    body = wsgi.read_body(environ, BODY_BYTES, BODY_SECONDS)
    return wsgi.decode(body, kind, "correct the field named")
