"""Compares what callers got with what the engines ran.

Numbered requests go through several instances, with faults made by the
stand-in engines, paths that lose their connections, and an instance killed
in the middle.  Each answer is held against what the engines took down: an
answer lost, work doubled, text cut, or "not run" said of what had begun.
"""

import collections
import contextlib
import dataclasses
import random
import signal

from dandeliontrail_ctl import api
import gevent
from gevent import pool

from . import batch
from . import client
from . import demo
from . import engine
from . import faults
from . import paths
from . import processes

NAMES = ("i1", "i2", "i3")
DOMAINS = ("fd1", "fd2", "fd3")
KEY = "audit-key"
SLOTS = 48
PACE = batch.Pace(step=0.002, step_per_stream=0.0, prefill=0.0)
MOST_TOKENS = 12
MOST_SENDS = 6
RESEND_SECONDS = 0.3
CLASSES = {
    "lookup": {"priority": 0, "pools": ["models"]},
    "summary": {"priority": 2, "repeatable": False, "pools": ["models"]},
}
# The claims' voters have met and the instance that was killed is back.
SETTLE_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class Plan:
    """One run; the same seed draws the same requests and faults.

    ``fault_rate`` is the share of requests that an engine fails on
    purpose, ``path_losses`` how often a path loses its connections and
    ``kills`` how often an instance is killed and started anew.
    """

    seed: int = 0
    requests: int = 1000
    concurrency: int = 64
    fault_rate: float = 0.2
    path_losses: int = 2
    kills: int = 1


@dataclasses.dataclass(slots=True)
class Case:
    """One numbered request and what came of it."""

    number: int
    class_name: str
    key: str
    streamed: bool
    tokens: int
    answers: list = dataclasses.field(default_factory=list)
    # Whether the instance that it was sent to was killed meanwhile.
    orphaned: bool = False

    @property
    def text(self):
        """The one right answer."""
        return "".join(f"w{number} " for number in range(self.tokens))


@dataclasses.dataclass(slots=True)
class Report:
    """What one run found; the last four are lists of numbers."""

    seed: int
    sent: int = 0
    outcomes: dict = dataclasses.field(default_factory=dict)
    resent: int = 0
    reruns: int = 0
    orphaned: int = 0
    lost: list = dataclasses.field(default_factory=list)
    doubled: list = dataclasses.field(default_factory=list)
    cut: list = dataclasses.field(default_factory=list)
    false_not_run: list = dataclasses.field(default_factory=list)

    def clean(self):
        """Tell whether nothing was found."""
        found = (self.lost, self.doubled, self.cut, self.false_not_run)
        return not any(found)


class _Engine(engine.Engine):
    """A stand-in that takes down which numbers it ran."""

    def __init__(self, name, domain, runs, began):
        super().__init__(name, domain, ["small"], SLOTS, PACE)
        self._runs = runs
        self._began = began

    def begin(self, stream, ask):
        """Take down the number in the prompt, then run it."""
        number = int(ask.messages[0].content.split()[-1])
        self._runs[number] += 1
        self._began.add(stream.request_id)
        super().begin(stream, ask)


