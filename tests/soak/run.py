"""Runs the soak for one seed and reports the violations found."""

import dataclasses
import pathlib
import tempfile

import gevent

from tests.soak import crowds as crowds_module
from tests.soak import ends
from tests.soak import faults as faults_module
from tests.soak import limits as limits_module
from tests.soak import paths as paths_module
from tests.soak import prompts as prompts_module
from tests.soak import versions as versions_module
from tests.soak import world as world_module

CHANGE_INTERVAL_SECONDS = 0.7
READ_INTERVAL_SECONDS = 1.1


@dataclasses.dataclass(slots=True)
class Report:
    """What one run did and which guarantees were violated.

    ``cuts`` counts the cuts of entries from all servers, ``rollouts`` those
    of software versions, ``went_on`` the streams that were resumed and could
    go on (those that did, all),
    ``limits`` the limits that servers named; ``worst_share`` is the
    largest part of what a limit allows in a window that a server got;
    ``retries`` are repeats and their bound in the worst window;
    ``part_crashes`` are the crashes of each bad part, ``late_parts`` the sends
    of each that came too late; ``troubled`` counts the rests, the servers that
    left by their answers and those that sent without end, and
    ``most_growth_mb`` is how much the memory of an entry grew at the most.
    ``open_answers`` counts the answers without a length by how they ended at
    callers, and at servers those that were reset and sent early.
    ``prompts`` counts the long prompts, and has the faults in the span in
    which only they are judged.  ``crowds`` counts those of clients that
    misbehave, and has the largest memory of entries and keepers, in MB.
    ``end`` is the final fault, and ``recovered`` the seconds until the
    operator read and changed the configuration after it; ``longest_wait`` is
    the longest time between two accepted changes.  ``timeline`` has the events
    of the run if a guarantee was violated.
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
    retries: tuple
    part_crashes: list
    late_parts: list
    troubled: tuple
    most_growth_mb: float
    open_answers: dict
    prompts: dict
    crowds: dict
    end: str
    recovered: tuple
    longest_wait: float
    findings: dict
    timeline: list


def soak(
    seed,
    seconds,
    logs=None,
    entries=world_module.ENTRIES,
    mix=faults_module.ALL_MIX,
    keep_all=False,
):
    """Run the programs under faults for ``seconds``; return the report.

    There are ``entries`` processes that serve callers.  If a guarantee was
    violated, or with ``keep_all``, the programs' logs are copied to ``logs``.
    """
    with tempfile.TemporaryDirectory() as folder:
        more_settings = crowds_module.SETTINGS if mix.has_crowds else ""
        with world_module.World(folder, seed, entries, more_settings) as world:
            for _ in range(world_module.CALLERS):
                world.spawn(world.send_requests_forever)
            world.spawn(
                _repeat, CHANGE_INTERVAL_SECONDS, world.submit_manifest
            )
            world.spawn(
                _repeat, READ_INTERVAL_SECONDS, lambda: world.check_read(False)
            )
            prompts = prompts_module.Prompts(world, seed)
            if mix.has_prompts:
                prompts.run_first()
            if mix.has_open:
                world.open_answers.start()
            limits = limits_module.Limits(world, seed)
            world.spawn(limits.run_forever)
            paths = paths_module.Paths(world, seed)
            world.spawn(paths.run_forever)
            versions = versions_module.Versions(world, seed)
            world.spawn(versions.run_forever)
            for _ in range(versions_module.CALLERS):
                world.spawn(versions.call_forever)
            if mix.has_parts:
                world.spawn(world.parts.run_forever)
            if mix.has_troubled:
                world.spawn(world.troubled.run_forever)
            world.spawn(world.troubled.watch_memory)
            crowds = crowds_module.Crowds(world, seed)
            if mix.has_crowds:
                crowds.start()
            faults = faults_module.Faults(world, seed, mix)
            faults.run(seconds)
            end = ""
            if mix.has_end:
                final = ends.End(world, faults.losses, seed)
                final.strike()
                end = final.kind
            else:
                faults.finish()
            recovered = ends.check_recovery(world)
            faults.finish()
            ends.await_ready(world)
            world.check_all()
            paths.check()
            versions.check()
            world.parts.check()
            world.troubled.check()
            if mix.has_open:
                world.open_answers.check()
            if mix.has_crowds:
                crowds.check()
            if mix.has_prompts:
                prompts.check()
            if logs and (world.findings or keep_all):
                world.keep_logs(pathlib.Path(logs) / f"seed-{seed}")
            troubled = world.troubled
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
                world.retries.worst(),
                [len(spell.crashes) for spell in world.parts.spells],
                world.parts.late_sends(),
                (troubled.rests, troubled.leavings, troubled.endless),
                troubled.most_growth_mb,
                world.open_answers.summary(),
                prompts.summary(),
                crowds.summary(),
                end,
                recovered,
                round(world.longest_wait, 2),
                dict(world.findings),
                list(world.timeline) if world.findings else [],
            )


def _repeat(seconds, call):
    while True:
        call()
        gevent.sleep(seconds)
