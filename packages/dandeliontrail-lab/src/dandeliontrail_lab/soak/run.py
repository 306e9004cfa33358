"""Puts a soak together, runs it and reports."""

import collections
import contextlib
import random

import gevent
import rich.console
import rich.table

from dandeliontrail_ctl import api

from .. import demo
from .. import engine
from . import callers as callers_module
from . import cluster as cluster_module
from . import faults as faults_module
from . import operators as operators_module
from . import verdict
from . import witness

DOMAINS = ("fd1", "fd2", "fd3")
INSTANCES = 9
KEEPERS = 3
ENGINES = 6
CALLERS = 8
OPERATORS = 3
SETTLE_SECONDS = 60.0
CLASSES = {
    "lookup": {"priority": 0, "pools": ["all"]},
    "summary": {"priority": 3, "repeatable": False, "pools": ["all"]},
}


def run(seconds, seed):
    """Run a soak and return its exit code: 0 where every promise held."""
    console = rich.console.Console()
    rng = random.Random(seed)
    names = tuple(f"i{number + 1}" for number in range(INSTANCES))
    domains = [DOMAINS[number % len(DOMAINS)] for number in range(INSTANCES)]
    with contextlib.ExitStack() as stack:
        deployment = stack.enter_context(
            cluster_module.new_deployment(names, domains, KEEPERS)
        )
        cluster = cluster_module.Cluster(deployment, names, KEEPERS)
        soak = _Soak(stack, deployment, cluster, rng)
        soak.prepare()
        soak.run(seconds)
        findings = soak.findings()
        _report(console, soak, findings, seed)
    return 1 if any(item.cases for item in findings) else 0


class _Soak:
    """Everything that runs at the same time."""

    def __init__(self, stack, deployment, cluster, rng):
        self._stack = stack
        self._deployment = deployment
        self.cluster = cluster
        self.runs = witness.new_runs()
        self.engines = []
        self.callers = callers_module.Callers(cluster, rng)
        self.operators = operators_module.Operators(cluster, rng)
        self.watcher = operators_module.Watcher(cluster)
        self._start_engines()
        self.faults = faults_module.Faults(cluster, self.engines, rng)

    def _spawn(self, function, *args):
        job = gevent.spawn(function, *args)
        self._stack.callback(job.kill)
        return job

    def _start_engines(self):
        addresses = self._deployment.addresses("backend_servers")
        for number in range(ENGINES):
            domain = DOMAINS[number % len(DOMAINS)]
            made = witness.Witness(f"e{number}", domain, self.runs)
            made.start()
            self._stack.callback(made.stop)
            self._spawn(made.announce, addresses)
            self.engines.append(made)

    def prepare(self):
        """Declare the objects and wait until all have them."""
        self._spawn(self.cluster.watch_ready)
        names = self.cluster.names
        demo.wait_until(lambda: len(self.cluster.ready) == len(names))
        server = api.Api(f"http://{self.cluster.operators(names[0])}")
        demo.wait_until(lambda: self._declared(server), SETTLE_SECONDS)
        demo.wait_until(lambda: all(map(self._knows_all, names)))

    def _declared(self, server):
        hashed = engine.key_hash(callers_module.KEY)
        try:
            server.put("backendpools", "all", {})
            for name, spec in CLASSES.items():
                server.put("requestclasses", name, spec)
            caller = {
                "keys": [hashed],
                "classes": list(CLASSES),
                "default_class": "lookup",
            }
            server.put("organisations", "lab", caller)
            server.put(operators_module.KIND, operators_module.NAME, {})
        except api.ApiError:
            return False
        return True

    def _knows_all(self, name):
        if not self.watcher.read(name):
            return False
        server = api.Api(f"http://{self.cluster.operators(name)}")
        return server.get("status")["serving_backend_servers"] == ENGINES

    def run(self, seconds):
        """Let all run for ``seconds``, then let everything settle."""
        jobs = self.callers.start(CALLERS)
        jobs += [
            self._spawn(self.operators.run, author)
            for author in range(OPERATORS)
        ]
        for name in self.cluster.names:
            self._spawn(self.watcher.run, name)
        trouble = self._spawn(self.faults.run)
        gevent.sleep(seconds)
        self.faults.stopping = True
        trouble.join()
        self.callers.stopping = True
        self.operators.stopping = True
        gevent.joinall(jobs, timeout=SETTLE_SECONDS)

    def findings(self):
        """Return what held and what did not."""
        found = verdict.judge(
            self.callers.told,
            self.runs,
            self.cluster,
            self.operators,
            self.watcher,
        )
        repairs = [item for item in self.faults.log if "failed" in item[0]]
        found.append(verdict.Finding("a keeper can be replaced", repairs))
        found.append(verdict.Finding("all agree in the end", self._apart()))
        unanswered = [self.callers.under_way] if self.callers.under_way else []
        found.append(verdict.Finding("every caller is answered", unanswered))
        return found

    def _apart(self):
        """Return what each instance holds, where they still differ."""
        held = {}
        for _ in range(int(SETTLE_SECONDS)):
            held = {
                name: self.watcher.read(name) for name in self.cluster.names
            }
            if len(set(held.values())) == 1 and None not in held.values():
                return []
            gevent.sleep(1.0)
        return [held]


def _report(console, soak, findings, seed):
    outcomes = collections.Counter(
        (
            item.class_name + (" keyed" if item.keyed else ""),
            _outcome(item.answer),
        )
        for item in soak.callers.told
    )
    table = rich.table.Table(title=f"Soak, seed {seed}")
    for heading in ("what", "count"):
        table.add_column(heading)
    for (class_name, outcome), count in sorted(outcomes.items()):
        table.add_row(f"{class_name}: {outcome}", str(count))
    for kind, count in sorted(soak.faults.counted.items()):
        table.add_row(kind, str(count))
    operators = soak.operators
    table.add_row("writes accepted", str(len(operators.accepted)))
    table.add_row("writes in conflict", str(operators.conflicts))
    table.add_row("writes unknown, resent", str(operators.unknown))
    table.add_row("writes refused, resent", str(operators.refused))
    console.print(table)
    for item in findings:
        verdict_text = f"BROKEN {item.cases[:8]}" if item.cases else "held"
        console.print(f"{item.promise}: {verdict_text}", soft_wrap=True)


def _outcome(answer):
    if answer.complete:
        return "complete"
    if answer.outcome:
        return f"{answer.outcome} ({answer.error})"
    return "connection broke"
