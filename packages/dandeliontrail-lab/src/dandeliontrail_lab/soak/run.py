"""Sets up a soak run, runs it and prints the results."""

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
    """Run a soak; return exit code 0 if every invariant held, else 1."""
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
        results = soak.results()
        _report(console, soak, results, seed)
    return 1 if any(item.violations for item in results) else 0


class _Soak:
    """The concurrent parts of a soak run."""

    def __init__(self, stack, deployment, cluster, rng):
        self._stack = stack
        self._deployment = deployment
        self.cluster = cluster
        self.run_counts = witness.new_run_counts()
        self.engines = []
        self.callers = callers_module.Callers(cluster, rng)
        self.operators = operators_module.ConcurrentWriters(cluster, rng)
        self.watcher = operators_module.Watcher(cluster)
        self._start_engines()
        self.faults = faults_module.FaultInjector(cluster, self.engines, rng)

    def _spawn(self, function, *args):
        job = gevent.spawn(function, *args)
        self._stack.callback(job.kill)
        return job

    def _start_engines(self):
        addresses = self._deployment.addresses("backend_servers")
        for number in range(ENGINES):
            domain = DOMAINS[number % len(DOMAINS)]
            started = witness.CountingEngine(
                f"e{number}", domain, self.run_counts
            )
            started.start()
            self._stack.callback(started.stop)
            self._spawn(started.announce, addresses)
            self.engines.append(started)

    def prepare(self):
        """Declare the objects and wait until all instances have them."""
        self._spawn(self.cluster.watch_ready)
        names = self.cluster.names
        demo.wait_until(lambda: len(self.cluster.ready) == len(names))
        server = api.Api(f"http://{self.cluster.operators(names[0])}")
        demo.wait_until(lambda: self._declared(server), SETTLE_SECONDS)
        demo.wait_until(lambda: all(map(self._is_in_sync, names)))

    def _declared(self, server):
        hashed_key = engine.key_hash(callers_module.KEY)
        try:
            server.put("backendpools", "all", {})
            for name, spec in CLASSES.items():
                server.put("requestclasses", name, spec)
            organisation = {
                "keys": [hashed_key],
                "classes": list(CLASSES),
                "default_class": "lookup",
            }
            server.put("organisations", "lab", organisation)
            server.put(
                operators_module.OBJECT_KIND, operators_module.OBJECT_NAME, {}
            )
        except api.ApiError:
            return False
        return True

    def _is_in_sync(self, name):
        if not self.watcher.read(name):
            return False
        server = api.Api(f"http://{self.cluster.operators(name)}")
        return server.get("status")["serving_backend_servers"] == ENGINES

    def run(self, seconds):
        """Run everything for ``seconds``, then wait for open requests."""
        jobs = self.callers.start(CALLERS)
        jobs += [
            self._spawn(self.operators.run, author)
            for author in range(OPERATORS)
        ]
        for name in self.cluster.names:
            self._spawn(self.watcher.run, name)
        fault_job = self._spawn(self.faults.run)
        gevent.sleep(seconds)
        self.faults.stopping = True
        fault_job.join()
        self.callers.stopping = True
        self.operators.stopping = True
        gevent.joinall(jobs, timeout=SETTLE_SECONDS)

    def results(self):
        """Return the result of each invariant."""
        invariant_results = verdict.check_invariants(
            self.callers.records,
            self.run_counts,
            self.cluster,
            self.operators,
            self.watcher,
        )
        repairs = [item for item in self.faults.log if "failed" in item[0]]
        invariant_results.append(
            verdict.InvariantResult("a keeper can be replaced", repairs)
        )
        invariant_results.append(
            verdict.InvariantResult(
                "all agree in the end", self._differing_versions()
            )
        )
        unanswered = (
            [self.callers.open_requests] if self.callers.open_requests else []
        )
        invariant_results.append(
            verdict.InvariantResult("every caller is answered", unanswered)
        )
        return invariant_results

    def _differing_versions(self):
        """Return the versions at the instances, or [] once all are equal."""
        versions = {}
        for _ in range(int(SETTLE_SECONDS)):
            versions = {
                name: self.watcher.read(name) for name in self.cluster.names
            }
            if (
                len(set(versions.values())) == 1
                and None not in versions.values()
            ):
                return []
            gevent.sleep(1.0)
        return [versions]


def _report(console, soak, results, seed):
    outcomes = collections.Counter(
        (
            item.class_name + (" keyed" if item.keyed else ""),
            _describe_outcome(item.answer),
        )
        for item in soak.callers.records
    )
    table = rich.table.Table(title=f"Soak, seed {seed}")
    for heading in ("what", "count"):
        table.add_column(heading)
    for (class_name, outcome), count in sorted(outcomes.items()):
        table.add_row(f"{class_name}: {outcome}", str(count))
    for kind, count in sorted(soak.faults.counts.items()):
        table.add_row(kind, str(count))
    operators = soak.operators
    table.add_row("writes accepted", str(len(operators.accepted)))
    table.add_row("writes in conflict", str(operators.conflicts))
    table.add_row("writes unknown, resent", str(operators.unknown))
    table.add_row("writes refused, resent", str(operators.refused))
    console.print(table)
    for item in results:
        result_text = (
            f"BROKEN {item.violations[:8]}" if item.violations else "held"
        )
        console.print(f"{item.invariant}: {result_text}", soft_wrap=True)


def _describe_outcome(answer):
    if answer.complete:
        return "complete"
    if answer.outcome:
        return f"{answer.outcome} ({answer.error})"
    return "connection broke"
