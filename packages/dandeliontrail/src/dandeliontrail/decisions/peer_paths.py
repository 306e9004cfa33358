"""Chooses the peer through which an instance reaches a backend server.

An instance that has lost its own path to a server opens a tunnel through
another instance.  Nothing is known in advance of who reaches what: a peer
without a path refuses the tunnel, and this is remembered for a while.  So
nothing is sent while no path is lost, at any number of instances.
"""

import collections
import enum

import msgspec

# A peer that could not help is not asked for the first figure, twice as long
# after each further failure, up to the second.
INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 4.0
# A peer that the server asked for rest is asked again after this time: both
# rests end at about the same moment.
REST_BACKOFF_SECONDS = 0.15
# Costs of a peer as a number of tunnels: in another failure domain than this
# instance, for each peer of its domain that could not help lately, and where
# it could not help lately itself: else all that could not would be asked again
# by the same request when their backoffs end.  One that was not seen to help
# costs a few tunnels more than one that was.
REMOTE_DOMAIN_COST = 0.5
FAILED_NEIGHBOUR_COST = 1.0
FAILED_COST = 8.0
UNPROVEN_COST = 4.0
# A server that this many peers which reach others cannot reach, one after the
# other, counts as down for everybody, for the time below.  The second figure
# is for the only server that is lost here, which most likely has ended.
MIN_PEERS_FOR_DOWN = 8
MIN_PEERS_FOR_SINGLE_DOWN = 3
DOWN_SECONDS = 3.0
# Evidence that a peer reaches a server holds for this long.
CONFIRMED_SECONDS = 3.0
PROVEN_SECONDS = 10.0
NEVER = float("-inf")


class PathFailure(enum.Enum):
    """Why a tunnel through a peer was not opened.

    ``PEER``: the peer did not answer or takes no tunnels now.  ``NO_SERVERS``:
    it reaches no server itself.  ``SERVER``: it reaches others, but not this
    one.  ``REST``: the server asked it for rest.
    """

    PEER = "peer"
    NO_SERVERS = "no_servers"
    SERVER = "server"
    REST = "rest"


class _Path(msgspec.Struct, frozen=True):
    """The path through a peer to a server, or to all of them with ''."""

    peer: str
    server: str = ""


class _Backoff(msgspec.Struct):
    """A backoff of ``seconds`` that lasts until ``until``."""

    seconds: float = 0.0
    until: float = NEVER


class _Evidence:
    """What peers said of one server since the last success.

    ``failed`` are the peers that reach other servers but not this one.
    """

    __slots__ = ("failed", "reached_at", "down_until")

    def __init__(self):
        self.failed = set()
        self.reached_at = NEVER
        self.down_until = NEVER


