"""Simple policies to measure against; the first is also a fallback."""

import collections

from .. import sentinels
from . import policy
from . import work as work_module

# A queue longer than this holds more than a minute of work at any size
# that one instance serves, so that a request at its end is late for sure.
LONGEST_QUEUE = 10_000
RETRY_AFTER = 1.0


class PriorityLeastOutstanding(policy.Policy):
    """Strict priority; each request goes to the least busy server.

    It looks at this instance's own outstanding requests only.  It protects
    high classes and starves low ones, which is why it is a baseline.
    """

    def __init__(self):
        self._queues = {}
        self._running = {}
        self._outstanding = collections.Counter()

    def offer(self, work, now):
        """Queue the work unless the queue of its priority is full."""
        queue = self._queues.setdefault(work.priority, collections.deque())
        if len(queue) >= LONGEST_QUEUE:
            return sentinels.Nothing(sentinels.Reason.QUEUE_FULL, RETRY_AFTER)
        queue.append(work)
        return work

    def next(self, now, directory):
        """Place from the highest priority down while servers have room."""
        decided = []
        for priority in sorted(self._queues):
            self._drain(self._queues[priority], now, directory, decided)
        return decided

    def _drain(self, queue, now, directory, decided):
        for _ in range(len(queue)):
            work = queue.popleft()
            if now >= work.deadline:
                decided.append(_late(work))
                continue
            server = self._pick(work, now, directory)
            if not server:
                queue.append(work)
                continue
            self._place(work, server, decided)

    def _pick(self, work, now, directory):
        best = sentinels.Nothing(sentinels.Reason.ALL_BUSY, RETRY_AFTER)
        least = None
        servers = directory.eligible(work.class_name, work.model, work.service)
        for server in servers:
            name = server.announcement.backend_server
            count = self._outstanding[name]
            if not server.serves(now) or name in work.avoid:
                continue
            if count >= server.announcement.slots:
                continue
            if least is None or count < least:
                best, least = name, count
        return best

    def _place(self, work, server, decided):
        self._outstanding[server] += 1
        self._running[work.request_id] = server
        decided.append(work_module.Placement(work, server))

    def first_output(self, request_id, now):
        """Learn nothing: this policy does not look at pace."""

    def ended(self, ended, now):
        """Count the server as less busy."""
        server = self._running.pop(ended.request_id, None)
        if server is not None:
            self._outstanding[server] -= 1

    def requeue(self, work, now):
        """Put the work at the front of its priority."""
        queue = self._queues.setdefault(work.priority, collections.deque())
        queue.appendleft(work)

    def withdraw(self, request_id):
        """Take the work out of its queue, if it waits in one."""
        for queue in self._queues.values():
            for work in queue:
                if work.request_id == request_id:
                    queue.remove(work)
                    return work
        return None

    def waiting(self):
        """Count the queued work by class."""
        counted = collections.Counter()
        for queue in self._queues.values():
            counted.update(work.class_name for work in queue)
        return dict(counted)


def _late(work):
    return work_module.Refusal(
        work, sentinels.Nothing(sentinels.Reason.DEADLINE, RETRY_AFTER)
    )
