"""The programs of the users' platform on loopback, in one gevent loop.

Each program has its own address in 127.0.0.0/8, as each instance on the
platform has.  Scripted backend servers speak the platform's protocol.
"""

import contextlib
import itertools
import logging
import os
import random
import socket
import tempfile

from dandeliontrail_node import instance
from dandeliontrail_platform import programs
from dandeliontrail_platform import settings_file
import gevent
from gevent import server as gevent_server
import msgspec

from tests.common import world

# Loopback addresses of this process alone: the programs' metrics port is
# fixed, so that two runs at a time would take it from each other.
NETWORK = f"127.{16 + os.getpid() // 200 % 200}.{10 + os.getpid() % 200}"
# Ports for listeners, below those that the system gives to connections.
LISTENER_PORTS = range(10240, 32768)
_RANDOM = random.SystemRandom()
HOST = "shop.example"
KEY = "key-of-acme"
SEAL = "X-Dandeliontrail-Response-Seal"

SETTINGS = """
node_name={node}
ip={ip}
zone={zone}
region=r1
listen_addrs.frontend_addr={ip}:{callers}
listen_addrs.ready={ip}:{ready}
listen_addrs.control_plane={ip}:{control}
internal_port_range={inner},{inner}
seed_nodes={seed}
bootstrap=true
data_dir={data_dir}
bounds.drain_ms=2000
bounds.grace_s=8
bounds.strict_revocation=true
bounds.revoke_ms={revoke_ms}
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_slack=58
fault_tolerance.machines={tolerated}
new.field=ignored
"""


def free_ports(count):
    """Return ports that are free on all loopback addresses.

    They are below the ephemeral range: until a program listened on a port from
    that range, a connection of any other process could take it.
    """
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("0.0.0.0", _RANDOM.choice(LISTENER_PORTS)))
                ports.append(sock.getsockname()[1])
        return ports


def new_ports():
    """Return a free port for each listener of a program, by its name."""
    names = ("callers", "ready", "control", "inner")
    return dict(zip(names, free_ports(len(names))))


def route(name, kind, **more):
    """Return a manifest's route as the operator sends it."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": "app",
        "max_attempts": 2,
        **more,
    }


ROUTES = (
    route("read", "safe"),
    route("order", "non_idempotent", max_attempts=1),
    route("chat", "streaming", resumable=True, gap_aim_ms=300),
    route("report", "streaming", max_attempts=1, gap_aim_ms=1000),
)


def manifest(version, routes=ROUTES, keys=(KEY,), **more):
    """Return a manifest as the operator sends it."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [{"name": "app", "max_connections": 100}],
        "tenants": [{"name": "acme", "api_keys": list(keys), "priority": 1}],
        **more,
    }


class Reply:
    """A received response: status, headers in lower case, and body.

    ``whole`` is false if the body was cut short.
    """

    def __init__(self, data):
        head, _, rest = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1]) if lines[0] else 0
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        chunked = self.headers.get("transfer-encoding") == "chunked"
        self.whole = True
        self.body = rest
        if chunked:
            self.body, self.whole = _decode_chunked(rest)
        elif "content-length" in self.headers:
            # A caller detects a truncated body by its length.
            self.whole = len(rest) == int(self.headers["content-length"])


def _decode_chunked(data):
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        count = int(size or b"0", 16)
        if not count:
            return body, size == b"0"
        body += data[:count]
        data = data[count + 2 :]
    return body, False


# Makes the id of each server unique, although ports may be reused.
_start_numbers = itertools.count(1)


