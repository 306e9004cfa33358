"""Probes of running instances, with the kernel's accounting.

Every instance is its own process, so each figure includes the Python
interpreter and its libraries.
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

API_KEY = "capacity-key"
IDLE_SECONDS = 3.0
SETTLE_SECONDS = 2.0
LOAD_SECONDS = 3.0
REQUESTS_PER_SECOND = 20.0
MICROSECONDS_PER_SECOND = 1e6
POST_COUNT = 400
ENGINE_SLOTS = 2048

KEEPER_COUNT = 3
INSTANCE_COUNTS = [4, 8, 14]
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

# Code that is imported cumulatively, to see what each layer adds.
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
    """Return (name, bytes) of an interpreter for each layer.

    Each entry has all layers up to that one loaded.
    """
    code = ""
    sizes = []
    for name, statement in LAYERS:
        code += statement + "\n"
        sizes.append((name, _imported_bytes(code)))
    return sizes


def _imported_bytes(code):
    wait_for_eof = "print(1, flush=True)\nimport sys\nsys.stdin.read()"
    sizes = []
    for _ in range(3):
        process = subprocess.Popen(
            [sys.executable, "-c", code + wait_for_eof],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        process.stdout.readline()
        sizes.append(proc.rss_bytes(process.pid))
        process.stdin.close()
        process.wait()
    return statistics.median(sizes)


class SingleInstance:
    """One instance, one engine process and one organisation's key."""

    def __init__(self, step_seconds):
        self._step_seconds = step_seconds
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        """Start the processes and apply the configuration."""
        with self._stack:
            deployment = processes.Deployment(["i1"], ["fd1"])
            self._deployment = self._stack.enter_context(deployment)
            running = self._deployment.instances[0]
            self.pid = running.process.pid
            self.addresses = running.addresses
            self._start_engine()
            self._apply_configuration()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        """Stop the processes."""
        return self._stack.__exit__(*exc_info)

    def _start_engine(self):
        engine_process = subprocess.Popen(
            [
                processes.program("dandelionctl"),
                "lab",
                "engine",
                "e1",
                f"--announce-to={self.addresses['backend_servers']}",
                f"--slots={ENGINE_SLOTS}",
                f"--step-ms={self._step_seconds * 1000}",
            ],
            stdout=subprocess.DEVNULL,
        )
        self._stack.callback(processes.stop, engine_process)

    def _apply_configuration(self):
        api_client = api.Api(f"http://{self.addresses['operators']}")
        demo.wait_until(
            lambda: api_client.get("status")["serving_backend_servers"]
        )
        api_client.put("backendpools", "all", {})
        api_client.put("requestclasses", "lookup", {"pools": ["all"]})
        key = [engine.key_hash(API_KEY)]
        spec = {"keys": key, "default_class": "lookup"}
        api_client.put("organisations", "load", spec)

    def request_for(self, tokens):
        """Return a request for an answer of ``tokens`` tokens."""
        address = self.addresses["callers"]
        return client.Ask(address, API_KEY, "", "x" * 400, max_tokens=tokens)


def relay_us(service):
    """Return a measuring function: events per request to µs per request.

    The instance's idle use is subtracted.
    """

    def measure(events):
        idle_share = _idle_share(service.pid)
        before = proc.cpu_seconds(service.pid)
        result = load.Load(service.request_for(events)).run(
            REQUESTS_PER_SECOND, LOAD_SECONDS
        )
        used_seconds = proc.cpu_seconds(service.pid) - before
        if result.complete != result.sent:
            raise RuntimeError(f"some answers were incomplete: {result}")
        used_seconds -= idle_share * result.seconds
        return used_seconds / result.sent * MICROSECONDS_PER_SECOND

    return measure


def _idle_share(pid, seconds=2.0):
    before = proc.cpu_seconds(pid)
    gevent.sleep(seconds)
    return (proc.cpu_seconds(pid) - before) / seconds


def stream_bytes(streams):
    """Return the memory of a new instance with that many open streams."""
    with SingleInstance(step_seconds=0.5) as service:
        requests = [
            gevent.spawn(client.send, service.request_for(100_000))
            for _ in range(streams)
        ]
        gevent.sleep(SETTLE_SECONDS + streams / 100.0)
        memory_bytes = proc.rss_bytes(service.pid)
        gevent.killall(requests)
    return float(memory_bytes)


