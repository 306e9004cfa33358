"""What a relayed event and a request cost, against a bare proxy.

Engine, proxy and load are processes of their own; the proxy's processor
time is read from the kernel.  Long streams give the cost of an event, short
ones that of a request, as the slope and the start of one line fitted
through them.  What the instance spends without any request is taken off:
it is the cost of control and has a page of its own (docs/CAPACITY.md).
Bare proxy and instance take turns within one run, so that what else the
machine does falls on both.

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

ROUNDS = 3
SECONDS = 5.0
PER_SECOND = 20.0
TOKENS = (1, 100, 300)
SLOTS = 512
STEP = 0.01
MICROSECONDS = 1e6
KEY = "bench-key"


class Subject:
    """One of the two that are measured."""

    def __init__(self, name, pid, address):
        self.name = name
        self.pid = pid
        self.address = address
        self.idle_share = 0.0

    def measure_idle(self):
        """Find what it costs without any request; that is not a relay's."""
        before = proc.cpu_seconds(self.pid)
        gevent.sleep(SECONDS)
        used = proc.cpu_seconds(self.pid) - before
        self.idle_share = used / SECONDS

    def measure(self, tokens):
        """Return processor seconds, bytes grown and what the load saw."""
        ask = client.Ask(
            self.address, KEY, "lookup", "x" * 400, max_tokens=tokens
        )
        before = proc.cpu_seconds(self.pid)
        held = proc.rss_bytes(self.pid)
        result = load.Load(ask).run(PER_SECOND, SECONDS)
        used = proc.cpu_seconds(self.pid) - before
        used -= self.idle_share * result.seconds
        return used, proc.rss_bytes(self.pid) - held, result


def start_engine(stack):
    """Start the engine that both relay to; return it as a lab object."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.relay", "engine"],
        stdout=subprocess.PIPE,
        stdin=subprocess.PIPE,
        text=True,
    )
    stack.callback(processes.stop, process)
    return process


def serve_engine():
    """Be the engine: print the URL, read addresses, announce."""
    pace = batch.Pace(step=STEP, step_per_stream=0.0, prefill=0.0)
    served = engine.Engine("e1", "fd1", ["small"], SLOTS, pace)
    served.start()
    print(served.url, flush=True)
    served.announce([sys.stdin.readline().strip()])


def start_bare(stack, url):
    """Start the bare proxy."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.bare_proxy", url],
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.callback(processes.stop, process)
    port = process.stdout.readline().strip()
    return Subject("bare proxy", process.pid, f"127.0.0.1:{port}")


def start_instance(stack, engine_process):
    """Start one instance that knows the engine."""
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
    """Return (start, slope) of the least-squares line through points."""
    found = statistics.linear_regression(*zip(*points))
    return found.intercept, found.slope


def report(subject, rounds):
    """Print the figures of one subject; return (request, event) costs."""
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
    """Measure both and print the table."""
    with contextlib.ExitStack() as stack:
        engine_process = start_engine(stack)
        url = engine_process.stdout.readline().strip()
        bare = start_bare(stack, url)
        subjects = [bare, start_instance(stack, engine_process)]
        for subject in subjects:
            subject.measure_idle()
            print(f"  {subject.name:12} {subject.idle_share:6.1%} idle")
        rounds = {subject.name: [] for subject in subjects}
        for number in range(ROUNDS + 1):
            for subject in subjects:
                points = _round(subject)
                # The first round warms up connections and memory.
                if number:
                    rounds[subject.name].append(points)
        costs = [report(item, rounds[item.name]) for item in subjects]
    (bare_request, bare_event), (request, event) = costs
    print(f"ratio        {request / bare_request:8.2f} a request,")
    print(f"             {event / bare_event:8.2f} an event")


def _round(subject):
    points = []
    for tokens in TOKENS:
        used, grown, result = subject.measure(tokens)
        assert result.complete == result.sent, (subject.name, result)
        each = used / result.sent * MICROSECONDS
        points.append((tokens, each))
        share = used / result.seconds
        print(
            f"  {subject.name:12} {tokens:4} tokens"
            f" {result.events / result.seconds:7.0f} events/s"
            f" {share:6.1%} of a core, {grown / 1024:6.0f} KiB grown,"
            f" {result.bytes / max(1, result.events):4.0f} bytes an event"
        )
    return points


if __name__ == "__main__":
    if sys.argv[1:] == ["engine"]:
        serve_engine()
    else:
        run()
