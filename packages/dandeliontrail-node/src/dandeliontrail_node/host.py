"""Feeds events to the reducer and executes the effects that it returns.

Everything runs on one thread in one gevent loop.  :meth:`Host.submit` does
not yield to the loop while the reducer runs, so no two events interleave.
"""

import collections
import contextlib
import time

import gevent
from gevent import event as gevent_event

from dandeliontrail.decisions import tunnel_admission
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail import failures

from . import client_holds
from . import fault_log
from . import order_client
from . import problems
from . import request_log

# Tick interval in seconds; the reducer's timers are 0.1 s and longer.
TICK_SECONDS = 0.1
# An instance ticks faster until it has the replicated state: callers are
# waiting, and each step of the start (contact, query, fetch) takes one tick.
# An instance that reaches no peer returns to the normal rate after
# ``START_PHASE_SECONDS``.
START_TICK_SECONDS = 0.025
START_PHASE_SECONDS = 2.0
# The component in reports of failures outside of the reducer's components.
REDUCER = "Reducer"
EFFECTS = "Effects"
REQUEST_LOG = "RequestLog"


class Host(failures.FailureHandler):
    """The runtime of one instance: its reducer and everything it acts on.

    ``peer_link`` sends messages to other instances, ``engines`` sends
    requests to backend servers; the disks, the connection pools and the
    client for platform calls are attached later.
    """

    def __init__(self, reducer, clock, peer_link, engines, metrics, logger):
        self.reducer = reducer
        self.clock = clock
        self.metrics = metrics
        self.logger = logger
        self._request_log = request_log.RequestLog(logger, metrics.counters)
        self._fault_log = fault_log.FaultLog(logger, metrics.counters, clock)
        reducer.failure_handler = self
        self._peer_link = peer_link
        self._engines = engines
        self._exchanges = {}
        self._pending_writes = {}
        self._disk = None
        self._order_client = order_client.OrderClient(
            reducer.state.orders.lease, clock, self.submit
        )
        self._usage_disk = None
        self._duty_client = None
        self.connection_pools = []
        self.open_tunnels = 0
        self.most_tunnels = tunnel_admission.MAX_TUNNELS
        # The account of what is held for clients (``held_bytes.HeldBytes``).
        self.client_account = None
        self._queue = collections.deque()
        self._applying = False
        self._current_day = ""
        self._version = 0
        self._version_changed = gevent_event.Event()
        self._effect_handlers = {
            effects.Dispatch: self._dispatch,
            effects.Refuse: self._deliver_to_exchange,
            effects.Replay: self._deliver_to_exchange,
            effects.Withdraw: self._deliver_to_exchange,
            effects.Abandon: self._abandon,
            effects.CutOff: self._cut_off,
            effects.Cancel: self._cancel,
            effects.DropConnections: self._drop_connections,
            effects.CheckPath: self._check_path,
            effects.GiveOrder: self._give_order,
            effects.PerformDuty: self._perform_duty,
            effects.SendPeer: self._send_peer,
            effects.WriteAnswered: self._deliver_write_result,
            effects.VoterAnswered: self._deliver_voter_change_result,
            effects.AppendLog: self._write_log,
            effects.ReplaceLog: self._write_log,
            effects.AppendUsage: self._write_usage,
            effects.ReplaceUsage: self._write_usage,
            effects.Log: self._log,
            effects.Measure: self._measure,
        }

    @property
    def state(self):
        """The state of the reducer; callers must not modify it."""
        return self.reducer.state

    def attach_disk(self, writer):
        """Send the writes of the replicated log to ``writer``."""
        self._disk = writer

    def attach_usage_disk(self, usage_writer):
        """Load the usage stored on disk; later usage is written there."""
        self._usage_disk = usage_writer
        self.submit(usage_writer.load())

    def attach_connections(self, pool):
        """Register a connection pool.

        The host calls it to drop connections to servers that are gone.
        """
        self.connection_pools.append(pool)

    def attach_duty_client(self, client):
        """Use ``client`` for calls to the platform."""
        self._duty_client = client

    def start(self, address):
        """Tell the reducer its own address and start the tick greenlet."""
        self._read_clock()
        self.submit(events.Started(address))
        return gevent.spawn(self._tick_forever)

    def _read_clock(self):
        """Tell the reducer the wall-clock time, by which usage is counted."""
        if self.state.duties.options.reports_usage:
            self.submit(events.ClockRead(time.time()))
        day = time.strftime("%Y-%m-%d", time.gmtime())
        if day != self._current_day:
            self._current_day = day
            self.submit(events.DayBegan(day))

    def submit(self, event):
        """Apply ``event`` and execute all resulting effects.

        An event submitted while an effect is executed is queued until the
        current event is done, so effects run in the order of their causes.
        """
        self._queue.append(event)
        if self._applying:
            return
        self._applying = True
        try:
            while self._queue:
                self._apply(self._queue.popleft())
        finally:
            self._applying = False

    def receive_batch(self, envelope):
        """Submit every message of a batch from another instance."""
        for message in envelope.messages:
            self.submit(events.PeerMessageReceived(envelope.sender, message))

    def _apply(self, event):
        now = self.clock.now()
        try:
            self._request_log.event(event, now)
        except Exception as exc:
            self._fault_log.component_failed(
                failures.of_event(REQUEST_LOG, event, exc)
            )
        try:
            emitted = self.reducer.apply(event, now)
        except Exception as exc:
            self.component_failed(failures.of_event(REDUCER, event, exc))
            return
        self._execute(emitted)

    def component_failed(self, failure):
        """Log and count a failure, which must not end the instance.

        If it belongs to a request, the exchange is notified that no answer
        will come.
        """
        self._fault_log.component_failed(failure)
        exchange = self._exchanges.get(failure.request_id)
        if exchange:
            exchange.report_reducer_failure()

    def _execute(self, emitted):
        for effect in emitted:
            try:
                self._effect_handlers[type(effect)](effect)
            except Exception as exc:
                self.component_failed(failures.of_event(EFFECTS, effect, exc))
        if emitted:
            self._log_effects(emitted)
        if self.state.store.version != self._version:
            self._version = self.state.store.version
            changed = self._version_changed
            self._version_changed = gevent_event.Event()
            changed.set()

    def _log_effects(self, emitted):
        try:
            self._request_log.effects(emitted, self.clock.now())
        except Exception as exc:
            self._fault_log.component_failed(
                failures.Failure(REQUEST_LOG, EFFECTS, exc)
            )

    def wait_version(self, seen, seconds):
        """Wait until a version above ``seen`` is applied.

        Returns whether that happened within ``seconds``.
        """
        if self.state.store.version <= seen:
            self._version_changed.wait(seconds)
        return self.state.store.version > seen

    def _tick_forever(self):
        """Tick periodically; the first, at once, contacts the seeds."""
        fast_until = self.clock.now() + START_PHASE_SECONDS
        while True:
            self._read_clock()
            self.tick()
            at_normal_rate = (
                self.state.log.ready or self.clock.now() > fast_until
            )
            gevent.sleep(
                TICK_SECONDS if at_normal_rate else START_TICK_SECONDS
            )

    def tick(self):
        """Execute the effects that are due now."""
        self._execute(self.reducer.tick(self.clock.now()))

    def request_lifecycle(self, request_id):
        """Return the state of a request that has not ended, or ``None``."""
        return self.reducer.lives.get(request_id)

    def is_current(self, dispatch):
        """Return whether the attempt of a dispatch is still wanted.

        The request may have ended, or the attempt may have been abandoned,
        since the reducer decided on the dispatch.
        """
        life = self.request_lifecycle(dispatch.request_id)
        return life is not None and life.has_attempt(dispatch.attempt)

    def is_resting(self, dispatch):
        """Return whether the server of a dispatch has asked for rest since.

        Only work that has not been sent yet is held back.
        """
        server = self.state.directory.server(dispatch.backend_server)
        return server is not None and server.rests(self.clock.now())

    def attach(self, exchange):
        """Deliver the effects for a request to its exchange."""
        self._exchanges[exchange.request_id] = exchange

    def detach(self, exchange, side):
        """Record that one side is done; drop the exchange after both are."""
        exchange.sides.discard(side)
        if not exchange.sides:
            self._exchanges.pop(exchange.request_id, None)
            exchange.close()

    def hold_answer(self, request_id):
        """Return a new hold for an answer to a request in progress.

        It lasts until both sides of its exchange have detached.
        """
        hold = client_holds.AnswerHold(self.client_account)
        self._exchanges[request_id].holds.append(hold)
        return hold

    def exchanges(self):
        """Return the exchanges of all requests in progress."""
        return list(self._exchanges.values())

    def open_exchange_count(self):
        """Return the number of requests in progress."""
        return len(self._exchanges)

    def waiting(self):
        """Return the number of queued requests of each class."""
        return self.reducer.waiting()

    def register_write(self, write_id, result):
        """Register ``result``, an async result, for the outcome of a write."""
        self._pending_writes[write_id] = result

    def unregister_write(self, write_id):
        """Unregister the async result of a write."""
        self._pending_writes.pop(write_id, None)

    def submit_and_wait(self, write_id, event, seconds):
        """Submit an event and return the ``changes.Result`` of its write.

        Returns ``None`` if there is none within ``seconds``.
        """
        result = gevent_event.AsyncResult()
        self.register_write(write_id, result)
        try:
            self.submit(event)
            result.wait(seconds)
        finally:
            self.unregister_write(write_id)
        return result.get() if result.ready() else None

    def _dispatch(self, effect):
        if effect.peer:
            self.metrics.counters["attempts_through_peers_total"] += 1
        self._deliver_to_exchange(effect)

    def _deliver_to_exchange(self, effect):
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
            exchange.fail(problems.problem_of(effect.refusal))

    def _cancel(self, effect):
        gevent.spawn(self._engines.cancel, effect.url, effect.request_id)

    def _drop_connections(self, effect):
        for pool in self.connection_pools:
            pool.forget(effect.url)

    def _check_path(self, effect):
        gevent.spawn(self._run_path_check, effect)

    def _run_path_check(self, effect):
        """Report whether a connection to a server can be opened."""
        (pool,) = self.connection_pools
        failure = None
        if effect.peer:
            failure = pool.check_through_peer(effect)
            reached = failure is None
        else:
            reached = pool.check(effect.url, effect.silent_seconds)
        if reached is not None:
            self.metrics.counters["path_checks_total"] += 1
        self.submit(
            events.PathChecked(
                effect.backend_server,
                effect.epoch,
                reached,
                effect.peer,
                failure,
            )
        )

    @contextlib.contextmanager
    def counted_tunnel(self):
        """Count a tunnel for another instance while it is open."""
        self.metrics.counters["tunnels_opened_total"] += 1
        self.open_tunnels += 1
        try:
            yield
        finally:
            self.open_tunnels -= 1

    def _give_order(self, effect):
        gevent.spawn(self._order_client.give, effect)

    def _perform_duty(self, effect):
        gevent.spawn(self._duty_client.perform, effect)

    def _send_peer(self, effect):
        self._peer_link.send(effect.address, effect.message)

    def _deliver_write_result(self, effect):
        waiting = self._pending_writes.pop(effect.write_id, None)
        if waiting:
            waiting.set(effect.result)

    def _deliver_voter_change_result(self, effect):
        waiting = self._pending_writes.pop(effect.request_id, None)
        if waiting:
            waiting.set(effect)

    def _write_log(self, effect):
        self._disk.put(effect)

    def _write_usage(self, effect):
        self._usage_disk.put(effect)

    def _log(self, effect):
        if request_log.is_covered_by_end_line(effect):
            return
        level = effect.level.upper()
        self.logger.log(_LEVELS[level], effect.message, extra=effect.fields)

    def _measure(self, effect):
        self.metrics.record(effect)


_LEVELS = {"DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40}
