"""An acknowledged manifest is gone for good; nothing is served any more.

Six keepers in three zones tolerate the loss of two.  One is replaced: its
successor starts in the same zone, runs for longer than the time to catch up,
then the old keeper is removed without SIGTERM.  A manifest is acknowledged,
and two other keepers lose their disks, as many as are tolerated.  The system
had given the vote of the other keeper of that zone to the successor, so three
of five votes are gone, and no manifest can be read or written again.

Five of the six keepers vote, and which ones differs from run to run.  The
keepers' logs say so, as an operator reads them ("voters of the log"); the case
replaces one that votes and lets two that vote lose their disks.
"""

import json
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from deployment import (  # noqa: E402
    BROKEN,
    CannotRun,
    GROWN_BOUNDS,
    HELD,
    Site,
    Worker,
    ZONES,
    answer_bytes,
    body_of,
    main,
    manifest,
    new_id,
    route,
)

# TROUBLE=0 does the same without the disruption.
TROUBLED = os.environ.get("TROUBLE", "1") != "0"
TOLERATED = 2
CATCH_UP_SECONDS = 6.0
RECOVERY_SECONDS = 15.0
# From the removal of the old keeper to the acknowledged manifest.
AFTER_REMOVAL_SECONDS = 0.2
DOWN_SECONDS = 1.0
# How long the reads at the end of the day go on.
READ_SECONDS = 12.0
ROUTES = [route("order", "non_idempotent")]


def serve(worker, arrived):
    """Run an order."""
    worker.run(arrived)
    time.sleep(0.01)
    arrived.sock.sendall(answer_bytes(200, body_of(arrived.id), arrived.id))


def lose_disks(keepers):
    """Kill keepers at once; they come back with empty disks."""
    for keeper in keepers:
        keeper.signal(signal.SIGKILL)
    for keeper in keepers:
        keeper.process.wait()
        keeper.lose_disk()
    time.sleep(DOWN_SECONDS)
    for keeper in keepers:
        keeper.start()


def read_back(site, seconds):
    """Read the manifest at every keeper; return the newest version, or 0."""
    newest = 0
    until = time.monotonic() + seconds
    while time.monotonic() < until and not newest:
        for keeper in site.keepers:
            status, body = site.control(keeper, "GET", "/api/config")
            site.record.note("read at", keeper.node, status)
            if status == 200:
                newest = max(newest, json.loads(body)["version"])
        time.sleep(0.5)
    return newest


def voters(site):
    """Return the keepers that vote, the longest-serving first."""
    newest, names = -1, []
    for keeper in site.keepers:
        for line in keeper.log.read_text().splitlines():
            if '"voters of the log"' not in line:
                continue
            found = json.loads(line)
            if found["committed"] and found["index"] > newest:
                newest, names = found["index"], found["voters"]
    addresses = [name.partition("/")[0] for name in names]
    by_address = {keeper.ip: keeper for keeper in site.keepers}
    return [by_address[item] for item in addresses]


def choose(voting):
    """Return the keeper to replace and the two that lose their disks."""
    for index, old in enumerate(voting):
        if any(item.zone == old.zone for item in voting[:index]):
            others = [item for item in voting if item.zone != old.zone]
            return old, others[:TOLERATED]
    raise CannotRun("no two keepers of one zone vote")


def case(folder):
    """Return whether the acknowledged manifest is gone."""
    with Site(
        folder, keepers=6, entries=2, tolerated=TOLERATED, bounds=GROWN_BOUNDS
    ) as site:
        site.apply(manifest(1, ROUTES))
        for zone in ZONES:
            Worker(site, serve, zone=zone)
        site.wait_ready()
        site.wait_served("/order/x")
        time.sleep(CATCH_UP_SECONDS)
        old, wiped = choose(voters(site))
        successor = site.add_keeper(7, old.zone)
        site.record.note(successor.node, "succeeds", old.node, "in", old.zone)
        time.sleep(CATCH_UP_SECONDS + 1.0)
        # Planned work: the old keeper is removed, without SIGTERM.
        old.signal(signal.SIGKILL)
        old.process.wait()
        site.keepers.remove(old)
        time.sleep(AFTER_REMOVAL_SECONDS)
        site.apply(manifest(2, ROUTES), 10.0)
        if TROUBLED:
            lose_disks(wiped)
        time.sleep(RECOVERY_SECONDS)
        version = read_back(site, READ_SECONDS)
        site.record.note("version read back:", version)
        served = 0
        for number in range(10):
            entry = site.entries[number % 2]
            answer = site.call(entry, "POST", "/order/x", new_id())
            served += answer.status == 200
        if not all(item.running() for item in site.keepers):
            raise CannotRun("a keeper doesn't run")
        if version < 2:
            print(f"{len(site.keepers)} keepers run; version 2 was"
                  f" acknowledged, {version or 'none'} is read back, and"
                  f" {served} of 10 requests are served")
            return BROKEN
        return HELD


main(case, pathlib.Path(__file__).parent)
