"""A scripted server that falls over if it has to turn away too many."""

import collections
import time

import gevent

from tests.common import platform_world

BRITTLE_HEADER = "Server-Brittle"
# How long a server that fell over is down.
DOWN_SECONDS = 2.0
WINDOW_SECONDS = 1.0


class BrittleServer:
    """Serves ``places`` requests at a time and queues none.

    It names ``allowed`` in all answers.  From ``since`` on, when it has turned
    more than that away within a second it falls over: it closes all
    connections and is back after some seconds under another id.  ``falls``
    holds when it fell, and ``busy_seconds`` the time that its places were
    taken from then on.
    """

    def __init__(self, platform, entries, places, allowed, answer_seconds):
        self._platform = platform
        self._places = places
        self._allowed = allowed
        self._answer_seconds = answer_seconds
        self._running = 0
        self._turned_away = collections.deque()
        self.falls = []
        self.since = 0.0
        self.busy_seconds = 0.0
        self.server = platform.server(self._script, slots=places)
        for entry in entries:
            platform.knows(entry, self.server)
        self._is_down = False

    @property
    def _extra(self):
        return f"{BRITTLE_HEADER}: {self._allowed}\r\n"

    def _script(self, server, sock, head):
        request_id = platform_world.id_of(head)
        if self._is_down:
            return "close"
        expected = platform_world.header(
            head, "X-Dandeliontrail-Expect-Instance"
        )
        if expected != server.id:
            sock.sendall(platform_world.whole(421, b"", request_id))
            return None
        is_full = self._running >= self._places
        if is_full and time.monotonic() >= self.since:
            return self._turn_away(sock, request_id)
        self._running += 1
        began = time.monotonic()
        try:
            gevent.sleep(self._answer_seconds)
        finally:
            self._running -= 1
        ended = time.monotonic()
        self.busy_seconds += max(0.0, ended - max(began, self.since))
        if self._is_down or expected != server.id:
            return "close"
        sock.sendall(
            platform_world.whole(200, b"whole", request_id, self._extra)
        )
        return None

    def _turn_away(self, sock, request_id):
        now = time.monotonic()
        self._turned_away.append(now)
        while now - self._turned_away[0] > WINDOW_SECONDS:
            self._turned_away.popleft()
        if len(self._turned_away) > self._allowed:
            self._fall(now)
            return "close"
        extra = f"X-Dandeliontrail-Not-Executed: 1\r\n{self._extra}"
        sock.sendall(platform_world.whole(503, b"", request_id, extra))
        return None

    def _fall(self, now):
        self.falls.append(now)
        self._is_down = True
        self._turned_away.clear()
        self.server.disconnect()
        gevent.spawn_later(DOWN_SECONDS, self._return)

    def _return(self):
        self._is_down = False
        self.server.id += "x"
        self._platform.heartbeat(self.server, slots=self._places)
