"""A caller can tell a response that was cut, also one that ends with its
connection."""

import contextlib
import logging
import pathlib
import signal
import socket
import ssl
import subprocess
import sys

from dandeliontrail_node import http_server
from dandeliontrail_node import settings
from dandeliontrail_node import wsgi
import gevent
import msgspec
import pytest

from tests.common import platform_world
from tests.common import world

CERTIFICATES = pathlib.Path(__file__).parent.parent / "common/certificates"

EVENTS = 3
ROUTES = (
    platform_world.route("chat", "streaming", resumable=True),
    platform_world.route("report", "streaming", max_attempts=1),
)
WHOLE = b"".join(platform_world.event(n) for n in range(1, EVENTS + 1))
# Serves one stream without end, and prints its port.
ENDLESS = """
from gevent import monkey
monkey.patch_all()
from dandeliontrail_node import http_server
from dandeliontrail_node import settings
import gevent
import logging

def app(environ, start_response):
    start_response("200 OK", [])
    while True:
        yield b"part"
        gevent.sleep(0.01)

server = http_server.Server(
    ("127.0.0.1", 0), app, settings.LimitSettings(), logging.getLogger()
)
server.start()
print(server.server_port, flush=True)
gevent.sleep(60)
"""


def request(path, *headers, version="HTTP/1.0"):
    """Return the bytes of a caller's request."""
    lines = [f"POST {path} {version}", f"Host: {platform_world.HOST}"]
    own = [("Content-Length", "0"), *platform_world.caller_headers("r1")]
    lines += [f"{name}: {value}" for name, value in (*own, *headers)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def read_to_end(sock):
    """Return what is received, and whether the end was orderly."""
    data = b""
    with gevent.Timeout(5.0):
        while True:
            try:
                more = sock.recv(65536)
            except (ConnectionResetError, ssl.SSLEOFError):
                return data, False
            if not more:
                return data, True
            data += more


def begin_stream(server, sock, head):
    sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
    sock.sendall(platform_world.chunk(platform_world.event(1)))
    gevent.sleep(0.1)


def cut_stream(server, sock, head):
    begin_stream(server, sock, head)
    return "close"


def whole_stream(server, sock, head):
    sock.sendall(platform_world.stream_head(platform_world.id_of(head)))
    sock.sendall(platform_world.chunk(WHOLE) + platform_world.END)


def slow_stream(server, sock, head):
    begin_stream(server, sock, head)
    gevent.sleep(2.0)


@pytest.fixture
def site():
    with platform_world.declared(ROUTES) as platform:
        yield platform, platform.entry()


def call(site, script, *headers):
    """Return a connection on which an HTTP/1.0 caller asks for a stream."""
    platform, entry = site
    platform.knows(entry, platform.server(script))
    sock = platform.connect(entry)
    sock.sendall(request("/report/x", *headers))
    return sock


KEEP_ALIVE = ("Connection", "keep-alive")


@pytest.mark.parametrize("headers", [(), (KEEP_ALIVE,)])
def test_a_whole_stream_ends_in_order_for_http_1_0(site, headers):
    data, orderly = read_to_end(call(site, whole_stream, *headers))
    assert data.endswith(b"\r\n\r\n" + WHOLE)
    assert b"keep-alive" not in data.lower()
    assert orderly


@pytest.mark.parametrize("headers", [(), (KEEP_ALIVE,)])
def test_a_cut_stream_is_reset_for_http_1_0(site, headers):
    data, orderly = read_to_end(call(site, cut_stream, *headers))
    assert data.startswith(b"HTTP/1.1 200")
    assert not orderly


def test_a_stream_of_a_stopped_instance_is_reset_for_http_1_0(site):
    _, entry = site
    sock = call(site, slow_stream)
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    entry._servers["callers"].stop(0.1)
    _, orderly = read_to_end(sock)
    assert not orderly


@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGTERM])
def test_a_response_of_an_ended_process_is_reset_for_http_1_0(end):
    with contextlib.ExitStack() as stack:
        process = stack.enter_context(
            subprocess.Popen(
                [sys.executable, "-c", ENDLESS], stdout=subprocess.PIPE
            )
        )
        stack.callback(process.kill)
        port = int(process.stdout.readline())
        sock = socket.create_connection(("127.0.0.1", port))
        stack.callback(sock.close)
        sock.sendall(request("/"))
        while b"part" not in sock.recv(65536):
            pass
        process.send_signal(end)
        _, orderly = read_to_end(sock)
        assert not orderly


@contextlib.contextmanager
def tls_server(app):
    """Yield the address of a server of ``app`` over TLS."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(
        CERTIFICATES / "instance.pem", CERTIFICATES / "instance.key"
    )
    server = http_server.Server(
        ("127.0.0.1", 0),
        app,
        settings.LimitSettings(),
        logging.getLogger(__name__),
        ssl_context=context,
    )
    server.start()
    try:
        yield ("127.0.0.1", server.server_port)
    finally:
        server.stop(0.1)


def connect_tls(address):
    """Return a connection that tells an end without a close alert."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context.wrap_socket(
        socket.create_connection(address), suppress_ragged_eofs=False
    )


@pytest.mark.parametrize("is_cut", [False, True])
def test_a_response_that_ends_with_a_tls_connection_says_its_end(is_cut):
    def app(environ, start_response):
        start_response("200 OK", [])
        yield b"part"
        if is_cut:
            raise wsgi.Aborted()

    with tls_server(app) as address, connect_tls(address) as sock:
        sock.sendall(request("/"))
        data, orderly = read_to_end(sock)
    assert data.endswith(b"\r\n\r\npart")
    assert orderly == (not is_cut)


def test_a_stream_is_not_whole_whose_caller_ends_its_sending_side():
    with world.World() as deployment:
        one = deployment.instance("i1")
        deployment.engine("e1", step=0.1)
        deployment.apply({"lookup": {"priority": 0}})
        host, port = one.addresses["callers"].rsplit(":", 1)
        body = msgspec.json.encode(
            {
                "model": "small",
                "prompt": "hello",
                "stream": True,
                "max_tokens": 100,
            }
        )
        sock = socket.create_connection((host, int(port)))
        with sock:
            headers = (
                ("Authorization", f"Bearer {world.KEY}"),
                ("Content-Type", "application/json"),
            )
            platform_world.send(sock, "POST", "/v1/completions", headers, body)
            data = sock.recv(65536)
            assert data.startswith(b"HTTP/1.1 200")
            sock.shutdown(socket.SHUT_WR)
            rest, _ = read_to_end(sock)
    reply = platform_world.Reply(data + rest)
    assert b"[DONE]" not in reply.body
    assert not reply.whole
