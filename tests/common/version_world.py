"""Servers of several software versions, and callers who judge their streams.

Each event names the version that wrote it, so that a caller sees which
versions it holds events of, in one answer and over its tries.
"""

import re
import time

import gevent

from tests.common import platform_world
from tests.common import world

ROUTE = platform_world.route(
    "chat",
    "streaming",
    resumable=True,
    timeout_ms=8000,
    gap_aim_ms=1000,
    max_attempts=4,
)
EVENTS = 12
PAUSE_SECONDS = 0.03
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) \d+\n\n")


class VersionedServer:
    """A server that streams events with its version and resumes any stream.

    While ``breaks_after`` is a number, each new stream breaks off after so
    many events.  ``pause`` is the time between two events.
    """

    pause = PAUSE_SECONDS

    def __init__(self, platform, version, service="app", **more):
        self.version = version
        self.breaks_after = None
        self.is_alive = True
        self._platform = platform
        self._service = service
        self._more = more
        self.server = platform.server(
            self._answer, service, version=version, **more
        )
        announcer = gevent.spawn(self._announce)
        platform.at_end(announcer.kill)

    @property
    def id(self):
        """The id under which the server announces itself."""
        return self.server.id

    def _announce(self):
        while self.is_alive:
            gevent.sleep(1.0)
            if self.is_alive:
                self.announce()

    def announce(self, **more):
        """Send a heartbeat; ``more`` are fields of this and all later ones."""
        self._more.update(more)
        self._platform.heartbeat(
            self.server, self._service, version=self.version, **self._more
        )

    def crash(self):
        """End at once, as a crash does."""
        self.is_alive = False
        self.server.close()

    def come_back(self, version):
        """Start again at the same address, with other software."""
        self.server.disconnect()
        self.version = version
        self.announce()

    def leave(self, drain_seconds):
        """Announce the shutdown, serve on for a while, and end."""
        self.announce(state="draining")
        gevent.sleep(drain_seconds)
        self.crash()

    def _answer(self, server, sock, head):
        if not head.startswith("POST"):
            sock.sendall(platform_world.whole(200, b"", ""))
            return None
        last = int(platform_world.header(head, "last-event-id") or 0)
        sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
        for number in range(last + 1, EVENTS + 1):
            if self.breaks_after is not None and not last:
                if number > self.breaks_after:
                    return "close"
            data = f"id: {number}\ndata: {self.version} {number}\n\n"
            sock.sendall(platform_world.chunk(data.encode()))
            gevent.sleep(self.pause)
        sock.sendall(platform_world.END)
        return None


class Try:
    """One try of a caller: its id, entry, status, events and duration."""

    def __init__(self, request_id, entry):
        self.seconds = 0.0
        self.request_id = request_id
        self.entry = entry
        self.status = 0
        self.retry_after = None
        self.events = []
        self.whole = False


class Caller:
    """A caller who counts the versions of its stream, over all of its tries.

    ``leaves_after`` is a list: the first try is closed by the caller after so
    many events, the second one after the next number, and so on.
    ``names_latest`` makes it name the latest try with events, not the first,
    and ``names`` any other id.
    """

    def __init__(
        self,
        platform,
        name,
        entries,
        leaves_after=(),
        names_latest=False,
        names=None,
        max_tries=3,
        pause=0.0,
        path="/chat/a",
    ):
        self._platform = platform
        self._name = name
        self._entries = entries
        self._leaves_after = list(leaves_after)
        self._names_latest = names_latest
        self._names = names
        self._max_tries = max_tries
        self._pause = pause
        self._path = path
        self.tries = []
        self.events = []

    @property
    def versions(self):
        """The versions whose events the caller holds."""
        return {version for _, version in self.events}

    @property
    def complete(self):
        """Whether the caller has all events, in order and once each."""
        numbers = [number for number, _ in self.events]
        return self.tries[-1].whole and numbers == list(range(1, EVENTS + 1))

    @property
    def resumed(self):
        """The tries that resumed the stream."""
        first = next(
            (index for index, item in enumerate(self.tries) if item.events),
            len(self.tries),
        )
        return self.tries[first + 1 :]

    def run(self):
        """Try until the stream is whole; return the caller."""
        for number in range(self._max_tries):
            entry = self._entries[number % len(self._entries)]
            if self._send(number, entry).whole:
                break
            gevent.sleep(self._pause)
        return self

    def _send(self, number, entry):
        made = Try(f"{self._name}-{number}", entry)
        headers = self._resuming_headers()
        self.tries.append(made)
        sock = self._platform.connect(entry)
        platform_world.send(
            sock,
            "POST",
            self._path,
            platform_world.caller_headers(
                made.request_id, left="8000", headers=headers
            ),
            self._name.encode(),
        )
        leaves_after = self._leaves_after.pop(0) if self._leaves_after else 0
        began = time.monotonic()
        data = _read(sock, leaves_after)
        made.seconds = time.monotonic() - began
        if data:
            reply = platform_world.Reply(data)
            made.status = reply.status
            made.retry_after = reply.headers.get("retry-after")
            made.events = [
                (int(found[0]), found[1].decode())
                for found in _EVENT.findall(reply.body)
            ]
            made.whole = reply.status == 200 and reply.whole
        self.events.extend(made.events)
        return made

    def _resuming_headers(self):
        began = [item for item in self.tries if item.events]
        if not began:
            return []
        named = began[-1 if self._names_latest else 0].request_id
        return [
            ("Resumes", named if self._names is None else self._names),
            ("Last-Event-Id", str(self.events[-1][0])),
        ]


def _read(sock, leaves_after):
    """Read an answer, up to so many events if that is not zero."""
    data = b""
    try:
        while not data.endswith(b"\r\n" + platform_world.END):
            if leaves_after and len(_EVENT.findall(data)) >= leaves_after:
                break
            if b"Content-Length" in data and b"\r\n\r\n" in data:
                break
            more = sock.recv(65536)
            if not more:
                break
            data += more
    except OSError:
        pass
    finally:
        sock.close()
    return data


def wait_for_servers(entries, servers):
    """Wait until all entries may use the servers for new streams."""
    for entry in entries:
        registry = entry.host.state.registry
        world.wait_until(
            lambda: all(item.id in registry.servers for item in servers)
        )
    # The entries agree on new versions through the keeper.
    gevent.sleep(0.5)


def run_callers(callers, gap=0.02):
    """Run callers that begin one after the other; wait for all."""
    jobs = []
    for caller in callers:
        jobs.append(gevent.spawn(caller.run))
        gevent.sleep(gap)
    gevent.joinall(jobs, raise_error=True)
    return callers


def mixed(callers):
    """Return the callers whose streams hold events of two versions."""
    return [caller for caller in callers if len(caller.versions) > 1]
