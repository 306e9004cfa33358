"""An order that its worker runs is answered 503, which promises "not run".

Two workers with six slots are full for a moment and turn an order away with
503, ``X-Dandeliontrail-Not-Executed`` and ``Retry-After``.  The entry waits
and sends the order to the first of them again, on the same kept channel.
There an extra response arrives late, at the point where the next response is
expected: a copy of the 503.  It bears the id of the order, as the attempt
does that is under way, and is taken for its answer.
"""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from deployment import (  # noqa: E402
    BROKEN,
    CannotRun,
    HELD,
    NOT_EXECUTED,
    Site,
    Worker,
    answer_bytes,
    body_of,
    main,
    manifest,
    new_id,
    route,
)

# TROUBLE=0 does the same without the disruption.
TROUBLED = os.environ.get("TROUBLE", "1") != "0"
SLOTS = 6
# The longest work of an order on the sheet, and the usual one.
LONG_SECONDS = 0.45
WORK_SECONDS = 0.02
# Answers of the disturbed worker for each extra one: 0.03 of them at most.
ANSWERS_PER_EXTRA = 34
TRIALS = 20
# Answers that promise: not run, and never will be.
PROMISES = (408, 421, 429, 503)


class OrderWorker(Worker):
    """Runs up to six orders; some answers are sent once more, late."""

    def __init__(self, site, disturbed):
        self.disturbed = disturbed
        self.answers = 0
        self.extras = 0
        self._lock = threading.Lock()
        self._busy = 0
        # The refusal that was the last answer on a channel.
        self._refusals = {}
        super().__init__(site, OrderWorker.serve, slots=SLOTS)

    def serve(self, arrived):
        """Answer one order."""
        with self._lock:
            self.answers += 1
            is_full = self._busy >= SLOTS
            if not is_full:
                self._busy += 1
        note = self.site.record.note
        if is_full:
            note("refuse", arrived.id, "at", self.id, "channel", id(arrived.sock))
            refusal = answer_bytes(
                503, b"", arrived.id,
                [f"{NOT_EXECUTED}: 1", "Retry-After: 0.3"],
            )
            self._refusals[arrived.sock] = (arrived.id, refusal)
            arrived.sock.sendall(refusal)
            return
        try:
            self.run(arrived)
            _, extra = self._refusals.pop(arrived.sock, ("", b""))
            if extra and self._may_send_extra():
                note("extra late response at", self.id, "on the channel of",
                     arrived.id)
                arrived.sock.sendall(extra)
            is_long = arrived.target.endswith("/long")
            time.sleep(LONG_SECONDS if is_long else WORK_SECONDS)
            arrived.sock.sendall(
                answer_bytes(200, body_of(arrived.id), arrived.id)
            )
        finally:
            with self._lock:
                self._busy -= 1

    def _may_send_extra(self):
        """Keep to the dose: one worker of two, 0.03 of its answers."""
        if not (TROUBLED and self.disturbed):
            return False
        if self.answers < (self.extras + 1) * ANSWERS_PER_EXTRA:
            return False
        self.extras += 1
        return True


def case(folder):
    """Return whether a refused order has run."""
    with Site(folder, keepers=3, entries=2) as site:
        site.apply(manifest(1, [route("order", "non_idempotent")]))
        workers = [OrderWorker(site, True), OrderWorker(site, False)]
        site.wait_ready()
        site.wait_served("/order/x")
        time.sleep(3.0)
        busy_entry, entry = site.entries
        answers = {}

        def order(at, path):
            request_id = new_id()
            answers[request_id] = site.call(at, "POST", path, request_id)

        def refused_and_run():
            ran = [item for worker in workers for item in worker.ran]
            return [
                (request_id, answer.status, ran.count(request_id))
                for request_id, answer in list(answers.items())
                if answer.status in PROMISES and request_id in ran
            ]

        for _ in range(TRIALS):
            for _ in range(ANSWERS_PER_EXTRA * len(workers)):
                order(entry, "/order/x")
            # Another entry's requesters take all slots for 0.45 s.
            burst = [
                threading.Thread(target=order, args=(busy_entry, "/order/long"))
                for _ in range(SLOTS * len(workers))
            ]
            for thread in burst:
                thread.start()
            time.sleep(0.1)
            order(entry, "/order/x")
            for thread in burst:
                thread.join()
            time.sleep(0.5)
            if refused_and_run():
                break
        found = refused_and_run()
        for request_id, status, times in found:
            text = f"{request_id}: answered {status}, ran {times} times"
            site.record.note("REFUSED", text)
            print(text)
        if not any(item.status == 200 for item in answers.values()):
            raise CannotRun("no order was served")
        return BROKEN if found else HELD


main(case, pathlib.Path(__file__).parent)
