"""Raw socket servers for tests of misbehaving servers."""

import contextlib

from gevent import server


@contextlib.contextmanager
def raw_server(handle):
    """Serve ``handle(sock, address)`` and yield the server's URL."""
    listening = server.StreamServer(("127.0.0.1", 0), handle)
    listening.start()
    try:
        yield f"http://127.0.0.1:{listening.server_port}"
    finally:
        listening.stop(0.1)


def read_request(sock):
    """Read and return one request with its body.

    If the other end closes early, return what has arrived.
    """
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
