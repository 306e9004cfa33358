"""A small deployment for the cases of this folder's neighbours.

It starts the project's own programs as separate processes, each with the
``run`` line of its role in ``deploy/system.toml`` and a settings file as
``DEPLOY.md`` describes it.  Workers, requesters and the operator are small
stand-ins in the process of the case, on asyncio and the standard library.
All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
RANDOM = random.SystemRandom()
HOST = "shop.example"
KEY = "key-of-acme"
ID = "X-Dandeliontrail-Request-Id"
SEAL = "X-Dandeliontrail-Response-Seal"
HEARTBEAT_SECONDS = 1.2
ZONES = ("hall-a", "hall-b", "hall-c")

SETTINGS = """\
node_name={name}
role={role}
machine_class={machine_class}
serves={serves}
ip={ip}
zone={zone}
region=gulf-south
zones.hall-a=gulf-south
zones.hall-b=gulf-south
zones.hall-c=gulf-south
listen_addrs.frontend_addr={frontend}
listen_addrs.ready={ready}
listen_addrs.control_plane={control}
internal_port_range={inner},{inner_last}
seed_nodes={seeds}
bootstrap={bootstrap}
loss_counts={counts}
data_dir={data_dir}
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb={memory_mb}
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=registration
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revocation=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_slack=58
bounds.recovery_s=12
bounds.pass_ms=120
bounds.again_s=10
config_mode=highest
"""


class CannotRun(Exception):
    """The case could not be set up, so it says nothing of the rule."""


def free_ports(network, count):
    """Return ports below the ephemeral range that are free on a network."""
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("0.0.0.0", RANDOM.randrange(10240, 32000)))
                ports.append(sock.getsockname()[1])
        return ports


class Process:
    """One program of the project with its settings."""

    def __init__(self, role, ip, zone, settings, folder):
        self.role = role
        self.ip = ip
        self.zone = zone
        self._folder = folder
        self._path = folder / f"{ip}.conf"
        self._path.write_text(settings)
        self._log = folder / f"{ip}.log"
        self.popen = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][self.role]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["DANDELIONTRAIL_CONFIG"] = str(self._path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with self._log.open("ab") as log:
            self.popen = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, number):
        self.popen.send_signal(number)

    def kill(self):
        """End the process at once."""
        self.popen.kill()
        self.popen.wait()

    def lose_disk(self):
        """Empty the data folder; the process must not run."""
        settings = self._path.read_text()
        self._path.write_text(
            settings.replace("bootstrap=true", "bootstrap=false")
        )
        for line in settings.splitlines():
            key, _, value = line.partition("=")
            if key == "data_dir":
                shutil.rmtree(value)
                os.mkdir(value)

    def rss_mb(self):
        """Return the memory that the process has used at most, in MB."""
        text = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
        return 0.0

    def log_text(self):
        return self._log.read_text(errors="replace")

    def stop(self):
        if self.popen is not None and self.popen.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.popen.send_signal(signal.SIGCONT)
                self.popen.kill()
            self.popen.wait()


class Deployment:
    """Keepers and entries, started and ended together."""

    def __init__(self, keepers=1, entries=1, memory_mb=300):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        pid = os.getpid()
        self.network = f"127.{20 + pid // 200 % 200}.{10 + pid % 200}"
        names = ("frontend", "ready", "control", "inner")
        self.ports = dict(zip(names, free_ports(self.network, len(names))))
        self._memory_mb = memory_mb
        seeds = [f"{self.network}.{n + 1}" for n in range(min(keepers, 3))]
        self._seeds = ",".join(f"{ip}:{self.ports['control']}" for ip in seeds)
        self.keepers = [
            self._new("keeper", n + 1, ZONES[n % 3]) for n in range(keepers)
        ]
        self.entries = [
            self._new("entry", n + 101, ZONES[n % 3]) for n in range(entries)
        ]

    def add_keeper(self, number, zone):
        """Start another keeper, with an empty disk, and return it."""
        keeper = self._new("keeper", number, zone, bootstrap="false")
        self.keepers.append(keeper)
        keeper.start()
        return keeper

    def _new(self, role, number, zone, bootstrap="true"):
        ip = f"{self.network}.{number}"
        is_entry = role == "entry"
        data_dir = ""
        if not is_entry:
            data_dir = self.folder / f"disk-{number}"
            data_dir.mkdir()
        settings = SETTINGS.format(
            name=f"{role}-{number}",
            role=role,
            machine_class="front" if is_entry else "core",
            serves="front" if is_entry else "control",
            ip=ip,
            zone=zone,
            frontend=f"{ip}:{self.ports['frontend']}" if is_entry else "",
            ready=f"{ip}:{self.ports['ready']}" if is_entry else "",
            control="" if is_entry else f"{ip}:{self.ports['control']}",
            inner=self.ports["inner"],
            inner_last=self.ports["inner"],
            seeds=self._seeds,
            bootstrap=bootstrap,
            counts="false" if is_entry else "true",
            data_dir=data_dir,
            memory_mb=self._memory_mb,
        )
        if is_entry:
            settings = settings.replace("listen_addrs.control_plane=\n", "")
            settings = settings.replace("data_dir=\n", "")
        else:
            settings = settings.replace("listen_addrs.frontend_addr=\n", "")
            settings = settings.replace("listen_addrs.ready=\n", "")
        return Process(role, ip, zone, settings, self.folder)

    def __enter__(self):
        for item in (*self.keepers, *self.entries):
            item.start()
        return self

    def __exit__(self, *exc_info):
        for item in (*self.entries, *self.keepers):
            item.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def control(self, method, path, body=None, keeper=0, seconds=1.0):
        """Send one call to a keeper; return its status, 0 for no answer."""
        answer = await self.ask(method, path, body, keeper, seconds)
        return answer.status

    async def ask(self, method, path, body=None, keeper=0, seconds=1.0):
        """Send one call to a keeper; return its answer."""
        data = json.dumps(body).encode() if body is not None else b""
        address = (self.keepers[keeper].ip, self.ports["control"])
        try:
            async with asyncio.timeout(seconds):
                conn = await Channel.open(*address)
                head = {"Content-Type": "application/json"}
                await conn.send(method, path, head, data, host="control")
                answer = await conn.answer()
                conn.close()
                return answer
        except (OSError, TimeoutError, EOFError):
            return Answer()

    async def apply(self, manifest, seconds=20.0):
        """Send a manifest until a keeper acknowledges it."""
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            keeper = number % len(self.keepers)
            number += 1
            if (
                await self.control("PUT", "/api/config", manifest, keeper)
                == 200
            ):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("no keeper acknowledged the manifest")

    async def wait_ready(self, entry=0, seconds=20.0):
        """Wait until an entry says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(1.0):
                    conn = await Channel.open(
                        self.entries[entry].ip, self.ports["ready"]
                    )
                    await conn.send("GET", "/api/ready", {}, host="ready")
                    answer = await conn.answer()
                    conn.close()
                if answer.status == 200:
                    return
            await asyncio.sleep(0.2)
        raise CannotRun("the entry did not become ready")

    async def channel(self, entry=0):
        """Open a requester's channel to an entry."""
        return await Channel.open(
            self.entries[entry].ip, self.ports["frontend"]
        )


