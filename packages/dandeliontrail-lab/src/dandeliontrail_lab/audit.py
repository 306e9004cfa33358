"""Compares the answers that callers got with what the engines ran.

Numbered requests go through several instances, with faults of the simulated
engines, network paths that lose their connections and an instance that is
killed during the run.  Each answer is checked against the engines' records, to
find lost answers, work that ran twice, truncated text and "not run" outcomes
of requests that an engine had begun.
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

INSTANCE_NAMES = ("i1", "i2", "i3")
DOMAINS = ("fd1", "fd2", "fd3")
API_KEY = "audit-key"
ENGINE_SLOTS = 48
ENGINE_PACE = batch.Pace(step=0.002, step_per_stream=0.0, prefill=0.0)
MAX_TOKENS = 12
MAX_SENDS = 6
RESEND_DELAY_SECONDS = 0.3
CLASSES = {
    "lookup": {"priority": 0, "pools": ["models"]},
    "summary": {"priority": 2, "repeatable": False, "pools": ["models"]},
}
# After this delay the voters for claims have found each other, and an instance
# that was killed is back.
SETTLE_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class Plan:
    """The parameters of one run.

    The same seed draws the same requests and faults.  ``fault_rate`` is the
    share of requests that an engine fails on purpose, ``path_losses`` how
    often a path loses its connections and ``kills`` how often an instance is
    killed and restarted.
    """

    seed: int = 0
    requests: int = 1000
    concurrency: int = 64
    fault_rate: float = 0.2
    path_losses: int = 2
    kills: int = 1


@dataclasses.dataclass(slots=True)
class Case:
    """One numbered request and the answers to it."""

    number: int
    class_name: str
    key: str
    streamed: bool
    tokens: int
    answers: list = dataclasses.field(default_factory=list)
    # Whether the instance that the request was sent to was killed meanwhile.
    orphaned: bool = False

    @property
    def text(self):
        """The only correct answer."""
        return "".join(f"w{number} " for number in range(self.tokens))


@dataclasses.dataclass(slots=True)
class Report:
    """The findings of one run.

    The last four fields are lists of request numbers.  ``lost`` has the
    requests without an outcome, unless their instance was killed, and those
    with a complete answer that no engine ran.  ``doubled`` has those that must
    not be repeated and ran twice, ``cut`` those whose complete answer had the
    wrong text, and ``false_not_run`` those reported as "not run" although an
    engine had begun them.  ``reruns`` counts the repeated runs of all
    requests, ``orphaned`` the requests whose instance was killed.
    """

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
        """Return whether the run had no findings."""
        findings = (self.lost, self.doubled, self.cut, self.false_not_run)
        return not any(findings)


class _RecordingEngine(engine.Engine):
    """A simulated engine that records the numbers of its requests."""

    def __init__(self, name, domain, runs, begun_ids):
        super().__init__(name, domain, ["small"], ENGINE_SLOTS, ENGINE_PACE)
        self._runs = runs
        self._begun_ids = begun_ids

    def begin(self, stream, ask):
        """Record the number in the prompt, then run the request."""
        number = int(ask.messages[0].content.split()[-1])
        self._runs[number] += 1
        self._begun_ids.add(stream.request_id)
        super().begin(stream, ask)


class Audit:
    """One run, from the start of the processes to the report."""

    def __init__(self, plan):
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.runs = collections.Counter()
        self.begun_ids = set()
        self.cases = []
        self._paths = []
        self._deployment = None
        # The number of kills so far, by instance.
        self._kills = collections.Counter()
        self._down = set()

    def run(self):
        """Send all requests and return the report."""
        with contextlib.ExitStack() as stack:
            deployed = processes.Deployment(INSTANCE_NAMES, DOMAINS)
            self._deployment = stack.enter_context(deployed)
            self._start_engines(stack)
            self._apply_configuration()
            gevent.sleep(SETTLE_SECONDS)
            self._send_all(stack)
        return self.report()

    def _start_engines(self, stack):
        addresses = self._deployment.addresses("backend_servers")
        for index, domain in enumerate(DOMAINS):
            simulated = _RecordingEngine(
                f"e{index + 1}", domain, self.runs, self.begun_ids
            )
            simulated.faults = faults.Faults(
                f"{self.plan.seed}-{index}", self.plan.fault_rate
            )
            simulated.start()
            stack.callback(simulated.stop)
            path = stack.enter_context(paths.Path(simulated.url))
            simulated.announced_url = path.url
            self._paths.append(path)
            announcer = gevent.spawn(simulated.announce, addresses)
            stack.callback(announcer.kill)

    def _apply_configuration(self):
        organisations = {
            "audit": {
                "keys": [engine.key_hash(API_KEY)],
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
        demo.wait_until(lambda: all(_is_ready(server) for server in servers))

    def _send_all(self, stack):
        workers = pool.Pool(self.plan.concurrency)
        fault_actions = self._draw_fault_actions()
        for number in range(self.plan.requests):
            if number in fault_actions:
                workers.wait_available()
                stack.callback(gevent.spawn(fault_actions[number]).join)
            case = self._draw_case(number)
            self.cases.append(case)
            workers.spawn(
                self._send, case, self.rng.randrange(len(INSTANCE_NAMES))
            )
        workers.join()

    def _draw_fault_actions(self):
        """Return fault actions by the request number that they precede."""
        plan = self.plan
        actions = [self._drop_path_connections] * plan.path_losses
        actions += [self._kill_instance] * plan.kills
        request_numbers = self.rng.sample(
            range(plan.requests // 5, plan.requests), len(actions)
        )
        return dict(zip(request_numbers, actions, strict=True))

    def _drop_path_connections(self):
        self.rng.choice(self._paths).lose()

    def _kill_instance(self):
        index = self.rng.randrange(len(INSTANCE_NAMES))
        self._kills[index] += 1
        self._down.add(index)
        instance = self._deployment.instances[index]
        instance.process.send_signal(signal.SIGKILL)
        instance.process.wait()
        self._deployment.start(index, instance.addresses)
        self._down.discard(index)

    def _draw_case(self, number):
        kind = self.rng.randrange(4)
        return Case(
            number,
            "lookup" if kind < 2 else "summary",
            f"key-{self.plan.seed}-{number}" if kind == 3 else "",
            self.rng.random() < 0.7,
            self.rng.randint(1, MAX_TOKENS),
        )

    def _send(self, case, index):
        """Send a request.

        A request with an idempotency key is sent again until its outcome is
        known.
        """
        for _ in range(MAX_SENDS if case.key else 1):
            kills, down = self._kills[index], index in self._down
            answer = client.send(self._caller_request(case, index))
            case.orphaned = down or self._kills[index] != kills
            case.answers.append(answer)
            if answer.complete or answer.status == 409:
                return
            index = (index + 1) % len(INSTANCE_NAMES)
            gevent.sleep(RESEND_DELAY_SECONDS)

    def _caller_request(self, case, index):
        return client.Ask(
            self._deployment.instances[index].addresses["callers"],
            API_KEY,
            case.class_name,
            f"audit {case.number}",
            stream=case.streamed,
            max_tokens=case.tokens,
            idempotency_key=case.key,
        )

    def report(self):
        """Compare the callers' answers with the engines' records."""
        report = Report(self.plan.seed, len(self.cases))
        outcomes = collections.Counter()
        for case in self.cases:
            self._check_case(case, report)
            outcomes[_final_outcome(case)] += 1
            report.resent += len(case.answers) - 1
            report.orphaned += case.orphaned
        report.outcomes = dict(sorted(outcomes.items()))
        report.reruns = sum(count - 1 for count in self.runs.values())
        return report

    def _check_case(self, case, report):
        runs = self.runs[case.number]
        if case.class_name == "summary" and runs > 1:
            report.doubled.append(case.number)
        for answer in case.answers:
            if answer.complete and answer.text != case.text:
                report.cut.append(case.number)
            if answer.outcome == "not-run" and (
                answer.request_id in self.begun_ids
            ):
                report.false_not_run.append(case.number)
        last = case.answers[-1]
        if not last.complete and not last.outcome and not case.orphaned:
            report.lost.append(case.number)
        if last.complete and not runs:
            report.lost.append(case.number)


def _is_ready(server):
    status = server.get("status")
    listed = server.get("organisations")["items"]
    return bool(listed) and (status["serving_backend_servers"] == len(DOMAINS))


def _final_outcome(case):
    last = case.answers[-1]
    if last.complete:
        return "complete"
    if not last.outcome:
        return f"no answer ({last.error})"
    return f"{last.outcome} ({last.error})"
