"""Workers hand out wrong bytes; later streams on the same channels are cut.

Two of four workers of the service ``app`` spoil one in fifty of their answers
for six seconds: one bit of the status is wrong, so that 200 becomes 600, which
is no answer (RFC 9110, section 15).  The workers of ``llm`` are sound all the
time.  Requesters keep their channels, first for orders, then for streams.
"""

import asyncio
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as parts  # noqa: E402

REQUESTERS = 60
GARBLE_SECONDS = 6.0
# One in so many answers of a garbling worker is spoiled (x = .02).
GARBLE_EVERY = 50
ORDER_DEADLINE_MS = 6000
STREAM_DEADLINE_MS = 8000
EVENTS = 24
EVENT_SECONDS = 0.1
STREAM_ROUNDS = 3
# Requesters don't keep step.
MAX_PAUSE_SECONDS = 0.05
# The rule allows three.
ALLOWED = 3


class Garbler:
    """Answers orders; spoils one in ``GARBLE_EVERY`` while it is told to."""

    def __init__(self, record, spoils):
        self._record = record
        self._spoils = spoils
        self._count = 0

    async def serve(self, worker, request):
        await asyncio.sleep(0.09)
        answer = parts.answer_bytes(200, b"ok " * 200, request.id)
        self._count += 1
        if self._spoils() and self._count % GARBLE_EVERY == 0:
            answer = answer.replace(b"HTTP/1.1 200", b"HTTP/1.1 600", 1)
            self._record.note(f"{worker.id} spoils its answer to {request.id}")
        request.writer.write(answer)


async def stream(worker, request):
    """Answer with a whole stream."""
    request.writer.write(parts.stream_head(request.id))
    for number in range(1, EVENTS + 1):
        request.writer.write(parts.event_chunk(number))
        await request.writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    request.writer.write(parts.STREAM_END)


async def requester(number, world, record, until, cut):
    """Use one channel for orders up to ``until``, then for streams."""
    channel = await world.channel()
    count = 0
    while time.monotonic() < until:
        count += 1
        request_id = f"order-{number}-{count}"
        headers = parts.caller_headers(request_id, ORDER_DEADLINE_MS)
        await channel.send("POST", "/order/x", headers, b"x" * 600)
        answer = await channel.answer()
        if answer.status != 200:
            record.note(f"{request_id} is answered {answer.status}")
        if answer.channel_ended or answer.headers.get("connection") == "close":
            channel.close()
            channel = await world.channel()
        await asyncio.sleep(parts.RANDOM.uniform(0, MAX_PAUSE_SECONDS))
    for count in range(1, STREAM_ROUNDS + 1):
        request_id = f"stream-{number}-{count}"
        headers = parts.caller_headers(request_id, STREAM_DEADLINE_MS)
        began = time.monotonic()
        await channel.send("POST", "/chat/x", headers, b"x" * 1500)
        answer = await channel.answer()
        seconds = time.monotonic() - began
        if not answer.whole:
            events = answer.body.count(b"\n\n")
            record.note(
                f"{request_id}: status {answer.status}, the channel ends"
                f" after {events} of {EVENTS} events, {seconds:.2f} s after"
                " it was sent"
            )
            cut.append(request_id)
        else:
            record.note(
                f"{request_id} was sent, and is answered {answer.status},"
                f" whole, after {seconds:.2f} s"
            )
        if answer.channel_ended:
            channel.close()
            channel = await world.channel()
    channel.close()


async def case(record, has_trouble):
    """Return whether the rule held."""
    with parts.Deployment() as world, contextlib.ExitStack() as stack:
        routes = [
            parts.route("order", "non_idempotent", "app", timeout_ms=6000),
            parts.route("chat", "streaming", "llm", gap_aim_ms=1000),
        ]
        await world.apply(parts.manifest(1, routes))
        ends = [float("inf")]
        began = [float("inf")]

        def spoils():
            return began[0] <= time.monotonic() < ends[0]

        workers = []
        for index in range(4):
            is_garbling = has_trouble and index < 2
            serve = Garbler(record, spoils if is_garbling else lambda: False)
            workers.append(
                parts.Worker(world, "app", serve.serve, f"app{index}", slots=6)
            )
        sound = [
            parts.Worker(world, "llm", stream, f"llm{index}")
            for index in range(3)
        ]
        for worker in (*workers, *sound):
            await worker.start()
            stack.callback(worker.stop)
        await world.wait_ready()
        await asyncio.sleep(2.5)
        began[0] = time.monotonic()
        ends[0] = began[0] + GARBLE_SECONDS
        record.note(f"{REQUESTERS} requesters begin")
        cut = []
        async with asyncio.TaskGroup() as group:
            for number in range(REQUESTERS):
                group.create_task(
                    requester(number, world, record, ends[0], cut)
                )
        passed_on = {item.id for worker in sound for item in worker.ran}
        orders = sum(len(worker.ran) for worker in workers)
        lost = [item for item in cut if item in passed_on]
        record.note(f"{orders} orders and {len(passed_on)} streams ran")
        record.note(
            f"{len(lost)} streams that were passed on to a sound worker had"
            f" their channel closed without a whole answer; {ALLOWED} may"
        )
        failed = world.entries[0].log_text().count("listener failed")
        record.note(f"the entry logged 'listener failed' {failed} times")
        return len(lost) <= ALLOWED


if __name__ == "__main__":
    parts.main(case, FOLDER)