class Answer:
    """An answer as a requester reads it; ``whole`` is false if it was cut."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.whole = False
        self.channel_ended = False


class Channel:
    """One channel of a requester or the operator."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, ip, port):
        return cls(*await asyncio.open_connection(ip, port, limit=1 << 20))

    def close(self):
        self.writer.close()

    async def send(self, method, path, headers, body=b"", host=HOST):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def answer(self):
        """Return the next answer; one that the channel's end cuts as well."""
        answer = Answer()
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            answer.status = int(lines[0].split()[1])
            for line in lines[1:]:
                name, colon, value = line.partition(":")
                if colon:
                    answer.headers[name.lower()] = value.strip()
            await self._read_body(answer)
            answer.whole = True
        except (asyncio.IncompleteReadError, OSError):
            answer.channel_ended = True
        return answer

    async def _read_body(self, answer):
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                line = await self.reader.readuntil(b"\r\n")
                size = int(line.strip(), 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    return
                answer.body += data[:-2]
        else:
            size = int(answer.headers.get("content-length", 0))
            answer.body = await self.reader.readexactly(size)


class Request:
    """A request as a worker received it."""

    def __init__(self, head, body, writer):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.path, _ = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.headers[name.lower()] = value.strip()
        self.id = self.headers.get(ID.lower(), "")
        self.body = body
        self.writer = writer


class Worker:
    """A worker that registers itself; ``serve(worker, request)`` answers.

    ``ran`` holds the requests that it began to work on.
    """

    def __init__(self, deployment, service, serve, name, **beat):
        self.deployment = deployment
        self.service = service
        self.id = f"i-{name}-{RANDOM.randrange(1 << 32):08x}"
        self.ran = []
        self._serve = serve
        self._beat = beat
        self._sequence = 0
        self._server = None
        self._beats = None
        self.address = ""

    async def start(self):
        ip = f"{self.deployment.network}.201"
        self._server = await asyncio.start_server(
            self._connection, ip, 0, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        self._beats = asyncio.ensure_future(self._beat_forever())

    def stop(self):
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    async def beat(self, keeper=0, **more):
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            **self._beat,
            **more,
        }
        path = f"/api/instances/{self.id}"
        return await self.deployment.control("PUT", path, body, keeper)

    async def _beat_forever(self):
        keeper = 0
        while True:
            if await self.beat(keeper) != 200:
                keeper = (keeper + 1) % len(self.deployment.keepers)
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _connection(self, reader, writer):
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = Request(head, b"", writer)
                size = int(request.headers.get("content-length", 0))
                request.body = await reader.readexactly(size)
                expected = request.headers.get(
                    "x-dandeliontrail-expect-instance", self.id
                )
                if expected != self.id:
                    writer.write(
                        answer_bytes(
                            421, b"", request.id, seal=False, not_run=True
                        )
                    )
                    continue
                self.ran.append(request)
                await self._serve(self, request)
                await writer.drain()
        writer.close()


def answer_bytes(
    status, body, request_id, reason="OK", seal=True, not_run=False, more=""
):
    """Return a whole answer of a worker."""
    lines = [f"HTTP/1.1 {status} {reason}", f"{ID}: {request_id}"]
    if seal:
        lines.append(f"{SEAL}: seal-{request_id}")
    if not_run:
        lines.append("X-Dandeliontrail-Not-Executed: 1")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + f"\r\n{more}\r\n").encode() + body


