"""What is asked for something short answers without end.

Guards against an instance that runs out of memory while it opens a tunnel (the
address of a peer that has gone may be that of something else), or checks an
engine's health.
"""

import contextlib

from dandeliontrail import effects
from dandeliontrail_node import engine_client
from dandeliontrail_node.forwarding import tunnels
from dandeliontrail_node import tokens
from gevent import server as gevent_server
import pytest

# What is read, and what the buffers of a connection hold.
MAX_SENT_BYTES = 16 * 1024 * 1024
REFUSED = b"HTTP/1.1 409 Conflict\r\n"
ANSWERS = {
    "no head": (b"", b"x" * 65536),
    "a header": (REFUSED + b"X: ", b"x" * 65536),
    "a body": (REFUSED + b"\r\n", b"x" * 65536),
    "chunks": (
        REFUSED + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * 65536 + b"\r\n",
    ),
}


@contextlib.contextmanager
def endless_server(prefix, repeated):
    """Yield the address of a server without end, and what it has sent."""
    sent = []

    def serve(sock, address):
        sock.recv(65536)
        with contextlib.suppress(OSError):
            sock.sendall(prefix)
            while True:
                sock.sendall(repeated)
                sent.append(len(repeated))

    server = gevent_server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    yield f"127.0.0.1:{server.server_port}", sent
    server.stop(0.1)


@pytest.mark.parametrize("kind", ANSWERS)
def test_a_tunnel_is_not_opened_by_an_answer_without_end(kind):
    opener = tunnels.TunnelOpener("i1", tokens.PeerKey(""), 0.2, lambda: None)
    dispatch = effects.Dispatch("r1", 1, "s1", "http://127.0.0.1:1", 5)
    with endless_server(*ANSWERS[kind]) as (address, sent):
        dispatch.peer, dispatch.peer_address = "i2", address
        with pytest.raises(tunnels.NotOpened):
            opener.open(dispatch, "r1")
    assert sum(sent) < MAX_SENT_BYTES


@pytest.mark.parametrize("kind", ANSWERS)
def test_a_health_check_ends_beside_an_answer_without_end(kind):
    client = engine_client.PooledEngineClient(1.0, 2.0)
    with endless_server(*ANSWERS[kind]) as (address, sent):
        client.probe(f"http://{address}")
    assert sum(sent) < MAX_SENT_BYTES
