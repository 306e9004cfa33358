"""All engines that this instance has work with or may give work to."""

import msgspec

from . import attempts
from . import concurrency
from . import engines
from . import pace
from . import ramp
from . import reserve


class Sharing(msgspec.Struct):
    """How many instances share the servers, as last seen."""

    instances: float = 1.0


class Fleet:
    """The views of the engines, and what the attempts teach about them."""

    def __init__(self, rng, options):
        self._rng = rng
        self._options = options
        self._engines = {}
        self._pace = pace.Pace()
        self.known = {}
        self.attempts = attempts.Attempts()
        # Own slots that are free on all engines, and how many of them are
        # kept for protected work.
        self.free = 0
        self.kept = 0.0
        self.ramp = ramp.Ramp()
        self._service_seconds = 4.0
        self.medians = pace.Medians()
        self.sharing = Sharing()

    def engine(self, server, now):
        """Return the view of a server, made on first sight."""
        name = server.announcement.backend_server
        held = self._engines.get(name)
        if held is None:
            held = engines.Engine(name, server.announcement.slots)
            self._engines[name] = held
            self.known[name] = server
            self.observe(server, now)
        return held

    def engine_of(self, name):
        """Return the view of a server that is known here."""
        return self._engines[name]

    def observe(self, server, now):
        """Take in a load report."""
        announcement = server.announcement
        held = self._engines.get(announcement.backend_server)
        if held is None:
            return
        self.known[announcement.backend_server] = server
        held.announce(announcement.slots)
        load = announcement.load
        measured = server.heard - load.measured_ms_ago / 1000.0
        if self._options.aged_reports:
            held.report(load, measured)
        if self._options.shared_room:
            held.share(self.sharing.instances, self._rng.random())
        else:
            held.quota = held.limit
            held.allowed = max(0, int(held.limit - held.reserve - held.others))
        self._count_free(held)

    def open_to_lower(self, now):
        """Tell whether work that can wait may start now."""
        if self.free <= self.kept:
            return False
        if not self._options.ramp:
            return True
        own = len(self.attempts)
        self.ramp.move(own, own + self.free, self._service_seconds, now)
        return self.ramp.open(own)

    def _count_free(self, engine):
        # The slots of a server that takes no work are not free: what is
        # kept for protected work would be kept where it cannot run.
        usable = 0 if engine.slow else engine.allowed
        free = max(0, usable - engine.own)
        self.free += free - engine.free
        engine.free = free

    def refresh(self, now, burst, extra):
        """Do the slow part of the work, once a second.

        ``burst`` is the size of a burst of protected requests, ``extra``
        what is reserved on each server besides.
        """
        self.medians.update(self._engines.values())
        count = len(self._engines)
        kept = 0.0
        for engine in self._engines.values():
            engine.reserve = reserve.of_server(engine, burst, extra, count)
            kept += engine.reserve
            if not self.known[engine.name].serves(now):
                engine.allowed = 0
            self._count_free(engine)
        self.kept = kept / self.sharing.instances

    def forget(self, name):
        """Drop a server that is gone."""
        gone = self._engines.pop(name, None)
        if gone is not None:
            self.free -= gone.free
        self.known.pop(name, None)

    def place(self, work, server, footprint, now, hedge=False):
        """Count an attempt as outstanding, one of two where it is a hedge."""
        engine = self._engines[server]
        engine.change_own(1, now)
        engine.kv_own += footprint
        self._count_free(engine)
        engine.kv_placed.append((now, footprint))
        probe = engine.slow
        if probe:
            engine.probing = True
        attempt = engines.Attempt(work, server, now, footprint, probe=probe)
        self.attempts.add(work.request_id, attempt, hedge)

    def first_output(self, request_id, now):
        """Learn from the time to the first output; return the attempt."""
        held = self.attempts.get(request_id)
        if held is None:
            return None
        held.first_output = now
        engine = self._engines.get(held.server)
        if engine is not None:
            taken = now - held.placed
            ratio = self._pace.ratio("first", held.work.class_name, taken)
            engine.first.add(ratio)
            self._judge(engine, now)
            self._end_probe(held, engine, now)
        return held

    def _judge(self, engine, now):
        engine.failures = 0
        slow = self.medians.slow(engine)
        if slow and not engine.slow:
            engine.drain(now)
        engine.slow = slow

    def _end_probe(self, held, engine, now):
        if held.probe:
            held.probe = False
            engine.probing = False
            engine.next_probe = now + engines.PROBE_INTERVAL

    def ended(self, ended, now):
        """Count an attempt as over and learn; return it or ``None``."""
        held = self.attempts.take(ended)
        if held is None:
            return None
        engine = self._engines.get(held.server)
        if engine is None:
            return held
        engine.change_own(-1, now)
        engine.kv_own -= held.footprint
        self._end_probe(held, engine, now)
        if ended.failed:
            engine.fail(now)
        elif not ended.wasted:
            self._learn(held, engine, ended, now)
        self._count_free(engine)
        return held

    def _learn(self, held, engine, ended, now):
        taken = now - held.placed
        engine.service_seconds += 0.05 * (taken - engine.service_seconds)
        if held.work.first_token_ms is None:
            moved = 0.05 * (taken - self._service_seconds)
            self._service_seconds = max(0.1, self._service_seconds + moved)
        if not ended.gaps_ms:
            return
        gap = sum(ended.gaps_ms) / len(ended.gaps_ms)
        ratio = self._pace.ratio("gap", held.work.class_name, gap)
        engine.gap.add(ratio)
        self._judge(engine, now)
        if self._options.learned_limits:
            slots = self.known[engine.name].announcement.slots
            concurrency.learn(engine, held.work, gap, slots)

    def service_seconds(self, work, output_tokens):
        """Return how long ``work`` is expected to run, in seconds."""
        first = self._pace.usual("first", work.class_name, 0.2)
        gap = self._pace.usual("gap", work.class_name, 20.0)
        return first + gap / 1000.0 * output_tokens
