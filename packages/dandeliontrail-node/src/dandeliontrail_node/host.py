"""Carries events to the reducer and its effects to the outside.

All runs on one thread in one gevent loop, and :meth:`Host.submit` does not
yield to the loop while the reducer works, so that no two events interleave.
"""

import collections
import time

import gevent
from gevent import event as gevent_event

from dandeliontrail import effects
from dandeliontrail import events

from . import order_client
from . import problems
from . import request_log

# The reducer's timers are in tenths of a second and above.
TICK = 0.1
# Until an instance has its state it ticks more often: its callers wait, and
# each step of its start (greet, ask, fetch) takes a tick.  One that is cut
# off stops hurrying after a while.
START_TICK = 0.025
START_SECONDS = 2.0


class Host:
    """One instance: its reducer and all that its effects touch."""

    def __init__(self, reducer, clock, peer_link, engines, metrics, logger):
        self.reducer = reducer
        self.clock = clock
        self.metrics = metrics
        self.logger = logger
        self._requests = request_log.RequestLog(logger, metrics.counters)
        self._peer_link = peer_link
        self._engines = engines
        self._exchanges = {}
        self._writes = {}
        self._disk = None
        self._order_client = order_client.OrderClient(
            reducer.state.orders.lease, clock, self.submit
        )
        self._usage_disk = None
        self._duty_client = None
        self._pools = []
        self._queue = collections.deque()
        self._busy = False
        self._day = ""
        self._version = 0
        self._version_changed = gevent_event.Event()
        self._carry_out = {
            effects.Dispatch: self._to_exchange,
            effects.Refuse: self._to_exchange,
            effects.Replay: self._to_exchange,
            effects.Abandon: self._abandon,
            effects.CutOff: self._cut_off,
            effects.Cancel: self._cancel,
            effects.DropConnections: self._drop_connections,
            effects.GiveOrder: self._give_order,
            effects.PerformDuty: self._perform_duty,
            effects.SendPeer: self._send_peer,
            effects.WriteAnswered: self._answer_write,
            effects.VoterAnswered: self._answer_voter_change,
            effects.AppendLog: self._write_log,
            effects.ReplaceLog: self._write_log,
            effects.AppendUsage: self._write_usage,
            effects.ReplaceUsage: self._write_usage,
            effects.Log: self._log,
            effects.Measure: self._measure,
        }

    @property
    def state(self):
        """The shared state of the reducer, to be read only."""
        return self.reducer.state

    def attach_disk(self, writer):
        """Carry the log's writes to ``writer``."""
        self._disk = writer

    def attach_usage_disk(self, keeping):
        """Take in the usage on a disk and carry new usage to it."""
        self._usage_disk = keeping
        self.submit(keeping.load())

    def attach_connections(self, pool):
        """Have ``pool`` drop its connections to servers that are gone."""
        self._pools.append(pool)

    def attach_duty_client(self, client):
        """Make calls to the platform through ``client``."""
        self._duty_client = client

    def start(self, address):
        """Tell the reducer where this instance is reached and tick on."""
        self._read_clock()
        self.submit(events.Started(address))
        return gevent.spawn(self._tick_forever)

    def _read_clock(self):
        """Tell the reducer the time of day, by which usage is kept."""
        if self.state.duties.options.reports_usage:
            self.submit(events.ClockRead(time.time()))
        day = time.strftime("%Y-%m-%d", time.gmtime())
        if day != self._day:
            self._day = day
            self.submit(events.DayBegan(day))

    def submit(self, event):
        """Apply ``event`` and carry out all effects.

        An event submitted by an effect waits until the one before it is
        done, so that effects come out in the order of their causes.
        """
        self._queue.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._queue:
                self._apply(self._queue.popleft())
        finally:
            self._busy = False

    def take_in(self, envelope):
        """Submit each message of a batch from another instance."""
        for message in envelope.messages:
            self.submit(events.PeerMessageReceived(envelope.sender, message))

    def _apply(self, event):
        now = self.clock.now()
        self._requests.event(event, now)
        try:
            out = self.reducer.apply(event, now)
        except Exception as exc:
            self._fault(event, exc)
            return
        self._run(out)

    def _fault(self, event, exc):
        """Keep one faulty event from taking the instance down."""
        self.metrics.counters["faults_total"] += 1
        name = type(event).__name__
        fields = {"event": name, "error": str(exc)}
        self.logger.error("event failed", extra=fields, exc_info=exc)
        exchange = self._exchanges.get(getattr(event, "request_id", None))
        if exchange:
            exchange.fault()

    def _run(self, out):
        for effect in out:
            self._carry_out[type(effect)](effect)
        if out:
            self._requests.effects(out, self.clock.now())
        if self.state.store.version != self._version:
            self._version = self.state.store.version
            changed = self._version_changed
            self._version_changed = gevent_event.Event()
            changed.set()

    def wait_version(self, seen, seconds):
        """Wait until a version after ``seen`` is applied; tell if it is."""
        if self.state.store.version <= seen:
            self._version_changed.wait(seconds)
        return self.state.store.version > seen

    def _tick_forever(self):
        """Tick at once, since the seeds are greeted then, and on."""
        hurried_until = self.clock.now() + START_SECONDS
        while True:
            self._read_clock()
            try:
                self._run(self.reducer.tick(self.clock.now()))
            except Exception as exc:
                self._fault(self.reducer, exc)
            calm = self.state.log.ready or self.clock.now() > hurried_until
            gevent.sleep(TICK if calm else START_TICK)

    def life(self, request_id):
        """Return the life of a request that has not ended, or ``None``."""
        return self.reducer.lives.get(request_id)

    def is_current(self, dispatch):
        """Tell whether a dispatch still stands.

        What it is about may have ended, or have been let go, since the reducer
        decided it.
        """
        life = self.life(dispatch.request_id)
        return life is not None and life.has_attempt(dispatch.attempt)

    def attach(self, exchange):
        """Route effects for a request to its exchange."""
        self._exchanges[exchange.request_id] = exchange

    def detach(self, exchange, side):
        """Take note that one side left; forget it when both have."""
        exchange.sides.discard(side)
        if not exchange.sides:
            self._exchanges.pop(exchange.request_id, None)

    def exchanges(self):
        """Return the exchanges of the requests that are under way."""
        return list(self._exchanges.values())

    def open_exchanges(self):
        """Return how many requests are under way."""
        return len(self._exchanges)

    def waiting(self):
        """Return how many requests of each class wait in queues."""
        return self.reducer.waiting()

    def expect_write(self, write_id, result):
        """Deliver the answer of a write to ``result``, an async result."""
        self._writes[write_id] = result

    def forget_write(self, write_id):
        """Stop waiting for the answer of a write."""
        self._writes.pop(write_id, None)

    def _to_exchange(self, effect):
        exchange = self._exchanges.get(effect.request_id)
        if exchange:
            exchange.put(effect)

    def _abandon(self, effect):
        exchange = self._exchanges.get(effect.request_id)
        if exchange:
            exchange.abandon()

    def _cut_off(self, effect):
        exchange = self._exchanges.get(effect.refusal.request_id)
        if exchange:
            exchange.end_with(problems.problem_of(effect.refusal))

    def _cancel(self, effect):
        gevent.spawn(self._engines.cancel, effect.url, effect.request_id)

    def _drop_connections(self, effect):
        for pool in self._pools:
            pool.forget(effect.url)

    def _give_order(self, effect):
        gevent.spawn(self._order_client.give, effect)

    def _perform_duty(self, effect):
        gevent.spawn(self._duty_client.perform, effect)

    def _send_peer(self, effect):
        self._peer_link.send(effect.address, effect.message)

    def _answer_write(self, effect):
        waiting = self._writes.pop(effect.write_id, None)
        if waiting:
            waiting.set(effect.result)

    def _answer_voter_change(self, effect):
        waiting = self._writes.pop(effect.request_id, None)
        if waiting:
            waiting.set(effect)

    def _write_log(self, effect):
        self._disk.put(effect)

    def _write_usage(self, effect):
        self._usage_disk.put(effect)

    def _log(self, effect):
        if request_log.is_said_at_the_end(effect):
            return
        level = effect.level.upper()
        self.logger.log(_LEVELS[level], effect.message, extra=effect.fields)

    def _measure(self, effect):
        self.metrics.record(effect)


_LEVELS = {"DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40}
