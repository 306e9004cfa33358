"""The part of a policy that learns which servers and paths to them work.

It answers outages, not load: what attempts and checks of paths showed decides
which servers :mod:`.usable_servers` lists.
"""

from . import attempts
from . import domain_reachability
from . import path_checks
from . import peer_paths
from . import policy
from . import tunnel_admission
from . import work as work_module

# Bounds the log lines about servers between two ticks, as in a burst of
# failures.
MAX_FINDINGS_PER_TICK = 50


class PathFeedback(policy.Policy):
    """Records how attempts and checks of paths ended.

    ``table`` is the :class:`.server_table.ServerTable`, ``domain`` the own
    failure domain.
    """

    def __init__(self, rng, view, table, domain):
        self._table = table
        self._domain = domain
        self._attempts = attempts.Attempts()
        self._findings = []
        self._domain_reach = domain_reachability.DomainReachability(
            domain, view
        )
        self._peer_paths = peer_paths.PeerPaths(view, domain, rng)
        self._checks = path_checks.PathChecks(
            table, self._peer_paths, rng, self._spaces_checks
        )

    def _spaces_checks(self, work):
        """Return whether checks for waiting prompts are spaced out."""
        return False

    def take_beliefs(self):
        """Return the ``work.HealthFinding`` objects since the last call."""
        findings, self._findings = self._findings, []
        return findings

    def observe(self, server, now):
        """Reset what is known of a server that has restarted."""
        announcement = server.announcement
        name = announcement.backend_server
        if self._table.record_announcement(
            name, announcement.epoch, announcement.software_version
        ):
            self._checks.forget(name)
            self._peer_paths.forget_server(name)
            health = self._table.server(name).health
            self._add_server_finding(
                "backend server restarted", name, health, now
            )

    def forget_server(self, name):
        """Drop the state of a server that is gone."""
        self._table.forget(name)
        self._checks.forget(name)
        self._peer_paths.forget_server(name)

    def due_checks(self, now):
        """Return the checks of paths that are due."""
        return self._checks.due(self._attempts.outstanding(), now)

    def path_checked(self, result, now):
        """Process a check's result; return whether the path was lost."""
        server = result.backend_server
        self._checks.end(server, result.peer)
        state = self._table.server(server)
        if state.epoch not in (None, result.epoch):
            return False
        if result.peer:
            self._record_peer_check(result, now)
            return False
        if result.reached is None:
            return False
        if result.reached:
            state.health.heard_at = now
            if state.health.backoff:
                self._record_path(server, state.health, now)
            return False
        since = now - path_checks.SILENT_SECONDS
        self._record_path_lost(server, since, now)
        return True

    def check_dropped(self, check):
        """Forget a check of a server that is gone."""
        self._checks.end(check.server, check.peer)
        self._checks.forget(check.server)

    def lost_servers(self):
        """Return the names of the servers that cannot be reached directly."""
        return sorted(self._checks.unreachable)

    def tunnel_opened(self, peer, server, now):
        """Record that a server was reached through another instance."""
        self._peer_paths.record_reached(peer, server, now)

    def reach_of(self, server):
        """Return which servers this instance reaches, ``server`` first."""
        unreachable = self._checks.unreachable
        if server not in unreachable:
            return tunnel_admission.Reach.SERVER
        if unreachable.issuperset(self._table.names()):
            return tunnel_admission.Reach.NONE
        return tunnel_admission.Reach.OTHERS

    def _record_answering(self, attempt, now):
        """Record that a server, and so its failure domain, is reachable."""
        health = attempt.server_state.health
        if attempt.peer:
            self._peer_paths.record_reached(attempt.peer, attempt.server, now)
            return
        health.heard_at = now
        self._domain_reach.record_reached(attempt.domain)
        # An old connection may live on where new ones are refused.
        is_new = attempt.placed_at > health.unreachable_at
        if health.backoff and is_new:
            self._record_path(attempt.server, health, now)

    def _record_broken(self, attempt, now):
        """Have the path checked on which an attempt broke off.

        Its retry goes to a server that has been heard since, or to a peer.
        """
        self._checks.want(attempt.server)
        recently = now - path_checks.SILENT_SECONDS
        attempt.work.unreached_since = max(attempt.placed_at, recently)

    def _record_unreachable(self, attempt, now):
        health = attempt.server_state.health
        attempt.work.unreached_since = attempt.placed_at
        attempt.work.unreached_servers.add(attempt.server)
        health.record_failure()
        self._record_path_lost(attempt.server, attempt.placed_at, now)
        if self._domain_reach.record_unreachable(
            attempt.domain, attempt.server, attempt.placed_at, now
        ):
            self._add_finding(
                work_module.HealthFinding(
                    "failure domain avoided",
                    attempt.server,
                    round(health.failure_share, 3),
                    domain_reachability.SUSPICION_SECONDS,
                    attempt.domain,
                )
            )

    def _record_path(self, name, health, now):
        """Record that a connection to a server can be opened again."""
        self._checks.record_reached(name)
        self._add_server_finding(
            "backend server usable again", name, health, now
        )

    def _record_path_lost(self, server, since, now):
        """Record that no connection to a server could be opened."""
        self._checks.record_unreachable(server, since, now)
        self._add_server_finding(
            "backend server avoided",
            server,
            self._table.server(server).health,
            now,
        )

    def _record_path_failure(self, peer, server, failure, now):
        is_single = not self._checks.all_suspect
        self._peer_paths.record_failure(peer, server, failure, now, is_single)

    def _record_peer_check(self, result, now):
        peer, server = result.peer, result.backend_server
        if result.reached:
            self._peer_paths.record_reached(peer, server, now)
            self._checks.record_peer_check(reached=True)
            return
        if result.path_failure is peer_paths.PathFailure.SERVER:
            self._checks.record_peer_check(reached=False)
        self._record_path_failure(peer, server, result.path_failure, now)

    def _add_server_finding(self, text, server, health, now):
        seconds = max(0.0, health.blocked_until - now)
        share = round(health.failure_share, 3)
        self._add_finding(
            work_module.HealthFinding(text, server, share, seconds)
        )

    def _add_finding(self, finding):
        if len(self._findings) < MAX_FINDINGS_PER_TICK:
            self._findings.append(finding)
