"""The listener for backend servers: announcements and cache events."""

import itertools

import dandeliontrail
import msgspec

from dandeliontrail.coordination import servers
from dandeliontrail import events
from dandeliontrail.resources import announcement_checks
from dandeliontrail.resources import announcements
from dandeliontrail.resources import changes

from .. import tokens
from .. import wsgi

MAX_BODY_BYTES = 256 * 1024
MAX_BODY_SECONDS = 5.0
MAX_DEPARTURE_SECONDS = 1.0


class Accepted(msgspec.Struct):
    """The answer to an announcement; ``lease`` is granted, in seconds."""

    lease: float
    accepted: bool = True


class BackendServersApp:
    """Receives what backend servers report about themselves."""

    def __init__(self, host, authenticator):
        self._host = host
        self._authenticator = authenticator
        self._departure_numbers = itertools.count(1)

    def __call__(self, environ, start_response):
        """Serve one request."""
        if environ["PATH_INFO"] == "/healthz":
            return wsgi.reply_json(start_response, {"ok": True})
        if not self._authenticator.name_of(tokens.bearer_token(environ)):
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
        batch = _read_json(environ, announcements.CacheEvents)
        self._host.submit(events.CacheChanged(batch))
        return wsgi.reply_json(start_response, {"accepted": True})

    def _announce(self, environ, start_response):
        announcement = _read_json(environ, announcements.Announcement)
        try:
            announcement_checks.check(announcement)
        except dandeliontrail.ResourceInvalid as exc:
            raise wsgi.Problem(
                400, "invalid_announcement", exc.message, exc.remedy
            )
        if announcement.leaving:
            self._confirm_departure(announcement)
        else:
            self._host.submit(events.Announced(announcement))
        lease = min(announcement.lease, servers.MAX_LEASE_SECONDS)
        return wsgi.reply_json(start_response, Accepted(lease))

    def _confirm_departure(self, announcement):
        """Acknowledge a departure only if it outlives this instance."""
        write_id = f"departure-{next(self._departure_numbers)}"
        result = self._host.submit_and_wait(
            write_id,
            events.Announced(announcement, write_id),
            MAX_DEPARTURE_SECONDS,
        )
        if result is None or result.kind is not changes.ResultKind.ACCEPTED:
            raise wsgi.Problem(
                503,
                "departure_not_confirmed",
                "No other instance has confirmed the departure.",
                "send it again, here or to another instance",
            )


def _read_json(environ, body_type):
    body = wsgi.read_body(environ, MAX_BODY_BYTES, MAX_BODY_SECONDS)
    return wsgi.decode(
        body, body_type, "correct the field named in the message"
    )
