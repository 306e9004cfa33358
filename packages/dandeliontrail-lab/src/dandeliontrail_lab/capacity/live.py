"""Probes of running instances, whose use the kernel counts.

Every instance is a process of its own, so the Python interpreter and its
libraries are in each figure.
"""

import contextlib
import statistics
import subprocess
import sys
import time

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

KEEPERS = 3
INSTANCES = [4, 8, 14]
REPEATS = 2
INSTANCE_FITS = (
    ("keeper_share", "processor of the busiest idle keeper", "%"),
    ("keeper_bytes", "bytes sent a second by that keeper", "bytes/s"),
    ("keeper_batches", "batches sent a second by that keeper", "batches/s"),
    ("idle_share", "processor of an idle instance", "%"),
    ("idle_bytes", "bytes sent a second by it", "bytes/s"),
    ("idle_batches", "batches sent a second by it", "batches/s"),
    ("idle_memory", "memory of an idle instance", "bytes"),
)

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


def stream_bytes(streams):
    """Return the memory of a fresh instance with so many streams open."""
    with Service(step=0.5) as service:
        jobs = [
            gevent.spawn(client.send, service.ask(100_000))
            for _ in range(streams)
        ]
        gevent.sleep(SETTLE_SECONDS + streams / 100.0)
        held = proc.rss_bytes(service.pid)
        gevent.killall(jobs)
    return float(held)


def batch_us(service, which):
    """Return a measure of µs for a batch of so many bytes.

    ``which`` is ``receive``, by the kernel's count of the instance, or
    ``send``, by the count of this process, which sends as instances do.
    """

    def measure(size):
        body = _batch_body(size)
        host, port = service.addresses["peers"].rsplit(":", 1)
        sender = geventhttpclient.HTTPClient(host, int(port))
        pid = service.pid if which == "receive" else "self"
        idle = _idle_share(service.pid) if which == "receive" else 0.0
        began = time.monotonic()
        before = proc.cpu_seconds(pid)
        for _ in range(POSTS):
            sender.post(
                peer_link.PATH, body, {"Content-Type": "application/json"}
            ).read()
        used = proc.cpu_seconds(pid) - before
        used -= idle * (time.monotonic() - began)
        sender.close()
        return used / POSTS * MICROSECONDS

    return measure


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
    """Return what instances use of which ``count`` are idle together.

    Of the three keepers that with most counts, of the others the median.
    """
    names = [f"i{number}" for number in range(1, count + 1)]
    domains = [f"fd{number % 3}" for number in range(count)]
    with processes.Deployment(names, domains, keepers=KEEPERS) as deployment:
        gevent.sleep(SETTLE_SECONDS)
        before = [_used(item) for item in deployment.instances]
        gevent.sleep(IDLE_SECONDS)
        after = [_used(item) for item in deployment.instances]
    spent = [
        [(late - early) / IDLE_SECONDS for early, late in zip(*pair)]
        for pair in zip(before, after)
    ]
    keepers = [max(values) for values in zip(*spent[:KEEPERS])]
    others = [statistics.median(v) for v in zip(*spent[KEEPERS:])]
    memory = statistics.median(item[-1] for item in after)
    return {
        "keeper_share": keepers[0] * 100.0,
        "keeper_bytes": keepers[1],
        "keeper_batches": keepers[2],
        "idle_share": others[0] * 100.0,
        "idle_bytes": others[1],
        "idle_batches": others[2],
        "idle_memory": memory,
    }


def _used(item):
    """Return processor s, bytes and batches sent, and memory held."""
    counters = _counters(item.addresses["operators"])
    batches = counters.get("peer_sent_batches_total", 0.0)
    sent = counters.get("peer_sent_bytes_total", 0.0)
    return (
        proc.cpu_seconds(item.process.pid),
        sent + batches * peer_link.OVERHEAD_BYTES,
        batches,
        float(proc.rss_bytes(item.process.pid)),
    )


def _counters(address):
    host, port = address.rsplit(":", 1)
    sender = geventhttpclient.HTTPClient(host, int(port))
    text = sender.get("/metrics?by=none").read().decode()
    sender.close()
    lines = [line.split() for line in text.splitlines() if "{" not in line]
    return {
        name.removeprefix("dandeliontrail_"): float(value)
        for name, value in lines
    }


def run(command):
    """Run all probes of this module and return their fits."""
    found = _run_instances(command)
    with Service(step=0.01) as service:
        found.append(fits.run(_relay_probe(service), command))
        for which in ("receive", "send"):
            found.append(fits.run(_batch_probe(service, which), command))
    return found


def _run_instances(command):
    rounds = [[instances(size) for size in INSTANCES] for _ in range(REPEATS)]
    found = []
    for key, what, unit in INSTANCE_FITS:
        values = [[item[key] for item in row] for row in rounds]
        probe = fits.Probe(
            key, what, "instance", unit, INSTANCES, None, REPEATS
        )
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


STREAMS = fits.Probe(
    "stream_bytes",
    "memory of an instance with so many streams open",
    "open stream",
    "bytes",
    [50, 200, 400],
    stream_bytes,
)
