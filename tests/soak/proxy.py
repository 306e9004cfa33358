"""A TCP proxy on loopback that misbehaves on demand."""

import contextlib
import enum
import socket
import struct

import gevent
from gevent import server as gevent_server

PIECE = 16 * 1024
DELAY_SECONDS = 0.3
# With a linger time of zero, closing sends a reset.
RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What happens to bytes and to new connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    NO_ANSWERS = "no_answers"


class Proxy:
    """Passes connections on to ``target``, as its mode says."""

    def __init__(self, target):
        self._target = target
        self.mode = Mode.PASS
        self._open = set()
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _serve(self, near, address):
        host, port = self._target.rsplit(":", 1)
        try:
            far = socket.create_connection((host, int(port)), 1.0)
        except OSError:
            self._reset(near)
            return
        pair = (near, far)
        self._open.add(pair)
        jobs = [
            gevent.spawn(self._carry, near, far, False),
            gevent.spawn(self._carry, far, near, True),
        ]
        try:
            gevent.joinall(jobs, count=1)
        finally:
            gevent.killall(jobs)
            self._open.discard(pair)
            for sock in pair:
                sock.close()

    def _carry(self, source, target, is_answer):
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(PIECE)
                if not data:
                    return
                if self.mode is Mode.DELAY:
                    gevent.sleep(DELAY_SECONDS)
                while self.mode is Mode.SILENT or (
                    is_answer and self.mode is Mode.NO_ANSWERS
                ):
                    gevent.sleep(0.05)
                target.sendall(data)

    def reset(self):
        """Reset every open connection."""
        for pair in list(self._open):
            for sock in pair:
                self._reset(sock)

    @staticmethod
    def _reset(sock):
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Stop, and end every connection."""
        self._server.stop(0)
        self.reset()
