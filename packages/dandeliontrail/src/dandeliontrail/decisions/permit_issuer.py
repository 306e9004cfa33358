"""Issues the permits of limited servers, as their holder.

Answers the load that a server under strain can take: a token bucket for each
server fills at the rate that the server names, and each permit takes one
token.  Permits go to the most urgent requests first, among equally urgent
ones to one instance after the other.
"""

import collections

import msgspec

from ..coordination import permits
from . import place_ledger

# Tokens of this many seconds are kept while nobody asks, and at least this
# number: at low rates some would else be lost between two requests.
BURST_SECONDS = 0.5
MIN_BURST = 2.0
# An ask counts for this long.  Instances repeat theirs twice in it.
ASK_TTL_SECONDS = 0.9
# The least urgent that waits get a permit if none of this many went to them,
# so that each class is served eventually.
MAX_PASSED_OVER = 19
# Requests that were sent without a permit are made up for up to the tokens of
# this many seconds, and at least this number.
MAX_DEBT_SECONDS = 4.0
MIN_MAX_DEBT = 5.0
# The bucket of a server that nobody asked for in this time is dropped.
IDLE_SECONDS = 60.0
# The rate of a server that bounds only how many requests it runs at a time.
UNLIMITED = float("inf")


class Asker(msgspec.Struct, frozen=True):
    """The instance that asks."""

    instance: str
    incarnation: int
    address: str


class Delivery(msgspec.Struct):
    """A grant and the instance that it is for."""

    asker: Asker
    grant: permits.PermitGrant


class _StandingAsk(msgspec.Struct):
    """An ask; ``turn`` is its place in the line of instances that wait."""

    asker: Asker
    number: int
    wants: dict
    expires_at: float
    turn: int
    count: int = 0
    reserved: list = msgspec.field(default_factory=list)


class _Bucket:
    """The tokens of one server, and the asks for them.

    ``places`` (:class:`.place_ledger.PlaceLedger`) has the free places of a
    brittle server and is ``None`` for others.
    """

    __slots__ = (
        "epoch",
        "asks",
        "places",
        "_last_turn",
        "_tokens",
        "_filled_at",
        "_recent",
    )

    def __init__(self, epoch, now):
        self.epoch = epoch
        self.asks = {}
        self.places = None
        self._last_turn = 0
        self._tokens = 0.0
        self._filled_at = now
        # The priorities of the last permits.
        self._recent = collections.deque(maxlen=MAX_PASSED_OVER)

    def fill(self, rate, now):
        if rate == UNLIMITED:
            self._tokens = UNLIMITED
            self._filled_at = now
            return
        if self._tokens == UNLIMITED:
            self._tokens = 0.0
        gained = (now - self._filled_at) * rate
        self._tokens = min(
            max(MIN_BURST, BURST_SECONDS * rate), self._tokens + gained
        )
        self._filled_at = now

    def spend(self, count, rate):
        lowest = -max(MIN_MAX_DEBT, MAX_DEBT_SECONDS * rate)
        self._tokens = max(lowest, self._tokens - count)

    def is_idle(self, now):
        return not self.asks and now - self._filled_at > IDLE_SECONDS

    def seconds_to_next(self, rate):
        if rate == UNLIMITED:
            return self.places.seconds_to_next()
        return max(0.0, 1.0 - self._tokens) / rate

    def backlog(self):
        """Return the wants of all asks by priority."""
        counts = {}
        for ask in self.asks.values():
            for priority, count in ask.wants.items():
                counts[priority] = counts.get(priority, 0) + count
        return counts

    def stand(self, asker, ask, now):
        """Enter an ask; one that replaces another keeps its turn."""
        before = self.asks.get(asker.instance)
        turn = before.turn if before and before.wants else self._next_turn()
        wants = {want.priority: want.count for want in ask.wants if want.count}
        self.asks[asker.instance] = _StandingAsk(
            asker, ask.number, wants, now + ASK_TTL_SECONDS, turn
        )

    def _next_turn(self):
        self._last_turn += 1
        return self._last_turn

    def outlooks(self, own):
        """Return the :class:`.permits.Outlook` of an ask by priority."""
        more_urgent = 0
        found = []
        for priority, count in sorted(self.backlog().items()):
            others = [
                ask.turn
                for ask in self.asks.values()
                if priority in ask.wants and ask is not own
            ]
            before = len(others)
            if priority in own.wants:
                before = sum(turn < own.turn for turn in others)
            found.append(
                permits.Outlook(
                    priority, more_urgent + before, len(others) + 1
                )
            )
            more_urgent += count
        if found:
            found[-1].ahead = min(
                found[-1].ahead, self._permits_to_turn(found[-1].priority)
            )
        return found

    def _permits_to_turn(self, priority):
        """Return how many permits may still pass over a priority."""
        since = 0
        for served in reversed(self._recent):
            if served >= priority:
                break
            since += 1
        return MAX_PASSED_OVER - since

    def _may_issue(self):
        return self._tokens >= 1.0 and (
            self.places is None or self.places.free() > 0
        )

    def issue(self, now):
        """Issue permits for all tokens, or while there are places."""
        while self._may_issue():
            waiting = sorted(self.backlog())
            if not waiting:
                break
            is_reserved = not self._permits_to_turn(waiting[-1])
            priority = waiting[-1] if is_reserved else waiting[0]
            self._recent.append(priority)
            self._tokens -= 1.0
            ask = self._next_ask(priority)
            if self.places is not None:
                self.places.take(ask.asker, now)
            self._give(ask, priority, is_reserved)

    def _next_ask(self, priority):
        """Return the ask whose turn it is."""
        return min(
            (ask for ask in self.asks.values() if priority in ask.wants),
            key=lambda ask: ask.turn,
        )

    def _give(self, ask, priority, is_reserved):
        ask.turn = self._next_turn()
        ask.wants[priority] -= 1
        if not ask.wants[priority]:
            del ask.wants[priority]
        if is_reserved:
            ask.reserved.append(priority)
        else:
            ask.count += 1


