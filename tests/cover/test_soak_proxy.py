"""The network path of the soak passes ends on as a path does."""

import contextlib
import socket

from gevent import server as gevent_server
import pytest

from tests.soak import proxy


@pytest.mark.parametrize("resets", [False, True])
def test_a_reset_of_a_server_is_no_orderly_end_behind_the_proxy(resets):
    def serve(sock, address):
        sock.recv(1)
        sock.sendall(b"part")
        if resets:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, proxy.LINGER_RESET
            )
        sock.close()

    with contextlib.ExitStack() as stack:
        server = gevent_server.StreamServer(("127.0.0.1", 0), serve)
        server.start()
        stack.callback(server.stop, 0)
        path = proxy.Proxy(f"127.0.0.1:{server.server_port}")
        stack.callback(path.close)
        host, port = path.address.rsplit(":", 1)
        sock = stack.enter_context(socket.create_connection((host, int(port))))
        sock.sendall(b"x")
        received = b""
        ended_orderly = False
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(100):
                received += data
            ended_orderly = True
        assert ended_orderly is not resets
