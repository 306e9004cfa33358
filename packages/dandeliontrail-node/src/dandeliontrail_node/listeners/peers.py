"""The listener for other instances of the system."""

import msgspec

from dandeliontrail.coordination import codec

from .. import packing
from .. import peer_link
from .. import wsgi

BODY_SECONDS = 5.0


def _environ_name(header):
    return "HTTP_" + header.upper().replace("-", "_")


SIGNATURE = _environ_name(peer_link.SIGNATURE_HEADER)
TAKES_ANSWERS = _environ_name(peer_link.ANSWERS_HEADER)


class PeersApp:
    """Takes in the batches that :mod:`..peer_link` sends, and answers.

    What these batches caused to be said to their sender goes back at once,
    in the answer.
    """

    def __init__(self, host, key, limits, link):
        self._host = host
        self._key = key
        self._limits = limits
        self._link = link

    def __call__(self, environ, start_response):
        """Serve one request."""
        if environ["PATH_INFO"] != peer_link.PATH:
            raise wsgi.not_found(environ["PATH_INFO"])
        body = wsgi.read_body(environ, self._limits.body_bytes, BODY_SECONDS)
        if not self._key.verify(body, environ.get(SIGNATURE, "")):
            raise wsgi.Problem(
                401,
                "peer_signature",
                "The batch is not signed with this system's key.",
                "give every instance the same peer_key_file",
            )
        try:
            encoding = environ.get("HTTP_CONTENT_ENCODING", "")
            envelope, left_out = codec.decode(packing.unpack(body, encoding))
        except (msgspec.DecodeError, packing.BadBatch) as exc:
            raise wsgi.Problem(
                400, "malformed", f"{exc}.", "run one release everywhere"
            )
        self._link.count_received(len(body), envelope, left_out)
        self._link.take_in(envelope)
        if not environ.get(TAKES_ANSWERS):
            return wsgi.reply(start_response, 200, b"{}", [wsgi.JSON])
        body, headers = self._link.answer(envelope.sender.address)
        return wsgi.reply(start_response, 200, body, headers.items())