class PermitIssuer:
    """The buckets of all servers whose permits this instance holds.

    ``rate(server, now)`` returns how many permits a second it may issue for a
    server, 0.0 if none and ``UNLIMITED`` where only places bound it;
    ``places(server)`` how many requests it takes at a time, ``None`` unless it
    is brittle.
    """

    def __init__(self, rate, places=lambda server: None):
        self._rate = rate
        self._places = places
        self._buckets = {}
        self._serial = 0

    def ask(self, asker, ask, now):
        """Record an ask and return the deliveries that it leads to.

        An asker that wants something gets a grant in any case, also an empty
        one: without it, it would take this instance for silent.
        """
        record = ask.record
        rate = self._rate(record.server, now)
        if not rate and not ask.wants:
            return []
        if not rate:
            grant = permits.PermitGrant(
                record.server,
                record.epoch,
                ask.number,
                self._next_serial(),
                granting=False,
            )
            return [Delivery(asker, grant)]
        bucket = self._buckets.get(record.server)
        if bucket is None or bucket.epoch != record.epoch:
            bucket = _Bucket(record.epoch, now)
            self._buckets[record.server] = bucket
        if _is_outdated(bucket.asks.get(asker.instance), asker, ask):
            return []
        self._update_places(record.server, bucket, now)
        if bucket.places is not None:
            bucket.places.report(asker, ask.in_use, ask.seen, now)
        bucket.fill(rate, now)
        bucket.spend(ask.spent, rate)
        bucket.stand(asker, ask, now)
        answered = asker.instance if ask.wants else ""
        return self._deliver(record.server, bucket, rate, now, answered)

    def tick(self, now):
        """Return the deliveries of the tokens that came since."""
        out = []
        for server, bucket in list(self._buckets.items()):
            _remove_expired(bucket, now)
            if bucket.is_idle(now):
                del self._buckets[server]
            if not bucket.asks:
                continue
            rate = self._rate(server, now)
            if rate:
                bucket.fill(rate, now)
                self._update_places(server, bucket, now)
                out.extend(self._deliver(server, bucket, rate, now))
        return out

    def _update_places(self, server, bucket, now):
        """Follow how many places a brittle server has."""
        count = self._places(server)
        if count is None:
            bucket.places = None
            return
        if bucket.places is None:
            bucket.places = place_ledger.PlaceLedger(now)
        bucket.places.update(count, now)

    def remove(self, server):
        """Drop the bucket of a server that names no limit any more."""
        self._buckets.pop(server, None)

    def _next_serial(self):
        self._serial += 1
        return self._serial

    def _deliver(self, server, bucket, rate, now, always=""):
        """Issue permits; return a grant for each instance that got one.

        The instance ``always`` gets a grant even without a permit.
        """
        bucket.issue(now)
        issued_rate = 0.0
        if bucket.places is not None:
            issued_rate = round(bucket.places.rate(now), 2)
        next_in = round(bucket.seconds_to_next(rate), 3)
        out = []
        for ask in bucket.asks.values():
            if ask.asker.instance != always and not (
                ask.count or ask.reserved
            ):
                continue
            grant = permits.PermitGrant(
                server,
                bucket.epoch,
                ask.number,
                self._next_serial(),
                ask.count,
                ask.reserved,
                True,
                next_in,
                bucket.outlooks(ask),
                issued_rate,
            )
            if bucket.places is not None:
                bucket.places.sent(ask.asker, grant.serial, now)
            ask.count = 0
            ask.reserved = []
            out.append(Delivery(ask.asker, grant))
        return out


def _is_outdated(standing, asker, ask):
    """Return whether an ask was doubled or overtaken on its way."""
    return (
        standing is not None
        and standing.asker.incarnation == asker.incarnation
        and ask.number <= standing.number
    )


def _remove_expired(bucket, now):
    for name, ask in list(bucket.asks.items()):
        if now > ask.expires_at:
            del bucket.asks[name]
