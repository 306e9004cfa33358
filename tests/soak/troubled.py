"""Servers that ask for rest, leave by their answers, or send without end.

What they get meanwhile is judged at the servers, by the entry that sends it,
and so is the memory of the entries.
"""

import contextlib
import dataclasses
import time

import gevent

from tests.common import platform_world
from tests.common import rest_judge
from tests.soak import processes

PAUSE_SECONDS = (0.5, 3.0)
ALL_SERVERS_SHARE = 0.25
REST_SECONDS = (0.5, 4.0)
TOLD_SECONDS = (0.2, 0.8)
LEAVING_SECONDS = (3.5, 6.0)
ENDLESS_SECONDS = (0.5, 1.5)
DRAIN_SECONDS = 2.0
# A disruption counts for this long, as on the platform.
CONTACT_SECONDS = 3.0
# Allowance, in seconds, for the timing of this process and the programs.
TIMING_SLACK_SECONDS = 0.5
MAX_SENT_BYTES = 40 * 1024 * 1024
# An instance may have 64 MB for its control, beside what it has at its start.
MAX_GROWTH_MB = 64.0
MEMORY_INTERVAL_SECONDS = 0.2
START_SECONDS = 3.0
LEAVING = "Server-Leaving: 1\r\n"
FILL = b"x" * 8192
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
ENDLESS = (
    (HEAD, b"A: b\r\n" * 1024),
    (HEAD + b"A: ", FILL),
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 256),
    (CHUNKED + b"\r\n0\r\n", b"A: b\r\n" * 1024),
    (CHUNKED + b"\r\n1;", FILL),
    (HEAD + b"\r\n", FILL),
    (
        CHUNKED + b"Content-Type: text/event-stream\r\n\r\n",
        b"2000\r\n" + FILL + b"\r\n",
    ),
)


@dataclasses.dataclass(slots=True)
class _Start:
    """A process, when it was first seen, and what it had at its start."""

    seen_at: float
    memory_mb: float


class ServerTrouble:
    """The trouble of one server; a new start of it has none.

    ``retry_after`` is what it answers with 503, ``None`` while it serves,
    ``leaves`` whether its answers say that it leaves, and ``endless`` the
    prefix and what it repeats without end.
    """

    def __init__(self):
        self.retry_after = None
        self.leaves = False
        self.endless = None
        self._judge = rest_judge.RestJudge()
        self._asked_at = {}
        self._left_at = {}

    @property
    def extra(self):
        """The header lines of its answers."""
        return LEAVING if self.leaves else ""

    def asked(self, entry, now):
        """Record that it asked an entry for rest."""
        self._judge.asked(entry, self.retry_after, now)
        self._asked_at.setdefault(entry, now)

    def said_leaving(self, entry, now):
        """Record that it said to an entry that it leaves."""
        self._left_at.setdefault(entry, now)

    def arrived(self, entry, now):
        """Return since when an entry should not have sent this, or ``None``.

        ``entry`` is its address.
        """
        if self._judge.arrived(entry, now):
            return self._asked_at[entry]
        left_at = self._left_at.get(entry, float("inf"))
        if now > left_at + DRAIN_SECONDS + TIMING_SLACK_SECONDS:
            return left_at
        return None