def stream_head(request_id):
    """Return the head of a worker's stream of events."""
    return (
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"{ID}: {request_id}\r\n{SEAL}: seal-{request_id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def event_chunk(number):
    """Return one event of a stream as a chunk."""
    data = f"id: {number}\ndata: piece {number}\n\n".encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_END = b"0\r\n\r\n"


def route(name, kind, service, **more):
    """Return a route of a manifest."""
    return {
        "name": f"r-{name}",
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "session_affinity": False,
        "resumable": False,
        **more,
    }


def manifest(version, routes, keys=(KEY,)):
    """Return a whole manifest of the services that the routes name."""
    names = sorted({item["service"] for item in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_check_path": "/health",
                "max_connections": 370,
                "protocol": "h1",
                "tls": False,
            }
            for name in names
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "acme", "api_keys": list(keys), "priority": 1}],
    }


def caller_headers(request_id, deadline_ms, key=KEY):
    """Return the headers of a requester's attempt."""
    return {
        ID: request_id,
        "X-Api-Key": key,
        "X-Dandeliontrail-Deadline-Ms": str(deadline_ms),
    }


class Record:
    """What was sent, answered and run, one line each with its time."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def note(self, text):
        line = f"{time.monotonic() - self._began:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()


def main(case, folder):
    """Run a case; ``case(record, has_trouble)`` returns whether it held."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record.note(f"disruption: {'yes' if has_trouble else 'no'}")

    async def limited():
        async with asyncio.timeout(115):
            return await case(record, has_trouble)

    try:
        held = asyncio.run(limited())
    except Exception as exc:
        record.note(f"could not run: {type(exc).__name__}: {exc}")
        sys.exit(2)
    record.note("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
