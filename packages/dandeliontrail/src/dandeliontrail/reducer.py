"""The reducer: a pure state machine over all events of an instance.

It does no I/O; it returns effects as data, for the embedder to carry out.

>>> import random
>>> from dandeliontrail import new_reducer, Identity
>>> reducer = new_reducer(Identity("i1", "fd1", "r1", 1), random.Random(0))
>>> reducer.tick(0.0)
[]
"""

from . import events
from . import failures
from . import interfaces
from .components import backend_servers
from .components import caches
from .components import claim_voting
from .components import claims
from .components import cluster_view
from .components import configuration
from .components import departures
from .components import duties
from .components import duties_state
from .components import members
from .components import orders
from .components import prefill_queues
from .components import renewals
from .components import repair
from .components import requests
from .components import retry_loans
from .components import revisions
from .components import server_ends
from .components import server_limits
from .components import server_loads
from .components import server_paths
from .components import server_rests
from .components import state as state_module
from .components import stream_versions
from .components import usage
from .components import usage_windows
from .components import version_admission
from .coordination import quorum_log_options
from .coordination import servers


class Reducer:
    """Passes each event to the components that handle its type.

    A component that raises keeps neither the others from running nor their
    effects from being returned; ``failure_handler`` is told, and by default
    raises.
    """

    __slots__ = (
        "state",
        "policy",
        "components",
        "lives",
        "_ticking",
        "_handlers",
        "_messages",
    )

    def __init__(self, state, policy, components, lives):
        self.lives = lives
        self.state = state
        self.policy = policy
        self.components = components
        self._ticking = [item for item in components if _ticks(item)]
        self._handlers = {}
        self._messages = {}
        for component in components:
            self._register(component)

    def _register(self, component):
        name = _name_of(component)
        for kind, handler in component.handlers().items():
            # Handlers of peer messages also receive the sender, so they are
            # kept apart from the handlers of events.
            is_event = kind.__module__.startswith(events.__name__)
            table = self._handlers if is_event else self._messages
            table.setdefault(kind, []).append((name, handler))

    @property
    def failure_handler(self):
        """The :class:`.failures.FailureHandler` told of each failure."""
        return self.state.failure_handler

    @failure_handler.setter
    def failure_handler(self, handler):
        self.state.failure_handler = handler

    def apply(self, event, now):
        """Return the effects of ``event``, which happened at ``now``."""
        if isinstance(event, events.PeerMessageReceived):
            return self._apply_message(event, now)
        out = []
        for name, handler in self._handlers[type(event)]:
            try:
                out.extend(handler(event, now))
            except Exception as exc:
                self._report(failures.of_event(name, event, exc))
        return out

    def _apply_message(self, event, now):
        if event.source.instance == self.state.identity.instance:
            # A seed is an address of this instance, or another start runs
            # under its name, which the members decide by their records.
            return []
        out = []
        self.state.members.hear(event.source, now)
        for name, handler in self._messages[type(event.message)]:
            try:
                out.extend(handler(event.source, event.message, now))
            except Exception as exc:
                self._report(failures.of_message(name, event, exc))
        return out

    def waiting(self):
        """Return the number of queued requests of each class."""
        return self.policy.waiting()

    def tick(self, now):
        """Return the effects that are due at ``now``."""
        out = []
        for component in self._ticking:
            try:
                found = component.tick(now)
            except Exception as exc:
                name = _name_of(component)
                self._report(failures.Failure(name, failures.TICK, exc))
                continue
            if found:
                out.extend(found)
        return out

    def _report(self, failure):
        self.state.failure_handler.component_failed(failure)


def _name_of(component):
    return type(component).__name__


def _ticks(component):
    """Return whether a component has work that is due by time."""
    return type(component).tick is not interfaces.Component.tick


def _new_adaptive_policy(identity, rng, state):
    # An instance with a policy of its own does not load this one.
    from .decisions import adaptive

    return adaptive.Adaptive(
        rng,
        cluster_view.StateView(state),
        (identity.instance, identity.failure_domain),
        permits=state.permits,
    )


def new_reducer(
    identity,
    rng,
    seeds=(),
    policy=None,
    keeper=None,
    bootstrap=(),
    keeps_usage=False,
    log_options=quorum_log_options.DEFAULT,
    routing_options=revisions.RoutingOptions(),
    longest_lease=servers.MAX_LEASE_SECONDS,
    duty_options=duties_state.DutyOptions(),
    new_policy=None,
):
    """Assemble and return the reducer of an instance.

    ``rng`` is a ``random.Random``: the only source of randomness here, so
    that a run can be reproduced from its seed.  ``seeds`` are the peers known
    at the start.  ``keeper`` is the data loaded from disk
    (``quorum_log_records.Keeper``), on an instance that has one, and
    ``bootstrap`` the names of the first keepers, which also grant claims on
    idempotency keys; without either, the instance keeps a log of its own in
    memory.  ``keeps_usage`` is true if usage is stored on disk, and
    ``log_options`` are further options of the log.  ``routing_options`` set
    how recent state must be to be acted on, ``longest_lease`` how long (in
    seconds) a silent backend server counts as alive, and ``duty_options`` what
    the platform requires of the instance that calls it.
    ``new_policy(rng, view, state)`` creates the policy and takes precedence
    over ``policy``; without either, the adaptive policy is used.
    """
    state = state_module.new_state(
        identity,
        rng,
        seeds,
        keeper,
        bootstrap,
        log_options,
        routing_options,
        longest_lease,
        duty_options,
    )
    if new_policy is not None:
        view = cluster_view.StateView(state)
        policy = new_policy(rng, view, state)
    chosen_policy = policy or _new_adaptive_policy(identity, rng, state)
    voting_component = claim_voting.ClaimVoting(state, bootstrap)
    claims_component = claims.Claims(state, voting_component)
    renewals_component = renewals.Renewals(state, chosen_policy)
    departures_component = departures.Departures(state)
    ends = server_ends.ServerEnds(state)
    limits_component = server_limits.ServerLimits(state)
    prefills_component = prefill_queues.PrefillQueues(state, chosen_policy)
    lives = {}
    streams_component = stream_versions.StreamVersions(state, lives)
    request_component = requests.Requests(
        state,
        chosen_policy,
        claims_component,
        ends,
        limits_component,
        prefills_component,
        streams_component,
        lives,
    )
    parts = [
        members.Members(state),
        repair.Repair(state),
        renewals_component,
        backend_servers.BackendServers(
            state, chosen_policy, renewals_component, departures_component
        ),
        departures_component,
        usage.Usage(state, keeps_usage),
        configuration.Configuration(state),
        revisions.Revisions(state, configuration.answer_callback),
        voting_component,
        claims_component,
        ends,
        server_loads.ServerLoads(state, chosen_policy),
        limits_component,
        prefills_component,
        server_rests.ServerRests(state, chosen_policy),
        usage_windows.UsageWindows(state),
        version_admission.VersionAdmission(state),
        retry_loans.RetryLoans(
            state, chosen_policy.retry_budget, log_options.may_bootstrap
        ),
        request_component,
        streams_component,
        server_paths.ServerPaths(state, chosen_policy, lives),
        orders.Orders(state),
        duties.Duties(state),
        caches.Caches(state),
    ]
    # Opened last: the replay needs the appliers of all components registered.
    state.log.open()
    state.members.seeds.update(state.log.stored_addresses())
    return Reducer(state, chosen_policy, parts, lives)
