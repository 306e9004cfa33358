"""Fair queueing of one request class over organisations, by tokens.

A few large organisations may send ten times what the others do. If requests
were counted, or served in order of arrival, these organisations would take
most of the class's capacity. Each organisation has a counter of tokens served
divided by its weight, and the lowest counter is served first (virtual token
counters: Sheng et al., "Fairness in Serving Large Language Models", OSDI
2024).
"""

import collections
import heapq

import msgspec

# After being idle, an organisation is at most this many weighted tokens behind
# the others: enough to be served at once, too little to shut the others out
# for more than a few requests.
MAX_CREDIT_TOKENS = 2_000.0
# Weight of a prompt token relative to an output token: engines process a
# prompt several times as fast as they generate, and are paid for accordingly.
PROMPT_TOKEN_WEIGHT = 0.25
# One pick in this many goes to a request that has missed its target, so that
# late requests are served too while on-time ones keep arriving.
LATE_PICK_INTERVAL = 10


class Counters:
    """Tokens served by organisation, divided by its weight."""

    __slots__ = ("served", "_other_totals")

    def __init__(self):
        self.served = collections.defaultdict(float)
        self._other_totals = {}

    def charge(self, organisation, weight, tokens):
        """Count tokens served here; a negative number is a refund."""
        self.served[organisation] += tokens / weight

    def merge(self, organisation, weight, total):
        """Count what other instances served, given their total so far."""
        before = self._other_totals.get(organisation)
        self._other_totals[organisation] = total
        if before is not None and total > before:
            self.charge(organisation, weight, total - before)

    def reactivate(self, organisation, active):
        """Limit the credit that an organisation built up while idle.

        ``active`` names the organisations with queued work. Usage at other
        instances during the idle time is not counted either.
        """
        self._other_totals.pop(organisation, None)
        if not active:
            return
        floor = min(self.served[name] for name in active) - MAX_CREDIT_TOKENS
        self.served[organisation] = max(self.served[organisation], floor)


class _QueuedWork(msgspec.Struct):
    """Queued work; after ``fresh_until`` it counts as late."""

    work: object
    fresh_until: float


class FairQueue:
    """The queued work of one class for one target.

    Late work moves to a queue of its own. Otherwise the class would, under
    overload, serve only requests that have already missed their target.
    ``by_arrival`` turns fairness off.
    """

    def __init__(self, counters, by_arrival=False):
        self._counters = counters
        self._by_arrival = by_arrival
        self._queues = {}
        # A heap of organisations by tokens served. Entries are corrected
        # lazily, when they reach the top, so that charging tokens costs
        # nothing here.
        self._heap = []
        self._late = collections.deque()
        self._deadlines = []
        self._queued = {}
        self._counts = collections.Counter()
        self._sequence = 0
        self._picks = 0

    def backlog(self, organisation):
        """Return how many requests of an organisation wait, and of how many.

        The second number counts the organisations with queued work, the given
        one included.
        """
        waiting = len(self._counts)
        own = self._counts.get(organisation, 0)
        return own, waiting + (not own)

    def organisations(self):
        """Return the organisations with queued work."""
        return list(self._counts)

    def __len__(self):
        return len(self._queued)

    def push(self, work, fresh_until, front=False):
        """Queue work that should start before ``fresh_until``."""
        key = "" if self._by_arrival else work.organisation
        queue = self._queues.get(key)
        if queue is None:
            self._counters.reactivate(key, self._queues)
            queue = self._queues[key] = collections.deque()
            heapq.heappush(self._heap, (self._served_tokens(key), key))
        if front:
            queue.appendleft(work)
        else:
            queue.append(work)
        self._sequence += 1
        self._queued[work.request_id] = _QueuedWork(work, fresh_until)
        self._counts[work.organisation] += 1
        entry = (work.deadline, self._sequence, work.request_id)
        heapq.heappush(self._deadlines, entry)

    def pop_expired(self, now):
        """Remove and return the work whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, request_id = heapq.heappop(self._deadlines)
            queued = self._queued.get(request_id)
            if queued and queued.work.deadline <= now:
                expired.append(self.remove(request_id))
        return expired

    def remove(self, request_id):
        """Remove work; return it, or ``None`` if it is not queued."""
        queued = self._queued.pop(request_id, None)
        if queued is None:
            return None
        organisation = queued.work.organisation
        self._counts[organisation] -= 1
        if not self._counts[organisation]:
            del self._counts[organisation]
        return queued.work

    def head(self, now):
        """Return the work to serve next, or ``None``."""
        if (
            self._late
            and self._picks % LATE_PICK_INTERVAL == LATE_PICK_INTERVAL - 1
        ):
            self._drop_removed(self._late)
            if self._late:
                return self._late[0]
        while self._heap:
            served, key = self._heap[0]
            queue = self._queues[key]
            self._move_late(queue, now)
            if not queue:
                heapq.heappop(self._heap)
                del self._queues[key]
            elif served != self._served_tokens(key):
                heapq.heapreplace(self._heap, (self._served_tokens(key), key))
            else:
                return queue[0]
        self._drop_removed(self._late)
        return self._late[0] if self._late else None

    def _served_tokens(self, key):
        return self._counters.served[key]

    def _drop_removed(self, queue):
        while queue and queue[0].request_id not in self._queued:
            queue.popleft()

    def _move_late(self, queue, now):
        self._drop_removed(queue)
        while queue and now > self._queued[queue[0].request_id].fresh_until:
            self._late.append(queue.popleft())
            self._drop_removed(queue)

    def take(self, work):
        """Remove the work that :meth:`head` has just returned."""
        self._picks += 1
        self.remove(work.request_id)

    def head_wait(self, now):
        """Return how long the work at the head has waited, in seconds."""
        work = self.head(now)
        return now - work.received if work else 0.0
