"""Callers that send numbered requests and record the responses.

The requested length depends on the request number, so that a truncated
answer, or an answer to another request, is detected.
"""

import dataclasses
import itertools

import gevent

from .. import client

MIN_TOKENS = 3
DISTINCT_TOKEN_COUNTS = 40
# A non-repeatable request with an idempotency key is sent up to this often,
# until it succeeds.
MAX_SENDS = 40
RESEND_PAUSE_SECONDS = 0.5
ATTEMPT_TIMEOUT_SECONDS = 15.0
KEY = "soak-key"


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """The final response to one request, and how it was sent."""

    number: int
    class_name: str
    keyed: bool
    sends: int
    answer: client.Answer
    instances: list


class Callers:
    """Sends requests of three kinds until ``stopping`` is set."""

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self._numbers = itertools.count(1)
        self.records = []
        self.open_requests = 0
        self.stopping = False

    def start(self, count):
        """Start ``count`` callers of each kind."""
        request_kinds = (
            self._send_lookup,
            self._send_summary,
            self._send_summary_without_key,
        )
        return [
            gevent.spawn(self._loop, send_request)
            for send_request in request_kinds * count
        ]

    def _loop(self, send_request):
        while not self.stopping:
            self.open_requests += 1
            try:
                send_request(next(self._numbers))
            finally:
                self.open_requests -= 1
            gevent.sleep(self._rng.random() * 0.2)

    def _send_lookup(self, number):
        """Send a repeatable request once."""
        self._send(number, "lookup", "", 1)

    def _send_summary(self, number):
        """Send a non-repeatable request with a key, until it succeeds."""
        self._send(number, "summary", f"summary-{number}", MAX_SENDS)

    def _send_summary_without_key(self, number):
        """Send a non-repeatable request without a key, hence only once."""
        self._send(number, "summary", "", 1)

    def _send(self, number, class_name, key, max_sends):
        instances = []
        answer = client.Answer(0, error="no instance was ready")
        sends = 0
        while sends < max_sends:
            instance = self._cluster.pick(self._rng)
            if instance is None:
                gevent.sleep(RESEND_PAUSE_SECONDS)
                sends += 1
                continue
            sends += 1
            instances.append(instance)
            answer = self._send_once(number, class_name, key, instance)
            if answer.complete or (self.stopping and not key):
                break
            gevent.sleep(RESEND_PAUSE_SECONDS)
        self.records.append(
            RequestRecord(
                number, class_name, bool(key), sends, answer, instances
            )
        )

    def _send_once(self, number, class_name, key, instance):
        request = client.Ask(
            self._cluster.callers(instance),
            KEY,
            class_name,
            f"#{number}#",
            stream=number % 4 != 0,
            max_tokens=requested_tokens(number),
            idempotency_key=key,
            timeout=ATTEMPT_TIMEOUT_SECONDS,
        )
        with gevent.Timeout(ATTEMPT_TIMEOUT_SECONDS * 2, False):
            return client.send(request)
        return client.Answer(0, error="no answer in time")


def requested_tokens(number):
    """Return the number of tokens that request ``number`` asks for."""
    return MIN_TOKENS + number * 7 % DISTINCT_TOKEN_COUNTS


def expected_text(number):
    """Return the complete answer to request ``number``."""
    words = [f"w{index}" for index in range(requested_tokens(number))]
    return " ".join(words) + " "
