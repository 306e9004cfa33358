"""Crowds of clients at the listeners of the own interface, also with TLS."""

import contextlib
import os
import pathlib
import resource
import socket
import ssl

import gevent
import pytest

from dandeliontrail_lab import processes

from tests.common import certificates
from tests.common import crowd_world

MEMORY_BYTES = 112 * 1024 * 1024
DESCRIPTORS = 200
BODY_LIMIT = 4 * 1024 * 1024
SILENT_CROWD = 300
CROWD = 40
LISTENERS = ("callers", "backend_servers", "operators", "peers")
PATHS = {
    "callers": "/services/app/x",
    "backend_servers": "/v1/announcements",
    "operators": "/apis/v1/changes",
    "peers": "/peer/v1/messages",
}


@pytest.fixture(params=[False, True], ids=["plain", "tls"])
def made(request, tmp_path):
    certificate = tmp_path / "certificate.pem"
    certificate.write_text(certificates.FIRST)
    tls = {"certificate": str(certificate), "key": str(certificate)}
    extra = {
        "limits": {
            "memory_bytes": MEMORY_BYTES,
            "descriptors": DESCRIPTORS,
            "body_bytes": BODY_LIMIT,
        },
        "tls": {"callers": tls, "operators": tls} if request.param else {},
    }
    with processes.Deployment(["i1"], ["fd1"], extra) as deployment:
        (found,) = deployment.instances
        found.has_tls = request.param
        pid = found.process.pid
        limit = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limit)
        yield found


def connect(made, listener):
    """Return a connection to a listener, after the handshake with TLS."""
    host, port = made.addresses[listener].rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), 5.0)
    if not (made.has_tls and listener in ("callers", "operators")):
        return sock
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context.wrap_socket(sock)


def answers(made, listener):
    """Return whether a listener answers an ordinary request."""
    with contextlib.closing(connect(made, listener)) as sock:
        sock.settimeout(5.0)
        sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        return sock.recv(64).startswith(b"HTTP/1.1 ")


def check(made):
    for listener in LISTENERS:
        assert crowd_world.becomes_true(lambda: answers(made, listener))
    assert made.process.poll() is None
    status = pathlib.Path(f"/proc/{made.process.pid}/status").read_text()
    (line,) = [
        item for item in status.splitlines() if item.startswith("VmHWM:")
    ]
    assert int(line.split()[1]) * 1024 <= MEMORY_BYTES, line
    descriptors = os.listdir(f"/proc/{made.process.pid}/fd")
    assert len(descriptors) <= DESCRIPTORS


def test_more_silent_connections_than_descriptors(made):
    # With TLS they never begin their handshake.
    with contextlib.ExitStack() as stack:
        for listener in LISTENERS:
            host, port = made.addresses[listener].rsplit(":", 1)
            for _ in range(SILENT_CROWD // len(LISTENERS)):
                with contextlib.suppress(OSError):
                    sock = socket.create_connection((host, int(port)), 5.0)
                    stack.callback(sock.close)
        check(made)


@pytest.mark.parametrize("listener", LISTENERS)
def test_bodies_that_stop_short_of_their_end(made, listener):
    head = (
        f"POST {PATHS[listener]} HTTP/1.1\r\nHost: x\r\n"
        f"Content-Length: {BODY_LIMIT}\r\n\r\n"
    ).encode()
    open_sockets = []

    def join():
        with contextlib.suppress(OSError):
            sock = connect(made, listener)
            open_sockets.append(sock)
            body = b"x" * (BODY_LIMIT - 1)
            if not crowd_world.send_while_read(sock, head):
                crowd_world.send_while_read(sock, body)

    gevent.joinall(
        [gevent.spawn(join) for _ in range(CROWD)],
        timeout=crowd_world.PATIENCE_SECONDS,
    )
    check(made)
    for sock in open_sockets:
        sock.close()
