"""Starts the project's programs on loopback, with stand-ins around them.

The programs are started as separate processes with the ``run`` lines of
``deploy/system.toml``.  The operator, the requesters and the workers are
stand-ins that speak what the users' pages say.  Only the standard library is
used.
"""

import atexit
import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ID = "X-Dandeliontrail-Request-Id"
SEAL = "X-Dandeliontrail-Response-Seal"
NOT_EXECUTED = "X-Dandeliontrail-Not-Executed"
EXPECT = "X-Dandeliontrail-Expect-Instance"
RESET = struct.pack("ii", 1, 0)
HEARTBEAT_SECONDS = 1.2
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# A case that hangs ends itself before the 120 s that it may take.
WATCHDOG_SECONDS = 112.0

SETTINGS = """\
node_name={node}
role={role}
machine_class={cls}
serves={serves}
ip={ip}
zone={zone}
region=tas-southeast
zones.sandybay-a=tas-southeast
zones.moonah-b=tas-southeast
zones.kingston-hall=tas-southeast
{listen}internal_port_range={inner},{inner_last}
seed_nodes={seeds}
bootstrap={bootstrap}
loss_counts={counts}
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb={disk_mb}
{data}discovery=registration
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants
fault_tolerance.machines={tolerated}
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
ZONES = ("sandybay-a", "moonah-b", "kingston-hall")


_started = []


def _end_all():
    """Kill every process that was started here and wait for its end."""
    for process in _started:
        if process.poll() is None:
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def _give_up(number=0, frame=None):
    """End the case early: it took too long, or was told to stop.

    Nothing is waited for: this may interrupt a wait for the same process.
    """
    for process in _started:
        if process.returncode is None:
            with contextlib.suppress(OSError):
                os.kill(process.pid, signal.SIGKILL)
    print("the case was stopped", flush=True)
    os._exit(CANNOT_RUN)


# Where a sheet of a larger installation differs.
GROWN_BOUNDS = {
    "bounds.contact_ms": "4000",
    "bounds.ack_ms": "5000",
    "bounds.catch_up_s": "6",
    "bounds.drain_ms": "2500",
    "bounds.config_apply_ms": "2500",
    "bounds.max_stretch_ms": "6000",
    "bounds.retry_budget_slack": "220",
    "bounds.recovery_s": "15",
    "bounds.pass_ms": "200",
}


def with_values(text, values):
    """Return a settings file with other values of some keys."""
    lines = []
    for line in text.splitlines():
        key, _, value = line.partition("=")
        lines.append(f"{key}={values.get(key, value)}")
    return "\n".join(lines) + "\n"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()
        self.note("TROUBLE", os.environ.get("TROUBLE", "1"))

    def note(self, *words):
        """Write one line with the seconds since the start."""
        text = " ".join(str(word) for word in words)
        with self._lock:
            at = time.monotonic() - self._began
            self._file.write(f"{at:8.3f} {text}\n")
            self._file.flush()


def free_ports(count):
    """Return ports below the ephemeral range that nothing listens on."""
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("0.0.0.0", random.randrange(10240, 32000)))
                ports.append(sock.getsockname()[1])
        return ports


def route(name, kind, **more):
    """Return a route of a manifest."""
    return {
        "name": f"r-{name}",
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": "labcounter",
        "max_attempts": 1,
        "public": False,
        "session_affinity": False,
        **more,
    }


def manifest(version, routes, **more):
    """Return a manifest with one service and one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "labcounter",
                "health_check_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        **more,
    }


