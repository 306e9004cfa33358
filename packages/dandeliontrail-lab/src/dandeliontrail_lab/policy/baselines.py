"""What the policy in use is measured against."""

import collections

from dandeliontrail.decisions import policy
from dandeliontrail.decisions import work as work_module


class _Immediate(policy.Policy):
    """Sends all work at once; the engines queue it."""

    # Whether engines are told the priority of a request.
    ranked = True

    def __init__(self, rng):
        self.rng = rng
        self.own = collections.Counter()
        self._queue = collections.deque()
        self._running = {}

    def offer(self, work, now):
        """Take all work."""
        self._queue.append(work)
        return work

    def next(self, now, directory):
        """Place all that waits, but for what no server can take."""
        decided = []
        for _ in range(len(self._queue)):
            work = self._queue.popleft()
            servers = [
                server
                for server in directory.eligible(
                    work.class_name, work.model, work.service
                )
                if server.serves(now)
                and server.announcement.backend_server not in work.avoid
            ]
            if not servers:
                self._queue.append(work)
                continue
            name = self.choose(servers).announcement.backend_server
            self.own[name] += 1
            self._running[work.request_id] = name
            decided.append(work_module.Placement(work, name))
        return decided

    def choose(self, servers):
        """Return one of the servers."""
        raise NotImplementedError

    def first_output(self, request_id, now):
        """Learn nothing."""

    def ended(self, ended, now):
        """Count the server as less busy."""
        name = self._running.pop(ended.request_id, None)
        if name is not None:
            self.own[name] -= 1

    def requeue(self, work, now):
        """Put the work at the front."""
        self._queue.appendleft(work)

    def withdraw(self, request_id):
        """Take the work out of the queue."""
        for work in self._queue:
            if work.request_id == request_id:
                self._queue.remove(work)
                return work
        return None

    def waiting(self):
        """Count the queued work by class."""
        return collections.Counter(item.class_name for item in self._queue)


class FifoRoundRobin(_Immediate):
    """First come, first served; the servers take turns."""

    ranked = False

    def __init__(self, rng):
        super().__init__(rng)
        self._turn = rng.randrange(1000)

    def choose(self, servers):
        """Return the next server in turn."""
        self._turn += 1
        return servers[self._turn % len(servers)]


class PowerOfTwo(_Immediate):
    """The less loaded of two servers drawn by lot; engines rank the work.

    The load is this instance's outstanding work or the last report,
    whichever is more.
    """

    def choose(self, servers):
        """Return the better of two."""
        if len(servers) == 1:
            return servers[0]
        return min(self.rng.sample(servers, 2), key=self._load)

    def _load(self, server):
        load = server.announcement.load
        own = self.own[server.announcement.backend_server]
        return load.running + load.waiting + own
