"""State of the calls to the platform, and how log entries update it."""

import msgspec

from ..coordination import leases
from ..coordination import server_counts
from ..coordination import true_time
from ..coordination import usage
from ..coordination import usage_windows
from . import orders_state

# The lease terms if none are configured: a call takes at most one second, and
# holders do not alternate within three seconds.
DEFAULT_TERMS = leases.LeaseTerms(1.5, 1.0, 3.0, by_keepers=True)
# The subject of the single lease for all calls to the platform.  The other
# subjects are failure domains, which cannot have this name.
SUBJECT = "/platform"


class DutyOptions(msgspec.Struct, frozen=True):
    """Which calls the platform expects, and their timing.

    ``reports_usage`` enables usage reports.  ``window`` is the length of a
    usage window, and its counts are due ``late`` after its end, both in
    seconds.  ``orders_servers`` enables orders of the number of servers.
    ``checks_fencing`` means that the platform refuses a fencing number below
    the greatest one that it has seen.  ``terms`` are the terms of the lease.
    """

    reports_usage: bool = False
    orders_servers: bool = False
    window: float = 60.0
    late: float = 120.0
    checks_fencing: bool = False
    terms: leases.LeaseTerms = DEFAULT_TERMS

    @property
    def any(self):
        """Whether the platform is called at all."""
        return self.reports_usage or self.orders_servers


class DutiesState(msgspec.Struct):
    """The state of the calls to the platform.

    It is written only by the duties component, except for ``counter`` and
    ``clock``: the usage windows component owns these, and the request
    component counts into ``counter``.
    """

    options: DutyOptions
    lease: leases.LeaseHolder
    decided: usage_windows.DecidedWindows
    ordered: server_counts.OrderedCounts
    counter: usage_windows.WindowCounter
    clock: true_time.TrueTime


def new_duties_state(identity, options=DutyOptions()):
    """Return the initial state of an instance."""
    return DutiesState(
        options,
        leases.LeaseHolder(identity, SUBJECT, options.terms),
        usage_windows.DecidedWindows(),
        server_counts.OrderedCounts(),
        usage_windows.WindowCounter(options.window),
        true_time.TrueTime(),
    )


def report_of(identity, through, windows, partial=False):
    """Return an instance's report of ``windows``, complete to ``through``."""
    publisher = usage.Publisher(identity.instance, identity.incarnation)
    return usage_windows.WindowReport(publisher, through, windows, partial)


def register(log, state):
    """Register the appliers of the log's entries about duties."""
    decided = orders_state.TableApplier(
        state.decided, usage_windows.WindowResult
    )
    log.register(usage_windows.WindowDecision, decided)
    ordered = orders_state.TableApplier(
        state.ordered, server_counts.CountResult
    )
    log.register(server_counts.CountOrder, ordered)
