"""Baseline policies that the adaptive policy is compared with."""

import collections

from dandeliontrail.decisions import policy
from dandeliontrail.decisions import work as work_module


class _ImmediatePlacement(policy.Policy):
    """Places all work at once and leaves the queueing to the engines."""

    # Whether the simulation passes the priority of a request to the engines.
    ranked = True

    def __init__(self, rng):
        self.rng = rng
        self.outstanding = collections.Counter()
        self._queue = collections.deque()
        self._running = {}

    def offer(self, work, now):
        """Accept all work."""
        self._queue.append(work)
        return work

    def next(self, now, directory):
        """Place all waiting work that some server can take."""
        placements = []
        for _ in range(len(self._queue)):
            work = self._queue.popleft()
            servers = [
                server
                for server in directory.eligible(
                    work.class_name, work.model, work.service
                )
                if server.serves(now)
                and server.announcement.backend_server
                not in work.excluded_servers
            ]
            if not servers:
                self._queue.append(work)
                continue
            name = self.choose(servers).announcement.backend_server
            self.outstanding[name] += 1
            self._running[work.request_id] = name
            placements.append(work_module.Placement(work, name))
        return placements

    def choose(self, servers):
        """Return the server to place work on."""
        raise NotImplementedError

    def first_output(self, request_id, now):
        """Do nothing: these policies do not use latencies."""

    def ended(self, ended, now):
        """Count one request less as outstanding at its server."""
        name = self._running.pop(ended.request_id, None)
        if name is not None:
            self.outstanding[name] -= 1

    def requeue(self, work, now):
        """Put the work at the front of the queue."""
        self._queue.appendleft(work)

    def withdraw(self, request_id):
        """Remove the work from the queue and return it, if it is there."""
        for work in self._queue:
            if work.request_id == request_id:
                self._queue.remove(work)
                return work
        return None

    def waiting(self):
        """Return the number of queued requests by class."""
        return collections.Counter(item.class_name for item in self._queue)


class FifoRoundRobin(_ImmediatePlacement):
    """First come, first served, with servers in round-robin order."""

    ranked = False

    def __init__(self, rng):
        super().__init__(rng)
        self._next_index = rng.randrange(1000)

    def choose(self, servers):
        """Return the next server in turn."""
        self._next_index += 1
        return servers[self._next_index % len(servers)]


class PowerOfTwo(_ImmediatePlacement):
    """Power of two choices: the less loaded of two random servers.

    Engines order their queues by priority.  The load of a server is what it
    last reported as running and waiting plus this instance's outstanding work.
    """

    def choose(self, servers):
        """Return the less loaded of two random servers."""
        if len(servers) == 1:
            return servers[0]
        return min(self.rng.sample(servers, 2), key=self._load)

    def _load(self, server):
        load = server.announcement.load
        outstanding_here = self.outstanding[server.announcement.backend_server]
        return load.running + load.waiting + outstanding_here