class Program:
    """One process of the system."""

    def __init__(self, site, role, number):
        self._site = site
        self.role = role
        self.ip = f"{site.network}.{number}"
        self.node = f"{role}-{number}"
        self.data = site.folder / f"{self.node}-data"
        self._config = site.folder / f"{self.node}.conf"
        self.log = site.folder / f"{self.node}.log"
        self.zone = ZONES[number % len(ZONES)]
        self.process = None
        # False for a machine that is added to the running system.
        self.is_first = True
        self._starts = 0

    def start(self):
        """Start it with the ``run`` line of its role."""
        site, ports = self._site, self._site.ports
        keeper = self.role == "keeper"
        if keeper:
            self.data.mkdir(exist_ok=True)
            listen = f"listen_addrs.control_plane={self.ip}:{ports['control']}\n"
        else:
            listen = (
                f"listen_addrs.frontend_addr={self.ip}:{ports['front']}\n"
                f"listen_addrs.ready={self.ip}:{ports['ready']}\n"
            )
        self._config.write_text(
            with_values(SETTINGS, site.bounds).format(
                node=self.node,
                role=self.role,
                cls="core" if keeper else "front",
                serves="control" if keeper else "front",
                ip=self.ip,
                zone=self.zone,
                listen=listen,
                inner=ports["inner"],
                inner_last=ports["inner"] + 15,
                seeds=site.seeds,
                bootstrap=str(self.is_first and not self._starts).lower(),
                counts=str(keeper).lower(),
                tolerated=site.tolerated,
                disk_mb=128 if keeper else 0,
                data=f"data_dir={self.data}\n" if keeper else "",
            )
        )
        self._starts += 1
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["DANDELIONTRAIL_CONFIG"] = str(self._config)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                site.run_lines[self.role], cwd=ROOT, env=env, stdout=log,
                stderr=log,
            )
        _started.append(self.process)
        site.record.note("start", self.node, "pid", self.process.pid)

    def signal(self, number):
        """Send a signal to this process alone."""
        self._site.record.note("signal", number.name, "to", self.node)
        self.process.send_signal(number)

    def lose_disk(self):
        """Delete what is in the data folder; the process has ended."""
        shutil.rmtree(self.data)
        self._site.record.note("disk lost of", self.node)

    def running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def stop(self):
        """Kill the process and wait for its end."""
        if self.running():
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Site:
    """A small deployment: keepers, entries, an operator and workers."""

    def __init__(self, folder, keepers=3, entries=2, tolerated=1, bounds=None):
        self.case = pathlib.Path(folder)
        self.record = Record(folder)
        self._stack = contextlib.ExitStack()
        self._counts = (keepers, entries)
        self.tolerated = tolerated
        self.bounds = bounds or {}
        number = os.getpid()
        self.network = f"127.{20 + number // 200 % 200}.{10 + number % 200}"
        self.folder = None
        self.keepers = []
        self.entries = []
        self.workers = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.run_lines = {
            role: item["run"].split() for role, item in deploy["roles"].items()
        }

    def __enter__(self):
        with self._stack:
            self.folder = pathlib.Path(
                self._stack.enter_context(tempfile.TemporaryDirectory())
            )
            names = ("front", "ready", "control", "inner")
            self.ports = dict(zip(names, free_ports(len(names))))
            keepers, entries = self._counts
            self.keepers = [
                Program(self, "keeper", 1 + i) for i in range(keepers)
            ]
            self.entries = [
                Program(self, "entry", 101 + i) for i in range(entries)
            ]
            self.seeds = ",".join(
                f"{item.ip}:{self.ports['control']}"
                for item in self.keepers[:3]
            )
            for item in (*self.keepers, *self.entries):
                self._stack.callback(item.stop)
                item.start()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        for item in (*self.keepers, *self.entries):
            if not item.running():
                self.record.note("ended by itself or stopped:", item.node)
        logs = os.environ.get("LOGS")
        if logs:
            for item in (*self.keepers, *self.entries):
                target = pathlib.Path(logs) / f"{item.node}.log"
                target.write_bytes(item.log.read_bytes())
        for worker in self.workers:
            worker.close()
        return self._stack.__exit__(*exc_info)

    def add_keeper(self, number, zone):
        """Start a keeper with an empty disk at a new address."""
        keeper = Program(self, "keeper", number)
        keeper.zone = zone
        keeper.is_first = False
        self._stack.callback(keeper.stop)
        self.keepers.append(keeper)
        keeper.start()
        return keeper

    # -- the operator --------------------------------------------------------

    def control(self, keeper, method, path, body=None, seconds=2.0):
        """Call a keeper; return ``(status, body)``, status 0 for no answer."""
        conn = http.client.HTTPConnection(
            keeper.ip, self.ports["control"], timeout=seconds
        )
        try:
            data = body
            if body is not None and not isinstance(body, bytes):
                data = json.dumps(body).encode()
            conn.request(
                method, path, data, {"Content-Type": "application/json"}
            )
            answer = conn.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            conn.close()

    def apply(self, document, seconds=20.0):
        """Send a manifest to any keeper until it is acknowledged."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            keeper = random.choice(self.keepers)
            status, _ = self.control(keeper, "PUT", "/api/config", document)
            if status == 200:
                self.record.note("manifest", document["version"], "acked")
                return
            time.sleep(0.2)
        raise CannotRun("no manifest was acknowledged")

    # -- requesters ----------------------------------------------------------

    def wait_ready(self, seconds=20.0):
        """Wait until every entry says that it is ready."""
        until = time.monotonic() + seconds
        for entry in self.entries:
            while not self.ready(entry):
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.node} isn't ready")
                time.sleep(0.1)

    def ready(self, entry):
        """Return whether an entry answers its readiness probe with 200."""
        conn = http.client.HTTPConnection(
            entry.ip, self.ports["ready"], timeout=1.0
        )
        try:
            conn.request("GET", "/api/ready")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def connect(self, entry, seconds=10.0):
        """Return a channel to an entry."""
        sock = socket.create_connection(
            (entry.ip, self.ports["front"]), timeout=seconds
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def call(self, entry, method, path, request_id, body=b"", **more):
        """Send one request on a new channel; return an :class:`Answer`."""
        sock = self.connect(entry)
        with contextlib.closing(sock):
            sock.sendall(request_bytes(method, path, request_id, body, **more))
            answer = read_answer(sock.makefile("rb"))
        self.record.note(
            "answer to", request_id, answer.status, "seal",
            answer.get(SEAL) or "-", "bytes", len(answer.body),
            "whole" if answer.whole else "cut",
        )
        return answer

    def wait_served(self, path, method="POST", seconds=20.0):
        """Wait until every entry serves a request on a route."""
        until = time.monotonic() + seconds
        for entry in self.entries:
            while True:
                request_id = new_id()
                if self.call(entry, method, path, request_id).status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.node} serves nothing")
                time.sleep(0.2)


_ids = iter(range(10**9))


def new_id():
    """Return a new request id of 16 hexadecimal digits."""
    return f"{random.getrandbits(40):010x}{next(_ids):06x}"


def request_bytes(method, path, request_id, body=b"", headers=(), left=4000):
    """Return the bytes of a requester's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{ID}: {request_id}",
        f"X-Dandeliontrail-Deadline-Ms: {left}",
        f"X-Api-Key: {KEY}",
        *headers,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Answer:
    """An answer; ``whole`` is false if it ended early, status 0 is none."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b""
        self.whole = False

    def get(self, name):
        """Return the value of a header, or ''."""
        for field, value in self.headers:
            if field.lower() == name.lower():
                return value
        return ""


def _read_line(file):
    try:
        return file.readline(65536)
    except OSError:
        return b""


def read_answer(file):
    """Read one HTTP answer; its end is checked as a requester does."""
    answer = Answer()
    words = _read_line(file).split()
    if len(words) < 2 or not words[1].isdigit():
        return answer
    answer.status = int(words[1])
    while True:
        line = _read_line(file)
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers.append((name.strip(), value.strip()))
    if answer.get("Transfer-Encoding") == "chunked":
        while True:
            size = _read_line(file).strip()
            if not size:
                return answer
            count = int(size, 16)
            data = _read(file, count)
            answer.body += data
            if len(data) < count or _read_line(file) != b"\r\n":
                return answer
            if not count:
                answer.whole = True
                return answer
    length = answer.get("Content-Length")
    answer.body = _read(file, int(length) if length else -1)
    answer.whole = not length or len(answer.body) == int(length)
    return answer


def _read(file, count):
    try:
        return file.read(count)
    except OSError:
        return b""


class Arrived:
    """A request as a worker got it."""

    def __init__(self, line, headers, body, sock, number):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body
        self.sock = sock
        # The number of the request on its channel, from 1.
        self.number = number
        self.id = self.get(ID)

    def get(self, name):
        """Return the value of a header, or ''."""
        for field, value in self.headers:
            if field.lower() == name.lower():
                return value
        return ""


class Worker:
    """A worker: ``script(worker, arrived)`` answers; "close" ends a channel.

    Requests that name another worker get 421.  ``ran`` lists the ids of the
    requests that it began to work on, which the script notes by :meth:`run`.
    """

    def __init__(self, site, script, service="labcounter", zone=ZONES[0],
                 slots=6, listen=True):
        self.site = site
        self.script = script
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.ran = []
        self.state = "ready"
        self._closed = False
        self._sequence = 0
        self.channels = set()
        (port,) = free_ports(1)
        site.workers.append(self)
        self.ip = f"{site.network}.{200 + len(site.workers)}"
        self.address = f"{self.ip}:{port}"
        self._listener = None
        if listen:
            self.listen()
        self.beat()
        threading.Thread(target=self._beat_forever, daemon=True).start()

    def listen(self):
        """Accept channels from now on."""
        host, port = self.address.split(":")
        self._listener = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def go_dark(self):
        """Refuse new channels and reset the open ones, as a crash does."""
        listener, self._listener = self._listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        for sock in list(self.channels):
            reset(sock)

    def close(self):
        """End the worker."""
        self._closed = True
        self.go_dark()

    def run(self, arrived):
        """Note that a request begins to run here."""
        self.ran.append(arrived.id)
        self.site.record.note(
            "run", arrived.id, "at", self.id, arrived.method, arrived.target,
            "body bytes", len(arrived.body),
        )

    def beat(self):
        """Send one heartbeat; any keeper may take it."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
        }
        keepers = random.sample(self.site.keepers, len(self.site.keepers))
        for keeper in keepers:
            path = f"/api/instances/{self.id}"
            status, _ = self.site.control(keeper, "PUT", path, body, 1.0)
            if 200 <= status < 300:
                return keeper
        return None

    def _beat_forever(self):
        while not self._closed:
            time.sleep(HEARTBEAT_SECONDS)
            if not self._closed:
                self.beat()

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        self.channels.add(sock)
        with contextlib.suppress(OSError), contextlib.closing(sock):
            file = sock.makefile("rb")
            number = 0
            while True:
                line = file.readline().decode("latin-1").strip()
                if not line:
                    break
                headers = []
                while (raw := file.readline()) not in (b"\r\n", b""):
                    name, _, value = raw.decode("latin-1").partition(":")
                    headers.append((name.strip(), value.strip()))
                number += 1
                arrived = Arrived(line, headers, b"", sock, number)
                arrived.body = file.read(int(arrived.get("Content-Length") or 0))
                if arrived.get(EXPECT) != self.id:
                    sock.sendall(answer_bytes(421, b"", arrived.id,
                                              [f"{NOT_EXECUTED}: 1"]))
                    continue
                if self.script(self, arrived) == "close":
                    break
        self.channels.discard(sock)


def reset(sock):
    """Reset a channel."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()


def seal_of(request_id):
    """Return the seal of a worker's answer."""
    return f"3e1b.07.{request_id}"


def answer_bytes(status, body, request_id, headers=(), length=True):
    """Return the bytes of a worker's answer."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"{ID}: {request_id}",
        f"{SEAL}: {seal_of(request_id)}",
        *headers,
    ]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def body_of(request_id):
    """Return the body that a worker answers with."""
    return (f"answer to {request_id} " * 24).encode()


def main(case, folder):
    """Run ``case(folder)``; exit with what it returns, 2 if it can't run."""
    atexit.register(_end_all)
    signal.signal(signal.SIGTERM, _give_up)
    signal.signal(signal.SIGINT, _give_up)
    watchdog = threading.Timer(WATCHDOG_SECONDS, _give_up)
    watchdog.daemon = True
    watchdog.start()
    if not (ROOT / "target/deps").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        sys.exit(CANNOT_RUN)
    try:
        result = case(pathlib.Path(folder).resolve())
    except (CannotRun, OSError) as exc:
        print(f"the case could not run: {exc!r}")
        result = CANNOT_RUN
    _end_all()
    print({HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "not run"}[result])
    sys.stdout.flush()
    os._exit(result)