class PeerPaths:
    """Chooses peers, and remembers which of them could not help.

    ``view`` (:class:`.view.ClusterView`) lists the peers, ``domain`` is the
    failure domain of this instance.
    """

    def __init__(self, view, domain, rng):
        self._view = view
        self._domain = domain
        self._rng = rng
        self._backoffs = {}
        self._evidence = collections.defaultdict(_Evidence)
        self._tunnels = collections.Counter()
        self._helped_at = {}
        self._peers_at = NEVER
        self._peers = []

    def exists(self, server, now):
        """Return whether a peer may reach ``server``."""
        if now < self._evidence[server].down_until:
            return False
        return any(
            self._is_allowed(peer, server, now) for peer in self._list(now)
        )

    def has_peers(self, now):
        """Return whether any peer may help."""
        return any(
            not self._is_blocked(_Path(peer.instance), now)
            for peer in self._list(now)
        )

    def is_confirmed(self, server, now):
        """Return whether a peer was seen to reach ``server`` lately."""
        return now - self._evidence[server].reached_at < CONFIRMED_SECONDS

    def choose(self, server, server_domain, now):
        """Return the name of the peer to reach ``server`` by, or ''."""
        peers = self._list(now)
        failed_neighbours = collections.Counter(
            peer.failure_domain
            for peer in peers
            if not self._is_allowed(peer, server, now)
        )

        def cost(peer):
            domain = peer.failure_domain
            return (
                self._tunnels[peer.instance]
                + REMOTE_DOMAIN_COST * (domain != self._domain)
                + FAILED_NEIGHBOUR_COST * failed_neighbours[domain]
                + FAILED_COST * self._has_failed(peer.instance, server)
                + UNPROVEN_COST * self._is_unproven(peer.instance, now),
                domain != server_domain,
                self._rng.random(),
            )

        allowed = [
            peer for peer in peers if self._is_allowed(peer, server, now)
        ]
        return min(allowed, key=cost).instance if allowed else ""

    def record_opening(self, peer):
        """Record that a tunnel through ``peer`` is being opened."""
        self._tunnels[peer] += 1

    def record_closed(self, peer):
        """Record that a tunnel through ``peer`` has ended."""
        self._tunnels[peer] -= 1
        if self._tunnels[peer] <= 0:
            del self._tunnels[peer]

    def record_reached(self, peer, server, now):
        """Record that ``server`` answered through ``peer``."""
        self._backoffs.pop(_Path(peer), None)
        self._backoffs.pop(_Path(peer, server), None)
        self._helped_at[peer] = now
        evidence = self._evidence[server]
        evidence.failed.clear()
        evidence.reached_at = now
        evidence.down_until = NEVER

    def record_failure(self, peer, server, failure, now, is_single=False):
        """Record that ``peer`` opened no tunnel to ``server``.

        ``is_single`` is true if no other server is lost here.
        """
        self._remove_expired(now)
        if failure is PathFailure.REST:
            backoff = self._backoffs.setdefault(
                _Path(peer, server), _Backoff()
            )
            backoff.until = max(backoff.until, now + REST_BACKOFF_SECONDS)
            return
        if failure is not PathFailure.SERVER:
            self._extend_backoff(_Path(peer), now)
            return
        self._extend_backoff(_Path(peer, server), now)
        evidence = self._evidence[server]
        evidence.failed.add(peer)
        needed = MIN_PEERS_FOR_DOWN
        if is_single:
            needed = MIN_PEERS_FOR_SINGLE_DOWN
        if len(evidence.failed) >= needed:
            evidence.failed.clear()
            evidence.down_until = now + DOWN_SECONDS

    def forget_server(self, server):
        """Drop what peers said of a server that is gone or has restarted."""
        self._evidence.pop(server, None)
        for path in list(self._backoffs):
            if path.server == server:
                del self._backoffs[path]

    def _list(self, now):
        """Return the peers, listed once for each moment."""
        if now != self._peers_at:
            self._peers_at = now
            self._peers = self._view.peers(now)
        return self._peers

    def _is_allowed(self, peer, server, now):
        name = peer.instance
        return not (
            self._is_blocked(_Path(name), now)
            or self._is_blocked(_Path(name, server), now)
        )

    def _has_failed(self, peer, server):
        """Return whether a peer could not help and has not helped since."""
        return (
            _Path(peer) in self._backoffs
            or _Path(peer, server) in self._backoffs
        )

    def _is_unproven(self, peer, now):
        """Return whether a peer was not seen to reach any server lately."""
        return now - self._helped_at.get(peer, NEVER) >= PROVEN_SECONDS

    def _is_blocked(self, path, now):
        backoff = self._backoffs.get(path)
        return backoff is not None and now < backoff.until

    def _extend_backoff(self, path, now):
        backoff = self._backoffs.setdefault(path, _Backoff())
        backoff.seconds = min(
            MAX_BACKOFF_SECONDS,
            max(INITIAL_BACKOFF_SECONDS, 2 * backoff.seconds),
        )
        backoff.until = now + backoff.seconds

    def _remove_expired(self, now):
        """Forget what lies far enough back."""
        for peer, helped_at in list(self._helped_at.items()):
            if now - helped_at >= PROVEN_SECONDS:
                del self._helped_at[peer]
        for path, backoff in list(self._backoffs.items()):
            if now - backoff.until > MAX_BACKOFF_SECONDS:
                del self._backoffs[path]
