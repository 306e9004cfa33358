"""The component that reports this instance's usage windows to the holder.

A window counts the requests that began in it.  The holder is the keeper that
reports usage to the platform (:mod:`.duties`).

Counts are reported within half a second, since a crash of this instance loses
the counts that it has not reported.  Windows that are not decided yet are
reported again periodically, and completely to a new holder.  Counts that were
lost with a message or a holder are thus sent again as long as the instance
that counted them lives.

In systems larger than a full mesh, an instance reports to the first relay of
its failure domain, in the batch that carries its server loads.  The relay
forwards the reports in one batch; otherwise the holder would have to answer
each instance twice per second.
"""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import usage_windows
from . import duties_state

REPORT_INTERVAL_SECONDS = 0.5
FULL_REPORT_INTERVAL_SECONDS = 1.5
# A report that is due waits at most this long for a batch of server loads,
# since an instance without work sends these less often.
MAX_BATCH_WAIT_SECONDS = 1.0
# A request is counted once its answer arrives here, in the window in which it
# began.  The answer may be in flight for this long.
COUNTING_DELAY_SECONDS = 0.05


class UsageWindows(interfaces.Component):
    """Reports the requests counted here, and forwards reports as a relay."""

    def __init__(self, state):
        self._state = state
        self._duties = state.duties
        self._counter = state.duties.counter
        self._reported_fencing = None
        self._reported_through = 0.0
        self._next_report = 0.0
        self._next_full_report = 0.0
        self._dropped_through = None
        # Reports that this instance, as a relay, has yet to forward.
        self._reports_to_forward = []

    def handlers(self):
        """Return the handlers of the clock and of other instances' reports."""
        return {
            events.ClockRead: self._handle_clock_read,
            events.Left: self._handle_left,
            usage_windows.WindowReport: self._handle_report,
        }

    def tick(self, now):
        """Report changed windows, and periodically all undecided ones."""
        if not self._duties.options.reports_usage:
            return []
        if not self._duties.clock.known:
            return []
        out = self._drop_decided()
        holding = self._state.orders.leases.holding(duties_state.SUBJECT)
        holder = self._state.members.address_of(holding.holder)
        if not holder:
            # The instances that sent these reports will repeat them.
            self._reports_to_forward.clear()
            return out
        if holding.fencing != self._reported_fencing:
            self._reported_fencing = holding.fencing
            self._next_report = self._next_full_report = now
        if now < self._next_report:
            return out
        relay = self._relay_address()
        shares_batch = not relay or self._state.loads.sent_to_relay_at == now
        if (
            not shares_batch
            and now < self._next_report + MAX_BATCH_WAIT_SECONDS
        ):
            return out
        self._next_report = now + REPORT_INTERVAL_SECONDS
        reports, self._reports_to_forward = self._reports_to_forward, []
        own = self._make_report(now)
        if own is not None:
            reports.append(own)
        address = relay or holder
        out.extend(effects.SendPeer(address, item) for item in reports)
        return out

    def _relay_address(self):
        """Return the address of the relay to report to, or '' for none."""
        members = self._state.members
        if members.full_mesh():
            return ""
        relays = members.relays_of(self._state.identity.failure_domain)
        if not relays or members.is_first_relay():
            return ""
        return relays[0].address

    def _handle_report(self, source, message, now):
        """Keep a report from this domain, to forward it as its relay."""
        own = self._state.identity.failure_domain
        if source.failure_domain == own and self._state.members.is_relay():
            self._reports_to_forward.append(message)
        return []

    def _handle_left(self, event, now):
        """Report all undecided windows a last time before shutting down."""
        holding = self._state.orders.leases.holding(duties_state.SUBJECT)
        address = self._state.members.address_of(holding.holder)
        if not address or not self._duties.clock.known:
            return []
        self._next_full_report = now
        report = self._make_report(now)
        return [effects.SendPeer(address, report)] if report else []

    def _handle_clock_read(self, event, now):
        self._duties.clock.observe(event.wall, now)
        return []

    def _make_report(self, now):
        """Return the report to send, or ``None``.

        The end of each window is reported even if no request began in it;
        otherwise the holder would wait for this instance.
        """
        through = self._duties.clock.at(now) - COUNTING_DELAY_SECONDS
        partial = now < self._next_full_report
        if not partial:
            self._next_full_report = now + FULL_REPORT_INTERVAL_SECONDS
            windows = self._counter.open_windows()
        else:
            windows = self._counter.changed()
        current = self._counter.window_at(through)
        if not windows and current <= self._counter.window_at(
            self._reported_through
        ):
            return None
        self._reported_through = through
        own = self._state.identity
        return duties_state.report_of(own, through, windows, partial)

    def _drop_decided(self):
        """Drop decided windows, and log counts that came too late for them."""
        last = self._duties.decided.last
        if last is None or last == self._dropped_through:
            return []
        self._dropped_through = last
        untold = self._counter.remove_decided(last)
        if not untold:
            return []
        fields = {"window": last, "requests": untold}
        return [effects.Log("warning", "usage counted too late", fields)]
