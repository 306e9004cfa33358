"""Checks the invariants of a soak run and lists their violations."""

import dataclasses

from . import callers


@dataclasses.dataclass(slots=True)
class InvariantResult:
    """One invariant and its violations; it held if there are none."""

    invariant: str
    violations: list


def check_invariants(records, run_counts, cluster, operators, watcher):
    """Return the result of each invariant."""
    return [
        InvariantResult(
            "a complete answer is the request's own", _wrong_answers(records)
        ),
        InvariantResult(
            "a non-repeatable request runs at most once",
            _repeated_runs(records, run_counts),
        ),
        InvariantResult(
            "not run is true", _false_refusals(records, run_counts)
        ),
        InvariantResult(
            "a keyed request lands", _failed_keyed_requests(records)
        ),
        InvariantResult(
            "a drain cuts off nothing", _broken_by_drain(records, cluster)
        ),
        InvariantResult(
            "a drain exits with 0", [c for c in cluster.exit_codes if c]
        ),
        InvariantResult("a configuration never reverts", watcher.reverts),
        InvariantResult("one version is one state", watcher.diverged),
        InvariantResult(
            "one winner for each version", _conflicting_writes(operators)
        ),
        InvariantResult(
            "an accepted write stays", _lost_writes(operators, watcher)
        ),
    ]


def _wrong_answers(records):
    return [
        item.number
        for item in records
        if item.answer.complete
        and item.answer.text != callers.expected_text(item.number)
    ]


def _repeated_runs(records, run_counts):
    return [
        (item.number, run_counts[item.number])
        for item in records
        if item.class_name == "summary" and run_counts[item.number] > 1
    ]


def _false_refusals(records, run_counts):
    """Return requests that ran although refused as "not run".

    Only requests that were sent once count: with several sends, the refusal
    may be about another send than the one that ran.
    """
    return [
        item.number
        for item in records
        if item.sends == 1
        and item.answer.outcome == "not-run"
        and run_counts[item.number]
    ]


def _failed_keyed_requests(records):
    return [
        (item.number, item.answer.status, item.answer.error)
        for item in records
        if item.keyed
        and not item.answer.complete
        and item.answer.outcome != "unknown"
    ]


def _broken_by_drain(records, cluster):
    """Return requests whose connection broke because of a drain.

    That is, at an instance that was drained but never killed or frozen.
    """
    return [
        (item.number, item.instances[-1], item.answer.error)
        for item in records
        if item.instances
        and item.answer.status in (0, 200)
        and not item.answer.complete
        and not item.answer.outcome
        and item.instances[-1] in cluster.drained_at
        and item.instances[-1] not in cluster.killed_at
    ]


def _conflicting_writes(operators):
    weight_by_base_version = {}
    conflicts = []
    for write in operators.accepted:
        other = weight_by_base_version.setdefault(
            write.base_version, write.weight
        )
        if other != write.weight:
            conflicts.append((write.base_version, other, write.weight))
    return conflicts


def _lost_writes(operators, watcher):
    return [
        (write.version, write.weight)
        for write in operators.accepted
        if watcher.weights.get(write.version, write.weight) != write.weight
    ]
