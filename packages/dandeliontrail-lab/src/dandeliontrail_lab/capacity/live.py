"""Probes of running instances, whose use the kernel counts.

Every instance is a process of its own, so the Python interpreter and its
libraries are in each figure.
"""

import contextlib
import statistics
import subprocess
import sys

from dandeliontrail.coordination import codec
from dandeliontrail.coordination import messages
from dandeliontrail_ctl import api
from dandeliontrail_node import peer_link
import gevent
import geventhttpclient

from .. import client
from .. import demo
from .. import engine
from .. import load
from .. import proc
from .. import processes
from . import fits

KEY = "capacity-key"
IDLE_SECONDS = 3.0
SETTLE_SECONDS = 2.0
LOAD_SECONDS = 3.0
PER_SECOND = 20.0
MICROSECONDS = 1e6
POSTS = 400
SLOTS = 2048

# What is imported, one on top of the other, to see what each adds.
LAYERS = (
    ("Python", "pass"),
    ("gevent", "from gevent import monkey; monkey.patch_all()"),
    ("HTTP client and server", "import geventhttpclient, gevent.pywsgi"),
    ("msgspec, YAML, logs", "import msgspec, yaml, pythonjsonlogger.json"),
    ("hdrhistogram", "from hdrh import histogram"),
    ("the library", "import dandeliontrail"),
    ("an instance", "import dandeliontrail_node.instance"),
    ("the command line", "import dandeliontrail_node.main"),
)


def layers():
    """Return (name, bytes) of an interpreter with more and more loaded."""
    code = ""
    found = []
    for name, line in LAYERS:
        code += line + "\n"
        found.append((name, _imported_bytes(code)))
    return found


