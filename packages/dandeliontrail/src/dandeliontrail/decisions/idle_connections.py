"""Estimates to which servers an instance has idle connections.

With many instances and many servers, each pair is seldom used twice within
the time for which a connection is kept, so most requests would open one.  The
estimate lets choices prefer a server that needs none.  Where it is wrong, a
connection is opened as without it.
"""

# One failed answer among those of a healthy server is above this share for
# the next seven answers (``server_health.FAILURE_WEIGHT``).
MAX_FAILURE_SHARE = 0.05


class IdleConnections:
    """How many idle connections there are to each server.

    An estimate is about one incarnation of a server, identified by its epoch.
    """

    __slots__ = ("_by_server",)

    def __init__(self):
        # The epoch and until when each connection is kept, by server.
        self._by_server = {}

    def record_kept(self, name, epoch, seconds, now):
        """Record that a connection is kept for ``seconds`` from now on."""
        known_epoch, kept = self._by_server.get(name, (None, ()))
        if known_epoch != epoch:
            kept = ()
        still_kept = [until for until in kept if until > now]
        self._by_server[name] = (epoch, [*still_kept, now + seconds])

    def record_sent(self, name):
        """Record that a request is sent, on the connection used last."""
        _, kept = self._by_server.get(name, (None, ()))
        if kept:
            kept.pop()

    def record_end(self, attempt, ended, now):
        """Record how an attempt (:class:`.server_attempt`) ended.

        ``ended`` is its :class:`.work.AttemptEnd`.  After a failure, the
        other connections to the server may have been lost as well.
        """
        if attempt.peer or ended.overtaken:
            return
        if ended.failed or ended.unreachable or ended.gone:
            self.forget(attempt.server)
        elif ended.idle_seconds:
            self.record_kept(
                attempt.server,
                attempt.server_state.epoch,
                ended.idle_seconds,
                now,
            )

    def forget(self, name):
        """Drop the estimate of a server."""
        self._by_server.pop(name, None)

    def count(self, name, epoch, now):
        """Return the number of idle connections to a server."""
        known_epoch, kept = self._by_server.get(name, (None, ()))
        if known_epoch != epoch:
            return 0
        return sum(until > now for until in kept)

    def connected(self, table, now):
        """Return the names of the servers with idle connections.

        ``table`` (:class:`.server_table.ServerTable`) has their epochs.
        Servers without any are dropped, so that this remains short.
        """
        found = {
            name
            for name, (epoch, _) in self._by_server.items()
            if self.count(name, table.server(name).epoch, now)
        }
        self._by_server = {name: self._by_server[name] for name in found}
        return frozenset(found)


def may_be_preferred(name, announcement, table):
    """Return whether a connection to a server may count in its favour.

    It does not if the server is full or has failed lately.
    """
    has_slot = table.running(name) < announcement.slots
    failure_share = table.server(name).health.failure_share
    return has_slot and failure_share < MAX_FAILURE_SHARE
