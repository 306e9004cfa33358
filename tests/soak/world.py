"""Programs, servers, callers and an operator, with the checks on them."""

import collections
import contextlib
import http.client
import socket
import time

from dandeliontrail.decisions import retry_budget
import gevent
import msgspec

from tests.common import platform_world
from tests.common import retry_judge
from tests.common import world as node_world
from tests.soak import fleet as fleet_module
from tests.soak import open_answers
from tests.soak import parts as parts_module
from tests.soak import paths
from tests.soak import processes
from tests.soak import servers as servers_module
from tests.soak import troubled as troubled_module

ENTRIES = 3
# As in the settings that all programs get.
RETRY_LIMITS = retry_budget.RetryLimits(0.2, 58.0, 10.0)
SERVERS = 4
CALLERS = 6
REVOKE_SECONDS = 5.0
# A caller waits longer than the time that its request names (3 s).
CALLER_TIMEOUT_SECONDS = 4.0
CONNECT_TIMEOUT_SECONDS = 1.0
READY_TIMEOUT_SECONDS = 30.0
# A run binds this port at the last address of its network until it ends.
RESERVATION_PORT = 10239
DISK_FAULT_MESSAGES = (
    '"message":"the disk refuses writes: nothing is acknowledged until it',
    '"message":"the disk refuses writes: the start waits for it"',
)
# The largest number of requests that a caller sends on one connection.
MAX_REQUESTS_PER_CONNECTION = 40
# An unplanned fault no longer explains a failure after this time.
FAULT_EFFECT_SECONDS = 6.0


class _Reply:
    """A response to a caller; ``whole`` is true if it is complete."""

    __slots__ = ("status", "headers", "body", "whole", "closes")

    def __init__(self, answer):
        self.status = answer.status
        self.headers = {
            name.lower(): value for name, value in answer.getheaders()
        }
        self.closes = answer.will_close
        try:
            self.body = answer.read()
            self.whole = True
        except http.client.IncompleteRead as exc:
            self.body = exc.partial
            self.whole = False
        except OSError:
            self.body = b""
            self.whole = False


