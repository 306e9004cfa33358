"""A TCP proxy on loopback that misbehaves on demand."""

import contextlib
import enum
import re
import socket
import struct

import gevent
from gevent import server as gevent_server

PIECE = 16 * 1024
DELAY_SECONDS = 0.3
POLL_SECONDS = 0.05
# With a linger time of zero, closing sends a reset.
RESET = struct.pack("ii", 1, 0)
# An instance's batches begin with its name, which is its address here.
SENDER = re.compile(rb"\r\n\r\n.*?(127\.\d+\.\d+\.\d+)", re.DOTALL)


class Mode(enum.Enum):
    """What happens to bytes.

    ``NO_ANSWERS`` lets requests through and holds up what comes back.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    NO_ANSWERS = "no_answers"
    REFUSE = "refuse"


class Proxy:
    """Passes connections on to ``target``, as its mode says.

    ``mode`` is for everybody, ``modes`` for those who send from an instance
    of that name.
    """

    def __init__(self, target, listen=("127.0.0.1", 0)):
        self._target = target
        self.mode = Mode.PASS
        self.modes = {}
        self._open = set()
        self._server = gevent_server.StreamServer(listen, self._serve)
        self._server.start()
        host, port = self._server.server_host, self._server.server_port
        self.address = f"{host}:{port}"

    def _serve(self, near, address):
        host, port = self._target.rsplit(":", 1)
        try:
            far = socket.create_connection((host, int(port)), 1.0)
            far.settimeout(None)
        except OSError:
            self._reset(near)
            return
        pair = _Pair(near, far)
        self._open.add(pair)
        jobs = [
            gevent.spawn(self._carry, pair, near, far, False),
            gevent.spawn(self._carry, pair, far, near, True),
        ]
        try:
            gevent.joinall(jobs, count=1)
        finally:
            gevent.killall(jobs)
            self._open.discard(pair)
            for sock in (near, far):
                sock.close()

    def _carry(self, pair, source, target, is_answer):
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(PIECE)
                if not data:
                    return
                if not is_answer and not pair.sender:
                    pair.sender = _sender_in(data)
                if self._mode_of(pair) is Mode.DELAY:
                    gevent.sleep(DELAY_SECONDS)
                while self._holds(pair, is_answer):
                    gevent.sleep(POLL_SECONDS)
                if self._mode_of(pair) is Mode.REFUSE:
                    self._reset(pair.near)
                    return
                target.sendall(data)

    def _mode_of(self, pair):
        return self.modes.get(pair.sender, self.mode)

    def _holds(self, pair, is_answer):
        mode = self._mode_of(pair)
        return mode is Mode.SILENT or (is_answer and mode is Mode.NO_ANSWERS)

    def reset(self):
        """Reset every open connection."""
        for pair in list(self._open):
            self._reset(pair.near)
            self._reset(pair.far)

    @staticmethod
    def _reset(sock):
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Stop, and end every connection."""
        self._server.stop(0)
        self.reset()


class _Pair:
    """The two sockets of a connection, and which instance sends on it."""

    __slots__ = ("near", "far", "sender")

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.sender = ""


def _sender_in(data):
    found = SENDER.search(data)
    return found[1].decode() if found else ""
