"""What the policy sees of the other instances, read from the state."""

from ..decisions import view


class StateView(view.ClusterView):
    """Reads the membership and the usage ledger of this instance."""

    def __init__(self, state):
        self._state = state

    def instances(self, now):
        """Return how many instances are alive, this one included."""
        return 1 + len(self._state.members.alive(now))

    def heard_from(self, failure_domain):
        """Return when an instance of a domain was last heard, in a mesh."""
        return self._state.members.heard_from(failure_domain)

    def has_fallen_silent(self, failure_domain, now):
        """Go by the messages of the instances there."""
        return self._state.members.has_fallen_silent(failure_domain, now)

    def elsewhere(self, organisation, class_name):
        """Return what the ledger holds of the other instances."""
        used = self._state.usage.used_elsewhere(organisation, class_name)
        return view.Used(used.requests, used.prompt_tokens, used.output_tokens)

    def today(self, organisation):
        """Return what the ledger holds of this UTC day."""
        return self._state.usage.used_today(organisation).tokens()
