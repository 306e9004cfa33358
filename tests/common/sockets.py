"""Servers of a few lines that misbehave on purpose."""

import contextlib

from gevent import server


@contextlib.contextmanager
def raw_server(handle):
    """Serve ``handle(sock, address)`` and give the server's URL."""
    listening = server.StreamServer(("127.0.0.1", 0), handle)
    listening.start()
    try:
        yield f"http://127.0.0.1:{listening.server_port}"
    finally:
        listening.stop(0.1)


def read_request(sock):
    """Read one request with its body and return it."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return data
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        part = sock.recv(65536)
        if not part:
            break
        body += part
    return head + b"\r\n\r\n" + body
