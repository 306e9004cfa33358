"""The last key is taken away, and requests with it go on running.

A tenant holds the only key.  A new manifest takes the key away: its list of
tenants is empty.  The requester goes on sending with the key that it had, and
another one sends with a key that no manifest ever held.
"""

import asyncio
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as parts  # noqa: E402

# bounds.revoke_ms of the settings.
REVOKE_SECONDS = 5.0
SECONDS_BEFORE = 2.0
SECONDS_AFTER = 9.0
DEADLINE_MS = 2000
FOREIGN_KEY = "key-that-nobody-has"


async def serve(worker, request):
    """Run an order."""
    await asyncio.sleep(0.02)
    request.writer.write(parts.answer_bytes(200, b"done", request.id))


async def requester(name, key, world, record, until, sent_at):
    """Send orders with ``key`` up to ``until``."""
    count = 0
    last = None
    while time.monotonic() < until:
        count += 1
        request_id = f"{name}-{count}"
        channel = await world.channel()
        sent_at[request_id] = time.monotonic()
        headers = parts.caller_headers(request_id, DEADLINE_MS, key)
        await channel.send("POST", "/order/x", headers, b"one sack")
        answer = await channel.answer()
        last = answer.status
        record.note(f"{request_id} was sent, and is answered {last}")
        channel.close()
        await asyncio.sleep(0.1)
    record.note(f"{name} sent {count} orders, the last got {last}")


async def case(record, has_trouble):
    """Return whether the rule held."""
    with parts.Deployment(entries=2) as world, contextlib.ExitStack() as stack:
        routes = [
            parts.route("order", "non_idempotent", "app", timeout_ms=2000)
        ]
        first = parts.manifest(1, routes)
        await world.apply(first)
        workers = [
            parts.Worker(world, "app", serve, f"app{index}", slots=6)
            for index in range(2)
        ]
        for worker in workers:
            await worker.start()
            stack.callback(worker.stop)
        await world.wait_ready()
        await asyncio.sleep(2.5)
        sent_at = {}
        began = time.monotonic()
        until = began + SECONDS_BEFORE + SECONDS_AFTER
        acked = float("inf")
        async with asyncio.TaskGroup() as group:
            for name, key in (
                ("holder", parts.KEY),
                ("stranger", FOREIGN_KEY),
            ):
                group.create_task(
                    requester(name, key, world, record, until, sent_at)
                )
            await asyncio.sleep(SECONDS_BEFORE)
            if has_trouble:
                second = {**parts.manifest(2, routes), "tenants": []}
                await world.apply(second)
                acked = time.monotonic()
                record.note("version 2, without the key, is acknowledged")
        ran = [item for worker in workers for item in worker.ran]
        late = [
            item.id
            for item in ran
            if item.id.startswith("holder")
            and sent_at[item.id] > acked + REVOKE_SECONDS
        ]
        foreign = [item.id for item in ran if item.id.startswith("stranger")]
        record.note(f"{len(ran)} orders ran")
        record.note(
            f"{len(late)} ran that were sent with the revoked key over"
            f" {REVOKE_SECONDS:g} s after the ack: {late[:5]}"
        )
        record.note(
            f"{len(foreign)} ran whose key no manifest ever held:"
            f" {foreign[:5]}"
        )
        return not late and not foreign


if __name__ == "__main__":
    parts.main(case, FOLDER)
