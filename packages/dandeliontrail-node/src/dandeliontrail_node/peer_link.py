"""Carries messages between instances: HTTP with JSON, signed.

Each address has one outbox and one greenlet that sends what has gathered
as one batch.  Messages may be lost; every mechanism above repeats itself.
"""

import collections
import random

import gevent
from gevent import event as gevent_event
import geventhttpclient

from dandeliontrail.coordination import codec
from dandeliontrail import interfaces

PATH = "/peer/v1/messages"
SIGNATURE_HEADER = "X-Peer-Signature"
# A batch of this many messages stays below the body limit of the receiver;
# an outbox keeps the newest, since every message is repeated or superseded.
LONGEST_OUTBOX = 512
CONNECT_SECONDS = 1.0
SEND_SECONDS = 2.0
BACKOFF_SECONDS = 0.5
FAILURES = (OSError, gevent.Timeout, geventhttpclient.response.HTTPParseError)


class HttpPeerLink(interfaces.PeerLink):
    """Sends to any number of addresses without ever blocking the sender."""

    def __init__(self, sender, key):
        self._sender = sender
        self._key = key
        self._outboxes = {}
        self.sent_bytes = 0
        self.sent_messages = 0

    def send(self, address, message):
        """Queue ``message`` for the instance at ``address``."""
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox = _Outbox(address, self)
            self._outboxes[address] = outbox
        outbox.put(message)

    def pack(self, messages):
        """Return the body of a batch and the headers that sign it."""
        body = codec.encode(codec.Envelope(self._sender, messages))
        headers = {
            "Content-Type": "application/json",
            SIGNATURE_HEADER: self._key.sign(body),
        }
        self.sent_bytes += len(body)
        self.sent_messages += len(messages)
        return body, headers

    def close(self):
        """Stop sending."""
        for outbox in self._outboxes.values():
            outbox.close()


class _Outbox:
    """What is still to be sent to one address."""

    def __init__(self, address, link):
        self._link = link
        self._waiting = collections.deque(maxlen=LONGEST_OUTBOX)
        self._filled = gevent_event.Event()
        host, port = address.rsplit(":", 1)
        self._client = geventhttpclient.HTTPClient(
            host.strip("[]"),
            int(port),
            connection_timeout=CONNECT_SECONDS,
            network_timeout=SEND_SECONDS,
        )
        self._greenlet = gevent.spawn(self._send_forever)

    def put(self, message):
        """Queue one message."""
        self._waiting.append(message)
        self._filled.set()

    def close(self):
        """Stop the greenlet and close the connection."""
        self._greenlet.kill()
        self._client.close()

    def _send_forever(self):
        while True:
            self._filled.wait()
            self._filled.clear()
            batch = list(self._waiting)
            self._waiting.clear()
            if batch and not self._post(batch):
                gevent.sleep(BACKOFF_SECONDS * (0.5 + random.random()))

    def _post(self, batch):
        body, headers = self._link.pack(batch)
        try:
            response = self._client.post(PATH, body, headers)
            response.read()
        except FAILURES:
            return False
        return response.status_code == 200
