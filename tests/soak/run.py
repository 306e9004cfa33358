"""Runs the soak for one seed and reports the violations found."""

import dataclasses
import pathlib
import tempfile

import gevent

from tests.common import world as node_world
from tests.soak import faults as faults_module
from tests.soak import limits as limits_module
from tests.soak import paths as paths_module
from tests.soak import versions as versions_module
from tests.soak import world as world_module

CHANGE_INTERVAL_SECONDS = 0.7
READ_INTERVAL_SECONDS = 1.1
# After the last fault all entries must be ready again within this time.
RECOVERY_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class Report:
    """What one run did and which guarantees were violated.

    ``cuts`` counts the cuts of entries from all servers, ``rollouts`` those
    of software versions, ``went_on`` the streams that were resumed and could
    go on (those that did, all),
    ``limits`` the limits that servers named; ``worst_share`` is the
    largest part of what a limit allows in a window that a server got.
    """

    seed: int
    ended: dict
    faults: dict
    acked: int
    limits: int
    cuts: int
    rollouts: int
    went_on: tuple
    worst_share: float
    findings: dict


def soak(seed, seconds, logs=None, entries=world_module.ENTRIES):
    """Run the programs under faults for ``seconds``; return the report.

    There are ``entries`` processes that serve callers.  If a guarantee was
    violated, the programs' logs are copied to ``logs``.
    """
    with tempfile.TemporaryDirectory() as folder:
        with world_module.World(folder, seed, entries) as world:
            for _ in range(world_module.CALLERS):
                world.spawn(world.send_requests_forever)
            world.spawn(
                _repeat, CHANGE_INTERVAL_SECONDS, world.submit_manifest
            )
            world.spawn(
                _repeat, READ_INTERVAL_SECONDS, lambda: world.check_read(False)
            )
            limits = limits_module.Limits(world, seed)
            world.spawn(limits.run_forever)
            paths = paths_module.Paths(world, seed)
            world.spawn(paths.run_forever)
            versions = versions_module.Versions(world, seed)
            world.spawn(versions.run_forever)
            for _ in range(versions_module.CALLERS):
                world.spawn(versions.call_forever)
            faults = faults_module.Faults(world, seed)
            faults.run(seconds)
            _await_recovery(world)
            world.check_all()
            paths.check()
            versions.check()
            if world.findings and logs:
                world.keep_logs(pathlib.Path(logs) / f"seed-{seed}")
            fault_counts = {
                name: faults.injected.count(name)
                for name in set(faults.injected)
            }
            return Report(
                seed,
                dict(world.outcomes),
                fault_counts,
                world.acked,
                limits.named,
                len(paths.cuts),
                versions.rollouts,
                (sum(versions.went_on), len(versions.went_on)),
                round(max(item.worst_share for item in world.judges), 3),
                dict(world.findings),
            )


def _repeat(seconds, call):
    while True:
        call()
        gevent.sleep(seconds)


def _await_recovery(world):
    """Wait until all entries are ready and the configuration is readable."""
    for entry in world.entries:
        try:
            node_world.wait_until(lambda: world.ready(entry), RECOVERY_SECONDS)
        except AssertionError:
            world.report_violation("serves again", entry.ip)
    try:
        node_world.wait_until(lambda: world.check_read(True), RECOVERY_SECONDS)
    except AssertionError:
        world.report_violation("serves again", "no keeper answers a read")
