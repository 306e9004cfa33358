"""Opens tunnels to backend servers through other instances."""

import gevent
import msgspec

from dandeliontrail.decisions import peer_paths
from dandeliontrail.decisions import tunnel_admission

from .. import connection
from .. import peer_link
from .. import tunnel_frames
from .. import tunnel_messages
from . import answer_bounds
from . import answer_parser

# The peer connects to the server within 0.2 s.
OPEN_TIMEOUT_SECONDS = 0.5
RECEIVE_BYTES = 4 * 1024
# A refusal is below 1 KB.
MAX_REFUSAL_BYTES = 64 * 1024
FAILURES = (
    OSError,
    gevent.Timeout,
    answer_parser.ParseError,
    answer_bounds.TooLarge,
    msgspec.DecodeError,
)

_PATH_FAILURES = {
    tunnel_admission.Refusal.SERVER: peer_paths.PathFailure.SERVER,
    tunnel_admission.Refusal.UNKNOWN_SERVER: peer_paths.PathFailure.SERVER,
    tunnel_admission.Refusal.NO_SERVERS: peer_paths.PathFailure.NO_SERVERS,
}


class NotOpened(Exception):
    """No tunnel was opened; nothing was sent to the server.

    ``failure`` is a :class:`.peer_paths.PathFailure`.
    """

    def __init__(self, failure, text):
        super().__init__(text)
        self.failure = failure


class BrokenTunnel(ConnectionResetError):
    """The tunnel ended, but not with the server's connection."""


class TunnelSocket:
    """A socket to a server through a peer, as far as requests use one.

    ``received`` holds bytes of the tunnel that have arrived before.
    """

    def __init__(self, sock, received=b""):
        self._sock = sock
        self._decoder = tunnel_frames.FrameDecoder()
        self._unread = self._decoder.feed(received)
        self.send = sock.send
        self.settimeout = sock.settimeout
        self.setsockopt = sock.setsockopt
        self.close = sock.close

    def recv(self, size):
        """Return bytes of the server, ``b""`` once it has ended.

        Raises :class:`BrokenTunnel` if the tunnel ended by itself.
        """
        data, self._unread = self._unread, b""
        while not data:
            if self._decoder.ended:
                return b""
            frames = self._sock.recv(size)
            if not frames:
                raise BrokenTunnel("the tunnel ended before its server did")
            data = self._decoder.feed(frames)
        return data


class TunnelOpener:
    """Opens tunnels for one instance.

    ``key`` signs the requests; ``new_context`` returns the TLS context of a
    connection to a peer, or ``None`` for plain TCP.
    """

    def __init__(self, instance, key, connect_seconds, new_context):
        self._instance = instance
        self._key = key
        self._connect_seconds = connect_seconds
        self._new_context = new_context

    def open(self, path, request_id=""):
        """Return a socket to a server through a peer.

        ``path`` is an ``effects.Dispatch`` or an ``effects.CheckPath`` with a
        peer.  Raises :class:`NotOpened`.
        """
        request = tunnel_messages.TunnelRequest(
            self._instance,
            path.backend_server,
            path.epoch,
            path.url,
            request_id,
        )
        sock = None
        try:
            with gevent.Timeout(OPEN_TIMEOUT_SECONDS):
                sock = self._connect(path.peer_address)
                sock.sendall(self._encode(request, path.peer_address))
                answer = _read_answer(sock)
            refused = _refusal_in(answer)
        except FAILURES as exc:
            _close(sock)
            raise NotOpened(
                peer_paths.PathFailure.PEER,
                f"tunnel through {path.peer}: {type(exc).__name__}: {exc}",
            )
        if refused is None:
            return TunnelSocket(sock, answer.body)
        _close(sock)
        raise NotOpened(
            path_failure_of(refused),
            f"tunnel through {path.peer}: refused, {refused.refusal.value}",
        )

    def _connect(self, peer_address):
        sock = connection.connect(peer_address, self._connect_seconds)
        sock.settimeout(None)
        connection.enable_tcp_keepalive(sock)
        connection.reset_on_close(sock)
        context = self._new_context()
        return sock if context is None else context.wrap_socket(sock)

    def _encode(self, request, peer_address):
        body = msgspec.json.encode(request)
        lines = (
            f"POST {tunnel_messages.PATH} HTTP/1.1",
            f"Host: {peer_address}",
            "Connection: Upgrade",
            f"Upgrade: {tunnel_messages.PROTOCOL}",
            f"{peer_link.SIGNATURE_HEADER}: {self._key.sign(body)}",
            f"Content-Length: {len(body)}",
        )
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class _Answer(msgspec.Struct):
    """The answer of a peer: its status, and its body or what follows it.

    ``protocol`` is the one to which the peer has switched.
    """

    status: int
    body: bytes
    protocol: str = ""


def _read_answer(sock):
    """Return the answer to a request for a tunnel."""
    data = b""
    while b"\r\n\r\n" not in data:
        if len(data) > answer_bounds.MAX_HEAD_BYTES:
            raise answer_bounds.TooLarge("the head of the answer is too long")
        data += _receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    status = int(head.split(None, 2)[1])
    if status == tunnel_messages.SWITCHED_STATUS:
        return _Answer(status, body, _upgrade_in(head))
    parser = answer_parser.AnswerParser()
    parser.feed(data)
    while not (parser.answers and parser.answers[0].complete):
        if len(data) > MAX_REFUSAL_BYTES:
            raise answer_bounds.TooLarge("the refusal is too long")
        part = _receive(sock)
        data += part
        parser.feed(part)
    return _Answer(status, parser.answers[0].take())


def _upgrade_in(head):
    """Return the protocol to which a peer has switched, by its head."""
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "upgrade":
            return value.strip()
    return ""


def _receive(sock):
    data = sock.recv(RECEIVE_BYTES)
    if not data:
        raise ConnectionError("the peer closed the connection")
    return data


def _refusal_in(answer):
    """Return what a peer refused with, ``None`` if the tunnel stands."""
    if answer.status == tunnel_messages.SWITCHED_STATUS:
        if answer.protocol != tunnel_messages.PROTOCOL:
            raise ConnectionError(f"the peer switched to {answer.protocol}")
        return None
    if answer.status != tunnel_messages.REFUSED_STATUS:
        raise ConnectionError(f"the peer answered {answer.status}")
    return msgspec.json.decode(answer.body, type=tunnel_messages.TunnelRefused)


def path_failure_of(refused):
    """Return why no tunnel was opened, by what the peer answered."""
    if refused.rests:
        return peer_paths.PathFailure.REST
    return _PATH_FAILURES.get(refused.refusal, peer_paths.PathFailure.PEER)


def _close(sock):
    if sock is not None:
        sock.close()
