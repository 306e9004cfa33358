"""Restart time and memory of a keeper as a function of its log length.

A data folder is filled with changes to 1,600 organisations, through the
replica and storage code of an instance; only the disk syncs are skipped.
Then a new process opens the folder and reports the time taken and its memory
before and after.

Run: ``.venv/bin/python -m bench.log_restart``.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import dandeliontrail  # noqa: E402
from dandeliontrail.coordination import quorum_log_records  # noqa: E402
from dandeliontrail import effects  # noqa: E402
from dandeliontrail import events  # noqa: E402
from dandeliontrail.resources import changes  # noqa: E402
from dandeliontrail_lab import proc  # noqa: E402
from dandeliontrail_node import disk  # noqa: E402
import msgspec  # noqa: E402

CHANGE_COUNTS = (0, 1_000, 10_000, 100_000)
ORGANISATION_COUNT = 1_600
BYTES_PER_MIB = 1024 * 1024
KEY_HASH_PREFIX = "sha256:" + "0" * 58


class SingleKeeper:
    """A single keeper whose effects are executed on its storage directly."""

    def __init__(self, storage):
        self._storage = storage
        self.reducer = new_reducer(storage)
        self.now = 0.0
        self.tick()

    def tick(self):
        """Advance time by a second, so that the single keeper is elected."""
        for _ in range(10):
            self.now += 0.1
            self._execute_effects(self.reducer.tick(self.now))

    def write(self, operation_id, operations):
        """Submit one change and assert that it is accepted."""
        change = changes.Change(operation_id, operations, "bench")
        event = events.WriteSubmitted(operation_id, change)
        answers = self._execute_effects(self.reducer.apply(event, self.now))
        (answer,) = answers
        assert answer.result.kind is changes.ResultKind.ACCEPTED, answer

    def _execute_effects(self, produced):
        answers = []
        for effect in produced:
            if isinstance(effect, effects.WriteAnswered):
                answers.append(effect)
            ticket = getattr(effect, "ticket", None)
            if isinstance(effect, effects.AppendLog):
                self._storage.append(effect.records)
            elif isinstance(effect, effects.ReplaceLog):
                self._storage.replace(effect.checkpoint, effect.records)
            if ticket is not None:
                event = events.LogSynced(ticket)
                answers += self._execute_effects(
                    self.reducer.apply(event, self.now)
                )
        return answers


def new_reducer(storage):
    """Return the reducer of the single keeper."""
    keeper = quorum_log_records.Keeper(storage.folder, *storage.load())
    identity = dandeliontrail.Identity("k1", "fd1", "r1", 1)
    return dandeliontrail.new_reducer(
        identity, random.Random(0), keeper=keeper, bootstrap=["k1"]
    )


def organisation(number, version):
    """Return an operation that writes one organisation."""
    name = f"org-{number}"
    spec = {
        "keys": [f"{KEY_HASH_PREFIX}{number:06x}"],
        "weight": 1.0 + version % 7,
        "limits": {"requests_per_second": 10.0, "tokens_per_day": 1e9},
        "default_class": "lookup",
    }
    raw = msgspec.Raw(msgspec.json.encode(spec))
    return changes.Operation(changes.Verb.PUT, "organisations", name, raw)


def fill(folder, length):
    """Fill a folder with changes; return the mean seconds per change."""
    storage = disk.FileStorage(folder)
    single_keeper = SingleKeeper(storage)
    lookup = changes.Operation(changes.Verb.PUT, "requestclasses", "lookup")
    initial_operations = [lookup]
    initial_operations += [
        organisation(number, 0) for number in range(ORGANISATION_COUNT)
    ]
    single_keeper.write("first", initial_operations)
    started_at = time.perf_counter()
    for number in range(length):
        operation = organisation(number % ORGANISATION_COUNT, number + 1)
        single_keeper.write(f"op-{number}", [operation])
    elapsed = time.perf_counter() - started_at
    storage.close()
    return elapsed / max(1, length)


def reopen(folder):
    """Open a folder like a starting instance; print time and memory."""
    before = proc.rss_bytes(os.getpid())
    started_at = time.perf_counter()
    storage = disk.FileStorage(folder)
    # The single keeper elects itself at its first tick and then applies the
    # rest of its log; only a leader can know that it is committed.
    single_keeper = SingleKeeper(storage)
    elapsed = time.perf_counter() - started_at
    after = proc.rss_bytes(os.getpid())
    print(elapsed, before, after, single_keeper.reducer.state.log.applied)


def run():
    """Fill and reopen a folder for each log length, and print a table."""
    print("changes  restart s  grown MiB  in all MiB  file MiB  ms a change")
    # With a sync for each of 100,000 changes, filling would take minutes and
    # measure the disk, which is what bench.commits is for.
    os.fdatasync = os.fsync = lambda handle: None
    for length in CHANGE_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            seconds_per_change = fill(folder, length)
            size = (pathlib.Path(folder) / "log").stat().st_size
            child = subprocess.run(
                [sys.executable, "-m", "bench.log_restart", folder],
                capture_output=True,
                check=True,
                text=True,
            )
            elapsed, before, after, applied = map(float, child.stdout.split())
            assert applied > length, applied
            print(
                f"{length:7} {elapsed:10.3f}"
                f" {(after - before) / BYTES_PER_MIB:10.1f}"
                f" {after / BYTES_PER_MIB:11.1f} {size / BYTES_PER_MIB:9.2f}"
                f" {seconds_per_change * 1e3:12.3f}"
            )


if __name__ == "__main__":
    if len(sys.argv) > 1:
        reopen(sys.argv[1])
    else:
        run()
