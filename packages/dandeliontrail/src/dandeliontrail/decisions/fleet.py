"""The load and health of all engines that an instance sends work to."""

import msgspec

from . import attempts
from . import concurrency
from . import engines
from . import latency_baseline
from . import ramp
from . import reserve


class Sharing(msgspec.Struct):
    """How many instances share the servers, as last seen."""

    instances: float = 1.0


class Fleet:
    """This instance's views of the engines, updated from its attempts.

    ``free`` is the number of own slots that are free on all engines,
    ``reserved`` how many of these are reserved for protected work.
    """

    def __init__(self, rng, options, permits):
        self._rng = rng
        self._permits = permits
        self._options = options
        self._engines = {}
        self._latency_baseline = latency_baseline.LatencyBaseline()
        self.servers = {}
        self.attempts = attempts.Attempts()
        # Free slots of this instance on all engines, and how many of them are
        # reserved for protected work.
        self.free = 0
        self.reserved = 0.0
        self.ramp = ramp.Ramp()
        self._unprotected_seconds = 4.0
        self.medians = latency_baseline.Medians()
        self.sharing = Sharing()

    def engine(self, server, now):
        """Return the view of a server; create it on first use."""
        name = server.announcement.backend_server
        engine = self._engines.get(name)
        if engine is None:
            engine = engines.EngineEstimate(name, server.announcement.slots)
            self._engines[name] = engine
            self.servers[name] = server
            self.observe(server, now)
        return engine

    def engine_of(self, name):
        """Return the view of a known server."""
        return self._engines[name]

    def observe(self, server, now):
        """Process a load report."""
        announcement = server.announcement
        engine = self._engines.get(announcement.backend_server)
        if engine is None:
            return
        self.servers[announcement.backend_server] = server
        engine.announce(announcement.slots)
        load = announcement.load
        measured = server.heard_at - load.measured_ms_ago / 1000.0
        if self._options.aged_reports:
            engine.report(load, measured)
        if self._options.shared_room:
            engine.update_quota(self.sharing.instances, self._rng.random())
        else:
            engine.quota = engine.limit
            engine.allowed = max(
                0, int(engine.limit - engine.reserve - engine.others)
            )
        self._count_free(engine)

    def open_to_unprotected(self, now):
        """Return whether unprotected work may start now."""
        if self.free <= self.reserved:
            return False
        if not self._options.ramp:
            return True
        own = len(self.attempts)
        self.ramp.raise_ceiling(
            own, own + self.free, self._unprotected_seconds, now
        )
        return self.ramp.admits(own)

    def _count_free(self, engine):
        # The slots of a drained server do not count as free; otherwise the
        # reserve would be kept on servers where protected work cannot run.
        usable = 0 if engine.slow else engine.allowed
        free = max(0, usable - engine.own)
        self.free += free - engine.free
        engine.free = free

    def refresh(self, now, burst, extra):
        """Update medians and reserves; called about once a second.

        ``burst`` is the size of a burst of protected requests, ``extra`` the
        number of slots reserved on each server in addition.
        """
        self.medians.update(self._engines.values())
        count = len(self._engines)
        reserved = 0.0
        for engine in self._engines.values():
            engine.reserve = reserve.reserved_slots(
                engine, burst, extra, count
            )
            reserved += engine.reserve
            if not self.servers[engine.name].takes_work(now):
                engine.allowed = 0
            self._count_free(engine)
        self.reserved = reserved / self.sharing.instances

    def forget(self, name):
        """Drop a server that is gone."""
        engine = self._engines.pop(name, None)
        if engine is not None:
            self.free -= engine.free
        self.servers.pop(name, None)

    def place(self, work, server, footprint, now, hedge=False):
        """Count an attempt, or a hedge, as outstanding."""
        engine = self._engines[server]
        engine.change_own_count(1, now)
        engine.kv_own += footprint
        self._count_free(engine)
        engine.kv_placed.append((now, footprint))
        probe = engine.slow
        if probe:
            engine.probing = True
        attempt = engines.Attempt(work, server, now, footprint, probe=probe)
        self.attempts.add(work.request_id, attempt, hedge)

    def first_output(self, request_id, now):
        """Learn from the time to first output; return the attempt."""
        attempt = self.attempts.get(request_id)
        if attempt is None:
            return None
        attempt.first_output = now
        engine = self._engines.get(attempt.server)
        if engine is not None:
            elapsed = now - attempt.placed
            ratio = self._latency_baseline.ratio(
                "first", attempt.work.class_name, elapsed
            )
            if not self._permits.is_limited(engine.name):
                engine.first.add(ratio)
                self._update_slow(engine, now)
            self._end_probe(attempt, engine, now)
        return attempt

    def _update_slow(self, engine, now):
        engine.failures = 0
        slow = self.medians.slow(engine)
        if slow and not engine.slow:
            engine.mark_slow(now)
        engine.slow = slow

    def _end_probe(self, attempt, engine, now):
        if attempt.probe:
            attempt.probe = False
            engine.probing = False
            engine.next_probe = now + engines.PROBE_INTERVAL_SECONDS

    def ended(self, ended, now):
        """Remove an attempt and learn from it; return it or ``None``."""
        attempt = self.attempts.take(ended)
        if attempt is None:
            return None
        engine = self._engines.get(attempt.server)
        if engine is None:
            return attempt
        engine.change_own_count(-1, now)
        engine.kv_own -= attempt.footprint
        self._end_probe(attempt, engine, now)
        if ended.failed:
            self._record_failure(engine, ended, now)
        elif not ended.wasted:
            self._learn_from_answer(attempt, engine, ended, now)
        self._count_free(engine)
        return attempt

    def _record_failure(self, engine, ended, now):
        """Record a failure; what a server refuses for its limit is none."""
        if ended.refused and self._permits.is_limited(engine.name):
            return
        engine.record_failure(now)

    def _learn_from_answer(self, attempt, engine, ended, now):
        elapsed = now - attempt.placed
        engine.service_seconds += 0.05 * (elapsed - engine.service_seconds)
        if attempt.work.first_token_ms is None:
            change = 0.05 * (elapsed - self._unprotected_seconds)
            self._unprotected_seconds = max(
                0.1, self._unprotected_seconds + change
            )
        if not ended.gaps_ms or self._permits.is_limited(engine.name):
            # A server that says what it can take is not held to be slow.
            return
        gap = sum(ended.gaps_ms) / len(ended.gaps_ms)
        ratio = self._latency_baseline.ratio(
            "gap", attempt.work.class_name, gap
        )
        engine.gap.add(ratio)
        self._update_slow(engine, now)
        if self._options.learned_limits:
            slots = self.servers[engine.name].announcement.slots
            concurrency.adjust_limit(engine, attempt.work, gap, slots)

    def service_seconds(self, work, output_tokens):
        """Return how long ``work`` is expected to run, in seconds."""
        first = self._latency_baseline.usual("first", work.class_name, 0.2)
        gap = self._latency_baseline.usual("gap", work.class_name, 20.0)
        return first + gap / 1000.0 * output_tokens
