"""The view of the other instances that the policy uses."""

from ..decisions import view


class StateView(view.ClusterView):
    """Implements the view on this instance's membership and usage ledger."""

    def __init__(self, state):
        self._state = state

    def instances(self, now):
        """Return how many instances are alive, including this one."""
        return 1 + len(self._state.members.alive(now))

    def peers(self, now):
        """Return the members that are alive and do not store the log."""
        keepers = self._state.log.voter_names()
        return [
            member
            for member in self._state.members.alive(now)
            if member.instance not in keepers
        ]

    def heard_from(self, failure_domain):
        """Return when an instance of a failure domain was last heard from.

        This is known only in a full mesh.
        """
        return self._state.members.heard_from(failure_domain)

    def has_fallen_silent(self, failure_domain, now):
        """Return whether a failure domain has just become silent."""
        return self._state.members.has_fallen_silent(failure_domain, now)

    def usage_elsewhere(self, organisation, class_name):
        """Return the usage that the ledger holds for other instances."""
        used = self._state.usage.used_elsewhere(organisation, class_name)
        return view.Usage(
            used.requests, used.prompt_tokens, used.output_tokens
        )

    def tokens_today(self, organisation):
        """Return the tokens that the ledger holds for the current UTC day."""
        return self._state.usage.used_today(organisation).tokens()