class Troubled:
    """Troubles servers; what it does depends on the seed alone.

    It has a generator of its own, so that the faults of a seed stay the same.
    """

    def __init__(self, world, seed):
        self._world = world
        self._rng = processes.seeded_random(seed, "troubled")
        self._memory = {}
        self.rests = 0
        self.leavings = 0
        self.endless = 0
        self.most_growth_mb = 0.0

    def run_forever(self):
        """Trouble one server after the other, or all at once."""
        rng = self._rng
        while True:
            gevent.sleep(rng.uniform(*PAUSE_SECONDS))
            chosen = self._world.servers
            if rng.random() >= ALL_SERVERS_SHARE:
                chosen = [rng.choice(chosen)]
            rng.choice((self._rest, self._rest, self._leave, self._send))(
                chosen
            )

    def _rest(self, servers):
        self.rests += 1
        seconds = round(self._rng.uniform(*REST_SECONDS), 2)
        troubles = [server.trouble for server in servers]
        for trouble in troubles:
            trouble.retry_after = seconds
        gevent.sleep(self._rng.uniform(*TOLD_SECONDS))
        for trouble in troubles:
            trouble.retry_after = None

    def _leave(self, servers):
        """Have one server leave, and start again at its address."""
        self.leavings += 1
        server = servers[0]
        trouble = server.trouble
        trouble.leaves = True
        gevent.sleep(self._rng.uniform(*LEAVING_SECONDS))
        if server.trouble is trouble:
            server.mark_disrupted()
            server.proxy.reset()
            server.restart()

    def _send(self, servers):
        self.endless += 1
        troubles = [server.trouble for server in servers]
        for trouble in troubles:
            trouble.endless = self._rng.choice(ENDLESS)
        gevent.sleep(self._rng.uniform(*ENDLESS_SECONDS))
        for trouble in troubles:
            trouble.endless = None
        for server in servers:
            # It could not name its limit meanwhile.
            server.name_limit(server.judge.limit)

    # -- at the servers -----------------------------------------------------

    def judge(self, server, entry, request_id):
        """Judge an arrival of an entry, given by its address."""
        now = time.monotonic()
        since = server.trouble.arrived(entry, now)
        if since is None or self._is_excused(server, entry, since, now):
            return
        self._world.report_violation(
            "servers that rest or leave are left alone",
            f"{server.id} got {request_id} from {entry}"
            f" {now - since:.2f} s after it had said so",
        )

    def _is_excused(self, server, address, since, now):
        """Return whether the entry or its path was disrupted meanwhile."""
        before = since - CONTACT_SECONDS
        for entry in self._world.entries:
            if entry.ip != address:
                continue
            return (
                entry.is_cut
                or entry.frozen
                or entry.healed_at > before
                or entry.disrupted_at > before
                or server.disrupted_at > before
                or entry.was_touched(since, now)
            )
        return True

    def answer(self, server, sock, entry, request_id):
        """Answer as the trouble of a server has it; return whether it did."""
        trouble = server.trouble
        if trouble.retry_after is not None:
            extra = (
                f"X-Dandeliontrail-Not-Executed: 1\r\n{server.extra}"
                f"Retry-After: {trouble.retry_after}\r\n"
            )
            sock.sendall(platform_world.whole(503, b"", request_id, extra))
            trouble.asked(entry, time.monotonic())
            return True
        if trouble.endless is not None:
            server.mark_disrupted()
            self._send_without_end(server, sock, *trouble.endless)
            return True
        return False

    def _send_without_end(self, server, sock, prefix, repeated):
        sent = 0
        with contextlib.suppress(OSError):
            sock.sendall(prefix)
            while sent <= MAX_SENT_BYTES:
                sock.sendall(repeated)
                sent += len(repeated)
        if sent > MAX_SENT_BYTES:
            self._world.report_violation(
                "bytes without end are cut off", f"{server.id} sent {sent}"
            )

    # -- memory -------------------------------------------------------------

    def watch_memory(self):
        """Judge how much the memory of entries grows, until the end."""
        while True:
            gevent.sleep(MEMORY_INTERVAL_SECONDS)
            for entry in self._world.entries:
                self._check_memory(entry)

    def _check_memory(self, entry):
        memory = entry.memory_mb()
        if memory is None:
            return
        now = time.monotonic()
        start = self._memory.setdefault(entry.pid, _Start(now, memory))
        if now < start.seen_at + START_SECONDS:
            start.memory_mb = max(start.memory_mb, memory)
        growth = round(memory - start.memory_mb, 1)
        self.most_growth_mb = max(self.most_growth_mb, growth)

    def check(self):
        """Report memory beyond the bound."""
        if self.most_growth_mb > MAX_GROWTH_MB:
            self._world.report_violation(
                "memory is bounded", f"{self.most_growth_mb} MB"
            )
