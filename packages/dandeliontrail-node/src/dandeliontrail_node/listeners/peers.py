"""The listener for other instances of the system."""

import msgspec

from dandeliontrail.coordination import codec
from dandeliontrail import events

from .. import packing
from .. import peer_link
from .. import wsgi

BODY_SECONDS = 5.0
SIGNATURE = "HTTP_" + peer_link.SIGNATURE_HEADER.upper().replace("-", "_")


class PeersApp:
    """Takes in the batches that :mod:`..peer_link` sends."""

    def __init__(self, host, key, limits):
        self._host = host
        self._key = key
        self._limits = limits

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
        self._count(len(body), len(envelope.messages), left_out)
        for message in envelope.messages:
            self._host.submit(
                events.PeerMessageReceived(envelope.sender, message)
            )
        return wsgi.reply(start_response, 200, b"{}", [wsgi.JSON])

    def _count(self, size, messages, left_out):
        counters = self._host.metrics.counters
        counters["peer_received_bytes_total"] += size
        counters["peer_received_messages_total"] += messages
        counters["peer_received_batches_total"] += 1
        counters["peer_unknown_messages_total"] += left_out
