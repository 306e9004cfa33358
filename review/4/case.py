"""A requester gets the first half of an answer as if it were whole.

A worker's answer has no length and ends with its channel.  The first packet
of an entry's new channel to the worker is lost, so the entry sends the
request through another entry.  That one is killed while the answer passes
through it: the kernel ends its channels as after a whole answer, and the
first entry takes what it has for the whole answer.
"""

import contextlib
import os
import pathlib
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from deployment import (  # noqa: E402
    BROKEN,
    CannotRun,
    HELD,
    SEAL,
    Site,
    Worker,
    answer_bytes,
    body_of,
    main,
    manifest,
    new_id,
    route,
    seal_of,
)

# TROUBLE=0 does the same without the disruption.
TROUBLED = os.environ.get("TROUBLE", "1") != "0"
# One of seven is a share of 0.143.
ENTRIES = 7
REPORT = b"".join(b"line %04d of the report\n" % i for i in range(100))
PARTS = 20
PART_SECONDS = 0.1
# An entry gives up a new channel after 0.2 s; its kernel would send a lost
# first packet again after 1 s.
LOST_SECONDS = 0.12
TRIALS = 5


class ReportWorker(Worker):
    """Sends reports without a length; can lose the first packet of channels.

    While its queue of new channels is full, the kernel drops first packets.
    """

    def listen(self):
        """Accept channels, with a queue that takes a single one."""
        host, port = self.address.split(":")
        self._listener = socket.socket()
        self._listener.bind((host, int(port)))
        self._listener.listen(0)
        self._gate = threading.Lock()
        threading.Thread(
            target=self._accept_all, args=(self._listener,), daemon=True
        ).start()

    def _accept_all(self, listener):
        listener.settimeout(0.01)
        while True:
            with self._gate:
                try:
                    sock, _ = listener.accept()
                except TimeoutError:
                    continue
                except OSError:
                    return
            sock.settimeout(None)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def lose_first_packets(self, seconds):
        """Lose the first packets of new channels for ``seconds``."""
        self._gate.acquire()
        host, port = self.address.split(":")
        filler = socket.create_connection((host, int(port)), 1.0)
        time.sleep(0.02)

        def end():
            time.sleep(seconds)
            self._gate.release()
            time.sleep(0.1)
            filler.close()

        threading.Thread(target=end, daemon=True).start()


def serve(worker, arrived):
    """Answer a request; a report takes two seconds and has no length."""
    worker.run(arrived)
    headers = ["Connection: close"]
    if not arrived.target.endswith("/report"):
        arrived.sock.sendall(
            answer_bytes(200, body_of(arrived.id), arrived.id, headers)
        )
        return "close"
    worker.callers[arrived.id] = arrived.sock.getpeername()[1]
    arrived.sock.sendall(
        answer_bytes(200, b"", arrived.id, headers, length=False)
    )
    size = len(REPORT) // PARTS
    for start in range(0, len(REPORT), size):
        arrived.sock.sendall(REPORT[start : start + size])
        time.sleep(PART_SECONDS)
    arrived.sock.shutdown(socket.SHUT_WR)
    worker.site.record.note("worker sent all of", arrived.id)
    return "close"


def holder_of(entries, port):
    """Return the entry whose process has the local TCP port."""
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rsplit(":", 1)[1], 16) == port and fields[9] != "0":
            name = f"socket:[{fields[9]}]"
            for entry in entries:
                folder = pathlib.Path(f"/proc/{entry.process.pid}/fd")
                for item in folder.iterdir():
                    with contextlib.suppress(OSError):
                        if os.readlink(item) == name:
                            return entry
    return None


def fetch(site, worker, entry):
    """Fetch a report; return its id, the answer and whether one was killed."""
    request_id = new_id()
    answers = []
    if TROUBLED:
        worker.lose_first_packets(LOST_SECONDS)
        site.record.note("a first packet to the worker is lost")
    thread = threading.Thread(
        target=lambda: answers.append(
            site.call(entry, "GET", "/read/report", request_id, left=4000)
        )
    )
    thread.start()
    time.sleep(1.2)
    port = worker.callers.get(request_id)
    helper = holder_of(site.entries, port) if port else None
    killed = TROUBLED and helper not in (None, entry)
    if killed:
        helper.signal(signal.SIGKILL)
        helper.process.wait()
    thread.join()
    if killed:
        helper.start()
    return request_id, answers[0], killed


def case(folder):
    """Return whether a success had another body than the worker's."""
    with Site(folder, keepers=3, entries=ENTRIES) as site:
        site.apply(manifest(1, [route("read", "safe", max_attempts=2)]))
        worker = ReportWorker(site, serve)
        worker.callers = {}
        site.wait_ready()
        site.wait_served("/read/x", "GET")
        time.sleep(3.0)
        broken, exercised = False, 0
        for number in range(TRIALS):
            entry = site.entries[number % len(site.entries)]
            request_id, answer, killed = fetch(site, worker, entry)
            exercised += killed or not TROUBLED
            is_whole = answer.body == REPORT
            if answer.status == 200 and answer.whole and not is_whole:
                text = (
                    f"{request_id}: a 200 with {len(answer.body)} of"
                    f" {len(REPORT)} bytes and its own length; the seal is"
                    f" the worker's: {answer.get(SEAL) == seal_of(request_id)}"
                )
                site.record.note("MIXED", text)
                print(text)
                broken = True
                break
            time.sleep(4.0)
        if not exercised:
            raise CannotRun("no request went through another entry")
        return BROKEN if broken else HELD


main(case, pathlib.Path(__file__).parent)