def batch_us(service, direction):
    """Return a measuring function: bytes of a batch to µs per batch.

    With the direction ``receive`` it is the processor time of the instance as
    the kernel counts it, less its idle use.  With ``send`` it is that of this
    process, which sends as instances do.
    """

    def measure(size):
        body = _batch_body(size)
        host, port = service.addresses["peers"].rsplit(":", 1)
        sender = geventhttpclient.HTTPClient(host, int(port))
        pid = service.pid if direction == "receive" else "self"
        idle_share = (
            _idle_share(service.pid) if direction == "receive" else 0.0
        )
        started = time.monotonic()
        before = proc.cpu_seconds(pid)
        for _ in range(POST_COUNT):
            sender.post(
                peer_link.PATH, body, {"Content-Type": "application/json"}
            ).read()
        used_seconds = proc.cpu_seconds(pid) - before
        used_seconds -= idle_share * (time.monotonic() - started)
        sender.close()
        return used_seconds / POST_COUNT * MICROSECONDS_PER_SECOND

    return measure


def _batch_body(size):
    """Return an envelope of about ``size`` bytes without messages.

    The sender's address is padded to reach the size, so the measured cost is
    that of HTTP and of decoding, without that of any message handler.
    """
    sender = messages.Sender("i9", "", "fd1", "r1", 1)
    empty = len(codec.encode(codec.Envelope(sender, [])))
    sender.address = "x" * max(0, size - empty)
    return codec.encode(codec.Envelope(sender, []))


def instances(count):
    """Return the resource use of ``count`` idle instances.

    For the three keepers it is the largest value of each counter, for the
    other instances the median.
    """
    names = [f"i{number}" for number in range(1, count + 1)]
    domains = [f"fd{number % 3}" for number in range(count)]
    with processes.Deployment(
        names, domains, keepers=KEEPER_COUNT
    ) as deployment:
        gevent.sleep(SETTLE_SECONDS)
        before = [_resource_use(item) for item in deployment.instances]
        gevent.sleep(IDLE_SECONDS)
        after = [_resource_use(item) for item in deployment.instances]
    rates = [
        [(late - early) / IDLE_SECONDS for early, late in zip(*pair)]
        for pair in zip(before, after)
    ]
    keepers = [max(values) for values in zip(*rates[:KEEPER_COUNT])]
    others = [statistics.median(v) for v in zip(*rates[KEEPER_COUNT:])]
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


def _resource_use(item):
    """Return processor seconds, bytes sent, batches sent and memory held."""
    counters = _counters(item.addresses["operators"])
    batches = counters.get("peer_sent_batches_total", 0.0)
    sent = counters.get("peer_sent_bytes_total", 0.0)
    return (
        proc.cpu_seconds(item.process.pid),
        sent + batches * peer_link.HTTP_OVERHEAD_BYTES,
        batches,
        float(proc.rss_bytes(item.process.pid)),
    )


def _counters(address):
    host, port = address.rsplit(":", 1)
    client_connection = geventhttpclient.HTTPClient(host, int(port))
    text = client_connection.get("/metrics?by=none").read().decode()
    client_connection.close()
    lines = [line.split() for line in text.splitlines() if "{" not in line]
    return {
        name.removeprefix("dandeliontrail_"): float(value)
        for name, value in lines
    }


def run(command):
    """Run the probes of this module, except ``STREAMS``.

    Returns their fits.
    """
    results = _run_instances(command)
    with SingleInstance(step_seconds=0.01) as service:
        results.append(fits.run(_relay_probe(service), command))
        for direction in ("receive", "send"):
            results.append(fits.run(_batch_probe(service, direction), command))
    return results


def _run_instances(command):
    rounds = [
        [instances(size) for size in INSTANCE_COUNTS] for _ in range(REPEATS)
    ]
    results = []
    for key, what, unit in INSTANCE_FITS:
        values = [[item[key] for item in row] for row in rounds]
        probe = fits.Probe(
            key, what, "instance", unit, INSTANCE_COUNTS, None, REPEATS
        )
        results.append(fits.fit(probe, values, command))
    return results


def _relay_probe(service):
    return fits.Probe(
        "relay_us",
        "a request with so many relayed events",
        "relayed event",
        "µs",
        [1, 50, 150, 300],
        relay_us(service),
    )


def _batch_probe(service, direction):
    return fits.Probe(
        f"batch_{direction}_us",
        f"HTTP for a batch between instances, to {direction} it",
        "byte of body",
        "µs",
        [250, 1000, 4000, 16000],
        batch_us(service, direction),
    )


STREAMS = fits.Probe(
    "stream_bytes",
    "memory of an instance with so many streams open",
    "open stream",
    "bytes",
    [50, 200, 400],
    stream_bytes,
)
