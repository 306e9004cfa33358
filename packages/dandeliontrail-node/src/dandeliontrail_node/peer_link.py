"""Sends messages between instances as signed JSON over HTTP.

Each address has one outbox, one connection and one greenlet that sends the
queued messages as one batch.  The answer to a batch contains the messages
that the other instance has queued for this one, so a question and its answer
take one HTTP exchange instead of two.  Messages may be lost or duplicated;
every protocol on top of the link tolerates both.
"""

import gevent
from gevent import event as gevent_event
import msgspec

from dandeliontrail.coordination import codec
from dandeliontrail.coordination import messages
from dandeliontrail import interfaces

from . import outbox
from . import packing
from . import peer_connection

PATH = "/peer/v1/messages"
SIGNATURE_HEADER = "X-Peer-Signature"
# Set by senders that accept messages in the answer.  A release that does not
# send it gets its messages as separate batches.
ANSWERS_HEADER = "X-Peer-Answers"
CONNECT_SECONDS = 1.0
BACKOFF_SECONDS = 0.5
# A connection counts as dead if no answer arrives within this multiple of
# the usual latency, limited to the two bounds below.
ANSWER_TIMEOUT_FACTOR = 20.0
MIN_ANSWER_TIMEOUT_SECONDS = 0.5
MAX_ANSWER_TIMEOUT_SECONDS = 2.0
LATENCY_WEIGHT = 0.2
# Assumed minimum throughput, in bytes per second, of a shared link.
MIN_LINK_BYTES_PER_SECOND = 100_000.0
# An unused outbox, whose instance is gone, is closed after this time.
IDLE_TIMEOUT_SECONDS = 30.0
# Approximate size of the HTTP headers of a batch and its answer; counted
# against the byte budget.
HTTP_OVERHEAD_BYTES = 330
FAILURES = (*peer_connection.FAILURES, packing.BadBatch)


class ByteBudget:
    """A token bucket that holds the bytes of one second.

    It may become negative: messages that must be sent are sent in any case,
    and optional ones are dropped until the balance is positive again.
    """

    __slots__ = ("_rate", "_left", "_filled")

    def __init__(self, rate, now):
        self._rate = rate
        self._left = rate
        self._filled = now

    def has_left(self, now):
        """Return whether the budget has bytes left."""
        gained = (now - self._filled) * self._rate
        self._left = min(self._rate, self._left + gained)
        self._filled = now
        return self._left > 0

    def spend(self, count):
        """Subtract ``count`` bytes from the budget."""
        self._left -= count


class HttpPeerLink(interfaces.PeerLink):
    """Sends messages to any number of addresses without blocking the caller.

    ``counters`` receives the ``peer_*`` counts.  ``bytes_per_second`` is the
    budget over all addresses; beyond it :mod:`.outbox` sheds messages.
    ``new_context`` returns the TLS context of a new connection, or ``None``
    for plain TCP.  ``receive_batch`` is called with each envelope that arrives
    in an answer.
    """

    def __init__(
        self,
        identity,
        key,
        clock,
        counters,
        bytes_per_second,
        new_context=lambda: None,
    ):
        self._identity = identity
        self._key = key
        self.clock = clock
        self.counters = counters
        self.new_context = new_context
        self.budget = ByteBudget(bytes_per_second, clock.now())
        self.receive_batch = lambda envelope: None
        self._senders = {}

    def send(self, address, message):
        """Queue ``message`` for the instance at ``address``."""
        sender = self._senders.get(address)
        if sender is None:
            sender = _PeerSender(address, self)
            self._senders[address] = sender
        sender.put(message)

    def take_answer(self, address):
        """Return the body and headers of the answer to a batch.

        The body contains the messages queued for ``address``, from which the
        batch came.  Both are empty if nothing is queued.
        """
        sender = self._senders.get(address)
        batch = sender.take() if sender is not None else []
        return self.pack(batch) if batch else (b"", {})

    def process_answer(self, answer, body):
        """Process the messages in the answer to a batch.

        Raises :class:`.packing.BadBatch` if the answer is not signed with the
        key of this system or cannot be decoded.
        """
        signature = answer.get(SIGNATURE_HEADER.lower())
        if not body or not signature:
            # An earlier release, or no message was queued.
            return
        if not self._key.verify(body, signature):
            raise packing.BadBatch("the answer is not signed with our key")
        encoding = answer.get("content-encoding")
        try:
            found = codec.decode(packing.unpack(body, encoding))
        except msgspec.DecodeError as exc:
            raise packing.BadBatch(f"the answer is not a valid batch: {exc}")
        self.count_received(len(body), *found)
        self.receive_batch(found[0])

    def count_received(self, size, envelope, unknown_count):
        """Count a received batch, sent separately or in an answer.

        ``size`` is in bytes; ``unknown_count`` is the number of messages of
        unknown types.
        """
        self.counters["peer_received_bytes_total"] += size
        self.counters["peer_received_messages_total"] += len(envelope.messages)
        self.counters["peer_received_batches_total"] += 1
        self.counters["peer_unknown_messages_total"] += unknown_count

    def pack(self, batch):
        """Return the body of a batch and its headers with the signature."""
        own = self._identity
        sender = messages.Sender(
            own.instance,
            own.address,
            own.failure_domain,
            own.region,
            own.incarnation,
            round(min(item.queued for item in batch), 4),
        )
        envelope = codec.Envelope(sender, [item.message for item in batch])
        body, encoding = packing.pack(codec.encode(envelope))
        headers = {
            "Content-Type": "application/json",
            SIGNATURE_HEADER: self._key.sign(body),
            ANSWERS_HEADER: "1",
        }
        if encoding:
            headers["Content-Encoding"] = encoding
        self.budget.spend(len(body) + HTTP_OVERHEAD_BYTES)
        self.counters["peer_sent_bytes_total"] += len(body)
        self.counters["peer_sent_messages_total"] += len(batch)
        self.counters["peer_sent_batches_total"] += 1
        return body, headers

    def remove_sender(self, sender):
        """Remove a sender that has closed itself."""
        if self._senders.get(sender.address) is sender:
            del self._senders[sender.address]

    def close(self):
        """Stop sending and close all connections."""
        for sender in list(self._senders.values()):
            sender.close()


