"""Load of backend servers, as instances report it to each other.

Here the servers themselves don't report load, and each gets requests from
many instances.  So every instance with requests in progress announces, a few
times per second, how many it has at each server and which parts of prompts
it has sent there.  The sum over all instances is the load of a server, with
an age of about 0.1 s, at about 100 bytes per message.
"""

import collections

import msgspec

# A report is valid for this long: several times the report interval, so that
# a few lost messages do no harm, but less than the requests of a crashed
# instance take to end.
REPORT_TTL_SECONDS = 1.0
# Changes below these thresholds are not sent at once: a quarter of a prefill
# step, and a small part of the requests that an engine runs concurrently.
MIN_CHANGE_TOKENS = 1000
MIN_CHANGE_REQUESTS = 4
# Bounds on the log that a relay keeps for the instances that query it: enough
# for a few seconds of 250 prompts per second at 195 instances, most parts of
# which are already known.
MAX_READS = 2048
READ_RETENTION_SECONDS = 20.0
# Far above the number of instances in a failure domain, including their
# earlier incarnations.
MAX_READERS = 1024
# Stands for the sum over all failure domains; no domain has this name.
ALL = "*"


class Load(msgspec.Struct, array_like=True):
    """The requests that an instance has in progress at one server.

    ``running`` is the number of requests, ``unread`` the number of prompt
    tokens of those that have not produced any output yet and of those that
    this instance has asked the holder of the server's prefill queue for.
    ``pace`` is the number of prompt tokens per second that the server
    prefills, 0 if unknown; only the holder of its prefill queue fills it.
    """

    server: str
    running: int
    unread: int
    pace: int = 0


class Read(msgspec.Struct, array_like=True):
    """Shared parts of a prompt that was sent to a server, in order.

    Each part is a pair of its name and its number of tokens.
    """

    server: str
    parts: list[tuple[str, int]]


class ServerLoads(msgspec.Struct, tag="server_loads"):
    """Message with the sender's loads and the prompts sent since the last.

    ``of`` is empty if the loads are the sender's own.  In a message from a
    relay it is the failure domain that the loads are the sum of, or ``ALL``;
    with ``ALL``, ``silent`` lists the failure domains from which the relay
    no longer receives anything.
    """

    loads: list[Load]
    reads: list[Read] = []
    of: str = ""
    silent: list[str] = []


def changed_significantly(loads, previous):
    """Return whether loads changed enough to be reported at once.

    Other instances base their decisions mainly on the number of prompt
    tokens that an engine has yet to process.
    """
    remaining = {load.server: load for load in previous}
    for load in loads:
        old = remaining.pop(load.server, None) or Load(load.server, 0, 0)
        if _significantly_different(load, old):
            return True
    return any(
        _significantly_different(old, Load(name, 0, 0))
        for name, old in remaining.items()
    )


def _significantly_different(one, other):
    return (
        abs(one.unread - other.unread) >= MIN_CHANGE_TOKENS
        or abs(one.running - other.running) >= MIN_CHANGE_REQUESTS
    )


def subtract_own(loads, own):
    """Return ``loads`` with the contribution ``own`` subtracted.

    The sum that a relay sends includes the last report of this instance,
    which may differ slightly from ``own``; no result is below 0.  A pace has
    one source, so it is removed if this instance has reported one.
    """
    own_by_server = {load.server: load for load in own}
    remaining = []
    for load in loads:
        own_load = own_by_server.get(load.server)
        if own_load is not None:
            load = Load(
                load.server,
                max(0, load.running - own_load.running),
                max(0, load.unread - own_load.unread),
                0 if own_load.pace else load.pace,
            )
        remaining.append(load)
    return remaining


