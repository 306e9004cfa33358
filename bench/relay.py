"""CPU cost of a relayed request and event, compared with a bare proxy.

Engine, proxy and load generator are separate processes; the proxy's CPU time
is read from the kernel.  A line is fitted through the CPU time per request
over the stream length: its intercept is the cost of a request, its slope the
cost of an event.  The CPU time of the idle instance is subtracted: it is the
cost of the control plane, which docs/CAPACITY.md covers.  Bare proxy and
instance are measured alternately in one run, so that other load on the host
affects both.

Run: ``.venv/bin/python -m bench.relay``.
"""

from gevent import monkey

monkey.patch_all()

import contextlib  # noqa: E402
import statistics  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402

from dandeliontrail_ctl import api  # noqa: E402
from dandeliontrail_lab import batch  # noqa: E402
from dandeliontrail_lab import client  # noqa: E402
from dandeliontrail_lab import demo  # noqa: E402
from dandeliontrail_lab import engine  # noqa: E402
from dandeliontrail_lab import load  # noqa: E402
from dandeliontrail_lab import proc  # noqa: E402
from dandeliontrail_lab import processes  # noqa: E402
import gevent  # noqa: E402

ROUND_COUNT = 3
MEASURE_SECONDS = 5.0
REQUESTS_PER_SECOND = 20.0
TOKEN_COUNTS = (1, 100, 300)
SLOTS = 512
STEP_SECONDS = 0.01
MICROSECONDS_PER_SECOND = 1e6
KEY = "bench-key"


class Subject:
    """A process under test: the bare proxy or the instance."""

    def __init__(self, name, pid, address):
        self.name = name
        self.pid = pid
        self.address = address
        self.idle_share = 0.0

    def measure_idle(self):
        """Measure the CPU share without requests, which is not relay cost."""
        before = proc.cpu_seconds(self.pid)
        gevent.sleep(MEASURE_SECONDS)
        cpu_used = proc.cpu_seconds(self.pid) - before
        self.idle_share = cpu_used / MEASURE_SECONDS

    def measure(self, tokens):
        """Return the CPU seconds, the memory growth in bytes, the result."""
        ask = client.Ask(
            self.address, KEY, "lookup", "x" * 400, max_tokens=tokens
        )
        before = proc.cpu_seconds(self.pid)
        rss_before = proc.rss_bytes(self.pid)
        result = load.Load(ask).run(REQUESTS_PER_SECOND, MEASURE_SECONDS)
        cpu_used = proc.cpu_seconds(self.pid) - before
        cpu_used -= self.idle_share * result.seconds
        return cpu_used, proc.rss_bytes(self.pid) - rss_before, result


def start_engine(stack):
    """Start the engine that both subjects relay to; return its process."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.relay", "engine"],
        stdout=subprocess.PIPE,
        stdin=subprocess.PIPE,
        text=True,
    )
    stack.callback(processes.stop, process)
    return process


def serve_engine():
    """Run the engine: print its URL, read an address and announce to it."""
    pace = batch.Pace(step=STEP_SECONDS, step_per_stream=0.0, prefill=0.0)
    served = engine.Engine("e1", "fd1", ["small"], SLOTS, pace)
    served.start()
    print(served.url, flush=True)
    served.announce([sys.stdin.readline().strip()])


def start_bare(stack, url):
    """Start the bare proxy in front of the engine at ``url``."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.bare_proxy", url],
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.callback(processes.stop, process)
    port = process.stdout.readline().strip()
    return Subject("bare proxy", process.pid, f"127.0.0.1:{port}")


def start_instance(stack, engine_process):
    """Start one instance and have the engine announce to it."""
    deployment = stack.enter_context(processes.Deployment(["i1"], ["fd1"]))
    running = deployment.instances[0]
    address = running.addresses["backend_servers"]
    engine_process.stdin.write(f"{address}\n")
    engine_process.stdin.flush()
    server = api.Api(f"http://{running.addresses['operators']}")
    demo.wait_until(lambda: server.get("status")["serving_backend_servers"])
    server.put("backendpools", "all", {})
    server.put("requestclasses", "lookup", {"pools": ["all"]})
    key = [engine.key_hash(KEY)]
    spec = {"keys": key, "default_class": "lookup"}
    server.put("organisations", "bench", spec)
    return Subject(
        "dandeliond", running.process.pid, running.addresses["callers"]
    )


def slope(points):
    """Return (intercept, slope) of the least-squares line."""
    fit = statistics.linear_regression(*zip(*points))
    return fit.intercept, fit.slope


def report(subject, rounds):
    """Print the costs of one subject; return those of (request, event)."""
    costs = [slope(points) for points in rounds]
    request = statistics.median(item[0] for item in costs)
    event = statistics.median(item[1] for item in costs)
    spread = max(item[1] for item in costs) - min(item[1] for item in costs)
    print(
        f"{subject.name:12} {request:8.0f} µs a request,"
        f" {event:6.1f} µs an event (spread {spread:.1f})"
    )
    return request, event


def run():
    """Measure both subjects and print the results."""
    with contextlib.ExitStack() as stack:
        engine_process = start_engine(stack)
        url = engine_process.stdout.readline().strip()
        bare = start_bare(stack, url)
        subjects = [bare, start_instance(stack, engine_process)]
        for subject in subjects:
            subject.measure_idle()
            print(f"  {subject.name:12} {subject.idle_share:6.1%} idle")
        rounds = {subject.name: [] for subject in subjects}
        for number in range(ROUND_COUNT + 1):
            for subject in subjects:
                points = _measure_round(subject)
                # The first round warms up connections and memory.
                if number:
                    rounds[subject.name].append(points)
        costs = [report(item, rounds[item.name]) for item in subjects]
    (bare_request, bare_event), (request, event) = costs
    print(f"ratio        {request / bare_request:8.2f} a request,")
    print(f"             {event / bare_event:8.2f} an event")


def _measure_round(subject):
    points = []
    for tokens in TOKEN_COUNTS:
        cpu_used, rss_growth, result = subject.measure(tokens)
        assert result.complete == result.sent, (subject.name, result)
        cpu_us_per_request = cpu_used / result.sent * MICROSECONDS_PER_SECOND
        points.append((tokens, cpu_us_per_request))
        share = cpu_used / result.seconds
        print(
            f"  {subject.name:12} {tokens:4} tokens"
            f" {result.events / result.seconds:7.0f} events/s"
            f" {share:6.1%} of a core, {rss_growth / 1024:6.0f} KiB grown,"
            f" {result.bytes / max(1, result.events):4.0f} bytes an event"
        )
    return points


if __name__ == "__main__":
    if sys.argv[1:] == ["engine"]:
        serve_engine()
    else:
        run()
