"""An acknowledged manifest is gone for good after a planned replacement.

Three keepers in three zones tolerate the loss of one.  One is replaced, the
new one first: it starts in the zone of the old one and runs beside it.  The
new one freezes for four seconds, goes on, and runs for longer than the time to
catch up.  Then the old one is removed without SIGTERM.  A manifest is
acknowledged, and one of the two other keepers loses its disk, as tolerated.

With ``TROUBLE=0`` the new keeper doesn't freeze; all else is the same.
"""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as parts  # noqa: E402

# bounds.catch_up_s and bounds.recovery_s of the settings.
CATCH_UP_SECONDS = 4.0
RECOVERY_SECONDS = 12.0
FREEZE_SECONDS = 4.0
# From the removal of the old keeper to the acknowledged manifest.
AFTER_REMOVAL_SECONDS = 0.2
DOWN_SECONDS = 1.0
READ_SECONDS = 10.0
DEADLINE_MS = 2000


async def serve(worker, request):
    """Run an order."""
    await asyncio.sleep(0.02)
    request.writer.write(parts.answer_bytes(200, b"done", request.id))


async def read_back(world, record):
    """Read the manifest at all keepers; return the newest version, or 0."""
    newest = 0
    until = time.monotonic() + READ_SECONDS
    while time.monotonic() < until:
        for number, keeper in enumerate(world.keepers):
            answer = await world.ask(
                "GET", "/api/config", keeper=number, seconds=2.0
            )
            record.note(f"read at {keeper.ip}: {answer.status}")
            if answer.status == 200:
                newest = max(newest, json.loads(answer.body)["version"])
        await asyncio.sleep(1.0)
    return newest


async def send_orders(world, record, name):
    """Send ten orders, one after the other; return how many are served."""
    served = 0
    for number in range(10):
        request_id = f"{name}-{number}"
        channel = await world.channel()
        headers = parts.caller_headers(request_id, DEADLINE_MS)
        await channel.send("POST", "/order/x", headers, b"one sack")
        answer = await channel.answer()
        record.note(f"{request_id} was sent, and is answered {answer.status}")
        served += answer.status == 200
        channel.close()
    return served


async def case(record, has_trouble):
    """Return whether the rule held."""
    with parts.Deployment(keepers=3) as world, contextlib.ExitStack() as stack:
        routes = [
            parts.route("order", "non_idempotent", "app", timeout_ms=2000)
        ]
        await world.apply(parts.manifest(1, routes))
        worker = parts.Worker(world, "app", serve, "app", slots=6)
        await worker.start()
        stack.callback(worker.stop)
        await world.wait_ready()
        await asyncio.sleep(CATCH_UP_SECONDS)
        if await send_orders(world, record, "before") < 10:
            raise parts.CannotRun("orders were not served at the start")

        old, other, _ = world.keepers
        new = world.add_keeper(4, old.zone)
        record.note(f"{new.ip} starts beside {old.ip}, in {old.zone}")
        await asyncio.sleep(CATCH_UP_SECONDS + 1.0)
        if has_trouble:
            new.send(signal.SIGSTOP)
            record.note(f"{new.ip} freezes")
        await asyncio.sleep(FREEZE_SECONDS)
        if has_trouble:
            new.send(signal.SIGCONT)
            record.note(f"{new.ip} goes on")
        await asyncio.sleep(CATCH_UP_SECONDS + 1.0)

        old.kill()
        world.keepers.remove(old)
        record.note(f"{old.ip} is removed; {new.ip} has succeeded it")
        await asyncio.sleep(AFTER_REMOVAL_SECONDS)
        await world.apply(parts.manifest(2, routes), 10.0)
        record.note("version 2 is acknowledged")
        other.kill()
        other.lose_disk()
        record.note(f"{other.ip} loses its disk")
        await asyncio.sleep(DOWN_SECONDS)
        other.start()
        record.note(f"{other.ip} starts again")
        await asyncio.sleep(CATCH_UP_SECONDS + RECOVERY_SECONDS)
        version = await read_back(world, record)
        served = await send_orders(world, record, "after")
        if any(item.popen.poll() is not None for item in world.keepers):
            raise parts.CannotRun("a keeper doesn't run")
        record.note(
            f"{len(world.keepers)} keepers run; version read back:"
            f" {version or 'none'}; {served} of 10 orders are served"
        )
        return version >= 2


if __name__ == "__main__":
    parts.main(case, FOLDER)