def _imported_bytes(code):
    waiting = "print(1, flush=True)\nimport sys\nsys.stdin.read()"
    sizes = []
    for _ in range(3):
        process = subprocess.Popen(
            [sys.executable, "-c", code + waiting],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        process.stdout.readline()
        sizes.append(proc.rss_bytes(process.pid))
        process.stdin.close()
        process.wait()
    return statistics.median(sizes)


class Service:
    """One instance, one engine process, one key that may ask."""

    def __init__(self, step):
        self._step = step
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        """Start all."""
        with self._stack:
            one = processes.Deployment(["i1"], ["fd1"])
            self._deployment = self._stack.enter_context(one)
            running = self._deployment.instances[0]
            self.pid = running.process.pid
            self.addresses = running.addresses
            self._start_engine()
            self._declare()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        """Stop all."""
        return self._stack.__exit__(*exc_info)

    def _start_engine(self):
        served = subprocess.Popen(
            [
                processes.program("dandelionctl"),
                "lab",
                "engine",
                "e1",
                f"--announce-to={self.addresses['backend_servers']}",
                f"--slots={SLOTS}",
                f"--step-ms={self._step * 1000}",
            ],
            stdout=subprocess.DEVNULL,
        )
        self._stack.callback(processes.stop, served)

    def _declare(self):
        server = api.Api(f"http://{self.addresses['operators']}")
        demo.wait_until(
            lambda: server.get("status")["serving_backend_servers"]
        )
        server.put("backendpools", "all", {})
        server.put("requestclasses", "lookup", {"pools": ["all"]})
        key = [engine.key_hash(KEY)]
        spec = {"keys": key, "default_class": "lookup"}
        server.put("organisations", "load", spec)

    def ask(self, tokens):
        """Return a request for so many tokens."""
        address = self.addresses["callers"]
        return client.Ask(address, KEY, "", "x" * 400, max_tokens=tokens)


def relay_us(service):
    """Return a measure of µs for each request of so many events."""

    def measure(events):
        idle = _idle_share(service.pid)
        before = proc.cpu_seconds(service.pid)
        result = load.Load(service.ask(events)).run(PER_SECOND, LOAD_SECONDS)
        used = proc.cpu_seconds(service.pid) - before
        if result.complete != result.sent:
            raise RuntimeError(f"not all answers were whole: {result}")
        used -= idle * result.seconds
        return used / result.sent * MICROSECONDS

    return measure


def _idle_share(pid, seconds=2.0):
    before = proc.cpu_seconds(pid)
    gevent.sleep(seconds)
    return (proc.cpu_seconds(pid) - before) / seconds


def stream_bytes(service):
    """Return a measure of the memory with so many streams open."""

    def measure(streams):
        jobs = [
            gevent.spawn(client.send, service.ask(100_000))
            for _ in range(streams)
        ]
        gevent.sleep(SETTLE_SECONDS + streams / 200.0)
        held = proc.rss_bytes(service.pid)
        gevent.killall(jobs)
        gevent.sleep(SETTLE_SECONDS)
        return float(held)

    return measure


def batch_us(service, which):
    """Return a measure of µs for a batch of so many bytes.

    ``which`` is ``receive``, by the kernel's count of the instance, or
    ``send``, by the count of this process, which sends as instances do.
    """

    def measure(size):
        body = _batch_body(size)
        host, port = service.addresses["peers"].rsplit(":", 1)
        sender = geventhttpclient.HTTPClient(host, int(port))
        here = processes_cpu(which, service.pid)
        idle = _idle_share(service.pid) if which == "receive" else 0.0
        before = here()
        for _ in range(POSTS):
            sender.post(
                peer_link.PATH, body, {"Content-Type": "application/json"}
            ).read()
        used = here() - before
        sender.close()
        # The posts take well under a second, in which the instance does
        # its idle work too.
        return max(0.0, used - idle * 0.1) / POSTS * MICROSECONDS

    return measure


def processes_cpu(which, pid):
    """Return a function that reads the processor time of one end."""
    chosen = pid if which == "receive" else "self"
    return lambda: proc.cpu_seconds(chosen)


def _batch_body(size):
    """Return an envelope of about ``size`` bytes with no message in it.

    Its length is in the sender's address, so that the cost found is that
    of HTTP and of decoding, and of no mechanism.
    """
    own = messages.Sender("i9", "", "fd1", "r1", 1)
    empty = len(codec.encode(codec.Envelope(own, [])))
    own.address = "x" * max(0, size - empty)
    return codec.encode(codec.Envelope(own, []))


def instances(count):
    """Return what one of ``count`` idle instances uses.

    The first three are keepers; the last one is looked at, which is not.
    """
    names = [f"i{number}" for number in range(1, count + 1)]
    domains = [f"fd{number % 3}" for number in range(count)]
    with processes.Deployment(names, domains, keepers=3) as deployment:
        gevent.sleep(SETTLE_SECONDS)
        seen = deployment.instances[-1]
        pid = seen.process.pid
        before = proc.cpu_seconds(pid)
        gevent.sleep(IDLE_SECONDS)
        used = proc.cpu_seconds(pid) - before
        held = proc.rss_bytes(pid)
    return {
        "idle_share": used / IDLE_SECONDS * 100.0,
        "idle_bytes": float(held),
    }


def run(command):
    """Run all probes of this module and return their fits."""
    found = _run_instances(command)
    with Service(step=0.01) as service:
        found.append(fits.run(_relay_probe(service), command))
        for which in ("receive", "send"):
            found.append(fits.run(_batch_probe(service, which), command))
    with Service(step=0.5) as service:
        found.append(fits.run(_stream_probe(service), command))
    return found


def _run_instances(command):
    sizes = [3, 6, 12, 24]
    rounds = [[instances(size) for size in sizes] for _ in range(3)]
    described = (
        ("idle_share", "processor of an idle instance, full mesh", "%"),
        ("idle_bytes", "memory of an idle instance, full mesh", "bytes"),
    )
    found = []
    for key, what, unit in described:
        values = [[item[key] for item in row] for row in rounds]
        probe = fits.Probe(key, what, "instance", unit, sizes, None)
        found.append(fits.fit(probe, values, command))
    return found


def _relay_probe(service):
    return fits.Probe(
        "relay_us",
        "a request with so many relayed events",
        "relayed event",
        "µs",
        [1, 50, 150, 300],
        relay_us(service),
    )


def _batch_probe(service, which):
    return fits.Probe(
        f"batch_{which}_us",
        f"HTTP for a batch between instances, to {which} it",
        "byte of body",
        "µs",
        [250, 1000, 4000, 16000],
        batch_us(service, which),
    )


def _stream_probe(service):
    return fits.Probe(
        "stream_bytes",
        "memory of an instance with so many streams open",
        "open stream",
        "bytes",
        [50, 200, 400],
        stream_bytes(service),
    )
