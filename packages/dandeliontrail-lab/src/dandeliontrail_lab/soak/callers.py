"""Callers with numbered requests, who note what they are told.

Each request asks for a length of its own, so that an answer that belongs
to another request, or lacks a piece, shows.
"""

import dataclasses
import itertools

import gevent

from .. import client

SHORTEST = 3
LENGTHS = 40
# A caller asks again this often, with the same key, for what may only run
# once and must land.
RESENDS = 40
RESEND_PAUSE = 0.5
ATTEMPT_SECONDS = 15.0
KEY = "soak-key"


@dataclasses.dataclass(slots=True)
class Told:
    """What a caller was told in the end about one request."""

    number: int
    class_name: str
    keyed: bool
    sends: int
    answer: client.Answer
    instances: list


class Callers:
    """Sends requests of three kinds until told to stop."""

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self._numbers = itertools.count(1)
        self.told = []
        self.under_way = 0
        self.stopping = False

    def start(self, count):
        """Start ``count`` callers of each kind."""
        kinds = (self._lookup, self._summary, self._order)
        return [gevent.spawn(self._loop, kind) for kind in kinds * count]

    def _loop(self, kind):
        while not self.stopping:
            self.under_way += 1
            try:
                kind(next(self._numbers))
            finally:
                self.under_way -= 1
            gevent.sleep(self._rng.random() * 0.2)

    def _lookup(self, number):
        """A repeatable request, sent once."""
        self._send(number, "lookup", "", 1)

    def _summary(self, number):
        """May run once, has a key, and is resent until it has landed."""
        self._send(number, "summary", f"summary-{number}", RESENDS)

    def _order(self, number):
        """May run once and has no key, so the caller sends it once."""
        self._send(number, "summary", "", 1)

    def _send(self, number, class_name, key, most):
        instances = []
        answer = client.Answer(0, error="no instance was ready")
        sends = 0
        while sends < most:
            instance = self._cluster.pick(self._rng)
            if instance is None:
                gevent.sleep(RESEND_PAUSE)
                sends += 1
                continue
            sends += 1
            instances.append(instance)
            answer = self._ask(number, class_name, key, instance)
            if answer.complete or (self.stopping and not key):
                break
            gevent.sleep(RESEND_PAUSE)
        self.told.append(
            Told(number, class_name, bool(key), sends, answer, instances)
        )

    def _ask(self, number, class_name, key, instance):
        ask = client.Ask(
            self._cluster.callers(instance),
            KEY,
            class_name,
            f"#{number}#",
            stream=number % 4 != 0,
            max_tokens=wanted_tokens(number),
            idempotency_key=key,
            timeout=ATTEMPT_SECONDS,
        )
        with gevent.Timeout(ATTEMPT_SECONDS * 2, False):
            return client.send(ask)
        return client.Answer(0, error="no answer in time")


def wanted_tokens(number):
    """Return how many tokens request ``number`` asks for."""
    return SHORTEST + number * 7 % LENGTHS


def expected_text(number):
    """Return the answer that belongs to request ``number`` alone."""
    words = [f"w{index}" for index in range(wanted_tokens(number))]
    return " ".join(words) + " "
