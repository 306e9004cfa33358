"""Queues of one class, fair over organisations by tokens.

Made for a few large organisations that send ten times what the others do:
by request count, or first come first served, they would take the class for
themselves.  Each organisation has a counter of tokens served divided by its
weight, and the lowest counter goes first (virtual token counters: Sheng et
al., "Fairness in Serving Large Language Models", OSDI 2024).
"""

import collections
import heapq

import msgspec

# An organisation that was idle comes back at most this many tokens (by
# weight) behind the others: enough to be served at once, too little to
# shut the others out for more than a few requests.
MOST_CREDIT = 2_000.0
# A prompt token counts for this part of an output token: engines read a
# prompt several times as fast as they write, and are paid for accordingly.
PROMPT_PART = 0.25
# One pick in this many goes to a request that has missed its target, so
# that late requests are served too while fresh ones keep coming.
LATE_EVERY = 10


class Counters:
    """Tokens served by organisation, divided by weight."""

    __slots__ = ("served", "_elsewhere")

    def __init__(self):
        self.served = collections.defaultdict(float)
        self._elsewhere = {}

    def charge(self, organisation, weight, tokens):
        """Count tokens that were served here."""
        self.served[organisation] += tokens / weight

    def merge(self, organisation, weight, total):
        """Count what other instances served, given their total so far."""
        before = self._elsewhere.get(organisation)
        self._elsewhere[organisation] = total
        if before is not None and total > before:
            self.charge(organisation, weight, total - before)

    def wake(self, organisation, active):
        """Take away credit saved up while idle.

        What was used elsewhere in that time does not count either.
        """
        self._elsewhere.pop(organisation, None)
        if not active:
            return
        floor = min(self.served[name] for name in active) - MOST_CREDIT
        self.served[organisation] = max(self.served[organisation], floor)


class _Held(msgspec.Struct):
    """Queued work; past ``fresh_until`` it counts as late."""

    work: object
    fresh_until: float


class Lane:
    """The queued work of one class for one target.

    Work that has become late moves to a queue of its own: under overload
    the class would else serve only requests that are late already, and
    attain nothing.  ``by_arrival`` turns the fairness off.
    """

    def __init__(self, counters, by_arrival=False):
        self._counters = counters
        self._by_arrival = by_arrival
        self._queues = {}
        # Organisations by their turn; an entry is put right when it comes
        # to the top, so that a charge costs nothing here.
        self._turns = []
        self._late = collections.deque()
        self._deadlines = []
        self._held = {}
        self._counts = collections.Counter()
        self._number = 0
        self._picks = 0

    def ahead(self, organisation):
        """Return how many wait of an organisation, and of how many."""
        busy = len(self._counts)
        own = self._counts.get(organisation, 0)
        return own, busy + (not own)

    def organisations(self):
        """Return those with work waiting."""
        return list(self._counts)

    def __len__(self):
        return len(self._held)

    def push(self, work, fresh_until, front=False):
        """Queue work, to be started by ``fresh_until``."""
        key = "" if self._by_arrival else work.organisation
        queue = self._queues.get(key)
        if queue is None:
            self._counters.wake(key, self._queues)
            queue = self._queues[key] = collections.deque()
            heapq.heappush(self._turns, (self._turn(key), key))
        if front:
            queue.appendleft(work)
        else:
            queue.append(work)
        self._number += 1
        self._held[work.request_id] = _Held(work, fresh_until)
        self._counts[work.organisation] += 1
        entry = (work.deadline, self._number, work.request_id)
        heapq.heappush(self._deadlines, entry)

    def pop_expired(self, now):
        """Take out and return the work whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, request_id = heapq.heappop(self._deadlines)
            held = self._held.get(request_id)
            if held and held.work.deadline <= now:
                expired.append(self.remove(request_id))
        return expired

    def remove(self, request_id):
        """Take work out; return it, or ``None`` where it is not held."""
        held = self._held.pop(request_id, None)
        if held is None:
            return None
        name = held.work.organisation
        self._counts[name] -= 1
        if not self._counts[name]:
            del self._counts[name]
        return held.work

    def head(self, now):
        """Return the work whose turn it is, or ``None``."""
        if self._late and self._picks % LATE_EVERY == LATE_EVERY - 1:
            self._trim(self._late)
            if self._late:
                return self._late[0]
        while self._turns:
            turn, key = self._turns[0]
            queue = self._queues[key]
            self._set_late_aside(queue, now)
            if not queue:
                heapq.heappop(self._turns)
                del self._queues[key]
            elif turn != self._turn(key):
                heapq.heapreplace(self._turns, (self._turn(key), key))
            else:
                return queue[0]
        self._trim(self._late)
        return self._late[0] if self._late else None

    def _turn(self, key):
        return self._counters.served[key]

    def _trim(self, queue):
        while queue and queue[0].request_id not in self._held:
            queue.popleft()

    def _set_late_aside(self, queue, now):
        self._trim(queue)
        while queue and now > self._held[queue[0].request_id].fresh_until:
            self._late.append(queue.popleft())
            self._trim(queue)

    def take(self, work):
        """Take out the head that was just given."""
        self._picks += 1
        self.remove(work.request_id)

    def oldest_wait(self, now):
        """Return how long the work at the head has waited, in seconds."""
        work = self.head(now)
        return now - work.received if work else 0.0