class Server:
    """A backend server whose answers come from ``script(server, sock, head)``.

    ``ran`` holds the heads of the requests that it received, ``connections``
    is how many were opened.  If the script returns ``"close"``, the connection
    is closed; so is one that is idle for ``idle_seconds``, if that is set.
    """

    def __init__(self, ip, script):
        self.ran = []
        self.connections = 0
        self.idle_seconds = None
        # Whether a request, by its head, is answered before its body is read.
        self.reads_late = lambda head: False
        self.closed = []
        self._open = set()
        self._script = script
        self._server = gevent_server.StreamServer((ip, 0), self._serve)
        self._server.start()
        self.address = f"{ip}:{self._server.server_port}"
        self.id = f"i-{self._server.server_port}-{next(_start_numbers)}"

    def _serve(self, sock, address):
        buffered = b""
        self._open.add(sock)
        self.connections += 1
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            stack.callback(self._open.discard, sock)
            while True:
                sock.settimeout(self.idle_seconds)
                while b"\r\n\r\n" not in buffered:
                    data = sock.recv(65536)
                    if not data:
                        return
                    buffered += data
                sock.settimeout(None)
                head, _, buffered = buffered.partition(b"\r\n\r\n")
                text = head.decode()
                length = int(_header(text, "content-length") or 0)
                while len(buffered) < length and not self.reads_late(text):
                    data = sock.recv(65536)
                    if not data:
                        return
                    buffered += data
                buffered = buffered[length:]
                self.ran.append(text)
                if self._script(self, sock, text) == "close":
                    sock.close()
                    return

    def close(self):
        """Stop the server and close its open connections."""
        self._server.stop(0)
        self.disconnect()

    def disconnect(self):
        """Close the open connections."""
        for sock in list(self._open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def _header(head, name):
    for line in head.split("\r\n")[1:]:
        field, _, value = line.partition(":")
        if field.lower() == name:
            return value.strip()
    return ""


def header(head, name):
    """Return the value of a header in a request's head, or ''."""
    return _header(head, name.lower())


def id_of(head):
    """Return the request id in a request's head."""
    return header(head, "X-Dandeliontrail-Request-Id")


def whole(status, body, request_id, extra=""):
    """Return the bytes of a complete response."""
    return (
        f"HTTP/1.1 {status} X\r\nX-Dandeliontrail-Request-Id: {request_id}\r\n"
        f"{SEAL}: seal-{request_id}\r\nContent-Length: {len(body)}\r\n"
        f"{extra}\r\n"
    ).encode() + body


def stream_head(request_id, extra=""):
    """Return the head of a streamed response."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Dandeliontrail-Request-Id: {request_id}\r\n"
        f"{SEAL}: seal-{request_id}\r\nTransfer-Encoding: chunked\r\n"
        f"{extra}\r\n"
    ).encode()


def chunk(data):
    """Encode ``data`` as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    """Return one server-sent event."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


END = b"0\r\n\r\n"


class PlatformWorld:
    """One or more keepers, any number of entries and scripted servers."""

    def __init__(self, revoke_ms=5000, keepers=1):
        self._stack = contextlib.ExitStack()
        self._revoke_ms = revoke_ms
        self._keeper_count = keepers
        self._count = 0
        self._sequence = 0
        self.ports = new_ports()
        self.keepers = []
        self.keeper = None

    def __enter__(self):
        self.keepers = [
            self.program("keeper") for _ in range(self._keeper_count)
        ]
        self.keeper = self.keepers[0]
        return self

    def _seeds(self):
        port = self.ports["control"]
        numbers = range(1, self._keeper_count + 1)
        return ",".join(f"{NETWORK}.{number}:{port}" for number in numbers)

    def __exit__(self, *exc_info):
        return self._stack.__exit__(*exc_info)

    def at_end(self, callback):
        """Have ``callback`` called when the world ends."""
        self._stack.callback(callback)

    def program(self, role):
        """Start an entry or a keeper at its own address."""
        self._count += 1
        ip = f"{NETWORK}.{self._count}"
        folder = ""
        if role == "keeper":
            folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        platform_settings = settings_file.parse(
            SETTINGS.format(
                node=f"{role}-{self._count}",
                ip=ip,
                zone="a",
                seed=self._seeds(),
                data_dir=folder,
                revoke_ms=self._revoke_ms,
                tolerated=(self._keeper_count - 1) // 2,
                **self.ports,
            )
        )
        logger = logging.getLogger(f"test.{role}{self._count}")
        logger.propagate = False
        listener_factory = programs.LISTENER_FACTORIES[role](
            platform_settings, ""
        )
        running = self._stack.enter_context(
            instance.Instance(
                programs.instance_settings(platform_settings),
                logger,
                listener_factory=listener_factory,
            )
        )
        running.ip = ip
        return running

    def entry(self):
        """Start an entry and wait until it can serve."""
        started = self.program("entry")
        world.wait_until(lambda: self.ready(started) == 200)
        return started

    def ready(self, entry):
        """Return the status of an entry's readiness check."""
        return self.ask(
            entry, "GET", "/api/ready", port=self.ports["ready"]
        ).status

    def server(self, script, service="app", **more):
        """Start a scripted server and register it."""
        started = Server("127.0.0.1", script)
        self._stack.callback(started.close)
        self.heartbeat(started, service, **more)
        return started

    def heartbeat(self, server, service="app", **more):
        """Send a heartbeat of a server and return the reply."""
        self._sequence += 1
        body = {
            "service": service,
            "address": server.address,
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": self._sequence,
            **more,
        }
        return self.control("PUT", f"/api/instances/{server.id}", body)

    def control(self, method, path, body=None, keeper=None):
        """Send a request to a keeper's control listener."""
        data = msgspec.json.encode(body) if body is not None else b""
        return self.ask(
            keeper or self.keeper,
            method,
            path,
            body=data,
            port=self.ports["control"],
        )

    def apply(self, document):
        """Send a manifest and return the reply."""
        return self.control("PUT", "/api/config", document)

    def connect(self, running, port=None):
        """Return a connection to a program."""
        sock = socket.create_connection(
            (running.ip, port or self.ports["callers"])
        )
        self._stack.callback(sock.close)
        return sock

    def ask(self, running, method, path, headers=(), body=b"", port=None):
        """Send one request on a new connection and return the reply."""
        sock = self.connect(running, port)
        send(sock, method, path, [*headers, ("Connection", "close")], body)
        return Reply(read_to_end(sock))

    def call(self, entry, method, path, request_id="r1", **more):
        """Send a caller's request and return the reply."""
        headers = caller_headers(request_id, **more)
        return self.ask(entry, method, path, headers, more.get("body", b""))

    def knows(self, entry, server):
        """Wait until an entry has registered a server."""
        registry = entry.host.state.registry
        world.wait_until(lambda: server.id in registry.servers)


@contextlib.contextmanager
def declared(routes=ROUTES):
    """Yield a world whose manifest has ``routes``."""
    with PlatformWorld() as platform:
        assert platform.apply(manifest(1, routes)).status == 200
        yield platform


@contextlib.contextmanager
def served(routes, *scripts):
    """Yield a platform, its entry, and a server for each of ``scripts``.

    The entry knows the servers.
    """
    with declared(routes) as platform:
        entry = platform.entry()
        servers = [platform.server(script) for script in scripts]
        for server in servers:
            platform.knows(entry, server)
        yield platform, entry, servers


def caller_headers(request_id, key=KEY, **more):
    """Return the headers of a caller's request."""
    headers = [("X-Dandeliontrail-Request-Id", request_id)]
    if key:
        headers.append(("X-Api-Key", key))
    headers.append(("X-Dandeliontrail-Deadline-Ms", more.get("left", "3000")))
    return headers + list(more.get("headers", ()))


def send(sock, method, path, headers=(), body=b""):
    """Write one HTTP request to a socket."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def ends(sock):
    """Wait for the other end; return whether it closed or reset, unheard."""
    try:
        return not sock.recv(1)
    except ConnectionResetError:
        return True


def read_to_end(sock):
    """Read until the other end closes or resets the connection."""
    data = b""
    with gevent.Timeout(10.0), contextlib.suppress(ConnectionResetError):
        while True:
            more = sock.recv(65536)
            if not more:
                break
            data += more
    return data