class Audit:
    """One run from start to report."""

    def __init__(self, plan):
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.runs = collections.Counter()
        self.began = set()
        self.cases = []
        self._paths = []
        self._deployment = None
        # Grows with each kill, by instance.
        self._kills = collections.Counter()
        self._down = set()

    def run(self):
        """Send everything and return the report."""
        with contextlib.ExitStack() as stack:
            deployed = processes.Deployment(NAMES, DOMAINS)
            self._deployment = stack.enter_context(deployed)
            self._start_engines(stack)
            self._apply()
            gevent.sleep(SETTLE_SECONDS)
            self._send_all(stack)
        return self.report()

    def _start_engines(self, stack):
        addresses = self._deployment.addresses("backend_servers")
        for index, domain in enumerate(DOMAINS):
            made = _Engine(f"e{index + 1}", domain, self.runs, self.began)
            made.faults = faults.Faults(
                f"{self.plan.seed}-{index}", self.plan.fault_rate
            )
            made.start()
            stack.callback(made.stop)
            path = stack.enter_context(paths.Path(made.url))
            made.announced_url = path.url
            self._paths.append(path)
            announcer = gevent.spawn(made.announce, addresses)
            stack.callback(announcer.kill)

    def _apply(self):
        organisations = {
            "audit": {
                "keys": [engine.key_hash(KEY)],
                "classes": list(CLASSES),
                "default_class": "lookup",
            }
        }
        servers = [
            api.Api(f"http://{address}")
            for address in self._deployment.addresses("operators")
        ]
        for kind, objects in (
            ("backendpools", {"models": {"select": {"kind": "model_engine"}}}),
            ("requestclasses", CLASSES),
            ("organisations", organisations),
        ):
            for name, spec in objects.items():
                servers[0].put(kind, name, spec)
        demo.wait_until(lambda: all(_is_up(server) for server in servers))

    def _send_all(self, stack):
        workers = pool.Pool(self.plan.concurrency)
        disturb = self._disturbances()
        for number in range(self.plan.requests):
            if number in disturb:
                workers.wait_available()
                stack.callback(gevent.spawn(disturb[number]).join)
            case = self._case(number)
            self.cases.append(case)
            workers.spawn(self._send, case, self.rng.randrange(len(NAMES)))
        workers.join()

    def _disturbances(self):
        """Return what else goes wrong, by the number it comes before."""
        plan = self.plan
        actions = [self._lose_path] * plan.path_losses
        actions += [self._kill] * plan.kills
        chosen = self.rng.sample(
            range(plan.requests // 5, plan.requests), len(actions)
        )
        return dict(zip(chosen, actions, strict=True))

    def _lose_path(self):
        self.rng.choice(self._paths).lose()

    def _kill(self):
        index = self.rng.randrange(len(NAMES))
        self._kills[index] += 1
        self._down.add(index)
        held = self._deployment.instances[index]
        held.process.send_signal(signal.SIGKILL)
        held.process.wait()
        self._deployment.start(index, held.addresses)
        self._down.discard(index)

    def _case(self, number):
        kind = self.rng.randrange(4)
        return Case(
            number,
            "lookup" if kind < 2 else "summary",
            f"key-{self.plan.seed}-{number}" if kind == 3 else "",
            self.rng.random() < 0.7,
            self.rng.randint(1, MOST_TOKENS),
        )

    def _send(self, case, index):
        """Send a request; one with a key again, until its end is known."""
        for _ in range(MOST_SENDS if case.key else 1):
            kills, down = self._kills[index], index in self._down
            answer = client.send(self._ask(case, index))
            case.orphaned = down or self._kills[index] != kills
            case.answers.append(answer)
            if answer.complete or answer.status == 409:
                return
            index = (index + 1) % len(NAMES)
            gevent.sleep(RESEND_SECONDS)

    def _ask(self, case, index):
        return client.Ask(
            self._deployment.instances[index].addresses["callers"],
            KEY,
            case.class_name,
            f"audit {case.number}",
            stream=case.streamed,
            max_tokens=case.tokens,
            idempotency_key=case.key,
        )

    def report(self):
        """Hold what the callers got against what the engines ran."""
        made = Report(self.plan.seed, len(self.cases))
        outcomes = collections.Counter()
        for case in self.cases:
            self._judge(case, made)
            outcomes[_end_of(case)] += 1
            made.resent += len(case.answers) - 1
            made.orphaned += case.orphaned
        made.outcomes = dict(sorted(outcomes.items()))
        made.reruns = sum(count - 1 for count in self.runs.values())
        return made

    def _judge(self, case, made):
        runs = self.runs[case.number]
        if case.class_name == "summary" and runs > 1:
            made.doubled.append(case.number)
        for answer in case.answers:
            if answer.complete and answer.text != case.text:
                made.cut.append(case.number)
            if answer.outcome == "not-run" and (
                answer.request_id in self.began
            ):
                made.false_not_run.append(case.number)
        last = case.answers[-1]
        if not last.complete and not last.outcome and not case.orphaned:
            made.lost.append(case.number)
        if last.complete and not runs:
            made.lost.append(case.number)


def _is_up(server):
    status = server.get("status")
    listed = server.get("organisations")["items"]
    return bool(listed) and (status["serving_backend_servers"] == len(DOMAINS))


def _end_of(case):
    last = case.answers[-1]
    if last.complete:
        return "complete"
    if not last.outcome:
        return f"no answer ({last.error})"
    return f"{last.outcome} ({last.error})"
