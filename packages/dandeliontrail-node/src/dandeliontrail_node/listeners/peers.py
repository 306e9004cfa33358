"""The listener for other instances of the system."""

import msgspec

from dandeliontrail.coordination import codec

from .. import packing
from .. import peer_link
from .. import tunnel_messages
from .. import wsgi

MAX_BODY_SECONDS = 5.0


def _environ_key(header):
    return "HTTP_" + header.upper().replace("-", "_")


SIGNATURE_ENVIRON_KEY = _environ_key(peer_link.SIGNATURE_HEADER)
ACCEPTS_ANSWERS_ENVIRON_KEY = _environ_key(peer_link.ANSWERS_HEADER)


def not_signed():
    """Return the problem of a body that no instance of this system signed."""
    return wsgi.Problem(
        401,
        "peer_signature",
        "The batch is not signed with this system's key.",
        "use the same peer_key_file on every instance",
    )


class PeersApp:
    """Receives the batches that :mod:`..peer_link` sends, and answers them.

    Messages to the sender that are produced while its batch is handled go
    back in the HTTP response.  ``tunnel_app`` serves requests for tunnels.
    """

    def __init__(self, host, key, limits, link, tunnel_app):
        self._host = host
        self._key = key
        self._limits = limits
        self._link = link
        self._tunnel_app = tunnel_app

    def __call__(self, environ, start_response):
        """Serve one request."""
        if environ["PATH_INFO"] == tunnel_messages.PATH:
            return self._tunnel_app(environ, start_response)
        if environ["PATH_INFO"] != peer_link.PATH:
            raise wsgi.not_found(environ["PATH_INFO"])
        body = wsgi.read_body(
            environ, self._limits.body_bytes, MAX_BODY_SECONDS
        )
        if not self._key.verify(body, environ.get(SIGNATURE_ENVIRON_KEY, "")):
            raise not_signed()
        try:
            encoding = environ.get("HTTP_CONTENT_ENCODING", "")
            envelope, left_out = codec.decode(packing.unpack(body, encoding))
        except (msgspec.DecodeError, packing.BadBatch) as exc:
            raise wsgi.Problem(
                400,
                "malformed",
                f"{exc}.",
                "run the same release on every instance",
            )
        self._link.count_received(len(body), envelope, left_out)
        self._link.receive_batch(envelope)
        if not environ.get(ACCEPTS_ANSWERS_ENVIRON_KEY):
            return wsgi.reply(start_response, 200, b"{}", [wsgi.JSON])
        body, headers = self._link.take_answer(envelope.sender.address)
        return wsgi.reply(start_response, 200, body, headers.items())
