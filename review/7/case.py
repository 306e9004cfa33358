"""An order runs twice, since its route also has ``resumable``.

Two workers serve orders on a ``non_idempotent`` route.  For five seconds one
of them loses three in a hundred of its answers: it runs the order and closes
the channel instead of answering.  The route has ``resumable`` set, which is
about streams; the answers to these orders are plain.
"""

import asyncio
import collections
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as parts  # noqa: E402

REQUESTERS = 6
LOST_FROM = 1.0
LOST_SECONDS = 5.0
# share = .5 of the workers lose x = .03 of their answers.
LOSE_EVERY = 33
DEADLINE_MS = 4000


class Orders:
    """Runs orders; loses some answers while ``loses()`` is true."""

    def __init__(self, record, loses):
        self._record = record
        self._loses = loses
        self._count = 0

    async def serve(self, worker, request):
        self._count += 1
        loses = self._loses() and self._count % LOSE_EVERY == 0
        self._record.note(
            f"{worker.id} runs {request.id}"
            + (" and its answer is lost" if loses else "")
        )
        await asyncio.sleep(0.05)
        if loses:
            request.writer.close()
            raise ConnectionResetError
        request.writer.write(parts.answer_bytes(200, b"done", request.id))


async def requester(number, world, record, until):
    """Send orders up to ``until``, each under an id of its own, once."""
    count = 0
    while time.monotonic() < until:
        count += 1
        request_id = f"order-{number}-{count}"
        channel = await world.channel()
        headers = parts.caller_headers(request_id, DEADLINE_MS)
        await channel.send("POST", "/order/x", headers, b"one sack")
        answer = await channel.answer()
        record.note(f"{request_id} was sent, and is answered {answer.status}")
        channel.close()
        await asyncio.sleep(0.02)


async def case(record, has_trouble):
    """Return whether the rule held."""
    with parts.Deployment() as world, contextlib.ExitStack() as stack:
        routes = [
            parts.route(
                "order",
                "non_idempotent",
                "app",
                timeout_ms=DEADLINE_MS,
                max_attempts=2,
                resumable=True,
            )
        ]
        await world.apply(parts.manifest(1, routes))
        began = [float("inf")]

        def loses():
            ago = time.monotonic() - began[0]
            return has_trouble and 0 <= ago - LOST_FROM < LOST_SECONDS

        workers = []
        for index in range(2):
            orders = Orders(record, loses if index == 0 else lambda: False)
            workers.append(
                parts.Worker(
                    world, "app", orders.serve, f"app{index}", slots=6
                )
            )
        for worker in workers:
            await worker.start()
            stack.callback(worker.stop)
        await world.wait_ready()
        await asyncio.sleep(2.5)
        began[0] = time.monotonic()
        until = began[0] + LOST_FROM + LOST_SECONDS + 1.0
        async with asyncio.TaskGroup() as group:
            for number in range(REQUESTERS):
                group.create_task(requester(number, world, record, until))
        await asyncio.sleep(1.0)
        runs = collections.Counter(
            request.id for worker in workers for request in worker.ran
        )
        twice = [item for item, count in runs.items() if count > 1]
        for item in twice:
            record.note(f"{item} ran {runs[item]} times")
        record.note(f"{len(runs)} orders ran, {len(twice)} of them repeatedly")
        return not twice


if __name__ == "__main__":
    parts.main(case, FOLDER)
