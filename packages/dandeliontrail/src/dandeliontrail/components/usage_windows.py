"""The component that tells the holder of the duty what began here.

Counts leave an instance within half a second, since those that it has not
told are lost with it.  Windows that are not decided are told again from time
to time, and whole to a new holder: whatever a message or a holder took with
it comes again as long as the instance that counted lives.

Above a full mesh an instance tells the first relay of its failure domain, in
the batch that carries its work at servers, and the relay passes on what it was
told in one batch: the holder would else answer each instance twice a second.
"""

from .. import effects
from .. import events
from .. import interfaces
from ..coordination import usage_windows
from . import duties_state

TELL_INTERVAL = 0.5
REPEAT_INTERVAL = 1.5
# Without work at servers there is no batch to go along with for so long.
ALONE_INTERVAL = 1.0
# An answer may be on its way to this instance for so long before it is
# counted in the window in which it began.
ON_ITS_WAY = 0.05


class UsageWindows(interfaces.Component):
    """Counts what began here, and tells."""

    def __init__(self, state):
        self._state = state
        self._duties = state.duties
        self._counter = state.duties.counter
        self._told = None
        self._told_through = 0.0
        self._next_tell = 0.0
        self._next_repeat = 0.0
        self._settled = None
        # What a relay was told and has not passed on.
        self._passing = []

    def handlers(self):
        """Return the handlers of the clock and of others' reports."""
        return {
            events.ClockRead: self._clock_read,
            events.Left: self._left,
            usage_windows.WindowReport: self._pass_on,
        }

    def tick(self, now):
        """Tell what is new, and all that is open from time to time."""
        if not self._duties.options.reports_usage:
            return []
        if not self._duties.clock.known:
            return []
        out = self._settle()
        holding = self._state.orders.leases.holding(duties_state.SUBJECT)
        holder = self._state.members.address_of(holding.holder)
        if not holder:
            # Who told this relay will tell again.
            self._passing.clear()
            return out
        if holding.fencing != self._told:
            self._told = holding.fencing
            self._next_tell = self._next_repeat = now
        if now < self._next_tell:
            return out
        relay = self._relay()
        goes_along = not relay or self._state.loads.told_relay_at == now
        if not goes_along and now < self._next_tell + ALONE_INTERVAL:
            return out
        self._next_tell = now + TELL_INTERVAL
        reports, self._passing = self._passing, []
        own = self._report(now)
        if own is not None:
            reports.append(own)
        address = relay or holder
        out.extend(effects.SendPeer(address, item) for item in reports)
        return out

    def _relay(self):
        """Return the address of who passes reports on, '' for nobody."""
        members = self._state.members
        if members.full_mesh():
            return ""
        relays = members.relays_of(self._state.identity.failure_domain)
        if not relays or members.is_first_relay():
            return ""
        return relays[0].address

    def _pass_on(self, source, message, now):
        """Keep what an instance of the own domain told its relay."""
        own = self._state.identity.failure_domain
        if source.failure_domain == own and self._state.members.is_relay():
            self._passing.append(message)
        return []

    def _left(self, event, now):
        """Tell all that is open once more: this instance ends."""
        holding = self._state.orders.leases.holding(duties_state.SUBJECT)
        address = self._state.members.address_of(holding.holder)
        if not address or not self._duties.clock.known:
            return []
        self._next_repeat = now
        report = self._report(now)
        return [effects.SendPeer(address, report)] if report else []

    def _clock_read(self, event, now):
        self._duties.clock.observe(event.wall, now)
        return []

    def _report(self, now):
        """Return what to tell, or ``None``.

        Where nothing began the end of each window is told all the same, or
        the holder would wait for this instance.
        """
        through = self._duties.clock.at(now) - ON_ITS_WAY
        if now >= self._next_repeat:
            self._next_repeat = now + REPEAT_INTERVAL
            windows = self._counter.open_windows()
        else:
            windows = self._counter.changed()
        ends = self._counter.window_at(through)
        if not windows and ends <= self._counter.window_at(self._told_through):
            return None
        self._told_through = through
        own = self._state.identity
        return duties_state.report_of(own, through, windows)

    def _settle(self):
        """Forget what is decided, and log what came too late for it."""
        last = self._duties.decided.last
        if last is None or last == self._settled:
            return []
        self._settled = last
        untold = self._counter.settle(last)
        if not untold:
            return []
        fields = {"window": last, "requests": untold}
        return [effects.Log("warning", "usage counted too late", fields)]
