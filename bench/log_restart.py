"""Restart time and memory of a keeper against the length of its log.

A folder is filled with so many changes over 1,600 organisations, through
the replica and the storage that an instance uses; only the waiting for the
disk is left out while filling.  Then a new process opens the folder, and
tells how long that took and how much memory it has before and after.

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

LENGTHS = (0, 1_000, 10_000, 100_000)
ORGANISATIONS = 1_600
MIB = 1024 * 1024
KEY = "sha256:" + "0" * 58


class Filler:
    """One keeper whose effects go straight to its storage."""

    def __init__(self, storage):
        self._storage = storage
        self.reducer = new_reducer(storage)
        self.now = 0.0
        self.tick()

    def tick(self):
        """Let a second pass, so that the lone keeper leads."""
        for _ in range(10):
            self.now += 0.1
            self._run(self.reducer.tick(self.now))

    def write(self, operation_id, operations):
        """Have one change accepted."""
        change = changes.Change(operation_id, operations, "bench")
        event = events.WriteSubmitted(operation_id, change)
        answers = self._run(self.reducer.apply(event, self.now))
        (answer,) = answers
        assert answer.result.kind is changes.ResultKind.ACCEPTED, answer

    def _run(self, out):
        answers = []
        for effect in out:
            if isinstance(effect, effects.WriteAnswered):
                answers.append(effect)
            ticket = getattr(effect, "ticket", None)
            if isinstance(effect, effects.AppendLog):
                self._storage.append(effect.records)
            elif isinstance(effect, effects.ReplaceLog):
                self._storage.replace(effect.checkpoint, effect.records)
            if ticket is not None:
                event = events.LogSynced(ticket)
                answers += self._run(self.reducer.apply(event, self.now))
        return answers


def new_reducer(storage):
    """Return the reducer of the one keeper."""
    keeper = quorum_log_records.Keeper(storage.folder, *storage.load())
    identity = dandeliontrail.Identity("k1", "fd1", "r1", 1)
    return dandeliontrail.new_reducer(
        identity, random.Random(0), keeper=keeper, bootstrap=["k1"]
    )


def organisation(number, version):
    """Return the operation that writes one organisation."""
    name = f"org-{number}"
    spec = {
        "keys": [f"{KEY}{number:06x}"],
        "weight": 1.0 + version % 7,
        "limits": {"requests_per_second": 10.0, "tokens_per_day": 1e9},
        "default_class": "lookup",
    }
    raw = msgspec.Raw(msgspec.json.encode(spec))
    return changes.Operation(changes.Verb.PUT, "organisations", name, raw)


def fill(folder, length):
    """Fill a folder and return the seconds that a change took."""
    storage = disk.FileStorage(folder)
    filler = Filler(storage)
    lookup = changes.Operation(changes.Verb.PUT, "requestclasses", "lookup")
    first = [lookup]
    first += [organisation(number, 0) for number in range(ORGANISATIONS)]
    filler.write("first", first)
    began = time.perf_counter()
    for number in range(length):
        operation = organisation(number % ORGANISATIONS, number + 1)
        filler.write(f"op-{number}", [operation])
    took = time.perf_counter() - began
    storage.close()
    return took / max(1, length)


def reopen(folder):
    """Open a folder as a starting instance does; print what it took."""
    before = proc.rss_bytes(os.getpid())
    began = time.perf_counter()
    storage = disk.FileStorage(folder)
    # The lone keeper elects itself at its first tick and applies the rest
    # of its log, which only a leader can know to be committed.
    filler = Filler(storage)
    took = time.perf_counter() - began
    after = proc.rss_bytes(os.getpid())
    print(took, before, after, filler.reducer.state.log.applied)


def run():
    """Fill folders of several lengths, open each, print a table."""
    print("changes  restart s  grown MiB  in all MiB  file MiB  ms a change")
    # Filling 100,000 changes with a sync each would take minutes and
    # measure the disk; bench.commits does that.
    os.fdatasync = os.fsync = lambda handle: None
    for length in LENGTHS:
        with tempfile.TemporaryDirectory() as folder:
            each = fill(folder, length)
            size = (pathlib.Path(folder) / "log").stat().st_size
            child = subprocess.run(
                [sys.executable, "-m", "bench.log_restart", folder],
                capture_output=True,
                check=True,
                text=True,
            )
            took, before, after, applied = map(float, child.stdout.split())
            assert applied > length, applied
            print(
                f"{length:7} {took:10.3f} {(after - before) / MIB:10.1f}"
                f" {after / MIB:11.1f} {size / MIB:9.2f} {each * 1e3:12.3f}"
            )


if __name__ == "__main__":
    if len(sys.argv) > 1:
        reopen(sys.argv[1])
    else:
        run()
