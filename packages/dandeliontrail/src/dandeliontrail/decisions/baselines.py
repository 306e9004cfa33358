"""Simple policies to compare with; the first is also a fallback."""

import collections

from .. import sentinels
from . import policy
from . import work as work_module

# A longer queue holds more than a minute of work for any share of the load
# that one instance serves, so that a request at its end would certainly be
# late.
MAX_QUEUE_LENGTH = 10_000
RETRY_AFTER_SECONDS = 1.0


class PriorityLeastOutstanding(policy.Policy):
    """Strict priority; each request goes to the least busy server.

    It considers only this instance's own outstanding requests. It protects
    high classes and starves low ones, which is why it serves as a baseline.
    """

    def __init__(self):
        self._queues = {}
        self._running = {}
        self._outstanding = collections.Counter()

    def offer(self, work, now):
        """Queue the work unless the queue of its priority is full."""
        queue = self._queues.setdefault(work.priority, collections.deque())
        if len(queue) >= MAX_QUEUE_LENGTH:
            return sentinels.Nothing(
                sentinels.Reason.QUEUE_FULL, RETRY_AFTER_SECONDS
            )
        queue.append(work)
        return work

    def next(self, now, directory):
        """Place by descending importance while servers have free slots."""
        decisions = []
        for priority in sorted(self._queues):
            self._place_queue(
                self._queues[priority], now, directory, decisions
            )
        return decisions

    def _place_queue(self, queue, now, directory, decisions):
        for _ in range(len(queue)):
            work = queue.popleft()
            if now >= work.deadline:
                decisions.append(_refuse_expired(work))
                continue
            server = self._pick(work, now, directory)
            if not server:
                queue.append(work)
                continue
            self._place(work, server, decisions)

    def _pick(self, work, now, directory):
        best = sentinels.Nothing(
            sentinels.Reason.ALL_BUSY, RETRY_AFTER_SECONDS
        )
        lowest = None
        servers = directory.eligible(work.class_name, work.model, work.service)
        for server in servers:
            name = server.announcement.backend_server
            count = self._outstanding[name]
            if not server.takes_work(now) or name in work.excluded_servers:
                continue
            if count >= server.announcement.slots:
                continue
            if lowest is None or count < lowest:
                best, lowest = name, count
        return best

    def _place(self, work, server, decisions):
        self._outstanding[server] += 1
        self._running[work.request_id] = server
        decisions.append(work_module.Placement(work, server))

    def first_output(self, request_id, now):
        """Do nothing: this policy does not measure pace."""

    def ended(self, ended, now):
        """Release the server's slot."""
        server = self._running.pop(ended.request_id, None)
        if server is not None:
            self._outstanding[server] -= 1

    def requeue(self, work, now):
        """Put the work at the front of the queue of its priority."""
        queue = self._queues.setdefault(work.priority, collections.deque())
        queue.appendleft(work)

    def withdraw(self, request_id):
        """Remove the work if it is queued; return it or ``None``."""
        for queue in self._queues.values():
            for work in queue:
                if work.request_id == request_id:
                    queue.remove(work)
                    return work
        return None

    def waiting(self):
        """Return the number of queued requests by class."""
        counts = collections.Counter()
        for queue in self._queues.values():
            counts.update(work.class_name for work in queue)
        return dict(counts)


def _refuse_expired(work):
    return work_module.Refusal(
        work, sentinels.Nothing(sentinels.Reason.DEADLINE, RETRY_AFTER_SECONDS)
    )