class LoadTable:
    """The last report of each reporter, and the sums by server.

    The sums are updated incrementally by each report: a relay of 39
    instances receives 200 reports per second, and recomputing the sums each
    time would add up all the others again.  ``sent_to_relay_at`` is when this
    instance last sent its own loads to a relay.
    """

    __slots__ = ("sent_to_relay_at", "_said", "_sums")

    def __init__(self):
        self.sent_to_relay_at = float("-inf")
        self._said = {}
        self._sums = {}

    def replace_report(self, reporter, domain, loads, now):
        """Replace the previous report of a reporter by ``loads``.

        The reporter is an instance of ``domain`` or, for a sum that a relay
        sends, the name of a failure domain or ``ALL``.
        """
        self._drop(reporter)
        self._said[reporter] = (now, domain, loads)
        _add(self._sums, loads, 1)

    def _drop(self, reporter):
        report = self._said.pop(reporter, None)
        if report is not None:
            _add(self._sums, report[2], -1)

    def forget(self, server):
        """Remove all reports about a server that has restarted."""
        for name, (at, domain, loads) in self._said.items():
            kept = [load for load in loads if load.server != server]
            self._said[name] = (at, domain, kept)
        self._sums.pop(server, None)

    def expire(self, now):
        """Remove the reports that are older than their time to live."""
        expired = [
            name
            for name, report in self._said.items()
            if now - report[0] > REPORT_TTL_SECONDS
        ]
        for name in expired:
            self._drop(name)

    def sum_of(self, own, domain):
        """Return the sums over the instances of ``domain`` and ``own``."""
        sums = {}
        _add(sums, own, 1)
        for name, report in self._said.items():
            if report[1] == domain and name != ALL:
                _add(sums, report[2], 1)
        return _loads_from_sums(sums)

    def sum_of_all(self, own):
        """Return the sums over all reporters and ``own``.

        A total received from another relay is left out: an instance that
        has just become the relay still holds one for a second.
        """
        sums = {name: list(total) for name, total in self._sums.items()}
        if ALL in self._said:
            _add(sums, self._said[ALL][2], -1)
        _add(sums, own, 1)
        return _loads_from_sums(sums)

    def running(self, server):
        """Return the number of other instances' requests at a server."""
        total = self._sums.get(server)
        return total[0] if total else 0

    def unread(self, server):
        """Return the unprocessed prompt tokens of other instances there."""
        total = self._sums.get(server)
        return total[1] if total else 0

    def pace(self, server):
        """Return the tokens per second that a holder reported, or 0."""
        total = self._sums.get(server)
        return total[2] if total else 0


def _add(sums, loads, sign):
    """Add ``loads`` times ``sign`` (1 or -1) to ``sums``; drop zeros."""
    for load in loads:
        total = sums.setdefault(load.server, [0, 0, 0])
        total[0] += sign * load.running
        total[1] += sign * load.unread
        total[2] += sign * load.pace
        if total == [0, 0, 0]:
            del sums[load.server]


def _loads_from_sums(sums):
    return [Load(name, *total) for name, total in sums.items()]


class SentPromptLog:
    """Recently sent prompts, for instances that poll a relay for updates.

    Each instance gets the entries added since its last query, except its
    own.  One that has just started gets all entries: without them, its first
    prompts go to servers that have to compute the shared parts again, which
    costs 0.03 to 0.06 of the score of a day on which many processes are
    killed.
    """

    __slots__ = ("_reads", "_count", "_told")

    def __init__(self):
        self._reads = collections.deque(maxlen=MAX_READS)
        self._count = 0
        self._told = {}

    def add(self, reads, source, now):
        """Append the prompts that instance ``source`` sent to servers."""
        for read in reads:
            self._count += 1
            self._reads.append((self._count, now, source, read))

    def entries_since_last_query(self, reader, incarnation, now):
        """Return the entries that an instance has not received yet."""
        key = (reader, incarnation)
        last_sent = self._told.pop(key, 0)
        self._told[key] = self._count
        while len(self._told) > MAX_READERS:
            del self._told[next(iter(self._told))]
        reads = []
        for number, at, source, read in reversed(self._reads):
            if number <= last_sent or now - at > READ_RETENTION_SECONDS:
                break
            if source != reader:
                reads.append(read)
        reads.reverse()
        return reads
