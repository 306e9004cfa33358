"""An invalid manifest is acknowledged, and orders go to another service.

Version 2 has a route with the host and the prefix of the route for orders; the
host is written in capitals.  It is invalid, since two routes share the same
host and prefix.  It is sent once, to a keeper, while orders are sent.
"""

import asyncio
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as parts  # noqa: E402

SECONDS_BEFORE = 2.0
SECONDS_AFTER = 4.0
DEADLINE_MS = 2000


async def serve(worker, request):
    """Run an order."""
    await asyncio.sleep(0.02)
    body = f"run by {worker.service}".encode()
    request.writer.write(parts.answer_bytes(200, body, request.id))


async def requester(number, world, record, until):
    """Send orders up to ``until``."""
    count = 0
    while time.monotonic() < until:
        count += 1
        request_id = f"order-{number}-{count}"
        channel = await world.channel()
        headers = parts.caller_headers(request_id, DEADLINE_MS)
        await channel.send("POST", "/order/x", headers, b"one sack")
        answer = await channel.answer()
        said = (answer.status, answer.body.decode(errors="replace")[:40])
        record.note(f"{request_id} was sent, and is answered {said}")
        channel.close()
        await asyncio.sleep(0.05)


async def case(record, has_trouble):
    """Return whether the rule held."""
    with parts.Deployment() as world, contextlib.ExitStack() as stack:
        order = parts.route("order", "non_idempotent", "dock", timeout_ms=2000)
        lookup = parts.route("lookup", "safe", "archive", timeout_ms=2000)
        await world.apply(parts.manifest(1, [order, lookup]))
        workers = [
            parts.Worker(world, name, serve, f"{name}{index}", slots=6)
            for name in ("dock", "archive")
            for index in range(2)
        ]
        for worker in workers:
            await worker.start()
            stack.callback(worker.stop)
        await world.wait_ready()
        await asyncio.sleep(2.5)
        until = time.monotonic() + SECONDS_BEFORE + SECONDS_AFTER
        status = None
        async with asyncio.TaskGroup() as group:
            for number in range(3):
                group.create_task(requester(number, world, record, until))
            await asyncio.sleep(SECONDS_BEFORE)
            if has_trouble:
                same_place = {
                    **order,
                    "name": "r-order-again",
                    "hostname": parts.HOST.upper(),
                    "service": "archive",
                }
                routes = [order, lookup, same_place]
                document = parts.manifest(2, routes)
                status = await world.control("PUT", "/api/config", document)
                record.note(f"version 2, invalid, is answered {status}")
        elsewhere = [
            item.id
            for worker in workers
            if worker.service == "archive"
            for item in worker.ran
        ]
        record.note(
            f"{len(elsewhere)} orders were run by the service archive:"
            f" {elsewhere[:5]}"
        )
        return status != 200 and not elsewhere


if __name__ == "__main__":
    parts.main(case, FOLDER)
