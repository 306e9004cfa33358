"""Answers that end with their connection, resets, and callers who judge.

Such an answer names neither a length nor chunks, so that only the end of the
connection tells a whole one from a part.  Servers send it slowly, reset some,
and answer some requests before they have read a large body.
"""

import dataclasses
import enum
import socket
import time

import gevent

from tests.common import platform_world
from tests.soak import processes
from tests.soak import proxy

CALLERS = 6
EARLY = "X-Early"
PIECES = (4, 20)
PAUSE_SECONDS = (0.02, 0.1)
# Some streams outlast the grace of an instance that is told to stop.
LONG_SHARE = 0.15
LONG_PAUSE_SECONDS = 0.45
RESET_SHARE = 0.3
EARLY_SHARE = 0.15
# More than the buffers of a path to a server hold.
EARLY_BODY = b"x" * (4 * 1024 * 1024)
BUFFER_BYTES = 16 * 1024
# By then whoever sends a large body waits until more of it is read.
EARLY_PAUSE_SECONDS = 0.2
RETURN_SECONDS = (0.0, 0.2)
TIMEOUT_SECONDS = 11.0
ROUTES = tuple(
    platform_world.route(
        name, kind, timeout_ms=TIMEOUT_SECONDS * 1000.0, **more
    )
    for name, kind, more in (
        ("file", "safe", {}),
        ("deed", "non_idempotent", {"max_attempts": 1}),
        ("log", "streaming", {"resumable": True}),
        ("tail", "streaming", {"max_attempts": 1}),
    )
)
STREAMED = ("log", "tail")
NAMES = tuple(item["name"] for item in ROUTES)
HEAD = "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nConnection: close\r\n"


class Ending(enum.Enum):
    """How a caller's answer ended."""

    WHOLE = "whole"
    CUT = "cut"
    FAILED = "failed"
    REFUSED = "refused"
    NONE = "none"


@dataclasses.dataclass(slots=True)
class _Plan:
    """What a server sends in answer to one request."""

    pieces: int
    pause_seconds: float

    def events(self, first=1):
        """Return the events from one number on."""
        return [
            platform_world.event(number)
            for number in range(first, self.pieces + 1)
        ]


class OpenAnswers:
    """Plays them at all servers; what it does depends on the seed alone.

    It has a generator of its own, so that the faults of a seed stay the same.
    """

    def __init__(self, world, seed):
        self._world = world
        self._rng = processes.seeded_random(seed, "open answers")
        self._plans = {}
        self.ended = dict.fromkeys((item.value for item in Ending), 0)
        self.resets = 0
        self.early = 0

    def start(self):
        """Add the routes to the manifests to come, and start the callers."""
        parts = self._world.manifest_parts
        routes = parts.get("routes", platform_world.ROUTES)
        self._world.manifest_parts = {**parts, "routes": (*routes, *ROUTES)}
        for _ in range(CALLERS):
            self._world.spawn(self._call_forever)

    # -- servers ------------------------------------------------------------

    def respond(self, sock, head, request_id, extra):
        """Answer without a length; end the connection, or reset it."""
        rng = self._rng
        plan = self._plans[request_id]
        is_early = is_answered_early(head)
        is_stream = _route_of(head) in STREAMED
        kind = "text/event-stream" if is_stream else "text/plain"
        last_id = platform_world.header(head, "last-event-id")
        events = plan.events(int(last_id or 0) + 1)
        reset_after = None
        if is_early or rng.random() < RESET_SHARE:
            reset_after = rng.randint(0, len(events))
        if is_early:
            self.early += 1
            gevent.sleep(EARLY_PAUSE_SECONDS)
        seal = f"{platform_world.SEAL}: seal-{request_id}\r\n"
        own_id = f"X-Dandeliontrail-Request-Id: {request_id}\r\n"
        lines = HEAD.format(kind=kind) + own_id + seal + extra
        sock.sendall(f"{lines}\r\n".encode())
        for event in events[:reset_after]:
            sock.sendall(event)
            gevent.sleep(plan.pause_seconds)
        if reset_after is not None:
            self.resets += 1
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, proxy.LINGER_RESET
            )
        return "close"

    # -- callers ------------------------------------------------------------

    def _call_forever(self):
        while True:
            ending = self._call()
            self.ended[ending.value] += 1
            gevent.sleep(self._rng.uniform(*RETURN_SECONDS))

    def _call(self):
        world = self._world
        rng = self._rng
        entry = rng.choice(world.entries)
        route = rng.choice(NAMES)
        request_id = f"{route}-{len(self._plans)}"
        plan = _Plan(rng.randint(*PIECES), rng.uniform(*PAUSE_SECONDS))
        if rng.random() < LONG_SHARE:
            plan = _Plan(PIECES[1], LONG_PAUSE_SECONDS)
        self._plans[request_id] = plan
        # Servers that end under equal requests would have these held back.
        headers, body = [], request_id.encode()
        if rng.random() < EARLY_SHARE:
            headers, body = [(EARLY, "1")], body + EARLY_BODY
        key = world.keys[0]
        sent = time.monotonic()
        world.retries.requested(sent)
        world.sent_with[request_id] = (key, sent)
        world.taken_by[request_id] = entry
        if route == "deed":
            world.orders.append(request_id)
        reply = world.call(
            (entry.ip, world.ports["callers"]),
            "POST",
            f"/{route}/",
            platform_world.caller_headers(
                request_id,
                key=key,
                left=str(int(TIMEOUT_SECONDS * 1000)),
                headers=headers,
            ),
            body,
            TIMEOUT_SECONDS + 1.0,
        )
        return self._judge(request_id, entry, plan, reply)

    def _judge(self, request_id, entry, plan, reply):
        """Report a part of an answer that looks whole, or another answer."""
        if reply is None:
            return Ending.NONE
        if reply.status in (408, 421, 429, 503):
            self._world.refused.append(request_id)
            return Ending.REFUSED
        if reply.status != 200:
            return Ending.FAILED
        expected = b"".join(plan.events())
        seal = reply.headers.get(platform_world.SEAL.lower())
        is_own = expected.startswith(reply.body)
        if seal != f"seal-{request_id}" or not is_own:
            self._world.report_violation(
                "own answer", f"{request_id} got {seal}, {reply.body[-99:]}"
            )
        if not reply.whole:
            return Ending.CUT
        if reply.body != expected:
            self._world.report_violation(
                "cut looks whole",
                f"{request_id} at {entry.ip}: {len(reply.body)} of"
                f" {len(expected)} bytes",
            )
        return Ending.WHOLE

    def summary(self):
        """Return how answers ended, and what servers did to them."""
        return {**self.ended, "resets": self.resets, "early": self.early}

    def check(self):
        """Report a run that has played no such answer to its end."""
        if not self.ended["whole"] or not self.resets:
            self._world.report_violation(
                "open answers are played", f"{self.summary()}"
            )


def is_open(head):
    """Return whether a request is answered without a length."""
    return _route_of(head) in NAMES


def is_answered_early(head):
    """Return whether a request is answered before its body is read."""
    return bool(platform_world.header(head, EARLY))


def _route_of(head):
    return head.split(" ")[1].split("/")[1]