class World:
    """All programs, servers and callers of a run, and the violations."""

    def __init__(self, folder, seed, entries=ENTRIES, more_settings=""):
        self.rng = processes.seeded_random(seed, "world")
        self.runs = collections.defaultdict(list)
        self.findings = collections.defaultdict(list)
        self.outcomes = collections.Counter()
        self.refused = []
        self.judges = []
        self.parts = parts_module.Parts(self, seed)
        self.troubled = troubled_module.Troubled(self, seed)
        self.open_answers = open_answers.OpenAnswers(self, seed)
        self.retries = retry_judge.RetryJudge(RETRY_LIMITS)
        self.orders = []
        self.first_tries = []
        self.taken_by = {}
        self.version = 0
        self.acked = 0
        self.longest_wait = 0.0
        self.timeline = []
        self._accepted_at = None
        self.keys = ["k0"]
        # What replaces the defaults of the manifest.
        self.manifest_parts = {}
        # How many faults of the plan disrupt entries or keepers now.
        self.active_faults = 0
        self.revoked = {}
        self.sent_with = {}
        self._count = 0
        self._stack = contextlib.ExitStack()
        self.ports = platform_world.new_ports()
        settings = {
            "revoke_ms": REVOKE_SECONDS * 1000.0,
            "more_settings": more_settings,
            **self.ports,
        }
        base = self._reserve_network(self.rng.randrange(10, 250))
        self.fleet = fleet_module.Fleet(
            folder, base, settings, entries, self.note
        )
        self.servers = [
            servers_module.RecordingServer(n, self) for n in range(SERVERS)
        ]

    def __enter__(self):
        # Programs that a failed start left running would keep their addresses.
        try:
            self._start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def _reserve_network(self, first):
        """Return ``first``, or the next number that no other run holds.

        Two runs with one seed at the same time would have the same addresses.
        """
        for number in range(first, first + 240):
            base = 10 + (number - 10) % 240
            sock = socket.socket()
            try:
                sock.bind((f"127.0.{base}.254", RESERVATION_PORT))
            except OSError:
                sock.close()
                continue
            self._stack.callback(sock.close)
            return base
        raise RuntimeError("all networks are in use")

    def _start(self):
        self._stack.callback(self.fleet.close)
        for program in (*self.keepers, *self.entries):
            program.start()
        for server in self.servers:
            self.spawn(server.send_heartbeats)
        node_world.wait_until(self.submit_manifest, READY_TIMEOUT_SECONDS)
        for entry in self.entries:
            node_world.wait_until(
                lambda: self.ready(entry), READY_TIMEOUT_SECONDS
            )

    @property
    def keepers(self):
        """Return the keepers that are not removed."""
        return self.fleet.keepers

    @property
    def entries(self):
        """Return all entries."""
        return self.fleet.entries

    def __exit__(self, *exc_info):
        return self._stack.__exit__(*exc_info)

    def spawn(self, call, *args):
        """Run ``call`` in a greenlet until the end of the run."""
        job = gevent.spawn(call, *args)
        self._stack.callback(job.kill)

    def was_out_of_touch(self, request_id):
        """Return whether a request's entry was cut off or stopped lately.

        What it had sent before a cut arrives once that heals, and an entry
        that was frozen or isolated has not heard what was said meanwhile.
        """
        entry = self.taken_by.get(request_id)
        if entry is None:
            return False
        since = time.monotonic() - paths.CONTACT_SECONDS
        return (
            entry.is_cut
            or entry.is_isolated
            or entry.healed_at > since
            or entry.was_signalled(since)
        )

    def note(self, text):
        """Record an event with the time of day, as the logs have it."""
        at = time.time()
        clock = time.strftime("%H:%M:%S", time.gmtime(at))
        self.timeline.append(f"{clock}.{int(at % 1 * 1000):03} {text}")

    def report_violation(self, guarantee, detail):
        """Record a violation of a guarantee."""
        self.note(f"violated: {guarantee}: {detail}")
        self.findings[guarantee].append(detail)

    # -- the operator -----------------------------------------------------

    def shuffled_keepers(self):
        """Return the keepers in a random order."""
        return self.rng.sample(self.keepers, len(self.keepers))

    def control(self, keeper, method, path, body=None, seconds=1.5):
        """Call a keeper; return the reply, or ``None`` after a timeout."""
        data = msgspec.json.encode(body) if body is not None else b""
        return self.call(
            (keeper.ip, self.ports["control"]), method, path, (), data, seconds
        )

    def call(self, address, method, path, headers, body, seconds):
        """Send one request on a new connection; return the reply or None."""
        with contextlib.suppress(OSError, gevent.Timeout):
            with gevent.Timeout(seconds):
                with socket.create_connection(address, 1.0) as sock:
                    sock.settimeout(None)
                    close = ("Connection", "close")
                    platform_world.send(
                        sock, method, path, [*headers, close], body
                    )
                    data = platform_world.read_to_end(sock)
            return platform_world.Reply(data) if data else None
        return None

    def submit_manifest(self):
        """Send the next manifest to the keepers until one accepts it."""
        self.version += self.rng.randint(1, 3)
        version = self.version
        document = platform_world.manifest(
            version, keys=self.keys, **self.manifest_parts
        )
        for keeper in self.shuffled_keepers():
            reply = self.control(keeper, "PUT", "/api/config", document)
            if reply is not None and reply.status == 200:
                self.acked = max(self.acked, version)
                now = time.monotonic()
                waited = now - (self._accepted_at or now)
                self.longest_wait = max(self.longest_wait, waited)
                self._accepted_at = now
                self.note(f"{keeper.ip} accepted {version}")
                return True
        return False

    def revoke_oldest_key(self):
        """Revoke the oldest key and issue a new one."""
        self.keys.append(f"k{len(self.keys) + len(self.revoked)}")
        if not self.submit_manifest():
            return
        oldest_key = self.keys.pop(0)
        if self.submit_manifest():
            self.revoked[oldest_key] = time.monotonic()

    def check_read(self, wait):
        """Compare the manifest read back with the acknowledged version."""
        for keeper in self.shuffled_keepers():
            acked = self.acked
            reply = self.control(keeper, "GET", "/api/config", None, 2.0)
            if reply is None or reply.status != 200:
                continue
            found = msgspec.json.decode(reply.body)["version"]
            if found < acked:
                self.report_violation(
                    "never reverts", f"{found} read, {acked} acked"
                )
            return True
        return not wait

    # -- callers ----------------------------------------------------------

    def ready(self, entry):
        """Return whether an entry reports that it is ready."""
        address = (entry.ip, self.ports["ready"])
        reply = self.call(address, "GET", "/api/ready", (), b"", 1.0)
        return reply is not None and reply.status == 200

    def send_requests_forever(self):
        """Send random requests over persistent connections."""
        while True:
            entry = self.rng.choice(self.entries)
            address = (entry.ip, self.ports["callers"])
            conn = http.client.HTTPConnection(
                *address, timeout=CONNECT_TIMEOUT_SECONDS
            )
            with contextlib.closing(conn):
                for _ in range(
                    self.rng.randint(1, MAX_REQUESTS_PER_CONNECTION)
                ):
                    kind = self.rng.choice(("read", "order", "chat"))
                    if not self._send_request(entry, conn, kind):
                        break
                    gevent.sleep(self.rng.uniform(0.0, 0.1))
            gevent.sleep(self.rng.uniform(0.0, 0.1))

    def _send_request(self, entry, conn, kind):
        """Send one request; return whether the connection can be reused."""
        self._count += 1
        request_id = f"{kind}-{self._count}"
        valid_key = self.keys[-1]
        key = self.rng.choice([valid_key, valid_key, *list(self.revoked)[-2:]])
        sent = time.monotonic()
        self.retries.requested(sent)
        self.sent_with[request_id] = (key, sent)
        self.taken_by[request_id] = entry
        if kind == "order":
            self.orders.append(request_id)
        reply = self._exchange(conn, kind, request_id, key)
        if key == valid_key:
            served = reply is not None and reply.status == 200 and reply.whole
            self.first_tries.append(paths.FirstTry(sent, entry.ip, served))
        if reply is None:
            self.outcomes["no answer"] += 1
            self._check_interruption(entry, request_id, sent)
            return False
        self.outcomes[str(reply.status)] += 1
        if reply.status in (429, 503, 408, 421):
            self.refused.append(request_id)
        elif reply.status == 200:
            self._check_answer(kind, request_id, reply)
        if not reply.whole:
            self._check_interruption(entry, request_id, sent)
        return reply.whole and not reply.closes

    def _exchange(self, conn, kind, request_id, key):
        """Return the response, or ``None`` if no head was received."""
        headers = dict(platform_world.caller_headers(request_id, key=key))
        headers["Host"] = platform_world.HOST
        method, body = ("GET", None) if kind == "read" else ("POST", b"{}")
        try:
            with gevent.Timeout(CALLER_TIMEOUT_SECONDS):
                if conn.sock is None:
                    conn.connect()
                    conn.sock.settimeout(None)
                conn.request(method, f"/{kind}/", body, headers)
                answer = conn.getresponse()
                return _Reply(answer)
        except (OSError, http.client.HTTPException, gevent.Timeout):
            return None

    def _check_interruption(self, entry, request_id, sent):
        """Check that no planned stop or reload interrupted a request.

        A request that a server has run must get its answer, unless an
        unplanned fault hit its instance or a server.
        """
        if not self.runs.get(request_id):
            return
        involved = [entry, *self.servers]
        if entry.is_cut:
            # The request went through one of the others.
            involved.extend(self.entries)
        disrupted_at = max(item.disrupted_at for item in involved)
        if disrupted_at < sent - FAULT_EFFECT_SECONDS:
            run_after = ", ".join(
                f"{run.at - sent:.2f} s" for run in self.runs[request_id]
            )
            self.report_violation(
                "planned work cuts nothing",
                f"{request_id} {entry.ip}: run after {run_after}, left after"
                f" {time.monotonic() - sent:.2f} s",
            )

    def _check_answer(self, kind, request_id, reply):
        seal = reply.headers.get(platform_world.SEAL.lower())
        if seal != f"seal-{request_id}":
            self.report_violation("own answer", f"{request_id} got {seal}")
        if kind != "chat":
            if (
                reply.whole
                and reply.body != f"answer to {request_id}".encode()
            ):
                self.report_violation(
                    "own answer", f"{request_id} got {reply.body!r}"
                )
            return
        pieces = [
            int(line[4:])
            for line in reply.body.decode().split("\n")
            if line.startswith("id: ")
        ]
        if pieces != list(range(1, len(pieces) + 1)):
            self.report_violation(
                "streams in order", f"{request_id} got {pieces}"
            )
        if reply.whole and len(pieces) != servers_module.STREAM_PIECES:
            self.report_violation(
                "cut looks whole", f"{request_id} got {pieces}"
            )

    # -- at the end -------------------------------------------------------

    def keep_logs(self, folder):
        """Copy the logs of the programs and the faults to ``folder``."""
        folder.mkdir(parents=True, exist_ok=True)
        timeline = "\n".join(self.timeline)
        (folder / "timeline.txt").write_text(f"{timeline}\n")
        for program in self.fleet.programs:
            path = folder / f"{program.role}-{program.ip}.log"
            path.write_text(program.log())

    def check_all(self):
        """Run the checks that are possible only at the end."""
        for request_id in self.refused:
            if self.runs.get(request_id):
                self.report_violation("not run is true", request_id)
        repeats, allowed = self.retries.worst()
        if repeats > allowed:
            self.report_violation(
                "retry budget", f"{repeats} in 10 s, allowed {allowed:g}"
            )
        for request_id in self.orders:
            if len(self.runs.get(request_id, ())) > 1:
                self.report_violation("at most once", request_id)
        slack = servers_module.TIMING_SLACK_SECONDS
        for request_id, (key, sent) in self.sent_with.items():
            at = self.revoked.get(key)
            if at is None or sent < at + REVOKE_SECONDS + slack:
                continue
            if self.runs.get(request_id):
                self.report_violation(
                    "revoked keys", f"{request_id} with {key}"
                )
        for program in self.fleet.programs:
            for line in program.log().splitlines():
                if program.disk_failed and _is_disk_fault_line(line):
                    # The injected disk fault must be logged as an error.
                    continue
                if '"level":"ERROR"' in line:
                    self.report_violation(
                        "no faults", f"{program.ip}: {line[:2000]}"
                    )


def _is_disk_fault_line(line):
    return any(text in line for text in DISK_FAULT_MESSAGES)
