"""Carries messages between instances: HTTP with JSON, signed.

Each address has one outbox, one connection and one greenlet that sends
what has gathered as one batch.  What the other instance has for this one by
then comes back in the answer to the batch: a question and its answer are one
exchange in place of two.  Messages may be lost or repeated; every mechanism
above allows for both.
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
# Says that the sender takes messages in the answer; a release that does not
# know it gets them as batches of their own.
ANSWERS_HEADER = "X-Peer-Answers"
CONNECT_SECONDS = 1.0
BACKOFF_SECONDS = 0.5
# A connection that has gone silent is told by the pace of those before: it
# is given up after so many times the usual time of an answer, within these
# bounds.
SILENT_FACTOR = 20.0
SHORTEST_SILENCE = 0.5
LONGEST_SILENCE = 2.0
PACE_WEIGHT = 0.2
# A link that others use too carries at least so many bytes a second.
SLOW_LINK_BYTES = 100_000.0
# An outbox that nobody uses, since its instance has gone, is closed.
IDLE_SECONDS = 30.0
# What HTTP adds to the body of a batch and its answer, about; counted
# towards the budget.
OVERHEAD_BYTES = 330
FAILURES = (*peer_connection.FAILURES, packing.BadBatch)


class ByteBudget:
    """A token bucket of one second's bytes, which may go into debt.

    What must be sent is sent in any case; the debt then holds back the
    rest for as long as it takes.
    """

    __slots__ = ("_rate", "_left", "_filled")

    def __init__(self, rate, now):
        self._rate = rate
        self._left = rate
        self._filled = now

    def has_left(self, now):
        """Tell whether anything is left of the budget."""
        gained = (now - self._filled) * self._rate
        self._left = min(self._rate, self._left + gained)
        self._filled = now
        return self._left > 0

    def spend(self, count):
        """Take ``count`` bytes out."""
        self._left -= count


class HttpPeerLink(interfaces.PeerLink):
    """Sends to any number of addresses without ever blocking the sender.

    ``counters`` takes ``peer_*`` counts; ``bytes_per_second`` is the budget
    over all addresses, above which :mod:`.outbox` sheds.  ``new_context``
    returns the TLS context of a new connection, or ``None`` for none.
    ``take_in`` is called with each envelope that came in an answer.
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
        self.take_in = lambda envelope: None
        self._lines = {}

    def send(self, address, message):
        """Queue ``message`` for the instance at ``address``."""
        line = self._lines.get(address)
        if line is None:
            line = _Line(address, self)
            self._lines[address] = line
        line.put(message)

    def answer(self, address):
        """Take what waits for ``address``; return its body and headers.

        For the answer to a batch that came from there; both are empty where
        nothing waits.
        """
        line = self._lines.get(address)
        batch = line.take() if line is not None else []
        return self.pack(batch) if batch else (b"", {})

    def open_answer(self, answer, body):
        """Take in the messages in the answer to a batch."""
        signature = answer.get(SIGNATURE_HEADER.lower())
        if not body or not signature:
            # An earlier release, or there was nothing to say.
            return
        if not self._key.verify(body, signature):
            raise packing.BadBatch("the answer is not signed with our key")
        encoding = answer.get("content-encoding")
        try:
            found = codec.decode(packing.unpack(body, encoding))
        except msgspec.DecodeError as exc:
            raise packing.BadBatch(f"the answer is no batch: {exc}")
        self.count_received(len(body), *found)
        self.take_in(found[0])

    def count_received(self, size, envelope, left_out):
        """Count a batch that came in, on its own or in an answer."""
        self.counters["peer_received_bytes_total"] += size
        self.counters["peer_received_messages_total"] += len(envelope.messages)
        self.counters["peer_received_batches_total"] += 1
        self.counters["peer_unknown_messages_total"] += left_out

    def pack(self, batch):
        """Return the body of a batch and the headers that sign it."""
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
        self.budget.spend(len(body) + OVERHEAD_BYTES)
        self.counters["peer_sent_bytes_total"] += len(body)
        self.counters["peer_sent_messages_total"] += len(batch)
        self.counters["peer_sent_batches_total"] += 1
        return body, headers

    def forget(self, line):
        """Drop a line that has closed itself."""
        if self._lines.get(line.address) is line:
            del self._lines[line.address]

    def close(self):
        """Stop sending."""
        for line in list(self._lines.values()):
            line.close()


class _Line:
    """The outbox, the connection and the sending greenlet of an address."""

    def __init__(self, address, link):
        self.address = address
        self._link = link
        self._outbox = outbox.Outbox()
        self._filled = gevent_event.Event()
        self._conn = None
        self._usual = 0.0
        self._greenlet = gevent.spawn(self._send_forever)

    def put(self, message):
        """Queue one message."""
        self._outbox.put(message, self._link.clock.now())
        self._filled.set()

    def close(self):
        """Stop the greenlet and close the connection."""
        self._greenlet.kill()
        self._hang_up()

    def take(self):
        """Take out what has gathered, as far as the budget of bytes goes."""
        rich = self._link.budget.has_left(self._link.clock.now())
        shed = self._outbox.shed
        batch = self._outbox.take(rich)
        counters = self._link.counters
        counters["peer_shed_messages_total"] += self._outbox.shed - shed
        return batch

    def _send_forever(self):
        while self._filled.wait(IDLE_SECONDS):
            self._filled.clear()
            if not self._send_waiting():
                gevent.sleep(BACKOFF_SECONDS)
        self._link.forget(self)
        self._hang_up()

    def _send_waiting(self):
        """Send what has gathered; return whether it arrived."""
        batch = self.take()
        if not batch:
            # It went out in the answer to a batch from there.
            return True
        body, headers = self._link.pack(batch)
        # A connection that something in between has lost track of takes the
        # bytes and answers nothing, for good, while a new one works.  So
        # the batch goes out once more on a new one; both may arrive.
        reused = self._conn is not None
        if self._post(body, headers):
            return True
        return reused and self._post(body, headers)

    def _post(self, body, headers):
        began = self._link.clock.now()
        try:
            with gevent.Timeout(self._patience(len(body))):
                answer, data = self._connected().post(body, headers)
                self._link.open_answer(answer, data)
        except FAILURES:
            self._hang_up()
            self._link.counters["peer_failed_batches_total"] += 1
            return False
        if "close" in answer.get("connection").lower():
            # The other instance is on its way out: the next batch would
            # find this connection closed.
            self._hang_up()
        took = self._link.clock.now() - began
        self._usual += PACE_WEIGHT * (took - self._usual)
        return answer.status == 200

    def _patience(self, size):
        """Return how long an answer to so many bytes may take."""
        travel = size / SLOW_LINK_BYTES
        if self._conn is None:
            return CONNECT_SECONDS + LONGEST_SILENCE + travel
        expected = max(SHORTEST_SILENCE, SILENT_FACTOR * self._usual)
        return min(LONGEST_SILENCE, expected) + travel

    def _connected(self):
        if self._conn is None:
            self._conn = peer_connection.PeerConnection(
                self.address, PATH, CONNECT_SECONDS, self._link.new_context()
            )
        return self._conn

    def _hang_up(self):
        if self._conn is not None:
            self._conn.close()
            self._conn = None
