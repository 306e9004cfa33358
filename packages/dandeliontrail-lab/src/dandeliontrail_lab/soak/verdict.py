"""What a soak found: each promise with the cases that broke it."""

import dataclasses

from . import callers


@dataclasses.dataclass(slots=True)
class Finding:
    """One promise and what broke it."""

    promise: str
    cases: list


def judge(told, runs, cluster, operators, watcher):
    """Return a finding for each promise; without cases it held."""
    return [
        Finding("a complete answer is the request's own", _wrong(told)),
        Finding(
            "a non-repeatable request runs at most once", _doubled(told, runs)
        ),
        Finding("not run is true", _false_not_run(told, runs)),
        Finding("a keyed request lands", _lost(told)),
        Finding("a drain cuts off nothing", _cut_by_drain(told, cluster)),
        Finding("a drain exits with 0", [c for c in cluster.exit_codes if c]),
        Finding("a configuration never reverts", watcher.reverts),
        Finding("one version is one state", watcher.diverged),
        Finding("one winner for each version", _two_winners(operators)),
        Finding("an accepted write stays", _vanished(operators, watcher)),
    ]


def _wrong(told):
    return [
        item.number
        for item in told
        if item.answer.complete
        and item.answer.text != callers.expected_text(item.number)
    ]


def _doubled(told, runs):
    return [
        (item.number, runs[item.number])
        for item in told
        if item.class_name == "summary" and runs[item.number] > 1
    ]


def _false_not_run(told, runs):
    """A refusal of a request that was sent once is about its only run."""
    return [
        item.number
        for item in told
        if item.sends == 1
        and item.answer.outcome == "not-run"
        and runs[item.number]
    ]


def _lost(told):
    return [
        (item.number, item.answer.status, item.answer.error)
        for item in told
        if item.keyed
        and not item.answer.complete
        and item.answer.outcome != "unknown"
    ]


def _cut_by_drain(told, cluster):
    """Connections that broke at an instance that was only ever drained."""
    return [
        (item.number, item.instances[-1], item.answer.error)
        for item in told
        if item.instances
        and item.answer.status in (0, 200)
        and not item.answer.complete
        and not item.answer.outcome
        and item.instances[-1] in cluster.drained_at
        and item.instances[-1] not in cluster.killed_at
    ]


def _two_winners(operators):
    bases = {}
    found = []
    for write in operators.accepted:
        other = bases.setdefault(write.base, write.weight)
        if other != write.weight:
            found.append((write.base, other, write.weight))
    return found


def _vanished(operators, watcher):
    return [
        (write.version, write.weight)
        for write in operators.accepted
        if watcher.weights.get(write.version, write.weight) != write.weight
    ]