class _PeerSender:
    """The outbox, the connection and the sending greenlet of an address.

    The connection is opened on demand and closed after an error.
    """

    def __init__(self, address, link):
        self.address = address
        self._link = link
        self._outbox = outbox.Outbox()
        self._has_messages = gevent_event.Event()
        self._conn = None
        self._usual_latency = 0.0
        self._greenlet = gevent.spawn(self._send_forever)

    def put(self, message):
        """Queue one message."""
        self._outbox.put(message, self._link.clock.now())
        self._has_messages.set()

    def close(self):
        """Stop the greenlet and close the connection."""
        self._greenlet.kill()
        self._disconnect()

    def take(self):
        """Remove and return the queued messages that the budget allows."""
        within_budget = self._link.budget.has_left(self._link.clock.now())
        shed = self._outbox.shed
        batch = self._outbox.take(within_budget)
        counters = self._link.counters
        counters["peer_shed_messages_total"] += self._outbox.shed - shed
        return batch

    def _send_forever(self):
        while self._has_messages.wait(IDLE_TIMEOUT_SECONDS):
            self._has_messages.clear()
            if not self._send_waiting():
                gevent.sleep(BACKOFF_SECONDS)
        self._link.remove_sender(self)
        self._disconnect()

    def _send_waiting(self):
        """Send the queued messages; return whether they arrived."""
        batch = self.take()
        if not batch:
            # The messages went out in the answer to a batch.
            return True
        body, headers = self._link.pack(batch)
        # A middlebox may have dropped the state of a connection: the old one
        # accepts bytes but never answers, while a new one works.  So the
        # batch is sent once more on a new connection; both may arrive.
        reused = self._conn is not None
        if self._post(body, headers):
            return True
        return reused and self._post(body, headers)

    def _post(self, body, headers):
        began = self._link.clock.now()
        try:
            with gevent.Timeout(self._answer_timeout(len(body))):
                answer, data = self._open_connection().post(body, headers)
                self._link.process_answer(answer, data)
        except FAILURES:
            self._disconnect()
            self._link.counters["peer_failed_batches_total"] += 1
            return False
        if "close" in answer.get("connection").lower():
            # The other instance is draining and closes the connection, so
            # the next batch must not use it.
            self._disconnect()
        latency = self._link.clock.now() - began
        self._usual_latency += LATENCY_WEIGHT * (latency - self._usual_latency)
        return answer.status == 200

    def _answer_timeout(self, size):
        """Return the timeout in seconds for the answer to ``size`` bytes."""
        transfer = size / MIN_LINK_BYTES_PER_SECOND
        if self._conn is None:
            return CONNECT_SECONDS + MAX_ANSWER_TIMEOUT_SECONDS + transfer
        expected = max(
            MIN_ANSWER_TIMEOUT_SECONDS,
            ANSWER_TIMEOUT_FACTOR * self._usual_latency,
        )
        return min(MAX_ANSWER_TIMEOUT_SECONDS, expected) + transfer

    def _open_connection(self):
        if self._conn is None:
            self._conn = peer_connection.PeerConnection(
                self.address, PATH, CONNECT_SECONDS, self._link.new_context()
            )
        return self._conn

    def _disconnect(self):
        if self._conn is not None:
            self._conn.close()
            self._conn = None
