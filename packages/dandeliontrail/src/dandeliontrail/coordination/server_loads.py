"""What instances tell one another of their work at backend servers.

Servers report their load to nobody here, and each sees work from many
instances.  So every instance that has work under way says, a few times a
second, how much of it is where, and which parts of prompts it has sent
there.  The sum over all instances is a server's load, a tenth of a second
old, at some hundred bytes a message.
"""

import collections

import msgspec

# What an instance said counts for so long: some missed messages more than
# their interval, and less than a crashed instance's work takes to end.
HELD_SECONDS = 1.0
# Changes below these can wait: a quarter of a step of reading, and a small
# part of what an engine runs at once.
MATTERING_TOKENS = 1000
MATTERING_REQUESTS = 4
# What a relay holds for instances that ask it: 250 prompts a second at 195
# instances, most of whose parts are no news, for a few seconds.
MOST_READS = 2048
READ_SECONDS = 20.0
# Far above the instances of one failure domain, their earlier starts included.
MOST_ASKERS = 1024
# Marks the sum over all failure domains, which no domain is called.
ALL = "*"


class Load(msgspec.Struct, array_like=True):
    """One instance's work at one server.

    ``running`` counts requests, ``unread`` the prompt tokens of those that
    have no output yet.
    """

    server: str
    running: int
    unread: int


class Read(msgspec.Struct, array_like=True):
    """Shared parts of a prompt that were sent to a server, in order."""

    server: str
    parts: list[tuple[str, int]]


class ServerLoads(msgspec.Struct, tag="server_loads"):
    """All work of the sender, and what it sent since its last message.

    ``of`` is empty for the sender's own, else the failure domain whose sum
    a relay tells, or ``ALL``.  With the latter comes which failure domains
    have fallen silent to the relay.
    """

    loads: list[Load]
    reads: list[Read] = []
    of: str = ""
    silent: list[str] = []


def differ(loads, before):
    """Tell whether loads changed by so much that others should know.

    What they go by is mostly how much an engine has to read.
    """
    held = {load.server: load for load in before}
    for load in loads:
        old = held.pop(load.server, None) or Load(load.server, 0, 0)
        if _far(load, old):
            return True
    return any(_far(old, Load(name, 0, 0)) for name, old in held.items())


def _far(one, other):
    return (
        abs(one.unread - other.unread) >= MATTERING_TOKENS
        or abs(one.running - other.running) >= MATTERING_REQUESTS
    )


def without(loads, own):
    """Return ``loads`` less the part in them that is ``own``.

    The sum that a relay sends back holds what it heard from this instance
    before, which may have changed a little since.
    """
    mine = {load.server: load for load in own}
    found = []
    for load in loads:
        part = mine.get(load.server)
        if part is not None:
            load = Load(
                load.server,
                max(0, load.running - part.running),
                max(0, load.unread - part.unread),
            )
        found.append(load)
    return found


class LoadTable:
    """The newest word of each speaker, and the sums by server.

    The sums change with each word by what is new in it: a relay of 39
    instances hears two hundred words a second, each of which would otherwise
    be added up with all the others.  ``told_relay_at`` is when this instance
    last told a relay of its own work.
    """

    __slots__ = ("told_relay_at", "_said", "_sums")

    def __init__(self):
        self.told_relay_at = float("-inf")
        self._said = {}
        self._sums = {}

    def take(self, speaker, domain, loads, now):
        """Take in a speaker's word in place of its last one.

        A speaker is an instance of ``domain``, or a domain or all of them,
        by the word of a relay.
        """
        self._drop(speaker)
        self._said[speaker] = (now, domain, loads)
        _add(self._sums, loads, 1)

    def _drop(self, speaker):
        held = self._said.pop(speaker, None)
        if held is not None:
            _add(self._sums, held[2], -1)

    def forget(self, server):
        """Drop what was said of a server, which has started again since."""
        for name, (at, domain, loads) in self._said.items():
            kept = [load for load in loads if load.server != server]
            self._said[name] = (at, domain, kept)
        self._sums.pop(server, None)

    def expire(self, now):
        """Forget what was said too long ago."""
        old = [
            name
            for name, held in self._said.items()
            if now - held[0] > HELD_SECONDS
        ]
        for name in old:
            self._drop(name)

    def sum_of(self, own, domain):
        """Return the loads of ``domain``, with ``own``."""
        sums = {}
        _add(sums, own, 1)
        for name, held in self._said.items():
            if held[1] == domain and name != ALL:
                _add(sums, held[2], 1)
        return _loads(sums)

    def sum_of_all(self, own):
        """Return the loads of all speakers, with ``own``.

        What another relay said of all is no speaker's own word: an instance
        that has just become the relay holds it for a second still.
        """
        sums = {name: list(held) for name, held in self._sums.items()}
        if ALL in self._said:
            _add(sums, self._said[ALL][2], -1)
        _add(sums, own, 1)
        return _loads(sums)

    def running(self, server):
        """Return how many requests of others run at a server."""
        held = self._sums.get(server)
        return held[0] if held else 0

    def unread(self, server):
        """Return how many prompt tokens of others wait to be read there."""
        held = self._sums.get(server)
        return held[1] if held else 0


def _add(sums, loads, sign):
    """Add ``loads`` to ``sums``, or take them off again."""
    for load in loads:
        held = sums.setdefault(load.server, [0, 0])
        held[0] += sign * load.running
        held[1] += sign * load.unread
        if held == [0, 0]:
            del sums[load.server]


def _loads(sums):
    return [
        Load(name, running, unread) for name, (running, unread) in sums.items()
    ]


class ReadLog:
    """What was read lately, for instances that ask a relay for news.

    Each is told what came since it asked last, but for its own.  One that
    has just started is told all that is held: without it, its first prompts
    go where their parts have to be read again, 0.03 to 0.06 of what a day
    with kills of many processes is worth.
    """

    __slots__ = ("_reads", "_count", "_told")

    def __init__(self):
        self._reads = collections.deque(maxlen=MOST_READS)
        self._count = 0
        self._told = {}

    def add(self, reads, source, now):
        """Take in what ``source`` sent to servers."""
        for read in reads:
            self._count += 1
            self._reads.append((self._count, now, source, read))

    def news_for(self, asker, incarnation, now):
        """Return what an instance has not been told."""
        key = (asker, incarnation)
        told = self._told.pop(key, 0)
        self._told[key] = self._count
        while len(self._told) > MOST_ASKERS:
            del self._told[next(iter(self._told))]
        found = []
        for number, at, source, read in reversed(self._reads):
            if number <= told or now - at > READ_SECONDS:
                break
            if source != asker:
                found.append(read)
        found.reverse()
        return found
